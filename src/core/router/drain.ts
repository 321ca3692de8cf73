import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { controlResendMs } from '../limits.js'
import { computeStopTimes } from '../policy/stopPolicy.js'
import { listInFlight } from './backends.js'
import { abortUnfinished } from './ingress.js'
import { refuseWaiting } from './refusal.js'
import { listRevisions } from './revisions.js'

/** Time that a draining router keeps its lease before it resigns, so that the load balancer can stop sending to it, in milliseconds. */
export const resignDelayMs = 500

/** Longest time that a resigning router waits for its successor's answer before it goes on without it, in milliseconds. */
export const resignTimeoutMs = 2000

/** Longest time that a draining router waits until the fleet record no longer names it as a guardian, in milliseconds. */
export const guardianReplacementTimeoutMs = 3000

/** Longest time that peers have to read the rest of their streams, in milliseconds: several times the silence after which a peer is suspected. */
const peerCloseTimeoutMs = 2000

/** Starts a graceful shutdown. */
export function startDrain (state: RouterState): RouterEffect[] {
  if (state.phase !== 'starting' && state.phase !== 'serving') return []
  const { acceptAllUntil, endAt } = computeStopTimes(state.now, state.graceMs)
  state.phase = 'draining'
  state.drainStartedAt = state.now
  state.acceptAllUntil = acceptAllUntil
  state.drainEndsAt = endAt
  state.nextReportAt = state.now
  const fields = { ingress: state.ingress.size, egress: state.egress.size, graceMs: state.graceMs }
  return [{ kind: 'log', event: 'drainStarted', fields }, { kind: 'end-keep-alive' }]
}

/**
 * Starts a graceful shutdown of a router that the fleet no longer lists or that can't regain its lease,
 * for example because others took over while it was paused or partitioned.
 */
export function startDrainAfterLeaseLoss (state: RouterState): RouterEffect[] {
  if (state.lease.phase !== 'normal') return []
  state.lease.phase = 'resigned'
  return [{ kind: 'log', event: 'deposed', fields: { router: state.self } }, ...startDrain(state)]
}

/** Advances a graceful shutdown: hands the lease over, waits for the requests, closes the port and stops. */
export function advanceDrain (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (state.phase !== 'draining' && state.phase !== 'closing') return []
  if (state.now >= state.drainEndsAt) return abortDrain(state)
  if (state.phase === 'closing') return state.now < state.peerCloseEndsAt ? [] : endDrain(state, 'drained', 0)
  const elapsed = state.now - state.drainStartedAt
  if (elapsed < resignDelayMs) return []
  if (elapsed < guardianReplacementTimeoutMs && isGuardian(state)) return []
  const lease = state.lease
  if (lease.phase === 'normal') return startResignation(state, rules)
  if (lease.phase === 'resigning') return advanceResignation(state)
  if (hasRequests(state)) return []
  state.phase = 'closing'
  return [{ kind: 'close-callers' }]
}

/** Unregisters the router once the last caller connection has closed. */
export function handleCallersClosed (state: RouterState): RouterEffect[] {
  return state.phase === 'closing' ? [{ kind: 'unregister' }] : []
}

/** Ends the peer streams once the store no longer lists this router or can't be reached. */
export function handleUnregistered (state: RouterState): RouterEffect[] {
  if (state.phase !== 'closing') return []
  state.peerCloseEndsAt = state.now + peerCloseTimeoutMs
  return [{ kind: 'end-peers' }]
}

/** Stops the router once its peers have read the rest of their streams. */
export function handlePeersEnded (state: RouterState): RouterEffect[] {
  return state.phase === 'closing' ? endDrain(state, 'drained', 0) : []
}

/** Cancels and refuses all remaining requests and stops when the time to drain has run out. */
function abortDrain (state: RouterState): RouterEffect[] {
  const cut = state.ingress.size + [...state.egress.keys()].filter(id => !state.ingress.has(id)).length
  return [...abortUnfinished(state), { kind: 'end-peers' }, ...endDrain(state, 'out-of-time', cut)]
}

function endDrain (state: RouterState, reason: 'drained' | 'out-of-time', cut: number): RouterEffect[] {
  state.phase = 'stopped'
  const fields = { ms: Math.round(state.now - state.drainStartedAt), reason, cut }
  return [{ kind: 'log', event: 'drainDone', fields }, { kind: 'stop' }]
}

/** Returns whether the fleet record names this router as a guardian; always false once it resigns. */
function isGuardian (state: RouterState): boolean {
  if (state.lease.phase !== 'normal') return false
  for (const entry of state.fleet.routers.values()) {
    if (entry.successor === state.self || entry.witness === state.self) return true
  }
  return false
}

function hasRequests (state: RouterState): boolean {
  if (state.ingress.size > 0 || state.egress.size > 0) return true
  for (const backend of state.backends.values()) {
    if (backend.inFlight.size > 0) return true
  }
  return false
}

/** Stops sending to backend servers, refuses waiting requests and offers all held backend servers to the successor. */
function startResignation (state: RouterState, rules: RouterRules): RouterEffect[] {
  const lease = state.lease
  if (lease.successor === undefined || !hasHeldBackends(state)) {
    if (hasRequests(state)) return []
    lease.phase = 'resigned'
    return []
  }
  if (!rules.isLeaseValid(state, state.now) || !isAckedBySuccessor(state)) return []
  lease.phase = 'resigning'
  lease.nextRenewAt = 0
  state.resignedAt = state.now
  const effects: RouterEffect[] = []
  for (const backend of state.backends.values()) effects.push(...refuseWaiting(state, backend))
  return [...effects, ...sendResignation(state)]
}

/** Returns whether the successor has granted a lease of this generation; otherwise it can't take over from this router. */
function isAckedBySuccessor (state: RouterState): boolean {
  const lease = state.lease
  const guardian = lease.guardians.find(each => each.router === lease.successor)
  return guardian !== undefined && guardian.ackedGeneration === lease.generation
}

function hasHeldBackends (state: RouterState): boolean {
  for (const backend of state.backends.values()) {
    if (backend.isHeld) return true
  }
  return false
}

/** Resends the resignation until it times out; the controller then names the next holders once this router has stopped. */
function advanceResignation (state: RouterState): RouterEffect[] {
  if (state.now - state.resignedAt < resignTimeoutMs) return sendResignation(state)
  state.lease.phase = 'resigned'
  return []
}

function sendResignation (state: RouterState): RouterEffect[] {
  const lease = state.lease
  if (state.now < lease.nextRenewAt || lease.successor === undefined) return []
  lease.nextRenewAt = state.now + controlResendMs
  const inFlight = [...state.backends.values()].filter(backend => backend.isHeld).flatMap(backend => listInFlight(state, backend))
  return [{
    kind: 'send-control',
    to: lease.successor,
    message: {
      kind: 'resign',
      router: state.self,
      generation: lease.generation,
      journal: [...lease.journal],
      inFlight,
      revisions: listRevisions(state)
    }
  }]
}
