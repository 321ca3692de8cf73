import type { RouterEffect } from './routerEffects.js'
import type { PeerRequest } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { BackendState, EgressRequest, RouterState } from './routerState.js'
import { ranks } from '../domain/rank.js'
import { isForUnit } from './backends.js'
import { formatBackendId, resolveKey } from './ownership.js'
import { countLoad } from './load.js'
import { buildQueueView, computeInFlight, hasWaiting, hasQueued, updateBusyTime, updateLimit } from './queueView.js'
import { refuseAsNotHolder, refuseEgress } from './refusal.js'

/** Accepts a request for a backend server that this router is expected to hold, or refuses it. */
export function acceptRequest (
  state: RouterState,
  id: string,
  request: PeerRequest,
  rules: RouterRules
): RouterEffect[] {
  // The members are copied one by one because a spread costs more than the rest of this function.
  const egress: EgressRequest = {
    service: request.service,
    key: request.key,
    unit: request.unit,
    owner: request.owner,
    epoch: request.epoch,
    rank: request.rank,
    idempotent: request.idempotent,
    deadlineMs: request.deadlineMs,
    replayable: request.replayable,
    id,
    arrivedAt: state.now,
    deadlineAt: state.now + request.deadlineMs,
    attempts: 0,
    dispatchedAt: 0,
    mayHaveRun: false,
    isCanceled: false
  }
  if (state.phase === 'closing' || state.phase === 'stopped') return refuseEgress(state, egress, 'not-run', 'draining')
  const backend = state.backends.get(formatBackendId(request.service, request.owner))
  if (backend === undefined || !backend.isHeld) return refuseAsNotHolder(state, egress)
  if (!rules.isLeaseValid(state, state.now)) return refuseEgress(state, egress, 'not-run', 'lease-lapsed')
  if (state.holderMoves.has(formatBackendId(request.service, request.owner))) {
    return refuseAsNotHolder(state, egress)
  }
  state.egress.set(id, egress)
  countLoad(state, egress)
  backend.lastArrivalAt[egress.rank] = state.now
  return queueRequest(state, backend, egress, rules)
}

/** Queues a request, keeps it pending while its unit can't be served, or refuses it. */
export function queueRequest (
  state: RouterState,
  backend: BackendState,
  request: EgressRequest,
  rules: RouterRules
): RouterEffect[] {
  const readiness = computeReadiness(state, backend, request, rules)
  if (readiness.kind === 'moved') {
    return refuseEgress(state, request, 'not-run', 'moved', readiness)
  }
  if (readiness.kind === 'pending') {
    backend.pending.push(request)
    return []
  }
  const policy = state.services.get(backend.service)?.team.ranks[request.rank]
  const queueLimit = policy?.queueLimit ?? 0
  const hasQueue = backend.queues[request.rank].length > 0
  const admission = hasQueue
    ? rules.admit(buildQueueView(state, backend), request.rank, queueLimit, request.deadlineAt - state.now)
    : 'admit'
  if (admission !== 'admit') return refuseEgress(state, request, 'not-run', admission)
  backend.queues[request.rank].push(request)
  return sendQueued(state, backend, rules)
}

type Readiness =
  | { kind: 'ready' }
  | { kind: 'pending' }
  | { kind: 'moved', unit: string, owner: string, epoch: number }

/** Decides whether a request's unit may be served here now, and sets the unit and epoch that are sent with it. */
function computeReadiness (
  state: RouterState,
  backend: BackendState,
  request: EgressRequest,
  rules: RouterRules
): Readiness {
  const assignment = state.assignments.get(backend.service)
  if (assignment === undefined) return { kind: 'pending' }
  const resolved = resolveKey(state, assignment, request.key, rules.hashKey(request.key), false)
  if (resolved === undefined) return { kind: 'pending' }
  const { unit, entry } = resolved
  if (isInHandoff(state, backend, unit, request.key)) return { kind: 'pending' }
  if (unit === request.unit && entry.epoch < request.epoch) return { kind: 'pending' }
  if (!rules.mayServe(entry, backend.server.name, 0)) {
    return { kind: 'moved', unit, owner: entry.owner, epoch: entry.epoch }
  }
  request.unit = unit
  request.epoch = entry.epoch
  if (backend.isSuspected || backend.status === 'lost' || backend.status === 'unknown') return { kind: 'pending' }
  if (!backend.checksGrants) return { kind: 'ready' }
  if (backend.grant.ackedUnits.get(unit) !== entry.epoch) return { kind: 'pending' }
  if (backend.grant.usableUntil <= state.now) return { kind: 'pending' }
  return { kind: 'ready' }
}

function isInHandoff (state: RouterState, backend: BackendState, unit: string, key: string): boolean {
  if (state.handoffs.size === 0) return false
  const active = state.handoffs.get(`${backend.service}/${unit}`) ?? state.handoffs.get(`${backend.service}/k${key}`)
  return active !== undefined && active.phase !== 'done' && active.from === backend.server.name
}

/** Reconsiders pending requests if necessary, and sends queued ones until the limit of requests in flight is reached. */
export function sendQueued (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  if (!backend.isHeld) return []
  if (!rules.isLeaseValid(state, state.now)) return []
  const effects: RouterEffect[] = []
  if (backend.isRecheckDue) effects.push(...retryPending(state, backend, rules))
  while (true) {
    if (!hasQueued(backend)) return effects
    const view = buildQueueView(state, backend)
    if (computeInFlight(state, backend) >= view.limit) return effects
    const rank = rules.chooseRank(view)
    if (rank === undefined) return effects
    const request = backend.queues[rank].shift()
    if (request === undefined || request.isCanceled) continue
    if (request.deadlineAt <= state.now) {
      effects.push(...refuseEgress(state, request, 'not-run', 'deadline-passed'))
      continue
    }
    const readiness = computeReadiness(state, backend, request, rules)
    if (readiness.kind === 'pending') backend.pending.push(request)
    else if (readiness.kind === 'moved') effects.push(...refuseEgress(state, request, 'not-run', 'moved', readiness))
    else effects.push(...startDispatch(state, backend, request))
  }
}

/** Reconsiders the requests that are pending on a unit, a grant or a backend server. */
function retryPending (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  const waiting = backend.pending
  backend.pending = []
  backend.isRecheckDue = false
  const effects: RouterEffect[] = []
  for (const request of waiting) {
    if (request.isCanceled) continue
    const readiness = computeReadiness(state, backend, request, rules)
    if (readiness.kind === 'ready') backend.queues[request.rank].push(request)
    else if (readiness.kind === 'moved') effects.push(...refuseEgress(state, request, 'not-run', 'moved', readiness))
    else backend.pending.push(request)
  }
  return effects
}

function startDispatch (state: RouterState, backend: BackendState, request: EgressRequest): RouterEffect[] {
  request.attempts += 1
  request.dispatchedAt = state.now
  backend.inFlight.set(request.id, request)
  backend.inFlightByRank[request.rank] += 1
  backend.dispatchedAtSum[request.rank] += request.dispatchedAt
  return [
    { kind: 'count', count: { metric: 'dispatches', rank: request.rank } },
    {
      kind: 'dispatch',
      id: request.id,
      attempt: request.attempts,
      target: {
        service: backend.service,
        backend: backend.server.name,
        host: backend.server.host,
        port: backend.server.port,
        unit: request.unit,
        epoch: request.epoch,
        holderEpoch: backend.holderEpoch,
        key: request.key,
        deadlineAt: request.deadlineAt,
        sendBefore: computeSendBefore(state, backend),
        connections: backend.server.connections
      }
    }
  ]
}

/**
 * Computes the time after which the lease or the grant may no longer cover a request. The transport
 * compares it with the clock right before it sends, because the process may have been paused meanwhile.
 */
function computeSendBefore (state: RouterState, backend: BackendState): number {
  const lease = state.lease
  const leaseEnd = lease.guardians.length === 0 ? Infinity : Math.max(...lease.guardians.map(guardian => guardian.grantedUntil))
  return backend.checksGrants ? Math.min(leaseEnd, backend.grant.usableUntil) : leaseEnd
}

/** Moves the queues of a lost backend server to its pending requests, so that its limit does not block them. */
export function moveQueuesToPending (backend: BackendState): void {
  for (const rank of ranks) {
    backend.pending.push(...backend.queues[rank])
    backend.queues[rank] = []
  }
  backend.isRecheckDue = true
}

/** Decays the busy time, updates the limit, refuses waiting requests past their deadline and sends queued ones. */
export function tickBackend (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  updateBusyTime(state, backend)
  updateLimit(state, backend, rules)
  if (!hasWaiting(backend)) return []
  const effects: RouterEffect[] = []
  for (const rank of ranks) {
    if (backend.queues[rank].length > 0) backend.queues[rank] = refuseExpired(state, backend.queues[rank], effects, rules)
  }
  if (backend.pending.length > 0) {
    backend.pending = refuseExpired(state, backend.pending, effects, rules)
    backend.isRecheckDue = true
  }
  effects.push(...sendQueued(state, backend, rules))
  return effects
}

function refuseExpired (
  state: RouterState,
  requests: EgressRequest[],
  effects: RouterEffect[],
  rules: RouterRules
): EgressRequest[] {
  return requests.filter(request => {
    if (request.isCanceled) return false
    if (request.deadlineAt > state.now) return true
    effects.push(...refuseEgress(state, request, 'not-run', 'deadline-passed'))
    return false
  })
}

/** Returns whether a backend server has requests of a unit in flight. */
export function hasInFlight (backend: BackendState, unit: string): boolean {
  for (const request of backend.inFlight.values()) {
    if (isForUnit(request, unit)) return true
  }
  return false
}
