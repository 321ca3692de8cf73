/** Time for which a stopping process still accepts all requests, in milliseconds: the load balancer stops using it after two probes, one second apart. */
const acceptAllMs = 2600
/** Maximum share of the time until the process ends that `acceptAllMs` may use when the grace period is short. */
const maxAcceptAllShare = 0.5
/** Time before the end of the grace period at which the process ends, in milliseconds: covers closing its ports and the exit itself. */
const exitMarginMs = 400
/** Minimum time between the deadline of a request and the end of the process, in milliseconds: covers ticks and sending the answer to the caller. */
const answerDeliveryMarginMs = 200

/** Times of a graceful shutdown, in milliseconds of the monotonic clock. */
export type StopTimes = {
  /** Time until which all requests are accepted. */
  acceptAllUntil: number
  /** Latest time at which the process ends. */
  endAt: number
}

/** Computes the times of a graceful shutdown that starts at `now` and must be complete within `graceMs` milliseconds. */
export function computeStopTimes (now: number, graceMs: number): StopTimes {
  const availableMs = Math.max(0, graceMs - exitMarginMs)
  return { acceptAllUntil: now + Math.min(acceptAllMs, availableMs * maxAcceptAllShare), endAt: now + availableMs }
}

/** Whether a request with this deadline is certain to be answered before the process ends. */
export function isAnsweredBeforeEnd (deadlineAt: number, endAt: number): boolean {
  return deadlineAt + answerDeliveryMarginMs <= endAt
}
