import type { OwnerLoad, OwnerLoads, PlannedMove, RangeLoad } from './planner.js'
import { buildKeyOwner, computeCapacity, computeUtilization, cutRangeLoad, findSplitKey, replaceSegment } from './planner.js'

/** Share of the mean load below which a server that got few keys while it was cold gets keys like one without any. */
const joiningLoadShare = 0.3
/** Number of ranges up to which that holds. */
const maxJoiningRanges = 2

/** Whether the keys of an owner may bring the given additional requests a second: all may that are not cold. */
export function hasRoom ({ candidate, load }: OwnerLoad, rate: number): boolean {
  return candidate.maxKeyRate === undefined || load * computeCapacity(candidate) + rate <= candidate.maxKeyRate
}

/** Whether an owner should get keys although no other one is overloaded: it has none, or only the few that it got while it was cold. */
export function isShortOfKeys ({ candidate, load, ranges }: OwnerLoad, mean: number): boolean {
  return ranges === 0 || (candidate.hasColdLimit === true && ranges <= maxJoiningRanges && load < mean * joiningLoadShare)
}

/**
 * Plans to give each cold candidate without keys as many as the limit on their rate allows, from the most loaded owners.
 * Load that it answers: a server that joins gets some work at once, and busy keys only when it is warm.
 */
export function planColdMoves (ranges: RangeLoad[], ownerLoads: OwnerLoads): PlannedMove[] {
  const moves: PlannedMove[] = []
  const sources = [...ownerLoads.values()].filter(({ candidate }) => candidate.maxKeyRate === undefined).sort((a, b) => b.load - a.load)
  for (const target of ownerLoads.values()) {
    const { maxKeyRate = 0 } = target.candidate
    if (maxKeyRate === 0 || target.ranges > 0) continue
    for (const source of sources) {
      const segment = findQuietSegment(ranges, source.instance, maxKeyRate)
      if (segment === undefined) continue
      replaceSegment(ranges, segment, target.instance)
      source.load -= computeUtilization(segment.rate, source.candidate)
      source.ranges += 1
      target.load += computeUtilization(segment.rate, target.candidate)
      target.ranges += 1
      moves.push({ from: segment.from, to: segment.to, owner: buildKeyOwner(target.candidate) })
      break
    }
  }
  return moves
}

/**
 * Finds the widest run of keys, from the start of one of an owner's ranges, that brings at most the given requests a
 * second. The densest run would do so only by chance: most of its keys were asked for once.
 */
function findQuietSegment (ranges: readonly RangeLoad[], owner: string, maxRate: number): RangeLoad | undefined {
  let widest: RangeLoad | undefined
  for (const range of ranges) {
    if (range.owner !== owner || !range.isMovable) continue
    const to = findSplitKey(range, maxRate)
    const whole = cutRangeLoad(range, range.from, to, owner, true)
    // The last key may be a busy one.
    const segment = whole.rate <= maxRate ? whole : cutRangeLoad(range, range.from, to - 1, owner, true)
    if (segment.rate > maxRate || segment.to < segment.from) continue
    if (widest === undefined || segment.to - segment.from > widest.to - widest.from) widest = segment
  }
  return widest
}
