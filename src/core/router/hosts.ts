import type { HostList } from '../domain/hostList.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { BackendState, RouterState } from './routerState.js'
import { findHostStatus, formatAddress } from '../domain/hostList.js'
import { startLeaveHandoffs } from './handoff.js'

/** Applies the platform's host list; backend servers listed as leaving hand their units over and get no new ones. */
export function applyHosts (
  state: RouterState,
  hosts: HostList,
  rules: RouterRules
): RouterEffect[] {
  state.hosts = hosts
  const effects: RouterEffect[] = []
  for (const backend of state.backends.values()) {
    if (backend.isHeld) effects.push(...applyHostStatus(state, backend, rules))
  }
  return effects
}

function applyHostStatus (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  const listedStatus = findHostStatus(state.hosts, formatAddress(backend.server))
  if (listedStatus === 'leaving' && backend.status === 'ready') {
    backend.status = 'leaving'
    const fields = { service: backend.service, backend: backend.server.name }
    return [{ kind: 'log', event: 'backendLeaving', fields }, ...startLeaveHandoffs(state, backend, rules)]
  }
  if (listedStatus === 'leaving' && backend.status === 'leaving') return startLeaveHandoffs(state, backend, rules)
  if (listedStatus !== 'leaving' && backend.status === 'leaving') backend.status = 'ready'
  return []
}
