import type { Holder } from './model.js'
import type { PlannedMove } from './planner.js'
import type { KeptGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { advanceGrant, isReleaseOver, updateArrival } from './grantSteps.js'
import { isGone, isLost } from './holders.js'
import { moveAnswerMs, movesInProgress } from './limits.js'
import { isWritten } from './placementWriting.js'

/** Time between two looks at the moves from which what happened in between is not known, in milliseconds: some ticks. */
const longestMovesGapMs = 200

/** Moves for whose calls there is room: those that are answered soon, and releases that their owner may never answer. */
type Room = { moves: number, releasesOfLost: number }

/** Does what is due with the moves, the busiest keys first; a first call waits until there is room for it. */
export function advanceMoves (work: GatewayWork): void {
  const moves = work.state.granting.grants.filter(grant => grant.step !== 'keep')
  const { granting, now } = work.state
  const wasAway = now - granting.movesAt > longestMovesGapMs
  granting.movesAt = now
  for (const grant of moves) updateArrival(work, grant, wasAway)
  moves.sort((a, b) => b.rate - a.rate)
  const room = countRoom(work, moves)
  for (const grant of moves) {
    if (!isFirstCall(work, grant) || takeRoom(work, grant, room)) advanceGrant(work, grant)
  }
}

/** Whether the next call of a move is the first of its step: of taking keys back, or of granting them. */
function isFirstCall (work: GatewayWork, grant: KeptGrant): boolean {
  if (!isWritten(work, grant.range)) return false
  return grant.askedAt === undefined || (grant.step !== 'grant' && isReleaseOver(work, grant))
}

function takeRoom (work: GatewayWork, grant: KeptGrant, room: Room): boolean {
  const of = isReleaseOfLost(work, grant) ? 'releasesOfLost' : 'moves'
  if (room[of] <= 0) return false
  room[of] -= 1
  return true
}

/** Whether keys are taken back from an owner that may never answer: its grant runs out meanwhile. */
function isReleaseOfLost (work: GatewayWork, grant: KeptGrant): boolean {
  const { previous } = grant.range
  return grant.step !== 'grant' && previous !== undefined && isGone(work, previous) && !isReleaseOver(work, grant)
}

/** Counts the room beside the calls that are on their way. One that goes unanswered for long stands in nobody's way. */
function countRoom (work: GatewayWork, moves: readonly KeptGrant[]): Room {
  const room: Room = { moves: movesInProgress, releasesOfLost: movesInProgress }
  for (const grant of moves) {
    if (grant.askedAt === undefined || work.state.now - grant.askedAt >= moveAnswerMs) continue
    room[isReleaseOfLost(work, grant) ? 'releasesOfLost' : 'moves'] -= 1
  }
  return room
}

/** Counts the moves that may begin beside those that have calls to make. */
export function countMovesLeft (work: GatewayWork): number {
  let left = movesInProgress
  for (const grant of work.state.granting.grants) {
    if (grant.step === 'keep' || isReleaseOfLost(work, grant)) continue
    if (grant.askedAt === undefined || work.state.now - grant.askedAt < moveAnswerMs) left -= 1
  }
  return Math.max(0, left)
}

/**
 * Chooses the moves that begin now. Keys of lost owners all do, since their grants run out from then
 * on, and their calls wait for room; then those of leaving owners, which serve for a while yet, the
 * busiest first; then those of overloaded owners, when nothing else waits.
 */
export function chooseMoves (work: GatewayWork, planned: readonly PlannedMove[], findOwner: (move: PlannedMove) => Holder | undefined): PlannedMove[] {
  const lost: PlannedMove[] = []
  const leaving: PlannedMove[] = []
  const serving: PlannedMove[] = []
  for (const move of planned) {
    const owner = findOwner(move)
    if (owner === undefined) continue
    const list = isGone(work, owner) ? lost : isLost(work, owner) ? leaving : serving
    list.push(move)
  }
  leaving.sort((a, b) => (b.rate ?? 0) - (a.rate ?? 0))
  return [...lost, ...[...leaving, ...serving].slice(0, countMovesLeft(work))]
}
