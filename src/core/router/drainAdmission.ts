import type { RouterState } from './routerState.js'
import { isDoneBeforeEnd } from '../policy/stopPolicy.js'

/** Whether a router, should it be stopping, can see a request to its end. */
export function isTakenDuringDrain (state: RouterState, deadlineAt: number): boolean {
  if (state.phase === 'closing' || state.phase === 'stopped') return false
  if (state.phase !== 'draining' || state.now < state.noticeEndsAt) return true
  return isDoneBeforeEnd(deadlineAt, state.drainEndsAt)
}
