import type { RefusalReason } from '../domain/outcome.js'
import type { GatewayEvent } from './events.js'
import type { GatewayRequest, GatewayWork } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { recordColdRefusal } from './coldAdmission.js'
import { computePauseRetryMs } from './backendPauses.js'

/** Shortest time after which a refused caller is asked to retry, in milliseconds. */
const minRetryMs = 40
/** Maximum length of a caller's path or host name in a log line, in characters: callers choose their length. */
const maxLoggedCharacters = 200
/** Share of the time to the target within which a refused caller should retry. */
const retryTargetShare = 0.4
/** Reasons whose cause lasts for a known time whatever the target of the request: a retry before that would be refused again. */
const lastingReasons: ReadonlySet<RefusalReason> = new Set(['region-unavailable', 'zone-evacuated'])
/** Part of that time by which retries after it are spread. */
const lastingSpread = 0.5

type Arrived = Extract<GatewayEvent, { kind: 'request-arrived' }>

/** Refuses a request for which there is no route, or no configuration yet. */
export function refuseUnrouted (work: GatewayWork, event: Arrived, reason: RefusalReason, status: number, retryAfterMs: number | undefined): void {
  work.effects.push({ kind: 'refuse', id: event.id, reason, status, retryAfterMs })
  work.effects.push({ kind: 'count-refusal', reason, outcome: 'not-run' })
  work.effects.push({
    kind: 'log',
    event: 'requestRefused',
    fields: { requestId: event.head.requestId, reason, status, host: event.head.host.slice(0, maxLoggedCharacters), path: event.head.path.slice(0, maxLoggedCharacters), configuration: work.state.configuration?.version }
  })
}

/** Refuses a request that did not run, with a time after which the caller may retry; a request that may have run in an earlier attempt fails instead. */
export function refuseRequest (work: GatewayWork, request: GatewayRequest, reason: RefusalReason, waitMs: number): void {
  if (request.mayHaveRun) return failRequest(work, request, reason, 502)
  const { state } = work
  if (reason === 'backend-cold') recordColdRefusal(state, request)
  state.requests.delete(request.id)
  state.waiting.delete(request.id)
  const retryAfterMs = chooseRetryAfterMs(work, request, reason, waitMs)
  work.effects.push({ kind: 'refuse', id: request.id, reason, status: 503, retryAfterMs })
  work.effects.push({ kind: 'count-refusal', reason, outcome: 'not-run' })
  work.effects.push({
    kind: 'log',
    event: 'requestRefused',
    fields: {
      requestId: request.requestId,
      reason,
      status: 503,
      route: request.route.name,
      service: request.service,
      key: request.key,
      waitMs: Math.round(waitMs),
      retryAfterMs,
      attempts: request.attempt,
      tried: request.tried.join(','),
      placement: state.placementVersion.revision,
      loadAgeMs: Math.round(state.now - state.loadReadAt)
    }
  })
}

function chooseRetryAfterMs (work: GatewayWork, request: GatewayRequest, reason: RefusalReason, waitMs: number): number {
  if (reason === 'backend-paused') return computePauseRetryMs(work.state, waitMs)
  return lastingReasons.has(reason) ? computeLastingRetryMs(work, waitMs) : computeRetryAfterMs(work, request, waitMs)
}

/** Computes a random retry time, in milliseconds: retries are spread over the time in which a slot is likely to become free and the target can still be met. */
function computeRetryAfterMs (work: GatewayWork, request: GatewayRequest, waitMs: number): number {
  const { state } = work
  const toTargetMs = Math.max(0, request.targetAt - state.now)
  const latestMs = Math.max(minRetryMs * 2, Math.min(waitMs + minRetryMs, toTargetMs * retryTargetShare))
  return Math.round(minRetryMs + uniformFloat64(state.random) * (latestMs - minRetryMs))
}

/** Computes a random retry time after a cause that lasts for a known time, in milliseconds. */
function computeLastingRetryMs (work: GatewayWork, waitMs: number): number {
  return Math.round(Math.max(minRetryMs, waitMs) * (1 + uniformFloat64(work.state.random) * lastingSpread))
}

/** Fails a request that may have run. */
export function failRequest (work: GatewayWork, request: GatewayRequest, reason: RefusalReason, status: number): void {
  const { state } = work
  state.requests.delete(request.id)
  state.waiting.delete(request.id)
  work.effects.push({ kind: 'refuse', id: request.id, reason, status, retryAfterMs: undefined })
  work.effects.push({ kind: 'count-refusal', reason, outcome: 'unknown' })
  work.effects.push({
    kind: 'log',
    event: 'requestFailed',
    fields: {
      requestId: request.requestId,
      reason,
      status,
      route: request.route.name,
      service: request.service,
      backend: request.tried.at(-1),
      attempts: request.attempt,
      ms: Math.round(state.now - request.arrivedAt),
      configuration: state.configuration?.version,
      placement: state.placementVersion.revision
    }
  })
}
