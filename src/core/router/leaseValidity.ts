import type { RouterState } from './routerState.js'

/**
 * Returns whether this router may act as a holder at `now`. A guardian of the
 * current generation must have granted a lease that has not expired, and the
 * guardian kept from the previous generation (the pivot) must have acknowledged
 * the current one, so that no successor of the previous generation can take over.
 */
export function isLeaseValid (state: RouterState, now: number): boolean {
  const lease = state.lease
  if (lease.generation === 0) return false
  if (lease.phase !== 'normal') return false
  if (lease.guardians.length === 0) return true
  const pivot = lease.guardians.find(guardian => guardian.router === lease.pivot)
  if (lease.pivot !== undefined && pivot?.ackedGeneration !== lease.generation) return false
  return lease.guardians.some(guardian => guardian.ackedGeneration === lease.generation && guardian.grantedUntil > now)
}
