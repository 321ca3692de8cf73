import type { Granting } from './grantingState.js'
import { renewalMs, unreachableAfterMs } from './limits.js'

/** Notes that a grant that was sent at a time was confirmed by an owner. */
export function noteHeard (granting: Granting, owner: string, sentAt: number): void {
  granting.heardAt.set(owner, Math.max(sentAt, granting.heardAt.get(owner) ?? -Infinity))
  granting.missedSince.delete(owner)
}

/** Notes that calls to an owner fail, at least since a time. */
export function noteMissed (granting: Granting, owner: string, since: number): void {
  granting.missedSince.set(owner, Math.min(since, granting.missedSince.get(owner) ?? Infinity))
}

/** Whether an owner has been silent for long: not heard, and called in vain for as long as renewals take to be missed. */
export function isOutOfReach (granting: Granting, owner: string, heardAt: number, now: number): boolean {
  const missedMs = now - (granting.missedSince.get(owner) ?? now)
  return now - heardAt >= unreachableAfterMs && missedMs >= unreachableAfterMs - renewalMs
}
