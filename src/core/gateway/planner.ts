import type { KeyOwner, KeyRange } from './model.js'
import { hasRoom, isShortOfKeys, planColdMoves } from './coldMoves.js'
import { imbalanceLimit, maxRangesPerOwner, maxMovesPerRound } from './limits.js'
import { keyCount } from './model.js'

/** A backend server that may own keys. */
export type Candidate = KeyOwner & {
  slots: number
  /** Time that one request takes in a slot, in milliseconds. */
  serviceMs: number
  /** Whether it is still slow after its start. */
  isWarmingUp: boolean
  /** Whether its service limits the requests of cold servers, so that it gets few keys at first. */
  hasColdLimit?: boolean | undefined
  /** Requests a second that keys given to it may bring while it is cold; undefined if there is no limit. */
  maxKeyRate?: number | undefined
}

/** Input of the planner for one sharded service. */
export type PlannerInput = {
  ranges: readonly KeyRange[]
  candidates: readonly Candidate[]
  /** Requests a second of each recently requested key. */
  rates: ReadonlyMap<number, number>
  /** Whether this round may move cold ranges to the owners of neighbouring ranges. */
  isConsolidationDue: boolean
  /** Load above which an owner counts as overloaded in this round, as a share of its slots. */
  overloadThreshold: number
  /** Whether the hot key that is alone in the range starting at `from` may move to a faster owner; false for a while after its last move. */
  isHotKeyMovable: (from: number) => boolean
}

/** Keys to move to another owner; `rate` in requests a second. */
export type PlannedMove = { from: number, to: number, owner: KeyOwner, rate?: number }

/** Rate added to the measured rate of every key, in requests a second, so that keys without recent requests count too. */
const idleKeyRate = 0.0002
/** Smallest share of the mean load for which a move is planned. */
const minMoveShare = 0.12
/** Mean number of ranges for each backend server above which cold ones move to the owners of neighbouring ranges. */
const targetRangesPerOwner = 3
/** Highest load of an owner after it receives a cold range, as a multiple of the mean load. */
const neighbourLoadLimit = 1.1
/** Load, as a share of all slots, up to which the preference for fast candidates applies in full. */
const lowLoad = 0.4
/** Load from which that preference no longer applies. */
const highLoad = 0.9
/** Strength of that preference: exponent of the relative service time. */
const speedPreference = 1
/** Maximum number of owners for which one step of a round tries to plan a move, the most loaded first. */
const overloadedOwnersPerStep = 3
/** Smallest load of a key, as a share of its owner's slots, for which it moves to a faster owner. */
const minHotKeyLoad = 0.8
/** Smallest capacity of the faster owner, relative to the current one. */
const minCapacityRatio = 1.2
/** Parts of about equal load into which the keys of an owner that is no longer a candidate are split. */
const partsPerLostOwner = 4
/** Share of the candidates that must be warm for them to get all keys at first: fewer would be overloaded until the others are warm. */
const minWarmShare = 0.5
/** Smallest such part, in requests a second. */
const minPartRate = 0.5
/** Lower bound of the limit on the moves to neighbouring owners that one round plans while there are too many ranges. */
const minConsolidationMoves = 3
/** Share of the ranges above the target number that one round moves to neighbouring owners. */
const consolidatedShare = 0.25

/** A range with its load, as the moves planned so far leave it; `owner` names an instance of a backend server, `keys` are the recently requested ones. */
export type RangeLoad = { from: number, to: number, owner: string, isMovable: boolean, keys: Array<[key: number, rate: number]>, rate: number }
/** Load of a candidate as a share of its slots, and the number of its ranges, after the moves planned so far. */
export type OwnerLoad = { instance: string, candidate: Candidate, load: number, ranges: number }
/** Load of each candidate, by its instance. */
export type OwnerLoads = Map<string, OwnerLoad>

/** Splits the whole key space among the candidates, in proportion to their capacity; cold ones with a limit get keys later, unless most are cold. */
export function planInitial (all: readonly Candidate[]): PlannedMove[] {
  const warm = all.filter(({ maxKeyRate }) => maxKeyRate === undefined)
  const candidates = warm.length < all.length * minWarmShare ? all : warm
  const total = candidates.reduce((sum, candidate) => sum + computeCapacity(candidate), 0)
  const moves: PlannedMove[] = []
  let from = 0
  let served = 0
  candidates.forEach((owner, index) => {
    served += computeCapacity(owner)
    const to = index === candidates.length - 1 ? keyCount - 1 : Math.floor(served / total * keyCount) - 1
    if (to < from) return
    moves.push({ from, to, owner })
    from = to + 1
  })
  return moves
}

/** Plans which keys change owners: first those whose owner is no candidate, then those of overloaded owners. */
export function planMoves (input: PlannerInput): PlannedMove[] {
  if (input.candidates.length === 0) return []
  const ranges = listRangeLoads(input)
  const candidates = applySpeedPreference(input.candidates, ranges)
  const ownerLoads: OwnerLoads = new Map(candidates.map(candidate => ({ instance: formatInstance(candidate), candidate, load: 0, ranges: 0 })).map(ownerLoad => [ownerLoad.instance, ownerLoad]))
  for (const range of ranges) {
    const ownerLoad = ownerLoads.get(range.owner)
    if (ownerLoad === undefined) continue
    ownerLoad.load += computeLoad(range, ownerLoad.candidate)
    ownerLoad.ranges += 1
  }
  const moves: PlannedMove[] = []
  const unownedRanges = ranges.filter(range => range.isMovable && !ownerLoads.has(range.owner))
  const unownedRates = computeOwnerRates(unownedRanges)
  for (const range of unownedRanges) moves.push(...placeUnownedRange(ranges, range, ownerLoads, (unownedRates.get(range.owner) ?? 0) / partsPerLostOwner))
  if (input.overloadThreshold < Infinity) moves.push(...planColdMoves(ranges, ownerLoads))
  for (let round = 0; round < maxMovesPerRound; round++) {
    const move = planOverloadMove(ranges, ownerLoads, input)
    if (move === undefined) break
    moves.push(move)
  }
  if (moves.length === 0 && input.isConsolidationDue) moves.push(...planConsolidation(ranges, ownerLoads))
  return moves
}

function listRangeLoads (input: PlannerInput): RangeLoad[] {
  const keyRates = [...input.rates].sort((a, b) => a[0] - b[0])
  let next = 0
  return input.ranges.map(range => {
    const keys: Array<[number, number]> = []
    while (next < keyRates.length && (keyRates[next]?.[0] ?? 0) < range.from) next += 1
    while (next < keyRates.length && (keyRates[next]?.[0] ?? Infinity) <= range.to) {
      const entry = keyRates[next]
      if (entry !== undefined) keys.push(entry)
      next += 1
    }
    return buildRangeLoad(range.from, range.to, formatInstance(range.owner), range.phase === 'held', keys)
  })
}

/**
 * Increases the service times of slow candidates, and reduces those of fast ones, while there is spare capacity:
 * answers of slow candidates are late more often, so fast ones should serve more than their share of the capacity.
 */
function applySpeedPreference (candidates: readonly Candidate[], ranges: readonly RangeLoad[]): Candidate[] {
  const capacity = candidates.reduce((sum, candidate) => sum + computeCapacity(candidate), 0)
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0)
  const meanServiceMs = slots * 1000 / capacity
  const load = ranges.reduce((sum, range) => sum + range.rate, 0) / capacity
  const spareCapacity = Math.min(1, Math.max(0, (highLoad - load) / (highLoad - lowLoad)))
  return candidates.map(candidate => {
    return { ...candidate, serviceMs: candidate.serviceMs * (candidate.serviceMs / meanServiceMs) ** (spareCapacity * speedPreference) }
  })
}

/** Computes the requests a second that fill all slots of a candidate. */
export function computeCapacity (candidate: Candidate): number {
  return candidate.slots * 1000 / candidate.serviceMs
}

/** Computes the share of a candidate's slots that a rate of requests occupies. */
export function computeUtilization (rate: number, candidate: Candidate): number {
  return rate / computeCapacity(candidate)
}

function buildRangeLoad (from: number, to: number, owner: string, isMovable: boolean, keys: RangeLoad['keys']): RangeLoad {
  let rate = Math.max(0, to - from + 1) * idleKeyRate
  for (const key of keys) rate += key[1]
  return { from, to, owner, isMovable, keys, rate }
}

function computeLoad (range: RangeLoad, candidate: Candidate): number {
  return computeUtilization(range.rate, candidate)
}

/** Computes the load of all candidates if requests were spread in proportion to their capacity. */
function computeMeanLoad (ownerLoads: OwnerLoads): number {
  let rate = 0
  let capacity = 0
  for (const ownerLoad of ownerLoads.values()) {
    rate += ownerLoad.load * computeCapacity(ownerLoad.candidate)
    capacity += computeCapacity(ownerLoad.candidate)
  }
  return capacity === 0 ? 0 : rate / capacity
}

/** Finds the owner that would be the least loaded with the given additional requests a second; owners that are still slow after their start count as more loaded. */
function findLeastLoaded (ownerLoads: OwnerLoads, rate: number): OwnerLoad | undefined {
  let best: OwnerLoad | undefined
  let bestLoad = Infinity
  const fitting = [...ownerLoads.values()].filter(ownerLoad => hasRoom(ownerLoad, rate))
  for (const ownerLoad of fitting.length === 0 ? ownerLoads.values() : fitting) {
    const load = (ownerLoad.load + computeUtilization(rate, ownerLoad.candidate)) * (ownerLoad.candidate.isWarmingUp ? 1.5 : 1) + ownerLoad.ranges * 0.002
    if (load >= bestLoad) continue
    best = ownerLoad
    bestLoad = load
  }
  return best
}

/** Computes the requests a second of each owner from its ranges. */
function computeOwnerRates (ranges: readonly RangeLoad[]): Map<string, number> {
  const rates = new Map<string, number>()
  for (const range of ranges) rates.set(range.owner, (rates.get(range.owner) ?? 0) + range.rate)
  return rates
}

/**
 * Moves a range whose owner is no longer a candidate to the least loaded candidates, and splits it if it has more than `ratePerPart`
 * requests a second. Other ranges stay whole: each range is renewed separately, and splitting all of them with
 * every lost owner would multiply the renewals.
 */
function placeUnownedRange (ranges: RangeLoad[], range: RangeLoad, ownerLoads: OwnerLoads, ratePerPart: number): PlannedMove[] {
  const moves: PlannedMove[] = []
  let remaining: RangeLoad | undefined = range
  const partRate = Math.max(ratePerPart, minPartRate)
  while (remaining !== undefined) {
    const rate: number = Math.min(remaining.rate, partRate)
    const ownerLoad = findLeastLoaded(ownerLoads, rate)
    if (ownerLoad === undefined) return moves
    const to: number = remaining.rate - rate < partRate / 4 ? remaining.to : findSplitKey(remaining, rate)
    const cut = cutRangeLoad(remaining, remaining.from, to, ownerLoad.instance, false)
    moves.push({ from: cut.from, to: cut.to, owner: buildKeyOwner(ownerLoad.candidate), rate: cut.rate })
    ownerLoad.load += computeLoad(cut, ownerLoad.candidate)
    ownerLoad.ranges += 1
    const remainder: RangeLoad | undefined = to < remaining.to ? cutRangeLoad(remaining, to + 1, remaining.to, remaining.owner, true) : undefined
    ranges.splice(ranges.indexOf(remaining), 1, ...(remainder === undefined ? [cut] : [cut, remainder]))
    remaining = remainder
  }
  return moves
}

/** Cuts the keys from `from` to `to` out of a range, with their load. */
export function cutRangeLoad (range: RangeLoad, from: number, to: number, owner: string, isMovable: boolean): RangeLoad {
  return buildRangeLoad(from, to, owner, isMovable, range.keys.filter(([key]) => key >= from && key <= to))
}

/** Finds the key up to which the first keys of a range add up to the given rate. */
export function findSplitKey (range: RangeLoad, rate: number): number {
  let rateSoFar = 0
  let from = range.from
  for (const [key, keyRate] of range.keys) {
    const before = rateSoFar + (key - from) * idleKeyRate
    if (before >= rate) break
    rateSoFar = before + keyRate
    from = key
    if (rateSoFar >= rate) return Math.min(range.to, key)
  }
  return Math.min(range.to, from + Math.floor(Math.max(0, rate - rateSoFar) / idleKeyRate))
}

/** Plans a move of some keys of an overloaded owner, the most loaded owner first; undefined when no move would help. */
function planOverloadMove (ranges: RangeLoad[], ownerLoads: OwnerLoads, input: PlannerInput): PlannedMove | undefined {
  const busiest = [...ownerLoads.values()].sort((a, b) => b.load - a.load)
  let tried = 0
  for (const ownerLoad of busiest) {
    if (tried === overloadedOwnersPerStep) break
    if (!ranges.some(range => range.isMovable && range.owner === ownerLoad.instance)) continue
    tried += 1
    const move = planOwnerMove(ranges, ownerLoads, ownerLoad, input)
    if (move !== undefined) return move
  }
  return undefined
}

function planOwnerMove (ranges: RangeLoad[], ownerLoads: OwnerLoads, busiest: OwnerLoad, input: PlannerInput): PlannedMove | undefined {
  const mean = computeMeanLoad(ownerLoads)
  const target = findTarget(ownerLoads, busiest, mean)
  if (target === undefined) return undefined
  const isUnused = isShortOfKeys(target, mean)
  const isOverloaded = busiest.load > input.overloadThreshold && busiest.load > mean * imbalanceLimit
  if (!isUnused && !isOverloaded) return undefined
  // Bringing one of the two owners to the mean load takes the fewest moves.
  const excessRate = (busiest.load - mean) * computeCapacity(busiest.candidate)
  const spareRate = (mean - target.load) * computeCapacity(target.candidate)
  const balancingRate = Math.min(excessRate, spareRate)
  const minRate = mean * minMoveShare * computeCapacity(busiest.candidate)
  // If all others are just below the mean, moving half of the difference still helps.
  const rate = balancingRate < minRate ? (busiest.load - target.load) / 2 * computeHarmonicMeanCapacity(busiest, target) : balancingRate
  if (rate < minRate && !isUnused) return planHotKeyMove(ranges, ownerLoads, busiest, input)
  const segment = findSegment(ranges, busiest.instance, isUnused ? Math.max(rate, spareRate / 2) : rate)
  if (segment === undefined) return undefined
  const gain = computeUtilization(segment.rate, busiest.candidate)
  const cost = computeUtilization(segment.rate, target.candidate)
  if (target.load + cost > busiest.load - gain / 2 && !isUnused) return planHotKeyMove(ranges, ownerLoads, busiest, input)
  replaceSegment(ranges, segment, target.instance)
  busiest.load -= gain
  target.load += cost
  target.ranges += 1
  busiest.ranges += 1
  return { from: segment.from, to: segment.to, owner: buildKeyOwner(target.candidate) }
}

/** Computes the harmonic mean of two capacities; multiplied by half the difference of the loads, it is the rate whose move makes both loads equal. */
function computeHarmonicMeanCapacity (from: OwnerLoad, to: OwnerLoad): number {
  const a = computeCapacity(from.candidate)
  const b = computeCapacity(to.candidate)
  return 2 * a * b / (a + b)
}

/** Finds the owner that should receive keys: one without any, else the least loaded. */
function findTarget (ownerLoads: OwnerLoads, busiest: OwnerLoad, mean: number): OwnerLoad | undefined {
  let best: OwnerLoad | undefined
  for (const ownerLoad of ownerLoads.values()) {
    if (ownerLoad === busiest || ownerLoad.candidate.isWarmingUp || ownerLoad.ranges >= maxRangesPerOwner) continue
    if (isShortOfKeys(ownerLoad, mean)) return ownerLoad
    if (best === undefined || ownerLoad.load < best.load) best = ownerLoad
  }
  return best
}

/**
 * Plans to move a key that alone overloads its owner to the backend server with the highest
 * capacity: a key can't be split, so only a faster owner helps.
 */
function planHotKeyMove (ranges: RangeLoad[], ownerLoads: OwnerLoads, busiest: OwnerLoad, input: PlannerInput): PlannedMove | undefined {
  let hottest: { range: RangeLoad, key: number, rate: number } | undefined
  for (const range of ranges) {
    if (range.owner !== busiest.instance || !range.isMovable || (range.from === range.to && !input.isHotKeyMovable(range.from))) continue
    for (const [key, rate] of range.keys) {
      if (hottest === undefined || rate > hottest.rate) hottest = { range, key, rate }
    }
  }
  if (hottest === undefined || computeUtilization(hottest.rate, busiest.candidate) < minHotKeyLoad) return undefined
  let target: OwnerLoad | undefined
  for (const ownerLoad of ownerLoads.values()) {
    if (ownerLoad === busiest || ownerLoad.candidate.isWarmingUp || computeCapacity(ownerLoad.candidate) < computeCapacity(busiest.candidate) * minCapacityRatio) continue
    if (target === undefined || computeCapacity(ownerLoad.candidate) > computeCapacity(target.candidate)) target = ownerLoad
  }
  if (target === undefined) return undefined
  const segment = cutRangeLoad(hottest.range, hottest.key, hottest.key, hottest.range.owner, true)
  replaceSegment(ranges, segment, target.instance)
  busiest.load -= computeUtilization(hottest.rate, busiest.candidate)
  target.load += computeUtilization(hottest.rate, target.candidate)
  target.ranges += 1
  return { from: hottest.key, to: hottest.key, owner: buildKeyOwner(target.candidate) }
}

/** Finds adjacent keys of an owner with about the given rate: the shortest run of each range, and of these the one with the highest rate that does not exceed the given one by much. */
function findSegment (ranges: RangeLoad[], owner: string, rate: number): RangeLoad | undefined {
  let best: RangeLoad | undefined
  let bestScore = 0
  for (const range of ranges) {
    if (range.owner !== owner || !range.isMovable) continue
    const segment = range.rate <= rate * 1.15 ? range : findWindow(range, rate) ?? cutRangeLoad(range, range.from, findSplitKey(range, rate), owner, true)
    const found = segment.rate
    const score = found > rate * 1.3 ? rate / found / 2 : found
    if (score <= bestScore) continue
    best = segment
    bestScore = score
  }
  return best
}

/** Finds the shortest run of keys with 0.9 to 1.3 times the given rate. */
function findWindow (range: RangeLoad, rate: number): RangeLoad | undefined {
  let best: [from: number, to: number] | undefined
  let start = 0
  let sum = 0
  for (let end = 0; end < range.keys.length; end++) {
    sum += range.keys[end]?.[1] ?? 0
    while (sum - (range.keys[start]?.[1] ?? 0) >= rate * 0.9 && start < end) {
      sum -= range.keys[start]?.[1] ?? 0
      start += 1
    }
    if (sum < rate * 0.9 || sum > rate * 1.3) continue
    const from = range.keys[start]?.[0] ?? range.from
    const to = range.keys[end]?.[0] ?? range.to
    if (best === undefined || to - from < best[1] - best[0]) best = [from, to]
  }
  return best === undefined ? undefined : cutRangeLoad(range, best[0], best[1], range.owner, true)
}

/** Cuts a segment out of its range and gives it to another owner, by its instance. */
export function replaceSegment (ranges: RangeLoad[], segment: RangeLoad, owner: string): void {
  const index = ranges.findIndex(range => range.from <= segment.from && range.to >= segment.to)
  const range = ranges[index]
  if (range === undefined) return
  const parts = [
    cutRangeLoad(range, range.from, segment.from - 1, range.owner, true),
    cutRangeLoad(range, segment.from, segment.to, owner, false),
    cutRangeLoad(range, segment.to + 1, range.to, range.owner, true)
  ]
  ranges.splice(index, 1, ...parts.filter(part => part.to >= part.from))
}

/** Plans to move cold ranges to the owners of neighbouring ranges when there are too many ranges. */
function planConsolidation (ranges: RangeLoad[], ownerLoads: OwnerLoads): PlannedMove[] {
  const excess = ranges.length - ownerLoads.size * targetRangesPerOwner
  if (excess <= 0) return []
  const maxMoves = Math.max(minConsolidationMoves, Math.ceil(excess * consolidatedShare))
  const mean = computeMeanLoad(ownerLoads)
  const moves: PlannedMove[] = []
  const byRate = ranges.map((range, index) => ({ range, index, rate: range.rate })).sort((a, b) => a.rate - b.rate)
  const touched = new Set<number>()
  for (const { range, index, rate } of byRate) {
    if (moves.length === maxMoves) break
    if (!range.isMovable || touched.has(index)) continue
    const ownerLoad = [ranges[index - 1], ranges[index + 1]]
      .filter(neighbour => neighbour !== undefined && neighbour.isMovable && neighbour.owner !== range.owner)
      .map(neighbour => ownerLoads.get(neighbour?.owner ?? ''))
      .find(found => found !== undefined && hasRoom(found, rate) && found.load + computeUtilization(rate, found.candidate) <= mean * neighbourLoadLimit)
    if (ownerLoad === undefined) continue
    for (const near of [index - 1, index, index + 1]) touched.add(near)
    ownerLoad.load += computeUtilization(rate, ownerLoad.candidate)
    moves.push({ from: range.from, to: range.to, owner: buildKeyOwner(ownerLoad.candidate) })
  }
  return moves
}

/** Formats a name for one instance of a backend server. */
function formatInstance (owner: KeyOwner): string {
  return `${owner.id}@${owner.startedAt}`
}

/** Builds the owner of keys that a candidate becomes. */
export function buildKeyOwner (candidate: Candidate): KeyOwner {
  return { id: candidate.id, startedAt: candidate.startedAt, address: candidate.address }
}
