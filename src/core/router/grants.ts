import type { RouterEffect } from './routerEffects.js'
import type { RouterEvent } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { BackendState, RouterState } from './routerState.js'
import { backendSilenceTimeoutMs, refusedConnectionThreshold } from '../limits.js'
import { dropUnjournaledHandoffs, startLossHandoffs } from './handoff.js'
import { buildGrantMessage } from './grantMessage.js'
import { sendQueued } from './dispatch.js'

type GrantsReplied = Extract<RouterEvent, { kind: 'grants-replied' }>

/** Sends the grant renewals that are due to the backend servers that this router holds. */
export function renewGrants (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (!rules.isLeaseValid(state, state.now)) return []
  const effects: RouterEffect[] = []
  for (const backend of state.backends.values()) {
    if (!backend.isHeld) continue
    if (state.now < backend.nextGrantAt) continue
    effects.push(buildGrantMessage(state, backend))
  }
  return effects
}

/** Applies the reply of a backend server to a grant message or a probe. */
export function applyGrantReply (state: RouterState, event: GrantsReplied, rules: RouterRules): RouterEffect[] {
  const backend = state.backends.get(event.backend)
  if (backend === undefined || !backend.isHeld) return []
  const reply = event.reply
  if (reply.kind === 'failed') return checkLoss(state, backend, rules)
  if (reply.kind === 'connection-refused') {
    backend.consecutiveRefusals += 1
    if (backend.status !== 'lost') backend.nextGrantAt = state.now
    return checkLoss(state, backend, rules)
  }
  backend.consecutiveRefusals = 0
  backend.isSuspected = false
  backend.lastReplyAt = state.now
  const effects: RouterEffect[] = []
  if (reply.kind !== 'alive') effects.push(...applyClockReading(state, backend, event))
  effects.push(...setReady(state, backend))
  backend.isRecheckDue = true
  effects.push(...sendQueued(state, backend, rules))
  return effects
}

function applyClockReading (state: RouterState, backend: BackendState, event: GrantsReplied): RouterEffect[] {
  const reply = event.reply
  if (reply.kind !== 'accepted' && reply.kind !== 'unknown-set' && reply.kind !== 'superseded') return []
  const grant = backend.grant
  if (grant.boot !== reply.boot) resetGrant(backend, reply.boot)
  else if (reply.kind === 'accepted' && event.notAfter > 0) applyAcceptance(backend, event.usableUntil, reply.set)
  if (reply.kind === 'unknown-set') grant.ackedSet = -1
  if (reply.clock >= grant.clock) {
    grant.clock = reply.clock
    grant.sentAt = event.sentAt
    grant.repliedAt = state.now
  }
  const isClockRequest = event.notAfter === 0
  if (backend.status === 'lost') return []
  if (!isClockRequest && !grant.isStale) return []
  return [buildGrantMessage(state, backend)]
}

function resetGrant (backend: BackendState, boot: string): void {
  const grant = backend.grant
  grant.boot = boot
  grant.clock = 0
  grant.ackedSet = -1
  grant.ackedUnits = new Map()
  grant.usableUntil = 0
}

function applyAcceptance (backend: BackendState, usableUntil: number, set: number): void {
  const grant = backend.grant
  grant.usableUntil = Math.max(grant.usableUntil, usableUntil)
  if (set !== grant.set) return
  grant.ackedSet = set
  grant.ackedUnits = grant.units
}

function setReady (state: RouterState, backend: BackendState): RouterEffect[] {
  if (backend.status === 'ready' || backend.status === 'leaving') return []
  const hasReturned = backend.status === 'lost'
  if (hasReturned) dropUnjournaledHandoffs(state, backend)
  backend.status = 'ready'
  backend.readySince = state.now
  backend.grant.isStale = true
  return [{
    kind: 'log',
    event: 'backendReady',
    fields: { backend: backend.server.name, service: backend.service, returned: hasReturned }
  }]
}

/** Marks a backend server as lost after a period of silence or consecutive refused connections. */
function checkLoss (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  if (backend.status === 'lost') return []
  const isSilent = state.now - backend.lastReplyAt >= backendSilenceTimeoutMs
  const isRefused = backend.consecutiveRefusals >= refusedConnectionThreshold
  if (!isSilent && !isRefused) return []
  backend.status = 'lost'
  if (isRefused) resetAfterProcessExit(state, backend)
  return [
    { kind: 'log', event: 'backendLost', fields: { backend: backend.server.name, service: backend.service, refused: isRefused } },
    ...startLossHandoffs(state, backend, rules)
  ]
}

/** A refused connection proves that the process has exited, which ends its requests and grants. */
function resetAfterProcessExit (state: RouterState, backend: BackendState): void {
  backend.inheritedRequests = []
  backend.inheritedUnknownUntil = state.now
  backend.grant.boot = undefined
  backend.grant.fenceUntil = state.now
  backend.grant.ackedSet = -1
}
