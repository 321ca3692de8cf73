import type { ColdShare } from './events.js'
import type { Backend, GatewayRequest, GatewayState, GatewayWork } from './state.js'

/** Time after the opening of a request's connection is due within which it is opened or the request is not sent, in milliseconds. */
const maxOpeningMs = 100
/** Time by which one request may arrive later than another that was sent at the same time, in milliseconds: round trips between regions, and a delayed process. */
const maxArrivalSpreadMs = 100
/**
 * Window in which a host sends no more requests than its share, in milliseconds. The bound holds for any second at the
 * server; the rest is the reserve for requests that arrive later than others that were sent at the same time.
 */
export const coldWindowMs = 1000 + maxOpeningMs + maxArrivalSpreadMs
/** Time after such a refusal for which less urgent requests of the service get no part of a share, in milliseconds. */
const urgentReserveMs = 2000
/** Time without a request from this host after which a cold server with a share is preferred, in milliseconds: servers that join get work within a few seconds. */
const joiningIdleMs = 1000
/** Reduction of the cost of such a server, as milliseconds of waiting: more than the slowness of a cold server adds. */
const joiningDiscountMs = 1000

/** Shares of this host in the requests that cold backend servers tolerate, and what it has sent; times in milliseconds of the monotonic clock. */
export type ColdSpending = {
  /** By backend server. */
  shares: Map<string, { startedAt: number, requests: number, validUntil: number }>
  /** Times of the requests sent within the last window, by backend server. */
  sentAt: Map<string, number[]>
  /** Answers to reports sent before this time are ignored, because the process was paused in between. */
  ignoreReportsBefore: number
  /** Earliest time of the first request: an earlier process of this host may have spent the same share just before. */
  spendFrom: number
  /** When a request of each priority was last refused because servers were cold, by service. */
  refusedAt: Map<string, Map<number, number>>
}

/** Builds the state of a host that holds no shares and started at `now`. */
export function buildColdSpending (now: number): ColdSpending {
  return { shares: new Map(), sentAt: new Map(), ignoreReportsBefore: -Infinity, spendFrom: now + coldWindowMs, refusedAt: new Map() }
}

/** Computes how many requests a cold server of a service may get in any second from all hosts together, a whole number; undefined if the service states no limit. */
export function computeColdAllowance (state: GatewayState, service: string): number | undefined {
  const perSecond = state.configuration?.services.get(service)?.coldRequestsPerSecond
  if (perSecond === undefined) return undefined
  const { coldRequestsFactor = 1, coldRequestsExtra = 0 } = state.identity
  return Math.max(0, Math.floor(perSecond * coldRequestsFactor + coldRequestsExtra))
}

/** Whether a backend server is cold now and its service limits the requests that it may get. */
export function isLimitedByCold (state: GatewayState, backend: Backend): boolean {
  return backend.slowUntil > state.reducedAt && computeColdAllowance(state, backend.service) !== undefined
}

/**
 * Computes for how long this host may not send a request to a backend server because it is cold, in milliseconds; undefined if
 * it may send one now. Load that it answers: callers' requests beyond what a server tolerates just after its start.
 */
export function computeColdWaitMs (state: GatewayState, request: GatewayRequest, backend: Backend): number | undefined {
  if (!isLimitedByCold(state, backend)) return undefined
  const { cold, reducedAt } = state
  const coldForMs = backend.slowUntil - reducedAt
  const share = cold.shares.get(backend.id)
  // Without a share, another host may serve the caller's next attempt; no share is longer in use than the window.
  if (share === undefined || share.startedAt !== backend.startedAt || reducedAt >= share.validUntil || share.requests < 1) return Math.min(coldForMs, coldWindowMs)
  if (reducedAt < cold.spendFrom) return cold.spendFrom - reducedAt
  const reservedMs = computeReservedMs(state, request)
  if (reservedMs > 0) return Math.min(coldForMs, reservedMs)
  const recent = listRecentSends(state, backend.id)
  const blocking = recent[recent.length - share.requests]
  return blocking === undefined ? undefined : Math.min(coldForMs, blocking + coldWindowMs - reducedAt)
}

/** Computes for how much longer shares are kept for more urgent requests of the service, of which one was refused, in milliseconds. */
function computeReservedMs ({ cold, reducedAt }: GatewayState, { service, route }: GatewayRequest): number {
  let reservedMs = 0
  for (const [priority, at] of cold.refusedAt.get(service) ?? []) {
    if (priority < route.priority) reservedMs = Math.max(reservedMs, at + urgentReserveMs - reducedAt)
  }
  return reservedMs
}

/** Records that a request was refused because servers were cold. */
export function recordColdRefusal ({ cold, reducedAt }: GatewayState, { service, route }: GatewayRequest): void {
  const refusedAt = cold.refusedAt.get(service) ?? new Map<number, number>()
  cold.refusedAt.set(service, refusedAt.set(route.priority, reducedAt))
}

function listRecentSends ({ cold, reducedAt }: GatewayState, id: string): number[] {
  return (cold.sentAt.get(id) ?? []).filter(at => at > reducedAt - coldWindowMs)
}

/** Records a request that is sent to a backend server of a service with a limit: a server that is not known to be cold yet may have become so. */
export function recordColdSend (work: GatewayWork, backend: Backend): void {
  const { state } = work
  if (computeColdAllowance(state, backend.service) === undefined) return
  state.cold.sentAt.set(backend.id, [...listRecentSends(state, backend.id), state.reducedAt])
  if (isLimitedByCold(state, backend)) work.effects.push({ kind: 'bound-opening', backend: backend.id, withinMs: maxOpeningMs })
}

/** Computes by how much the cost of a server is reduced so that it gets work soon after it has joined, in milliseconds of waiting. */
export function computeJoiningDiscountMs (state: GatewayState, backend: Backend): number {
  if (!isLimitedByCold(state, backend)) return 0
  const lastSentAt = state.cold.sentAt.get(backend.id)?.at(-1) ?? -Infinity
  return state.reducedAt - lastSentAt > joiningIdleMs ? joiningDiscountMs : 0
}

/** Applies the shares in the answer to a report that was sent at `reportedAt`, from which their validity counts. A share that is not named any more runs out by itself. */
export function applyColdShares (state: GatewayState, shares: readonly ColdShare[] | undefined, reportedAt: number): void {
  const { cold, reducedAt } = state
  if (shares === undefined || reportedAt < cold.ignoreReportsBefore) return
  for (const { id, startedAt, requests, validMs } of shares) {
    const validUntil = reportedAt + validMs
    // Answers of a collector and of the granting host may overtake each other.
    if (validUntil <= reducedAt || validUntil <= (cold.shares.get(id)?.validUntil ?? -Infinity)) continue
    cold.shares.set(id, { startedAt, requests, validUntil })
  }
}

/** Drops the shares of this host at `now`, after a pause: the clocks may not have counted it. */
export function dropColdShares (state: GatewayState, now: number): void {
  state.cold.shares.clear()
  state.cold.ignoreReportsBefore = Math.max(state.cold.ignoreReportsBefore, now)
}

/** Drops shares that have run out, and the sends to servers that are gone. */
export function dropColdRecords (state: GatewayState): void {
  const { cold, backends, reducedAt } = state
  for (const [id, { validUntil }] of cold.shares) if (validUntil <= reducedAt) cold.shares.delete(id)
  if (cold.sentAt.size <= backends.size) return
  for (const [id, sentAt] of cold.sentAt) {
    if (!backends.has(id) && (sentAt.at(-1) ?? -Infinity) <= reducedAt - coldWindowMs) cold.sentAt.delete(id)
  }
}

/** Whether this host holds or deals shares, so that a suspension must be noticed before the next event is reduced. */
export function hasColdShares ({ cold, granting }: GatewayState): boolean {
  return cold.shares.size > 0 || granting.coldDealing.shares.size > 0
}

/** Counts the valid shares of this host. */
export function countColdShares ({ cold, reducedAt }: GatewayState): number {
  let count = 0
  for (const { validUntil } of cold.shares.values()) if (validUntil > reducedAt) count += 1
  return count
}

/** Counts the backend servers whose requests are limited because they are cold. */
export function countColdBackends (state: GatewayState): number {
  let count = 0
  for (const backend of state.backends.values()) if (isLimitedByCold(state, backend)) count += 1
  return count
}
