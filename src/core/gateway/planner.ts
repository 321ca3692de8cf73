import type { Holder, KeyRange } from './model.js'
import { imbalanceLimit, maxRangesPerOwner, movesPerRound } from './limits.js'
import { keyCount } from './model.js'

/** A backend server that may own keys. */
export type Candidate = Holder & {
  slots: number
  /** Time that one request takes in a slot, in milliseconds. */
  serviceMs: number
  /** Whether it is still slow after its start. */
  isCold: boolean
}

/** What the planner knows of one sharded service. */
export type PlannerInput = {
  ranges: readonly KeyRange[]
  candidates: readonly Candidate[]
  /** Requests a second of each key that was asked for lately. */
  rates: ReadonlyMap<number, number>
  /** Whether cold ranges may go to their neighbours in this round. */
  mayTidy: boolean
  /** Load from which an owner is relieved in this round. */
  relievedLoad: number
  /** Whether the hot key of the range that begins here may change to a faster owner: not soon after it changed. */
  mayLeave: (from: number) => boolean
}

/** Keys that should go to another owner; `rate` in requests a second. */
export type PlannedMove = { from: number, to: number, owner: Holder, rate?: number }

/** Rate that each key counts besides what was seen, in requests a second: keys nobody asked for also matter. */
const idleKeyRate = 0.0002
/** Smallest part of the mean load that is worth a move. */
const worthwhileShare = 0.12
/** Ranges for each backend server beyond which cold ones go to their neighbours. */
const comfortableRanges = 3
/** Load of a neighbour, in parts of the mean, up to which it takes in a cold range. */
const neighbourLimit = 1.1
/** Load, in parts of all slots, up to which fast candidates are fully preferred. */
const easyLoad = 0.4
/** Load from which speed is counted as it is. */
const fullLoad = 0.9
/** How strongly fast candidates are preferred: exponent of their relative speed. */
const speedPreference = 1
/** Owners that one step of a round tries to relieve. */
const relievedOwners = 3
/** Part of its owner's slots that one key must keep busy to be given to a faster owner. */
const hotKeyLoad = 0.8
/** How much faster that owner must be. */
const fasterOwner = 1.2
/** Parts into which the keys of a lost owner are divided by their load. */
const partsOfLostOwner = 4
/** Smallest such part, in requests a second. */
const leastPartRate = 0.5
/** Fewest moves to neighbours that one round plans while there are too many ranges. */
const tidyMovesPerRound = 3
/** Part of the ranges beyond the comfortable number that one round gives to neighbours. */
const tidiedShare = 0.25

type Piece = { from: number, to: number, owner: string, movable: boolean, keys: Array<[key: number, rate: number]>, rate: number }
type Share = { life: string, candidate: Candidate, load: number, ranges: number }
type Shares = Map<string, Share>

/** Splits the whole key space among the candidates, in proportion to what they can serve. */
export function planInitial (candidates: readonly Candidate[]): PlannedMove[] {
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
  const pieces = listPieces(input)
  const candidates = weighSpeeds(input.candidates, pieces)
  const shares: Shares = new Map(candidates.map(candidate => ({ life: formatLife(candidate), candidate, load: 0, ranges: 0 })).map(share => [share.life, share]))
  for (const piece of pieces) {
    const share = shares.get(piece.owner)
    if (share === undefined) continue
    share.load += computeLoad(piece, share.candidate)
    share.ranges += 1
  }
  const moves: PlannedMove[] = []
  const orphans = pieces.filter(piece => piece.movable && !shares.has(piece.owner))
  const lostRates = computeOwnerRates(orphans)
  for (const piece of orphans) moves.push(...placeOrphan(pieces, piece, shares, (lostRates.get(piece.owner) ?? 0) / partsOfLostOwner))
  for (let round = 0; round < movesPerRound; round++) {
    const move = relieveOverloaded(pieces, shares, input)
    if (move === undefined) break
    moves.push(move)
  }
  if (moves.length === 0 && input.mayTidy) moves.push(...planTidying(pieces, shares))
  return moves
}

function listPieces (input: PlannerInput): Piece[] {
  const busy = [...input.rates].sort((a, b) => a[0] - b[0])
  let next = 0
  return input.ranges.map(range => {
    const keys: Array<[number, number]> = []
    while (next < busy.length && (busy[next]?.[0] ?? 0) < range.from) next += 1
    while (next < busy.length && (busy[next]?.[0] ?? Infinity) <= range.to) {
      const entry = busy[next]
      if (entry !== undefined) keys.push(entry)
      next += 1
    }
    return buildPiece(range.from, range.to, formatLife(range.owner), range.phase === 'held', keys)
  })
}

/**
 * Counts slow candidates as slower still while there is room: their answers are late
 * more often, so fast ones should serve more than their share of slots tells.
 */
function weighSpeeds (candidates: readonly Candidate[], pieces: readonly Piece[]): Candidate[] {
  const capacity = candidates.reduce((sum, candidate) => sum + computeCapacity(candidate), 0)
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0)
  const meanServiceMs = slots * 1000 / capacity
  const load = pieces.reduce((sum, piece) => sum + piece.rate, 0) / capacity
  const room = Math.min(1, Math.max(0, (fullLoad - load) / (fullLoad - easyLoad)))
  return candidates.map(candidate => {
    return { ...candidate, serviceMs: candidate.serviceMs * (candidate.serviceMs / meanServiceMs) ** (room * speedPreference) }
  })
}

function computeCapacity (candidate: Candidate): number {
  return candidate.slots * 1000 / candidate.serviceMs
}

/** Computes the share of a candidate's slots that a rate of requests keeps busy. */
function computeUtilization (rate: number, candidate: Candidate): number {
  return rate / computeCapacity(candidate)
}

function buildPiece (from: number, to: number, owner: string, movable: boolean, keys: Piece['keys']): Piece {
  let rate = Math.max(0, to - from + 1) * idleKeyRate
  for (const key of keys) rate += key[1]
  return { from, to, owner, movable, keys, rate }
}

function computeLoad (piece: Piece, candidate: Candidate): number {
  return computeUtilization(piece.rate, candidate)
}

/** Computes the load at which all candidates would be equally busy. */
function computeMeanLoad (shares: Shares): number {
  let rate = 0
  let capacity = 0
  for (const share of shares.values()) {
    rate += share.load * computeCapacity(share.candidate)
    capacity += computeCapacity(share.candidate)
  }
  return capacity === 0 ? 0 : rate / capacity
}

/** Finds the share that would be the least loaded with some more requests a second. */
function findLeastLoaded (shares: Shares, rate: number): Share | undefined {
  let best: Share | undefined
  let bestLoad = Infinity
  for (const share of shares.values()) {
    const load = (share.load + computeUtilization(rate, share.candidate)) * (share.candidate.isCold ? 1.5 : 1) + share.ranges * 0.002
    if (load >= bestLoad) continue
    best = share
    bestLoad = load
  }
  return best
}

/** Computes the requests a second of each owner from its pieces. */
function computeOwnerRates (pieces: readonly Piece[]): Map<string, number> {
  const rates = new Map<string, number>()
  for (const piece of pieces) rates.set(piece.owner, (rates.get(piece.owner) ?? 0) + piece.rate)
  return rates
}

/**
 * Divides a range of a lost owner among the least loaded, if it is busier than `lostPart` requests a
 * second. Each range is renewed by itself: dividing all of them with every loss would multiply them.
 */
function placeOrphan (pieces: Piece[], piece: Piece, shares: Shares, lostPart: number): PlannedMove[] {
  const moves: PlannedMove[] = []
  let rest: Piece | undefined = piece
  const partRate = Math.max(lostPart, leastPartRate)
  while (rest !== undefined) {
    const rate: number = Math.min(rest.rate, partRate)
    const share = findLeastLoaded(shares, rate)
    if (share === undefined) return moves
    const to: number = rest.rate - rate < partRate / 4 ? rest.to : findCut(rest, rate)
    const cut = cutPiece(rest, rest.from, to, share.life, false)
    moves.push({ from: cut.from, to: cut.to, owner: buildHolder(share.candidate), rate: cut.rate })
    share.load += computeLoad(cut, share.candidate)
    share.ranges += 1
    const remainder: Piece | undefined = to < rest.to ? cutPiece(rest, to + 1, rest.to, rest.owner, true) : undefined
    pieces.splice(pieces.indexOf(rest), 1, ...(remainder === undefined ? [cut] : [cut, remainder]))
    rest = remainder
  }
  return moves
}

function cutPiece (piece: Piece, from: number, to: number, owner: string, movable: boolean): Piece {
  return buildPiece(from, to, owner, movable, piece.keys.filter(([key]) => key >= from && key <= to))
}

/** Finds the last key of the first part of a piece whose keys bring about the given rate. */
function findCut (piece: Piece, rate: number): number {
  let seen = 0
  let from = piece.from
  for (const [key, keyRate] of piece.keys) {
    const before = seen + (key - from) * idleKeyRate
    if (before >= rate) break
    seen = before + keyRate
    from = key
    if (seen >= rate) return Math.min(piece.to, key)
  }
  return Math.min(piece.to, from + Math.floor(Math.max(0, rate - seen) / idleKeyRate))
}

/** Moves a part of an overloaded owner's keys, the busiest first; undefined when no move would help. */
function relieveOverloaded (pieces: Piece[], shares: Shares, input: PlannerInput): PlannedMove | undefined {
  const busiest = [...shares.values()].sort((a, b) => b.load - a.load)
  let tried = 0
  for (const share of busiest) {
    if (tried === relievedOwners) break
    if (!pieces.some(piece => piece.movable && piece.owner === share.life)) continue
    tried += 1
    const move = relieveOwner(pieces, shares, share, input)
    if (move !== undefined) return move
  }
  return undefined
}

function relieveOwner (pieces: Piece[], shares: Shares, busiest: Share, input: PlannerInput): PlannedMove | undefined {
  const mean = computeMeanLoad(shares)
  const target = findTarget(shares, busiest)
  if (target === undefined) return undefined
  const isUnused = target.ranges === 0
  const isOverloaded = busiest.load > input.relievedLoad && busiest.load > mean * imbalanceLimit
  if (!isUnused && !isOverloaded) return undefined
  // Levelling one of the two with the mean takes the fewest moves.
  const give = (busiest.load - mean) * computeCapacity(busiest.candidate)
  const take = (mean - target.load) * computeCapacity(target.candidate)
  const levelling = Math.min(give, take)
  const worthwhile = mean * worthwhileShare * computeCapacity(busiest.candidate)
  // Where all others lie just below the mean, half of the difference still helps.
  const rate = levelling < worthwhile ? (busiest.load - target.load) / 2 * computeSharedCapacity(busiest, target) : levelling
  if (rate < worthwhile && !isUnused) return relieveHotKey(pieces, shares, busiest, input)
  const segment = findSegment(pieces, busiest.life, isUnused ? Math.max(rate, take / 2) : rate)
  if (segment === undefined) return undefined
  const gain = computeUtilization(segment.rate, busiest.candidate)
  const cost = computeUtilization(segment.rate, target.candidate)
  if (target.load + cost > busiest.load - gain / 2 && !isUnused) return relieveHotKey(pieces, shares, busiest, input)
  replaceSegment(pieces, segment, target.life)
  busiest.load -= gain
  target.load += cost
  target.ranges += 1
  busiest.ranges += 1
  return { from: segment.from, to: segment.to, owner: buildHolder(target.candidate) }
}

/** Computes the rate that, moved from one share to another, lowers and raises their loads by one together. */
function computeSharedCapacity (from: Share, to: Share): number {
  const a = computeCapacity(from.candidate)
  const b = computeCapacity(to.candidate)
  return 2 * a * b / (a + b)
}

/** Finds who should take keys: one without any, else the least loaded. */
function findTarget (shares: Shares, busiest: Share): Share | undefined {
  let best: Share | undefined
  for (const share of shares.values()) {
    if (share === busiest || share.candidate.isCold || share.ranges >= maxRangesPerOwner) continue
    if (share.ranges === 0) return share
    if (best === undefined || share.load < best.load) best = share
  }
  return best
}

/**
 * Gives a key that alone overloads its owner to the backend server that can serve most
 * of it: a key can't be divided, so only a faster owner helps.
 */
function relieveHotKey (pieces: Piece[], shares: Shares, busiest: Share, input: PlannerInput): PlannedMove | undefined {
  let hottest: { piece: Piece, key: number, rate: number } | undefined
  for (const piece of pieces) {
    if (piece.owner !== busiest.life || !piece.movable || (piece.from === piece.to && !input.mayLeave(piece.from))) continue
    for (const [key, rate] of piece.keys) {
      if (hottest === undefined || rate > hottest.rate) hottest = { piece, key, rate }
    }
  }
  if (hottest === undefined || computeUtilization(hottest.rate, busiest.candidate) < hotKeyLoad) return undefined
  let target: Share | undefined
  for (const share of shares.values()) {
    if (share === busiest || share.candidate.isCold || computeCapacity(share.candidate) < computeCapacity(busiest.candidate) * fasterOwner) continue
    if (target === undefined || computeCapacity(share.candidate) > computeCapacity(target.candidate)) target = share
  }
  if (target === undefined) return undefined
  const segment = cutPiece(hottest.piece, hottest.key, hottest.key, hottest.piece.owner, true)
  replaceSegment(pieces, segment, target.life)
  busiest.load -= computeUtilization(hottest.rate, busiest.candidate)
  target.load += computeUtilization(hottest.rate, target.candidate)
  target.ranges += 1
  return { from: hottest.key, to: hottest.key, owner: buildHolder(target.candidate) }
}

/** Finds neighbouring keys of an owner that bring about about the given rate: the fewest in its busiest piece. */
function findSegment (pieces: Piece[], owner: string, rate: number): Piece | undefined {
  let best: Piece | undefined
  let bestScore = 0
  for (const piece of pieces) {
    if (piece.owner !== owner || !piece.movable) continue
    const segment = piece.rate <= rate * 1.15 ? piece : findWindow(piece, rate) ?? cutPiece(piece, piece.from, findCut(piece, rate), owner, true)
    const found = segment.rate
    const score = found > rate * 1.3 ? rate / found / 2 : found
    if (score <= bestScore) continue
    best = segment
    bestScore = score
  }
  return best
}

/** Finds the shortest run of keys with at least nine tenths of the given rate and not much more. */
function findWindow (piece: Piece, rate: number): Piece | undefined {
  let best: [from: number, to: number] | undefined
  let start = 0
  let sum = 0
  for (let end = 0; end < piece.keys.length; end++) {
    sum += piece.keys[end]?.[1] ?? 0
    while (sum - (piece.keys[start]?.[1] ?? 0) >= rate * 0.9 && start < end) {
      sum -= piece.keys[start]?.[1] ?? 0
      start += 1
    }
    if (sum < rate * 0.9 || sum > rate * 1.3) continue
    const from = piece.keys[start]?.[0] ?? piece.from
    const to = piece.keys[end]?.[0] ?? piece.to
    if (best === undefined || to - from < best[1] - best[0]) best = [from, to]
  }
  return best === undefined ? undefined : cutPiece(piece, best[0], best[1], piece.owner, true)
}

function replaceSegment (pieces: Piece[], segment: Piece, owner: string): void {
  const index = pieces.findIndex(piece => piece.from <= segment.from && piece.to >= segment.to)
  const piece = pieces[index]
  if (piece === undefined) return
  const parts = [
    cutPiece(piece, piece.from, segment.from - 1, piece.owner, true),
    cutPiece(piece, segment.from, segment.to, owner, false),
    cutPiece(piece, segment.to + 1, piece.to, piece.owner, true)
  ]
  pieces.splice(index, 1, ...parts.filter(part => part.to >= part.from))
}

/** Gives cold ranges to the owners of their neighbours when there are many ranges. */
function planTidying (pieces: Piece[], shares: Shares): PlannedMove[] {
  const excess = pieces.length - shares.size * comfortableRanges
  if (excess <= 0) return []
  const most = Math.max(tidyMovesPerRound, Math.ceil(excess * tidiedShare))
  const mean = computeMeanLoad(shares)
  const moves: PlannedMove[] = []
  const byRate = pieces.map((piece, index) => ({ piece, index, rate: piece.rate })).sort((a, b) => a.rate - b.rate)
  const touched = new Set<number>()
  for (const { piece, index, rate } of byRate) {
    if (moves.length === most) break
    if (!piece.movable || touched.has(index)) continue
    const share = [pieces[index - 1], pieces[index + 1]]
      .filter(neighbour => neighbour !== undefined && neighbour.movable && neighbour.owner !== piece.owner)
      .map(neighbour => shares.get(neighbour?.owner ?? ''))
      .find(found => found !== undefined && found.load + computeUtilization(rate, found.candidate) <= mean * neighbourLimit)
    if (share === undefined) continue
    for (const near of [index - 1, index, index + 1]) touched.add(near)
    share.load += computeUtilization(rate, share.candidate)
    moves.push({ from: piece.from, to: piece.to, owner: buildHolder(share.candidate) })
  }
  return moves
}

/** Names one life of a backend server. */
function formatLife (holder: Holder): string {
  return `${holder.id}@${holder.startedAt}`
}

function buildHolder (candidate: Candidate): Holder {
  return { id: candidate.id, startedAt: candidate.startedAt, address: candidate.address }
}
