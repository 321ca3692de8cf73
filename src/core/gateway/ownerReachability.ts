import type { GrantingState } from './grantingState.js'
import { renewalMs, unreachableAfterMs } from './limits.js'

/** Records that an owner confirmed a grant that was sent at the given time. */
export function recordOwnerConfirmation (granting: GrantingState, owner: string, sentAt: number): void {
  granting.ownerConfirmedAt.set(owner, Math.max(sentAt, granting.ownerConfirmedAt.get(owner) ?? -Infinity))
  granting.ownerFailingSince.delete(owner)
}

/** Records that calls to an owner have been failing since the given time or earlier. */
export function recordOwnerFailure (granting: GrantingState, owner: string, since: number): void {
  granting.ownerFailingSince.set(owner, Math.min(since, granting.ownerFailingSince.get(owner) ?? Infinity))
}

/** Whether an owner counts as unreachable: no confirmed call for long enough, and calls failing for all of that time but one renewal interval. */
export function isOwnerUnreachable (granting: GrantingState, owner: string, confirmedAt: number, now: number): boolean {
  const failingMs = now - (granting.ownerFailingSince.get(owner) ?? now)
  return now - confirmedAt >= unreachableAfterMs && failingMs >= unreachableAfterMs - renewalMs
}
