import type { GatewayEvent } from './events.js'
import type { GatewayState } from './state.js'
import { askAgainMs, longestAskAgainMs } from './limits.js'

/** Part of each new answer's time in the smoothed one. */
const newestPart = 1 / 8
/** How many times the smoothed time of an answer a call is waited for. */
const patience = 3

/** Notes how long an owner's answer to a grant took, with the time that it waited in this process. */
export function noteAnswerTime (state: GatewayState, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  if (event.outcome.kind !== 'granted') return
  state.grantAnswerMs += (state.actedAt - event.sentAt - state.grantAnswerMs) * newestPart
}

/** Computes the time after which an unanswered grant is sent again, in milliseconds: longer when answers come late, since repetitions would delay them further. */
export function computeAskAgainMs (state: GatewayState): number {
  return Math.min(longestAskAgainMs, Math.max(askAgainMs, state.grantAnswerMs * patience))
}
