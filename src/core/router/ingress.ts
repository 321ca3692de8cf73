import type { Refusal } from '../domain/outcome.js'
import type { RouterEffect } from './routerEffects.js'
import type { AnswerResult, CallerRequest, PeerRequest, RouterEvent } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { IngressRequest, RoutedService, RouterState, ServiceOfTeam } from './routerState.js'
import { maxRerouteDelayMs, maxRouteAttempts, minRerouteDelayMs } from '../limits.js'
import { acceptRequest } from './dispatch.js'
import { cancelRequest } from './dispatchEnd.js'
import { isAdmittedDuringDrain } from './drainAdmission.js'
import { findUnit, formatBackendId, formatUnitId, resolveHolder, resolveKey } from './ownership.js'
import { addRetryTokens, takeRetryToken } from './retryBudget.js'
import { findRoute, readKey } from './routes.js'

type CallerRequestEvent = Extract<RouterEvent, { kind: 'caller-request' }>
type ForwardRefusedEvent = Extract<RouterEvent, { kind: 'forward-refused' }>

/** Longest accepted key, in characters. */
const maxKeyLength = 512
/** Time that a forwarded request waits after its deadline for the holder's refusal, in milliseconds. */
const forwardGraceMs = 200

/** Matches a caller's request to a service, route and key, and routes or refuses it. */
export function applyCallerRequest (state: RouterState, event: CallerRequestEvent, rules: RouterRules): RouterEffect[] {
  if (state.phase === 'starting') return refuseBeforeRouting(event.id, 'not-ready')
  const service = findService(state, event.request.host)
  if (service === undefined) return refuseBeforeRouting(event.id, 'unknown-service')
  const route = findRoute(service.service, event.request)
  if (route === undefined) return refuseBeforeRouting(event.id, 'unknown-route')
  const routed: RoutedService = { ...service, route }
  const key = readKey(route, event.request)
  if (key === undefined || key.length === 0) return refuseBeforeRouting(event.id, 'missing-key')
  if (key.length > maxKeyLength) return refuseBeforeRouting(event.id, 'oversized')
  const request = buildIngressRequest(state, event, routed, key)
  if (!isAdmittedDuringDrain(state, request.deadlineAt)) return refuseBeforeRouting(event.id, 'draining')
  state.ingress.set(request.id, request)
  addRetryTokens(state, request.service)
  const countEffect: RouterEffect = { kind: 'count', count: { metric: 'requests', rank: request.rank } }
  return [countEffect, ...sendToHolder(state, request, rules)]
}

/** Returns whether a request may run more than once; one without a route may not. */
export function isIdempotentRequest (state: RouterState, request: CallerRequest): boolean {
  const service = findService(state, request.host)
  return service !== undefined && findRoute(service.service, request)?.idempotent === true
}

function findService (state: RouterState, host: string): ServiceOfTeam | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, '')
  return state.servicesByHost.get(name)
}

function buildIngressRequest (
  state: RouterState,
  event: CallerRequestEvent,
  routed: RoutedService,
  key: string
): IngressRequest {
  const policy = routed.team.ranks[routed.route.rank]
  const timeoutMs = Math.min(policy.deadlineMs, event.request.timeoutMs ?? policy.deadlineMs) - (event.request.waitedMs ?? 0)
  return {
    id: event.id,
    service: routed.service.name,
    key,
    rank: routed.route.rank,
    idempotent: routed.route.idempotent,
    replayable: event.request.replayable,
    arrivedAt: state.now,
    deadlineAt: state.now + timeoutMs,
    attempts: 0,
    mayHaveRun: false,
    phase: 'waiting',
    owner: '',
    peer: undefined,
    retryAt: state.now,
    lastReason: 'no-owner'
  }
}

function refuseBeforeRouting (id: string, reason: Refusal['reason']): RouterEffect[] {
  return [
    { kind: 'count', count: { metric: 'refusals', reason, outcome: 'not-run' } },
    { kind: 'refuse', id, refusal: { outcome: 'not-run', reason } }
  ]
}

/** Sends a request to the holder of the backend server that owns its key, or schedules a retry. */
export function sendToHolder (state: RouterState, request: IngressRequest, rules: RouterRules): RouterEffect[] {
  request.attempts += 1
  if (request.attempts > maxRouteAttempts) return refuseCaller(state, request, { outcome: 'not-run', reason: request.lastReason })
  const assignment = state.assignments.get(request.service)
  if (assignment === undefined) return scheduleRetry(state, request, 'no-owner')
  const resolved = resolveKey(state, assignment, request.key, rules.hashKey(request.key), true)
  if (resolved === undefined) return scheduleRetry(state, request, 'no-owner')
  const owner = resolved.entry.owner
  request.owner = owner
  const target = findTargetRouter(state, request.service, owner)
  if (target === undefined) return scheduleRetry(state, request, 'no-owner')
  const peerRequest: PeerRequest = {
    service: request.service,
    key: request.key,
    unit: resolved.unit,
    owner,
    epoch: resolved.entry.epoch,
    rank: request.rank,
    idempotent: request.idempotent,
    deadlineMs: Math.max(1, Math.floor(request.deadlineAt - state.now)),
    replayable: request.replayable
  }
  if (target === state.self) {
    request.phase = 'local'
    request.peer = undefined
    return acceptRequest(state, request.id, peerRequest, rules)
  }
  if (state.peers.get(target) === 'down') return scheduleRetry(state, request, 'peer-unreachable')
  request.phase = 'forwarded'
  request.peer = target
  return [{ kind: 'forward', id: request.id, peer: target, request: peerRequest }]
}

/** Finds the router that serves a backend server: its holder, or the holder's successor when the holder is down. */
function findTargetRouter (state: RouterState, service: string, backend: string): string | undefined {
  const hintedRouter = state.holderHints.get(formatBackendId(service, backend))
  if (hintedRouter !== undefined && state.peers.get(hintedRouter) !== 'down') return hintedRouter
  const holder = resolveHolder(state, service, backend)
  if (holder === undefined) return undefined
  if (holder.router === state.self) return holder.router
  if (state.peers.get(holder.router) !== 'down') return holder.router
  const successor = state.fleet.routers.get(holder.router)?.successor
  return successor ?? holder.router
}

function scheduleRetry (state: RouterState, request: IngressRequest, reason: IngressRequest['lastReason']): RouterEffect[] {
  request.phase = 'waiting'
  request.peer = undefined
  request.lastReason = reason
  const delayMs = minRerouteDelayMs * 2 ** Math.min(request.attempts - 1, 8)
  request.retryAt = state.now + Math.min(maxRerouteDelayMs, delayMs)
  return [{ kind: 'count', count: { metric: 'retries', reason } }]
}

/** Applies a peer's refusal, unless the request has been routed elsewhere in the meantime. */
export function applyPeerRefusal (state: RouterState, event: ForwardRefusedEvent, rules: RouterRules): RouterEffect[] {
  const request = state.ingress.get(event.id)
  if (request?.phase !== 'forwarded' || request.peer !== event.peer) return []
  return applyIngressRefusal(state, event.id, event.refusal, rules)
}

/** Decides whether a refused request is routed again or refused to its caller. */
export function applyIngressRefusal (
  state: RouterState,
  id: string,
  refusal: Refusal,
  rules: RouterRules
): RouterEffect[] {
  const request = state.ingress.get(id)
  if (request === undefined) return []
  if (refusal.mayHaveRun === true) request.mayHaveRun = true
  if (refusal.outcome !== 'not-run') return handleUnknownOutcome(state, request, refusal, rules)
  if (refusal.reason === 'moved') return handleMoved(state, request, refusal, rules)
  if (refusal.reason === 'not-holder') return handleNotHolder(state, request, refusal)
  const reason = findRetryReason(refusal.reason)
  const isBodyConsumed = !request.replayable && refusal.reason === 'fenced-by-backend'
  if (reason === undefined || isBodyConsumed) return refuseCaller(state, request, refusal)
  return scheduleRetry(state, request, reason)
}

/** Returns the retry reason for a refusal after which the same or another holder may accept the request. */
function findRetryReason (reason: Refusal['reason']): IngressRequest['lastReason'] | undefined {
  if (reason === 'lease-lapsed' || reason === 'draining' || reason === 'peer-unreachable') return reason
  if (reason === 'backend-unreachable' || reason === 'fenced-by-backend') return reason
  return undefined
}

function handleMoved (state: RouterState, request: IngressRequest, refusal: Refusal, rules: RouterRules): RouterEffect[] {
  const isNewer = recordOwnerHint(state, request.service, refusal)
  if (!isNewer) return scheduleRetry(state, request, 'moved')
  request.phase = 'waiting'
  const countEffect: RouterEffect = { kind: 'count', count: { metric: 'retries', reason: 'moved' } }
  return [countEffect, ...sendToHolder(state, request, rules)]
}

/** Records the owner that a refusal names; returns false if no newer one than the known owner is named. */
function recordOwnerHint (state: RouterState, service: string, refusal: Refusal): boolean {
  if (refusal.unit === undefined || refusal.owner === undefined || refusal.epoch === undefined) return false
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return false
  const entry = findUnit(state, assignment, refusal.unit, true)
  if (entry !== undefined && entry.epoch >= refusal.epoch) return false
  state.ownerHints.set(formatUnitId(service, refusal.unit), { owner: refusal.owner, epoch: refusal.epoch })
  return true
}

function handleNotHolder (state: RouterState, request: IngressRequest, refusal: Refusal): RouterEffect[] {
  const id = formatBackendId(request.service, request.owner)
  if (refusal.holder === undefined) state.holderHints.delete(id)
  else state.holderHints.set(id, refusal.holder)
  return scheduleRetry(state, request, 'not-holder')
}

/** Routes a request that may have run again only if its peer was lost, it may run twice and retry budget is left. */
function handleUnknownOutcome (
  state: RouterState,
  request: IngressRequest,
  refusal: Refusal,
  rules: RouterRules
): RouterEffect[] {
  if (refusal.reason !== 'peer-lost') return refuseCaller(state, request, refusal)
  if (!rules.mayResend(request)) return refuseCaller(state, request, refusal)
  if (!takeRetryToken(state, request.service)) return refuseCaller(state, request, refusal)
  const countEffect: RouterEffect = { kind: 'count', count: { metric: 'retries', reason: 'peer-lost-idempotent' } }
  request.phase = 'waiting'
  request.mayHaveRun = true
  return [countEffect, ...sendToHolder(state, request, rules)]
}

function refuseCaller (state: RouterState, request: IngressRequest, reported: Refusal): RouterEffect[] {
  state.ingress.delete(request.id)
  const outcome = reported.outcome === 'not-run' && request.mayHaveRun ? 'unknown' : reported.outcome
  const refusal: Refusal = { ...reported, outcome }
  return [
    { kind: 'count', count: { metric: 'refusals', reason: refusal.reason, outcome: refusal.outcome } },
    { kind: 'refuse', id: request.id, refusal }
  ]
}

/** Routes waiting requests that are due, and refuses waiting and forwarded requests that have expired. */
export function tickIngress (state: RouterState, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const request of state.ingress.values()) {
    if (request.phase === 'forwarded' && request.deadlineAt + forwardGraceMs <= state.now) {
      effects.push(...cancelForward(state, request))
      continue
    }
    if (request.phase !== 'waiting') continue
    if (request.deadlineAt <= state.now) {
      effects.push(...refuseCaller(state, request, { outcome: 'not-run', reason: request.lastReason }))
      continue
    }
    if (request.retryAt <= state.now) effects.push(...sendToHolder(state, request, rules))
  }
  return effects
}

/** Cancels a forwarded request that its peer has not refused in time, and which may therefore have run. */
function cancelForward (state: RouterState, request: IngressRequest): RouterEffect[] {
  const refused = refuseCaller(state, request, { outcome: 'unknown', reason: 'deadline-passed' })
  if (request.peer === undefined) return refused
  return [{ kind: 'cancel-forward', id: request.id, peer: request.peer }, ...refused]
}

/** Records that the answer has started, after which the request is never routed again. */
export function startAnswer (state: RouterState, id: string): void {
  const request = state.ingress.get(id)
  if (request !== undefined) request.phase = 'answering'
}

/** Routes requests forwarded to an unreachable peer again, if they may run twice and retry budget is left. */
export function retryForwarded (state: RouterState, peer: string, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const request of state.ingress.values()) {
    if (request.phase !== 'forwarded' || request.peer !== peer) continue
    if (!rules.mayResend(request) || !takeRetryToken(state, request.service)) continue
    request.mayHaveRun = true
    effects.push({ kind: 'cancel-forward', id: request.id, peer })
    effects.push({ kind: 'count', count: { metric: 'retries', reason: 'peer-lost-idempotent' } })
    effects.push(...sendToHolder(state, request, rules))
  }
  return effects
}

/** Removes a request whose answer has ended, and records the latency of a complete one. */
export function endAnswer (state: RouterState, id: string, result: AnswerResult): RouterEffect[] {
  const request = state.ingress.get(id)
  if (request === undefined) return []
  state.ingress.delete(id)
  if (result !== 'complete') return []
  return [{ kind: 'observe-latency', rank: request.rank, ms: state.now - request.arrivedAt }]
}

/** Cancels the request of a caller that disconnected. */
export function cancelCaller (state: RouterState, id: string): RouterEffect[] {
  const request = state.ingress.get(id)
  if (request === undefined) return []
  state.ingress.delete(id)
  const countEffect: RouterEffect = { kind: 'count', count: { metric: 'refusals', reason: 'caller-gone', outcome: 'unknown' } }
  if (request.phase === 'forwarded' && request.peer !== undefined) {
    return [countEffect, { kind: 'cancel-forward', id, peer: request.peer }]
  }
  return [countEffect, ...cancelRequest(state, id)]
}

/** Cancels and refuses all requests that are left when the time to drain has run out. */
export function abortUnfinished (state: RouterState): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const request of [...state.ingress.values()]) {
    if (request.phase !== 'waiting' && request.peer !== undefined) effects.push({ kind: 'cancel-forward', id: request.id, peer: request.peer })
    effects.push(...cancelRequest(state, request.id))
    effects.push(...refuseCaller(state, request, { outcome: request.phase === 'waiting' ? 'not-run' : 'unknown', reason: 'draining' }))
  }
  return effects
}

/** Reads the timeout that a caller sends with its request, in milliseconds; undefined if absent or invalid. */
export function readTimeout (headers: CallerRequest['headers']): number | undefined {
  const value = headers['fulmar-timeout-ms']
  if (typeof value !== 'string') return undefined
  const parsed = Number(value)
  return Number.isFinite(parsed) && parsed > 0 ? parsed : undefined
}

/** Makes waiting requests due at once, after records, the lease or the reachability of a peer has changed. */
export function retryWaiting (state: RouterState): void {
  for (const request of state.ingress.values()) {
    if (request.phase === 'waiting') request.retryAt = state.now
  }
}
