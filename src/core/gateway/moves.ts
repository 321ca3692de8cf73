import type { KeyOwner } from './model.js'
import type { PlannedMove } from './planner.js'
import type { ManagedGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { advanceGrant, isReleaseUnnecessary, updateLatestArrival } from './grantSteps.js'
import { isUnavailable, isUnavailableOrLeaving } from './ownerAvailability.js'
import { moveProgressTimeoutMs, maxMovesInProgress } from './limits.js'
import { isWritten } from './placementWriting.js'

/** Longest gap, in milliseconds, between two checks of the moves after which it is still known what happened in between: several ticks. */
const maxMovesGapMs = 200

/** How many more moves may make calls; releases that an unavailable owner may never answer are counted separately. */
type CallCapacity = { moves: number, releasesOfUnavailable: number }

/** Advances the moves, those of the most requested keys first. The first call of a step waits until there is capacity for it. */
export function advanceMoves (work: GatewayWork): void {
  const moves = work.state.granting.grants.filter(grant => grant.step !== 'renew')
  const { granting, now } = work.state
  const hasGap = now - granting.movesCheckedAt > maxMovesGapMs
  granting.movesCheckedAt = now
  for (const grant of moves) updateLatestArrival(work, grant, hasGap)
  moves.sort((a, b) => b.rate - a.rate)
  const capacity = countCapacity(work, moves)
  for (const grant of moves) {
    if (!isFirstCall(work, grant) || takeCapacity(work, grant, capacity)) advanceGrant(work, grant)
  }
}

/** Whether the next call of a move is the first release or the first grant. */
function isFirstCall (work: GatewayWork, grant: ManagedGrant): boolean {
  if (!isWritten(work, grant.range)) return false
  return grant.stepCalledAt === undefined || (grant.step !== 'grant' && isReleaseUnnecessary(work, grant))
}

function takeCapacity (work: GatewayWork, grant: ManagedGrant, capacity: CallCapacity): boolean {
  const counter = isReleaseOfUnavailable(work, grant) ? 'releasesOfUnavailable' : 'moves'
  if (capacity[counter] <= 0) return false
  capacity[counter] -= 1
  return true
}

/** Whether a move waits for a release by an unavailable owner, which may never answer; the grant of that owner expires meanwhile. */
function isReleaseOfUnavailable (work: GatewayWork, grant: ManagedGrant): boolean {
  const { previous } = grant.range
  return grant.step !== 'grant' && previous !== undefined && isUnavailable(work, previous) && !isReleaseUnnecessary(work, grant)
}

/** Counts the capacity left by the calls in flight. A call that stays unanswered for long no longer takes up capacity. */
function countCapacity (work: GatewayWork, moves: readonly ManagedGrant[]): CallCapacity {
  const capacity: CallCapacity = { moves: maxMovesInProgress, releasesOfUnavailable: maxMovesInProgress }
  for (const grant of moves) {
    if (grant.stepCalledAt === undefined || work.state.now - grant.stepCalledAt >= moveProgressTimeoutMs) continue
    capacity[isReleaseOfUnavailable(work, grant) ? 'releasesOfUnavailable' : 'moves'] -= 1
  }
  return capacity
}

/** Counts the moves that may start in addition to those with calls due or in flight. */
export function countMovesLeft (work: GatewayWork): number {
  let left = maxMovesInProgress
  for (const grant of work.state.granting.grants) {
    if (grant.step === 'renew' || isReleaseOfUnavailable(work, grant)) continue
    if (grant.stepCalledAt === undefined || work.state.now - grant.stepCalledAt < moveProgressTimeoutMs) left -= 1
  }
  return Math.max(0, left)
}

/**
 * Chooses the moves that start now. All moves from unavailable owners do, since the grants of those owners
 * expire from then on; their calls wait for capacity. The remaining capacity goes to moves from owners that leave
 * or are evacuated, which still serve for a while, the most requested keys first, and last to moves from overloaded owners.
 */
export function chooseMoves (work: GatewayWork, planned: readonly PlannedMove[], findOwner: (move: PlannedMove) => KeyOwner | undefined): PlannedMove[] {
  const unavailable: PlannedMove[] = []
  const leaving: PlannedMove[] = []
  const serving: PlannedMove[] = []
  for (const move of planned) {
    const owner = findOwner(move)
    if (owner === undefined) continue
    const list = isUnavailable(work, owner) ? unavailable : isUnavailableOrLeaving(work, owner) ? leaving : serving
    list.push(move)
  }
  leaving.sort((a, b) => (b.rate ?? 0) - (a.rate ?? 0))
  return [...unavailable, ...[...leaving, ...serving].slice(0, countMovesLeft(work))]
}
