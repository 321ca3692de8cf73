import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { placeByModulo, placeEvenly, planMoves } from '../src/core/policy/placement.js'
import { chooseByRendezvous } from '../src/core/policy/rendezvous.js'

/** Figures of a placement: the ratio of maximum to mean of ranges and of load by backend server, and moved units against the least possible number. */
export type PlacementFigures = { scene: string, policy: string, rangesMaxMean: number, loadMaxMean: number, moved: number, leastMoves: number, rounds: number }

const rangeCount = 256
const movesPerRound = 8

type HashKey = (key: string) => number

/** Runs the placement scenarios with 256 ranges and 20 backend servers. */
export function runPlacementScenarios (hashKey: HashKey): PlacementFigures[] {
  const units = Array.from({ length: rangeCount }, (_, index) => `r${index}`)
  const backends = buildNames(20)
  return [
    measureInitial('first placement', 'bounded rendezvous', units, placeEvenly(units, backends, hashKey), backends),
    measureInitial('first placement', 'modulo', units, placeByModulo(units, backends), backends),
    measureInitial('first placement', 'plain rendezvous', units, placeByRendezvous(units, backends, hashKey), backends),
    measureScaleOut('one more backend server', 'greedy moves', units, backends, hashKey),
    measureModuloScaleOut(units, backends),
    ...[1, 3, 4].map(count => measureLoss(count, units, backends, hashKey)),
    measurePopularity(units, backends, hashKey)
  ]
}

function buildNames (count: number): string[] {
  return Array.from({ length: count }, (_, index) => `cat-${index + 1}`)
}

function placeByRendezvous (units: readonly string[], backends: readonly string[], hashKey: HashKey): Map<string, string> {
  return new Map(units.map(unit => [unit, chooseByRendezvous(unit, backends, hashKey) ?? '']))
}

function computeMaxToMean (values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length
  return Math.round(Math.max(...values) / mean * 1000) / 1000
}

function computeLoads (placement: Map<string, string>, backends: readonly string[], loads: (unit: string) => number): number[] {
  return backends.map(backend => [...placement].reduce((sum, [unit, owner]) => owner === backend ? sum + loads(unit) : sum, 0))
}

function measureInitial (scene: string, policy: string, units: readonly string[], placement: Map<string, string>, backends: readonly string[]): PlacementFigures {
  const ratio = computeMaxToMean(computeLoads(placement, backends, () => 1))
  return { scene, policy, rangesMaxMean: ratio, loadMaxMean: ratio, moved: 0, leastMoves: 0, rounds: 0 }
}

/** Moves a few units in each round, as the controller does, until the plan is empty (at most 500 rounds). */
function moveUntilBalanced (placement: Map<string, string>, targets: readonly string[], loads: (unit: string) => number): { moved: number, rounds: number } {
  let moved = 0
  let rounds = 0
  while (rounds < 500) {
    const moves = planMoves([...placement].map(([unit, owner]) => ({ unit, owner, load: loads(unit) })), targets, movesPerRound)
    if (moves.length === 0) break
    for (const move of moves) placement.set(move.unit, move.to)
    moved += moves.length
    rounds += 1
  }
  return { moved, rounds }
}

function measureScaleOut (scene: string, policy: string, units: readonly string[], backends: readonly string[], hashKey: HashKey): PlacementFigures {
  const placement = placeEvenly(units, backends, hashKey)
  const grownBackends = buildNames(backends.length + 1)
  const { moved, rounds } = moveUntilBalanced(placement, grownBackends, () => 1)
  const ratio = computeMaxToMean(computeLoads(placement, grownBackends, () => 1))
  return { scene, policy, rangesMaxMean: ratio, loadMaxMean: ratio, moved, leastMoves: Math.floor(units.length / grownBackends.length), rounds }
}

function measureModuloScaleOut (units: readonly string[], backends: readonly string[]): PlacementFigures {
  const grownBackends = buildNames(backends.length + 1)
  const before = placeByModulo(units, backends)
  const after = placeByModulo(units, grownBackends)
  const moved = units.filter(unit => before.get(unit) !== after.get(unit)).length
  const ratio = computeMaxToMean(computeLoads(after, grownBackends, () => 1))
  return { scene: 'one more backend server', policy: 'modulo', rangesMaxMean: ratio, loadMaxMean: ratio, moved, leastMoves: Math.floor(units.length / grownBackends.length), rounds: 1 }
}

function measureLoss (count: number, units: readonly string[], backends: readonly string[], hashKey: HashKey): PlacementFigures {
  const placement = placeEvenly(units, backends, hashKey)
  const remaining = backends.slice(count)
  const lost = units.filter(unit => !remaining.includes(placement.get(unit) ?? ''))
  for (const unit of lost) {
    const counts = computeLoads(placement, remaining, () => 1)
    const least = remaining.filter((_, index) => counts[index] === Math.min(...counts))
    placement.set(unit, chooseByRendezvous(unit, least, hashKey) ?? '')
  }
  const ratioAtOnce = computeMaxToMean(computeLoads(placement, remaining, () => 1))
  const { moved, rounds } = moveUntilBalanced(placement, remaining, () => 1)
  const ratio = computeMaxToMean(computeLoads(placement, remaining, () => 1))
  const scene = `${count} of 20 lost (max/mean ${ratioAtOnce} before levelling)`
  return { scene, policy: 'rendezvous among the least loaded', rangesMaxMean: ratio, loadMaxMean: ratio, moved: lost.length + moved, leastMoves: lost.length, rounds }
}

/** Measures the moves that balance units with a Zipf-like popularity. */
function measurePopularity (units: readonly string[], backends: readonly string[], hashKey: HashKey): PlacementFigures {
  const random = xoroshiro128plus(11)
  const weights = new Map(units.map((unit, index) => [unit, 0.5 + uniformFloat64(random) + 30 / (index + 3)]))
  const placement = placeEvenly(units, backends, hashKey)
  const before = computeMaxToMean(computeLoads(placement, backends, unit => weights.get(unit) ?? 0))
  const { moved, rounds } = moveUntilBalanced(placement, backends, unit => weights.get(unit) ?? 0)
  return {
    scene: `uneven popularity (max/mean ${before} before)`,
    policy: 'greedy moves',
    rangesMaxMean: computeMaxToMean(computeLoads(placement, backends, () => 1)),
    loadMaxMean: computeMaxToMean(computeLoads(placement, backends, unit => weights.get(unit) ?? 0)),
    moved,
    leastMoves: moved,
    rounds
  }
}
