import type { RouterEffect } from './routerEffects.js'
import type { BackendState, RouterState } from './routerState.js'
import { grantRenewIntervalMs, grantMarginMs, grantTtlMs, lostBackendProbeIntervalMs } from '../limits.js'
import { listExcludedKeys, listOwnedUnits } from './backends.js'
import { formatBackendId } from './ownership.js'

/**
 * Builds the next grant message for a backend server. The expiry (`notAfter`) is
 * on the backend server's own clock, counted from its last reading, so that late
 * delivery never extends a grant. While that clock is unknown or the backend
 * server is lost, the message grants nothing and only requests the clock.
 */
export function buildGrantMessage (state: RouterState, backend: BackendState): RouterEffect {
  const grant = backend.grant
  const isLost = backend.status === 'lost'
  backend.nextGrantAt = state.now + (isLost ? lostBackendProbeIntervalMs : grantRenewIntervalMs)
  if (grant.isStale) computeGrantSet(state, backend)
  const hasGrant = grant.boot !== undefined && !isLost
  const isSetIncluded = hasGrant && grant.ackedSet !== grant.set
  if (hasGrant) grant.fenceUntil = Math.max(grant.fenceUntil, grant.repliedAt + grantTtlMs + grantMarginMs)
  return {
    kind: 'send-grants',
    backend: formatBackendId(backend.service, backend.server.name),
    host: backend.server.host,
    port: backend.server.port,
    checksGrants: backend.checksGrants,
    sentAt: state.now,
    usableUntil: grant.sentAt + grantTtlMs - grantMarginMs,
    boot: grant.boot,
    holder: state.self,
    holderEpoch: backend.holderEpoch,
    notAfter: hasGrant ? grant.clock + grantTtlMs : 0,
    set: grant.set,
    units: isSetIncluded ? [...grant.units] : undefined,
    excludes: isSetIncluded ? grant.excludes : undefined
  }
}

/** Recomputes the set to grant, which leaves out units in a handoff; a change gives the set a new number. */
function computeGrantSet (state: RouterState, backend: BackendState): void {
  const grant = backend.grant
  const owned = listOwnedUnits(state, backend.service, backend.server.name)
  const units = new Map(owned.filter(([unit]) => !state.handoffs.has(`${backend.service}/${unit}`)))
  const excludes = [
    ...listExcludedKeys(state, backend.service, backend.server.name),
    ...listKeysInHandoff(state, backend)
  ]
  grant.isStale = false
  if (hasSameUnits(grant.units, units) && grant.excludes.join() === excludes.join()) return
  grant.units = units
  grant.excludes = excludes
  grant.set += 1
}

function listKeysInHandoff (state: RouterState, backend: BackendState): string[] {
  const keys: string[] = []
  for (const handoff of state.handoffs.values()) {
    if (handoff.service !== backend.service || handoff.from !== backend.server.name) continue
    if (handoff.phase === 'assuming' || handoff.phase === 'done') continue
    if (handoff.unit.startsWith('k')) keys.push(handoff.unit.slice(1))
  }
  return keys
}

function hasSameUnits (left: Map<string, number>, right: Map<string, number>): boolean {
  if (left.size !== right.size) return false
  for (const [unit, epoch] of left) {
    if (right.get(unit) !== epoch) return false
  }
  return true
}
