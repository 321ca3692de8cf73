import type { RouterState } from './routerState.js'
import { isAnsweredBeforeEnd } from '../policy/stopPolicy.js'

/** Returns whether the router accepts a new request: after the notice period of a drain, only one that ends before the router does. */
export function isAdmittedDuringDrain (state: RouterState, deadlineAt: number): boolean {
  if (state.phase === 'closing' || state.phase === 'stopped') return false
  if (state.phase !== 'draining' || state.now < state.noticeEndsAt) return true
  return isAnsweredBeforeEnd(deadlineAt, state.drainEndsAt)
}
