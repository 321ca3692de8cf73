import type { RetryReason } from '../domain/outcome.js'
import type { RouterEffect } from './routerEffects.js'
import type { DispatchResult } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { BackendState, EgressRequest, RouterState } from './routerState.js'
import { maxDispatchAttempts, wallClockSkewMs } from '../limits.js'
import { formatBackendId } from './ownership.js'
import { takeRetryToken } from './retryBudget.js'
import { addBusyTime } from './load.js'
import { sendQueued } from './dispatch.js'
import { refuseEgress } from './refusal.js'

/** Weight of the newest request in the moving average of slot time. */
const newestSampleWeight = 0.1

/** Frees the slot of a request and decides whether the request is done, retried or refused. */
export function endDispatch (
  state: RouterState,
  id: string,
  attempt: number,
  result: DispatchResult,
  rules: RouterRules
): RouterEffect[] {
  const request = state.egress.get(id)
  if (request === undefined || request.attempts !== attempt) return []
  const backend = state.backends.get(formatBackendId(request.service, request.owner))
  if (backend === undefined) return []
  if (!removeFromInFlight(state, backend, request)) return []
  if (result === 'connect-failed' || result === 'failed-after-send') setSuspected(state, backend)
  const effects = endExchange(state, backend, request, result, rules)
  effects.push(...sendQueued(state, backend, rules))
  return effects
}

/** Removes a request from those in flight and records its slot time; returns false if it was not in flight. */
export function removeFromInFlight (state: RouterState, backend: BackendState, request: EgressRequest): boolean {
  if (!backend.inFlight.delete(request.id)) return false
  backend.inFlightByRank[request.rank] -= 1
  backend.dispatchedAtSum[request.rank] -= request.dispatchedAt
  const busyMs = Math.max(0, state.now - request.dispatchedAt)
  backend.busyMs[request.rank] += busyMs
  backend.meanBusyMs[request.rank] += (busyMs - backend.meanBusyMs[request.rank]) * newestSampleWeight
  addBusyTime(state, request, busyMs)
  return true
}

/** Suspends sending after a failed exchange until the backend server answers a grant message or probe. */
function setSuspected (state: RouterState, backend: BackendState): void {
  backend.isSuspected = true
  backend.nextGrantAt = Math.min(backend.nextGrantAt, state.now)
}

function endExchange (
  state: RouterState,
  backend: BackendState,
  request: EgressRequest,
  result: DispatchResult,
  rules: RouterRules
): RouterEffect[] {
  if (result === 'answered' || result === 'truncated' || result === 'canceled') {
    state.egress.delete(request.id)
    return []
  }
  if (request.isCanceled) {
    state.egress.delete(request.id)
    return []
  }
  if (result === 'deadline') return refuseEgress(state, request, 'unknown', 'deadline-passed')
  if (result === 'malformed') return refuseEgress(state, request, 'unknown', 'backend-rubbish')
  if (result === 'failed-after-send') return handleUnknownOutcome(state, backend, request, rules)
  return handleNotRun(state, backend, request, result, rules)
}

/**
 * Retries a request that did not run if its body can still be sent and attempts are left, or refuses it.
 * A retry after a `shed` also needs retry budget.
 */
function handleNotRun (
  state: RouterState,
  backend: BackendState,
  request: EgressRequest,
  result: 'connect-failed' | 'not-sent' | 'shed' | 'fenced',
  rules: RouterRules
): RouterEffect[] {
  const reasons = {
    'connect-failed': 'backend-unreachable',
    'not-sent': 'lease-lapsed',
    shed: 'shed-by-backend',
    fenced: 'fenced-by-backend'
  } as const
  const reason = reasons[result]
  if (result === 'fenced') {
    backend.grant.ackedSet = -1
    backend.grant.ackedUnits = new Map()
    backend.nextGrantAt = 0
  }
  // The number of requests still in flight is the load that the backend server accepts at present.
  if (result === 'shed') setShedLimit(backend)
  const isBodyConsumed = !request.replayable && result !== 'connect-failed' && result !== 'not-sent'
  if (isBodyConsumed) return refuseEgress(state, request, 'not-run', reason)
  const isBudgetSpent = result === 'shed' && !takeRetryToken(state, backend.service)
  if (isBudgetSpent || request.attempts >= maxDispatchAttempts) return refuseEgress(state, request, 'not-run', reason)
  return queueForRetry(backend, request, reason)
}

function setShedLimit (backend: BackendState): void {
  backend.shedLimit = Math.max(1, Math.min(backend.shedLimit, backend.inFlight.size))
  backend.limit = Math.min(backend.limit, backend.shedLimit)
}

/** Retries a request whose outcome is unknown if it may run twice and attempts and retry budget are left, or refuses it. */
function handleUnknownOutcome (
  state: RouterState,
  backend: BackendState,
  request: EgressRequest,
  rules: RouterRules
): RouterEffect[] {
  const isRetryAllowed = rules.mayResend(request) && request.attempts < maxDispatchAttempts
  if (!isRetryAllowed) return refuseEgress(state, request, 'unknown', 'backend-failed')
  if (!takeRetryToken(state, backend.service)) return refuseEgress(state, request, 'unknown', 'backend-failed')
  request.mayHaveRun = true
  return queueForRetry(backend, request, 'backend-lost-idempotent')
}

function queueForRetry (backend: BackendState, request: EgressRequest, reason: RetryReason): RouterEffect[] {
  backend.pending.push(request)
  backend.isRecheckDue = true
  return [{ kind: 'count', count: { metric: 'retries', reason } }]
}

/** Takes back the requests in flight at a lost backend server that may run twice, so that the next owners of their units serve them. */
export function retryInFlight (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const request of [...backend.inFlight.values()]) {
    if (!rules.mayResend(request) || request.isCanceled) continue
    if (request.attempts >= maxDispatchAttempts) continue
    removeFromInFlight(state, backend, request)
    if (backend.consecutiveRefusals === 0) {
      backend.inheritedRequests.push({ unit: request.unit, key: request.key, until: request.deadlineAt + wallClockSkewMs })
    }
    request.attempts += 1
    request.mayHaveRun = true
    backend.pending.push(request)
    effects.push({ kind: 'cancel-dispatch', id: request.id })
    effects.push({ kind: 'count', count: { metric: 'retries', reason: 'backend-lost-idempotent' } })
  }
  return effects
}

/** Cancels a request whose caller disconnected. */
export function cancelRequest (state: RouterState, id: string): RouterEffect[] {
  const request = state.egress.get(id)
  if (request === undefined) return []
  request.isCanceled = true
  const backend = state.backends.get(formatBackendId(request.service, request.owner))
  if (backend?.inFlight.has(id) === true) return [{ kind: 'cancel-dispatch', id }]
  state.egress.delete(id)
  return []
}
