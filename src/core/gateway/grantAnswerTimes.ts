import type { GatewayEvent } from './events.js'
import type { GatewayState } from './state.js'
import { resendMs, maxResendMs } from './limits.js'

/** Weight of each new answer in the smoothed answer time. */
const sampleWeight = 1 / 8
/** Multiple of the smoothed answer time after which an unanswered call is sent again. */
const resendFactor = 3

/** Records how long an owner took to answer a grant, including the time for which the answer was queued in this process. */
export function recordAnswerTime (state: GatewayState, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  if (event.outcome.kind !== 'granted') return
  state.grantAnswerMs += (state.reducedAt - event.sentAt - state.grantAnswerMs) * sampleWeight
}

/** Computes the time after which an unanswered grant is sent again, in milliseconds. It grows when answers are late, since repetitions would delay them further. */
export function computeResendMs (state: GatewayState): number {
  return Math.min(maxResendMs, Math.max(resendMs, state.grantAnswerMs * resendFactor))
}
