import type { RefusalReason, RetryReason } from '../domain/outcome.js'
import type { GatewayEvent, SendFailure } from './events.js'
import type { GatewayRules } from './rules.js'
import type { Backend, GatewayRequest, GatewayWork } from './state.js'
import { findOwnerPause } from './backendPauses.js'
import { loadMaxAgeMs, ownerWaitMs, shedAvoidanceMs, unreachableAvoidanceMs } from './limits.js'
import { recordRouteWork } from './overloadPolicy.js'
import { holdRequest, placeRequest } from './requestDispatch.js'
import { failRequest, refuseRequest } from './refusals.js'
import { takeRetryToken } from './retryBudget.js'
import { findRange } from './routing.js'

/** Time for which connections to a backend server are not reused after it sent bytes that belong to no request, or an invalid answer, in milliseconds. */
const noReuseMs = 10_000
/** Smallest weight of a new sample in the smoothed service time. */
const sampleWeight = 0.08

/** Ends the current attempt of a request; returns undefined when the event belongs to an earlier attempt. */
function endAttempt (work: GatewayWork, id: string, attempt: number): { request: GatewayRequest, backend: Backend | undefined } | undefined {
  const request = work.state.requests.get(id)
  if (request === undefined || request.attempt !== attempt || request.phase === 'waiting') return undefined
  const backend = request.backend === undefined ? undefined : work.state.backends.get(request.backend)
  if (backend !== undefined) backend.inFlight = Math.max(0, backend.inFlight - 1)
  request.backend = undefined
  return { request, backend }
}

/** Handles an answer in which the backend server reports that it did not run the request. */
export function handleNotRun (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'not-run-answered' }>, rules: GatewayRules): void {
  const ended = endAttempt(work, event.id, event.attempt)
  if (ended === undefined) return
  const { request, backend } = ended
  if (event.status === 421) {
    // This host can't learn the new owner while the store is unreachable, but another host may know it.
    if (!work.state.storeUp) return refuseRequest(work, request, 'fenced-by-backend', 0)
    return retryOrRefuse(work, request, 'fenced-by-backend', 'fenced-by-backend', rules)
  }
  if (backend !== undefined) backend.avoidUntil = Math.max(backend.avoidUntil, work.state.now + shedAvoidanceMs)
  const pause = findOwnerPause(work.state, request, backend)
  if (pause !== undefined) return refuseRequest(work, request, pause.reason, pause.waitMs)
  // A key has only one owner: when that owner is full, an immediate retry would only add to its load.
  const isFullOwner = request.key !== undefined && backend !== undefined && request.inFlightAtSend > backend.slots
  if (isFullOwner) return refuseRequest(work, request, 'shed-by-backend', shedAvoidanceMs)
  retryOrRefuse(work, request, 'shed-by-backend', 'shed-by-backend', rules)
}

/** Handles the failure of an attempt. */
export function handleSendFailure (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'send-failed' }>, rules: GatewayRules): void {
  const ended = endAttempt(work, event.id, event.attempt)
  if (ended === undefined) return
  const { request, backend } = ended
  if (backend !== undefined) recordFailure(work, backend, event.failure)
  if (isUnsent(event.failure)) {
    return retryOrRefuse(work, request, 'backend-unreachable', 'backend-unreachable', rules)
  }
  request.mayHaveRun = true
  const reason = isInvalidAnswer(event.failure) ? 'backend-rubbish' : 'backend-failed'
  if (!request.route.idempotent) return failRequest(work, request, reason, 502)
  if (!isRetryable(work, request) || !takeRetryToken(work.state, request.service)) return failRequest(work, request, reason, 502)
  retryRequest(work, request, 'backend-lost-idempotent', rules)
}

/** Handles bytes that arrived on an idle connection, or in excess of an answer that is still valid. */
export function handleStrayBytes (work: GatewayWork, id: string): void {
  const backend = work.state.backends.get(id)
  if (backend !== undefined) stopConnectionReuse(work, backend, 'stray-bytes')
}

function isUnsent (failure: SendFailure): boolean {
  return failure === 'connection-refused' || failure === 'connect-failed' || failure === 'left-unsent'
}

function isInvalidAnswer (failure: SendFailure): boolean {
  return failure === 'wrong-request' || failure === 'malformed' || failure === 'unending'
}

/** Stops the reuse of connections to a backend server for a while and closes its idle connections. */
function stopConnectionReuse (work: GatewayWork, backend: Backend, cause: SendFailure | 'stray-bytes'): void {
  const { now } = work.state
  const isNew = backend.noReuseUntil <= now
  backend.noReuseUntil = now + noReuseMs
  work.effects.push({ kind: 'close-backend', backend: backend.id })
  if (isNew) work.effects.push({ kind: 'log', event: 'backendDistrusted', fields: { backend: backend.id, cause, forMs: noReuseMs } })
}

function recordFailure (work: GatewayWork, backend: Backend, failure: SendFailure): void {
  const { now } = work.state
  if (isInvalidAnswer(failure)) return stopConnectionReuse(work, backend, failure)
  if (failure === 'broken-after-send' || failure === 'left-unsent') return
  backend.avoidUntil = Math.max(backend.avoidUntil, now + unreachableAvoidanceMs)
  work.effects.push({ kind: 'log', event: 'backendAvoided', fields: { backend: backend.id, failure, forMs: unreachableAvoidanceMs } })
}

function isRetryable (work: GatewayWork, request: GatewayRequest): boolean {
  return request.replayable && request.attempt < request.route.maxAttempts && work.state.now < request.deadlineAt - 10
}

/** Retries a request that did not run, or refuses it with a time after which the caller may retry. */
function retryOrRefuse (work: GatewayWork, request: GatewayRequest, reason: RefusalReason, retry: RetryReason, rules: GatewayRules): void {
  if (!isRetryable(work, request)) return refuseRequest(work, request, reason, 100)
  if (retry !== 'backend-unreachable' && !takeRetryToken(work.state, request.service)) return refuseRequest(work, request, 'retry-budget-spent', 100)
  retryRequest(work, request, retry, rules)
}

function retryRequest (work: GatewayWork, request: GatewayRequest, reason: RetryReason, rules: GatewayRules): void {
  work.effects.push({ kind: 'count-retry', reason })
  work.effects.push({
    kind: 'log',
    event: 'requestRetried',
    fields: { requestId: request.requestId, reason, attempt: request.attempt, afterMs: Math.round(work.state.now - request.arrivedAt) }
  })
  if (reason !== 'fenced-by-backend' && reason !== 'backend-unreachable') return placeRequest(work, request, rules)
  if (request.key === undefined) return placeRequest(work, request, rules)
  // The owner known to this host is outdated or gone; the request waits for the next placement.
  request.waitingUntil = work.state.now + ownerWaitMs
  const range = findRange(work.state.placement?.services.get(request.service) ?? [], request.key)
  if (range === undefined) return placeRequest(work, request, rules)
  holdRequest(work, request, range.fence)
}

/** Handles a complete answer and delivers it to the caller. */
export function handleAnswer (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'answer-whole' }>): void {
  const ended = endAttempt(work, event.id, event.attempt)
  if (ended === undefined) return
  const { request, backend } = ended
  if (request.phase === 'sent') work.effects.push({ kind: 'deliver', id: event.id, attempt: event.attempt })
  if (backend !== undefined) addServiceTimeSample(work, request, backend, event.now - request.sentAt)
  finishRequest(work, request, backend?.id, event.status)
}

/** Handles the head of an answer that is too long to be buffered. */
export function handleAnswerStart (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'answer-streaming' }>): void {
  const request = work.state.requests.get(event.id)
  if (request === undefined || request.attempt !== event.attempt || request.phase !== 'sent') return
  request.phase = 'answering'
  work.effects.push({ kind: 'deliver', id: event.id, attempt: event.attempt })
}

/** Handles a truncated answer; if it is already being streamed to the caller, the caller's answer is aborted too. */
export function handleTruncatedAnswer (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'answer-cut' }>, rules: GatewayRules): void {
  const request = work.state.requests.get(event.id)
  if (request === undefined || request.attempt !== event.attempt) return
  if (request.phase === 'sent') return handleSendFailure(work, { ...event, kind: 'send-failed', failure: 'broken-after-send' }, rules)
  if (endAttempt(work, event.id, event.attempt) === undefined) return
  failRequest(work, request, 'backend-failed', 502)
}

function addServiceTimeSample (work: GatewayWork, request: GatewayRequest, backend: Backend, answerMs: number): void {
  // Without the load of the other hosts, time spent in the queue can't be told from service time.
  if (work.state.now - work.state.loadReadAt > loadMaxAgeMs && work.state.hosts > 1) return
  const share = Math.max(1, request.inFlightAtSend / backend.slots)
  const serviceMs = answerMs / share
  backend.serviceMs += (serviceMs - backend.serviceMs) * Math.max(sampleWeight, 1 / (backend.sampleCount + 2))
  backend.sampleCount += 1
  recordRouteWork(work.state, request, serviceMs)
  backend.answeredSinceReport += 1
  backend.serviceMsSinceReport += serviceMs
}

function finishRequest (work: GatewayWork, request: GatewayRequest, backend: string | undefined, status: number): void {
  const { state } = work
  const ms = state.now - request.arrivedAt
  const heldMs = Math.round(request.sentAt - request.arrivedAt)
  state.requests.delete(request.id)
  work.effects.push({ kind: 'observe-answer', service: request.service, ms })
  work.effects.push({
    kind: 'log',
    event: 'requestAnswered',
    fields: {
      requestId: request.requestId,
      route: request.route.name,
      service: request.service,
      backend,
      status,
      ms: Math.round(ms),
      lateMs: ms > request.route.targetMs ? Math.round(ms - request.route.targetMs) : undefined,
      heldMs: heldMs > 0 ? heldMs : undefined,
      attempts: request.attempt,
      configuration: state.configuration?.version,
      placement: state.placementVersion.revision,
      loadAgeMs: Math.round(state.now - state.loadReadAt)
    }
  })
}

/** Removes a request whose caller disconnected and cancels its attempt. */
export function dropRequest (work: GatewayWork, id: string): void {
  const request = work.state.requests.get(id)
  if (request === undefined) return
  if (request.phase !== 'waiting') endAttempt(work, id, request.attempt)
  work.state.requests.delete(id)
  work.state.waiting.delete(id)
  work.effects.push({ kind: 'cancel', id })
  work.effects.push({
    kind: 'log',
    event: 'requestAbandoned',
    fields: { requestId: request.requestId, service: request.service, phase: request.phase, ms: Math.round(work.state.now - request.arrivedAt) }
  })
}

/** Ends the requests that are past their deadline and those that have waited too long for an owner. */
export function endOverdueRequests (work: GatewayWork, rules: GatewayRules): void {
  const { state } = work
  for (const request of state.requests.values()) {
    if (request.phase === 'waiting') {
      if (state.now >= Math.min(request.waitingUntil, request.deadlineAt)) refuseRequest(work, request, 'no-owner', ownerWaitMs)
      continue
    }
    if (state.now < request.deadlineAt) continue
    // An answer that is being streamed is aborted too: its caller must not wait for an endless body.
    endAttempt(work, request.id, request.attempt)
    work.effects.push({ kind: 'cancel', id: request.id })
    failRequest(work, request, 'deadline-passed', 504)
  }
}
