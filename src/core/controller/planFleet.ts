import type { Fleet, RouterEntry } from '../domain/assignment.js'
import type { ControllerState, Registration } from './controllerState.js'
import { findHostStatus } from '../domain/hostList.js'

/** Time a host must have been listed as gone before its routers count as dead, in milliseconds. */
export const goneConfirmMs = 1000

/** Plans the next fleet record, or nothing when the current one fits. */
export function planFleet (state: ControllerState, operation: string): Fleet | undefined {
  const routers = new Map([...state.fleet.routers].map(([name, entry]) => [name, { ...entry }]))
  let changed = dropFormerRouters(state, routers)
  changed = addNewRouters(state, routers) || changed
  for (const entry of routers.values()) {
    changed = chooseGuardians(state, routers, entry) || changed
  }
  if (!changed) return undefined
  return { revision: state.fleet.revision + 1, operation, routers }
}

/** Lists routers that others took over from, by the reports, with their successors. */
export function listSuccessions (state: ControllerState): Map<string, string> {
  const successions = new Map<string, string>()
  for (const { report } of state.reports.values()) {
    for (const entry of report.journal) {
      if (entry.kind === 'router') successions.set(entry.from, entry.to)
    }
  }
  return successions
}

/** Removes routers that were succeeded or stopped, once no record names them as holders. */
function dropFormerRouters (state: ControllerState, routers: Map<string, RouterEntry>): boolean {
  const successions = listSuccessions(state)
  let changed = false
  for (const name of [...routers.keys()]) {
    const former = successions.has(name) || !state.registrations.has(name) || isConfirmedGone(state, name)
    if (!former || isHolder(state, name)) continue
    routers.delete(name)
    changed = true
  }
  return changed
}

/** Tells whether the platform has listed a router's host as gone for long enough. */
export function isConfirmedGone (state: ControllerState, router: string): boolean {
  const since = findGoneSince(state, router)
  return since !== undefined && state.now - since >= goneConfirmMs
}

/** Finds when the platform first listed a router's host as gone. */
export function findGoneSince (state: ControllerState, router: string): number | undefined {
  const address = state.fleet.routers.get(router)?.address
  if (address === undefined) return undefined
  return state.goneSince.get(address) ?? state.goneSince.get(address.slice(0, address.lastIndexOf(':')))
}

function isHolder (state: ControllerState, router: string): boolean {
  for (const assignment of state.assignments.values()) {
    for (const holder of assignment.holders.values()) {
      if (holder.router === router) return true
    }
  }
  return false
}

function addNewRouters (state: ControllerState, routers: Map<string, RouterEntry>): boolean {
  const successions = listSuccessions(state)
  let changed = false
  for (const registration of state.registrations.values()) {
    if (routers.has(registration.router) || successions.has(registration.router)) continue
    if (findHostStatus(state.hosts, registration.address) === 'gone') continue
    routers.set(registration.router, buildEntry(registration))
    changed = true
  }
  return changed
}

function buildEntry (registration: Registration): RouterEntry {
  const { router, address, adminAddress, zone } = registration
  return { router, address, adminAddress, zone, generation: 0, successor: undefined, witness: undefined, pivot: undefined }
}

/**
 * Completes the guardians of a router. One guardian at most is replaced at a
 * time, and only after the router reported the current generation, so that the
 * kept one (the pivot) links the two generations. A lost router keeps the set that may know it.
 */
function chooseGuardians (state: ControllerState, routers: Map<string, RouterEntry>, entry: RouterEntry): boolean {
  const others = [...routers.values()].filter(other => other.router !== entry.router && !isDraining(state, other.router))
  const successor = keepGuardian(state, routers, entry.successor, others.length)
  // When both are to go, the witness stays for this change and links the generations.
  const room = successor === undefined ? 0 : others.length
  const witness = keepGuardian(state, routers, entry.witness, room)
  const isComplete = successor !== undefined && (witness !== undefined || others.length < 2)
  const isFresh = entry.generation === 0
  if (isComplete || isConfirmedGone(state, entry.router)) return false
  if (!isFresh && others.length === 0 && entry.successor === undefined) return false
  if (!isFresh && state.reports.get(entry.router)?.report.generation !== entry.generation) return false
  const candidates = new Map([...routers].filter(([name]) => !isDraining(state, name)))
  const nextSuccessor = successor ?? chooseSuccessorFor(candidates, entry, witness)
  const nextWitness = witness ?? chooseWitnessFor(candidates, entry, nextSuccessor)
  const unchanged = nextSuccessor === entry.successor && nextWitness === entry.witness
  if (!isFresh && unchanged) return false
  entry.generation += 1
  entry.successor = nextSuccessor
  entry.witness = nextWitness
  entry.pivot = successor ?? witness
  return true
}

/** A stopping guardian is kept only while too few others could take its place. */
function keepGuardian (
  state: ControllerState,
  routers: Map<string, RouterEntry>,
  name: string | undefined,
  others: number
): string | undefined {
  if (name === undefined || !routers.has(name)) return undefined
  return isDraining(state, name) && others >= 2 ? undefined : name
}

/** Tells whether a router said that it stops. */
export function isDraining (state: ControllerState, router: string): boolean {
  return state.reports.get(router)?.report.draining === true
}

/** Reads the region from a zone name such as `tbilisi-1`. */
export function parseRegion (zone: string): string {
  const end = zone.lastIndexOf('-')
  return end < 0 ? zone : zone.slice(0, end)
}

/** Prefers another zone of the same region, then few wards. */
function chooseSuccessorFor (
  routers: Map<string, RouterEntry>,
  entry: RouterEntry,
  witness: string | undefined
): string | undefined {
  return chooseLeast(routers, [entry.router, witness], other => {
    if (other.zone === entry.zone) return 200
    return parseRegion(other.zone) === parseRegion(entry.zone) ? 0 : 100
  }, guarded => guarded.successor)
}

/** Prefers another region, then another zone, then few wards. */
function chooseWitnessFor (
  routers: Map<string, RouterEntry>,
  entry: RouterEntry,
  successor: string | undefined
): string | undefined {
  return chooseLeast(routers, [entry.router, successor], other => {
    if (other.zone === entry.zone) return 200
    return parseRegion(other.zone) === parseRegion(entry.zone) ? 100 : 0
  }, guarded => guarded.witness)
}

function chooseLeast (
  routers: Map<string, RouterEntry>,
  excluded: ReadonlyArray<string | undefined>,
  computePenalty: (other: RouterEntry) => number,
  readRole: (entry: RouterEntry) => string | undefined
): string | undefined {
  let best: string | undefined
  let lowest = Infinity
  for (const other of routers.values()) {
    if (excluded.includes(other.router)) continue
    let cost = computePenalty(other)
    for (const entry of routers.values()) {
      if (readRole(entry) === other.router) cost += 1
    }
    if (cost >= lowest) continue
    lowest = cost
    best = other.router
  }
  return best
}
