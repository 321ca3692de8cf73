import type { Fleet, RouterEntry } from '../domain/assignment.js'
import type { ControllerState, Registration } from './controllerState.js'
import { findHostStatus } from '../domain/hostList.js'

/** Time a host must have been listed as gone before its routers are treated as gone, in milliseconds. */
export const goneConfirmationMs = 1000

/** Plans the next fleet record; undefined when nothing needs to change. */
export function planFleet (state: ControllerState, operation: string): Fleet | undefined {
  const routers = new Map([...state.fleet.routers].map(([name, entry]) => [name, { ...entry }]))
  let isChanged = removeFormerRouters(state, routers)
  isChanged = addNewRouters(state, routers) || isChanged
  for (const entry of routers.values()) {
    isChanged = chooseGuardians(state, routers, entry) || isChanged
  }
  if (!isChanged) return undefined
  return { revision: state.fleet.revision + 1, operation, routers }
}

/** Maps each router that has been taken over, according to reports, to the router that took over. */
export function listTakeovers (state: ControllerState): Map<string, string> {
  const takeovers = new Map<string, string>()
  for (const { report } of state.reports.values()) {
    for (const entry of report.journal) {
      if (entry.kind === 'router') takeovers.set(entry.from, entry.to)
    }
  }
  return takeovers
}

/** Removes routers that were taken over, stopped, or are gone, once no assignment names them as holders. */
function removeFormerRouters (state: ControllerState, routers: Map<string, RouterEntry>): boolean {
  const takeovers = listTakeovers(state)
  let isChanged = false
  for (const name of [...routers.keys()]) {
    const isFormer = takeovers.has(name) || !state.registrations.has(name) || isConfirmedGone(state, name)
    if (!isFormer || isHolder(state, name)) continue
    routers.delete(name)
    isChanged = true
  }
  return isChanged
}

/** Whether the platform has listed a router's host as gone for at least `goneConfirmationMs`. */
export function isConfirmedGone (state: ControllerState, router: string): boolean {
  const since = findGoneSince(state, router)
  return since !== undefined && state.now - since >= goneConfirmationMs
}

/** Finds the time since which the platform has listed a router's host as gone. */
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
  const takeovers = listTakeovers(state)
  let isChanged = false
  for (const registration of state.registrations.values()) {
    if (routers.has(registration.router) || takeovers.has(registration.router)) continue
    if (findHostStatus(state.hosts, registration.address) === 'gone') continue
    routers.set(registration.router, buildEntry(registration))
    isChanged = true
  }
  return isChanged
}

function buildEntry (registration: Registration): RouterEntry {
  const { router, address, adminAddress, zone } = registration
  return { router, address, adminAddress, zone, generation: 0, successor: undefined, witness: undefined, pivot: undefined }
}

/**
 * Chooses guardians for a router that lacks one. At most one guardian is replaced at a time, and
 * only after the router has reported the current generation, so that the retained one (the pivot)
 * belongs to both generations. A router that is gone keeps its guardians, since a new one may not know its lease.
 */
function chooseGuardians (state: ControllerState, routers: Map<string, RouterEntry>, entry: RouterEntry): boolean {
  const others = [...routers.values()].filter(other => other.router !== entry.router && !isDraining(state, other.router))
  const successor = keepGuardian(state, routers, entry.successor, others.length)
  // If the successor has to be replaced too, the witness is kept for now as the pivot.
  const witnessReplacementCount = successor === undefined ? 0 : others.length
  const witness = keepGuardian(state, routers, entry.witness, witnessReplacementCount)
  const isComplete = successor !== undefined && (witness !== undefined || others.length < 2)
  const isNew = entry.generation === 0
  if (isComplete || isConfirmedGone(state, entry.router)) return false
  if (!isNew && others.length === 0 && entry.successor === undefined) return false
  if (!isNew && state.reports.get(entry.router)?.report.generation !== entry.generation) return false
  const candidates = new Map([...routers].filter(([name]) => !isDraining(state, name)))
  const nextSuccessor = successor ?? chooseSuccessor(candidates, entry, witness)
  const nextWitness = witness ?? chooseWitness(candidates, entry, nextSuccessor)
  const isUnchanged = nextSuccessor === entry.successor && nextWitness === entry.witness
  if (!isNew && isUnchanged) return false
  entry.generation += 1
  entry.successor = nextSuccessor
  entry.witness = nextWitness
  entry.pivot = successor ?? witness
  return true
}

/** Returns the guardian if it can stay. A stopping one stays only while fewer than two others could replace it. */
function keepGuardian (
  state: ControllerState,
  routers: Map<string, RouterEntry>,
  name: string | undefined,
  replacementCount: number
): string | undefined {
  if (name === undefined || !routers.has(name)) return undefined
  return isDraining(state, name) && replacementCount >= 2 ? undefined : name
}

/** Whether a router has reported that it is stopping. */
export function isDraining (state: ControllerState, router: string): boolean {
  return state.reports.get(router)?.report.draining === true
}

/** Reads the region from a zone name such as `tbilisi-1`. */
export function parseRegion (zone: string): string {
  const end = zone.lastIndexOf('-')
  return end < 0 ? zone : zone.slice(0, end)
}

/** Prefers another zone of the same region, then routers that are successors of few others. */
function chooseSuccessor (
  routers: Map<string, RouterEntry>,
  entry: RouterEntry,
  witness: string | undefined
): string | undefined {
  return chooseLowestCost(routers, [entry.router, witness], other => {
    if (other.zone === entry.zone) return 200
    return parseRegion(other.zone) === parseRegion(entry.zone) ? 0 : 100
  }, guarded => guarded.successor)
}

/** Prefers another region, then another zone, then routers that are witnesses of few others. */
function chooseWitness (
  routers: Map<string, RouterEntry>,
  entry: RouterEntry,
  successor: string | undefined
): string | undefined {
  return chooseLowestCost(routers, [entry.router, successor], other => {
    if (other.zone === entry.zone) return 200
    return parseRegion(other.zone) === parseRegion(entry.zone) ? 100 : 0
  }, guarded => guarded.witness)
}

function chooseLowestCost (
  routers: Map<string, RouterEntry>,
  excluded: ReadonlyArray<string | undefined>,
  computePenalty: (other: RouterEntry) => number,
  readGuardian: (entry: RouterEntry) => string | undefined
): string | undefined {
  let best: string | undefined
  let lowestCost = Infinity
  for (const other of routers.values()) {
    if (excluded.includes(other.router)) continue
    let cost = computePenalty(other)
    for (const entry of routers.values()) {
      if (readGuardian(entry) === other.router) cost += 1
    }
    if (cost >= lowestCost) continue
    lowestCost = cost
    best = other.router
  }
  return best
}
