import type { Assignment } from '../domain/assignment.js'
import type { Service } from '../domain/document.js'
import type { ControllerState } from './controllerState.js'
import { findHostStatus } from '../domain/hostList.js'
import { listTakeovers, parseRegion } from './planFleet.js'

/** Maximum number of pending holder changes in one service. */
const maxConcurrentHolderMoves = 2
/** Difference in the number of held backend servers that is tolerated between routers. */
const toleratedDifference = 1
/** Cost of a holder outside the backend server's zone, in held backend servers. */
const otherZoneCost = 4
/** Cost of a holder outside the backend server's region, in held backend servers. */
const otherRegionCost = 16

/** Gives every backend server a holder and requests better holders, a few at a time. */
export function planHolders (state: ControllerState, service: Service, next: Assignment): boolean {
  let isChanged = false
  for (const backend of service.backends) {
    const holder = next.holders.get(backend.name)
    if (holder === undefined) {
      const router = chooseHolder(state, next, backend.zone)
      if (router === undefined) continue
      next.holders.set(backend.name, { router, epoch: 1 })
      isChanged = true
      continue
    }
    if (holder.wanted !== undefined && !isEligibleHolder(state, holder.wanted)) {
      delete holder.wanted
      isChanged = true
    }
  }
  isChanged = removeUnlistedBackends(service, next) || isChanged
  return planHolderMoves(state, service, next) || isChanged
}

/** Removes holders of backend servers that are no longer in the document and own no units. */
function removeUnlistedBackends (service: Service, next: Assignment): boolean {
  let isChanged = false
  const listed = new Set(service.backends.map(backend => backend.name))
  for (const backend of [...next.holders.keys()]) {
    if (listed.has(backend) || hasUnits(next, backend)) continue
    next.holders.delete(backend)
    isChanged = true
  }
  return isChanged
}

function hasUnits (next: Assignment, backend: string): boolean {
  if (next.ranges.some(entry => entry.owner === backend)) return true
  return [...next.keys.values()].some(entry => entry.owner === backend)
}

/** Requests holder changes that reduce the cost of zone distance and uneven distribution by more than tolerated. */
function planHolderMoves (state: ControllerState, service: Service, next: Assignment): boolean {
  const pendingCount = [...next.holders.values()].filter(holder => holder.wanted !== undefined).length
  let remainingMoves = maxConcurrentHolderMoves - pendingCount
  let isChanged = false
  for (const backend of service.backends) {
    if (remainingMoves <= 0) return isChanged
    const holder = next.holders.get(backend.name)
    if (holder === undefined || holder.wanted !== undefined) continue
    if (!isEligibleHolder(state, holder.router)) continue
    const better = chooseHolder(state, next, backend.zone)
    if (better === undefined || better === holder.router) continue
    const current = computeCost(state, next, holder.router, backend.zone) - 1
    if (computeCost(state, next, better, backend.zone) + toleratedDifference > current) continue
    holder.wanted = better
    remainingMoves -= 1
    isChanged = true
  }
  return isChanged
}

function chooseHolder (state: ControllerState, next: Assignment, zone: string): string | undefined {
  let best: string | undefined
  let lowestCost = Infinity
  for (const router of state.fleet.routers.keys()) {
    if (!isEligibleHolder(state, router)) continue
    const cost = computeCost(state, next, router, zone)
    if (cost >= lowestCost) continue
    lowestCost = cost
    best = router
  }
  return best
}

/** Whether a router may become a holder: in the fleet, registered, not taken over, and its host neither leaving nor gone. */
function isEligibleHolder (state: ControllerState, router: string): boolean {
  const entry = state.fleet.routers.get(router)
  if (entry === undefined || !state.registrations.has(router)) return false
  if (listTakeovers(state).has(router)) return false
  const hostStatus = findHostStatus(state.hosts, entry.address)
  return hostStatus !== 'leaving' && hostStatus !== 'gone'
}

function computeCost (state: ControllerState, next: Assignment, router: string, zone: string): number {
  const routerZone = state.fleet.routers.get(router)?.zone ?? ''
  let cost = countHeldBackends(state, next, router)
  if (routerZone !== zone) cost += parseRegion(routerZone) === parseRegion(zone) ? otherZoneCost : otherRegionCost
  return cost
}

/** Counts the backend servers that a router holds or is about to hold, over all services and pending writes. */
function countHeldBackends (state: ControllerState, next: Assignment, router: string): number {
  let count = 0
  const planned = new Map(state.assignments)
  for (const { assignment } of state.pendingWrites.values()) {
    if (assignment !== undefined) planned.set(assignment.service, assignment)
  }
  for (const assignment of planned.values()) {
    if (assignment.service === next.service) continue
    count += countHeldInAssignment(assignment, router)
  }
  return count + countHeldInAssignment(next, router)
}

function countHeldInAssignment (assignment: Assignment, router: string): number {
  let count = 0
  for (const holder of assignment.holders.values()) {
    if ((holder.wanted ?? holder.router) === router) count += 1
  }
  return count
}
