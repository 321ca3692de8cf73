import { chooseByRendezvous } from './rendezvous.js'

/** A unit of a key space with its owner and load; any measure of load will do if it is the same for all. */
export type UnitLoad = { unit: string, owner: string, load: number }

/** A planned move of a unit from one backend server to another. */
export type PlannedMove = { unit: string, from: string, to: string }

/** Ratio of a backend server's load to the mean up to which no units are moved away from it. */
const toleratedImbalance = 1.05

/**
 * Distributes units evenly over backend servers. Each unit goes to its rendezvous choice among
 * those with free capacity, so that few units move when backend servers change.
 */
export function placeEvenly (
  units: readonly string[],
  backends: readonly string[],
  hashKey: (key: string) => number
): Map<string, string> {
  const placement = new Map<string, string>()
  if (backends.length === 0) return placement
  const counts = new Map<string, number>(backends.map(backend => [backend, 0]))
  const baseCount = Math.floor(units.length / backends.length)
  let remainder = units.length % backends.length
  for (const unit of units) {
    const candidates = backends.filter(backend => (counts.get(backend) ?? 0) < baseCount + (remainder > 0 ? 1 : 0))
    const chosen = chooseByRendezvous(unit, candidates, hashKey)
    if (chosen === undefined) continue
    placement.set(unit, chosen)
    const count = (counts.get(chosen) ?? 0) + 1
    counts.set(chosen, count)
    if (count > baseCount) remainder -= 1
  }
  return placement
}

/** Places units by position modulo the number of backend servers; baseline for measurements. */
export function placeByModulo (units: readonly string[], backends: readonly string[]): Map<string, string> {
  const placement = new Map<string, string>()
  units.forEach((unit, index) => {
    const backend = backends[index % backends.length]
    if (backend !== undefined) placement.set(unit, backend)
  })
  return placement
}

/**
 * Plans few moves that bring the most loaded backend server close to the mean. Each step moves
 * the unit that best evens out the most and the least loaded one.
 */
export function planMoves (
  units: readonly UnitLoad[],
  targets: readonly string[],
  maxMoves: number
): PlannedMove[] {
  if (targets.length < 2) return []
  const placedUnits = units.map(unit => ({ ...unit }))
  const loads = new Map<string, number>(targets.map(target => [target, 0]))
  for (const unit of placedUnits) {
    if (loads.has(unit.owner)) loads.set(unit.owner, (loads.get(unit.owner) ?? 0) + unit.load)
  }
  const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / targets.length
  const moves: PlannedMove[] = []
  while (moves.length < maxMoves) {
    const ordered = [...loads].sort((left, right) => right[1] - left[1])
    const mostLoaded = ordered[0]
    const leastLoaded = ordered[ordered.length - 1]
    if (mostLoaded === undefined || leastLoaded === undefined) return moves
    if (mostLoaded[1] <= mean * toleratedImbalance) return moves
    const unit = chooseUnitForGap(placedUnits, mostLoaded[0], mostLoaded[1] - leastLoaded[1])
    if (unit === undefined) return moves
    moves.push({ unit: unit.unit, from: mostLoaded[0], to: leastLoaded[0] })
    loads.set(mostLoaded[0], mostLoaded[1] - unit.load)
    loads.set(leastLoaded[0], leastLoaded[1] + unit.load)
    unit.owner = leastLoaded[0]
  }
  return moves
}

/** Chooses the unit whose load is closest to half of the gap; undefined when every unit has at least the load of the gap. */
function chooseUnitForGap (units: UnitLoad[], owner: string, gap: number): UnitLoad | undefined {
  let best: UnitLoad | undefined
  let bestError = gap / 2
  for (const unit of units) {
    if (unit.owner !== owner || unit.load <= 0 || unit.load >= gap) continue
    const error = Math.abs(unit.load - gap / 2)
    if (error >= bestError) continue
    best = unit
    bestError = error
  }
  return best
}
