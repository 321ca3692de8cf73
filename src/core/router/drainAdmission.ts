import type { RouterState } from './routerState.js'
import { isAnsweredBeforeEnd } from '../policy/stopPolicy.js'

/** Returns whether the router accepts a new request: a draining router accepts all until `acceptAllUntil`, then only those that can be answered before it ends. */
export function isAdmittedDuringDrain (state: RouterState, deadlineAt: number): boolean {
  if (state.phase === 'closing' || state.phase === 'stopped') return false
  if (state.phase !== 'draining' || state.now < state.acceptAllUntil) return true
  return isAnsweredBeforeEnd(deadlineAt, state.drainEndsAt)
}
