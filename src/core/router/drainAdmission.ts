import type { RouterState } from './routerState.js'

/** Time kept between the deadline of a request and the end, in milliseconds: ticks, and the way of an answer to its caller. */
const lastAnswerMs = 200

/** Whether a router, should it be stopping, can see a request to its end. */
export function isDoneBeforeEnd (state: RouterState, deadlineAt: number): boolean {
  if (state.phase === 'closing' || state.phase === 'stopped') return false
  if (state.phase !== 'draining' || state.now < state.noticeEndsAt) return true
  return deadlineAt + lastAnswerMs <= state.drainEndsAt
}
