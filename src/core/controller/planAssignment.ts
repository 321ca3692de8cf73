import type { Assignment, HolderEntry, JournalEntry } from '../domain/assignment.js'
import type { Service } from '../domain/document.js'
import type { ControllerState } from './controllerState.js'
import type { ControllerRules } from './rules.js'
import { findStoredEntry, formatRangeUnit, holderEpochBlockSize } from '../domain/assignment.js'
import { maxGraceMs } from '../limits.js'
import { findGoneSince, goneConfirmationMs, isConfirmedGone, isDraining, listTakeovers } from './planFleet.js'
import { planBalance } from './planBalance.js'
import { planHolders } from './planHolders.js'

/** Plans the next assignment of a service; undefined when nothing needs to change. */
export function planAssignment (
  state: ControllerState,
  service: Service,
  operation: string,
  rules: ControllerRules
): Assignment | undefined {
  const current = state.assignments.get(service.name)
  if (state.fleet.routers.size === 0) return undefined
  if (current === undefined) return buildFirstAssignment(state, service, operation, rules)
  const next = buildNextAssignment(current, operation)
  let isChanged = applyReportedJournals(state, next)
  isChanged = applyReportedTakeovers(state, next) || isChanged
  isChanged = replaceLostHolders(state, next) || isChanged
  isChanged = planHolders(state, service, next) || isChanged
  isChanged = planBalance(state, service, next, rules) || isChanged
  return isChanged ? next : undefined
}

function buildNextAssignment (assignment: Assignment, operation: string): Assignment {
  return {
    service: assignment.service,
    revision: assignment.revision + 1,
    operation,
    ranges: assignment.ranges.map(entry => ({ ...entry })),
    keys: new Map([...assignment.keys].map(([key, entry]) => [key, { ...entry }])),
    holders: new Map([...assignment.holders].map(([backend, entry]) => [backend, { ...entry }]))
  }
}

function buildFirstAssignment (
  state: ControllerState,
  service: Service,
  operation: string,
  rules: ControllerRules
): Assignment | undefined {
  const backends = service.backends.map(backend => backend.name)
  if (backends.length === 0) return undefined
  const units = Array.from({ length: service.rangeCount }, (_, index) => formatRangeUnit(index))
  const placement = rules.placeUnits(units, backends, rules.hashKey)
  const assignment: Assignment = {
    service: service.name,
    revision: 1,
    operation,
    ranges: units.map(unit => ({ owner: placement.get(unit) ?? backends[0] ?? '', epoch: 1 })),
    keys: new Map(),
    holders: new Map()
  }
  planHolders(state, service, assignment)
  return assignment
}

/** Applies ownership changes that routers made themselves and reported; the higher epoch always wins. */
function applyReportedJournals (state: ControllerState, next: Assignment): boolean {
  let isChanged = false
  for (const { report } of state.reports.values()) {
    for (const entry of report.journal) isChanged = applyReportedEntry(next, entry) || isChanged
  }
  return isChanged
}

function applyReportedEntry (next: Assignment, entry: JournalEntry): boolean {
  if (entry.kind === 'router' || entry.service !== next.service) return false
  if (entry.kind === 'holder') return applyReportedHolder(next, entry.backend, entry.to, entry.epoch)
  const current = findStoredEntry(next, entry.unit)
  if (current === undefined || current.epoch >= entry.epoch) return false
  current.owner = entry.to
  current.epoch = entry.epoch
  delete current.wanted
  return true
}

function applyReportedHolder (next: Assignment, backend: string, router: string, epoch: number): boolean {
  const current = next.holders.get(backend)
  if (current === undefined || current.epoch >= epoch) return false
  next.holders.set(backend, { router, epoch })
  return true
}

/** Replaces holders whose successors have reported that they took over. */
function applyReportedTakeovers (state: ControllerState, next: Assignment): boolean {
  const takeovers = listTakeovers(state)
  let isChanged = false
  for (const [backend, holder] of next.holders) {
    const successor = takeovers.get(holder.router)
    if (successor === undefined) continue
    next.holders.set(backend, { router: successor, epoch: holder.epoch + 1 })
    isChanged = true
  }
  return isChanged
}

/**
 * Replaces holders that no successor took over from: the router stopped without an answer
 * from its successor, or the platform lists it as gone and its guardians cannot take over.
 */
function replaceLostHolders (state: ControllerState, next: Assignment): boolean {
  let isChanged = false
  for (const [backend, holder] of next.holders) {
    const replacement = chooseReplacementHolder(state, holder)
    if (replacement === undefined) continue
    const nextBlock = Math.floor(holder.epoch / holderEpochBlockSize) + 1
    next.holders.set(backend, { router: replacement, epoch: nextBlock * holderEpochBlockSize })
    isChanged = true
  }
  return isChanged
}

function chooseReplacementHolder (state: ControllerState, holder: HolderEntry): string | undefined {
  if (!state.registrations.has(holder.router)) return chooseHolderAfterStop(state, holder.router)
  if (!isConfirmedGone(state, holder.router)) return undefined
  const entry = state.fleet.routers.get(holder.router)
  if (entry === undefined) return undefined
  const isSuccessorGone = entry.successor === undefined || isRemovedOrGone(state, entry.successor)
  const isWitnessGone = entry.witness !== undefined && isRemovedOrGone(state, entry.witness)
  if (isSuccessorGone) return findLiveRouter(state, holder.router)
  return isWitnessGone || !isTakeoverPossible(state, holder.router) ? entry.successor : undefined
}

/**
 * Whether another router may still take over the lease of a router that is gone. The successor in
 * the fleet record does not if the router was lost before it applied a new guardian set and so never
 * contacted it. The successor of the previous set may, while it is stopping, for at most `maxGraceMs`.
 * Once every live router has reported after that, any takeover would be known.
 */
function isTakeoverPossible (state: ControllerState, goneRouter: string): boolean {
  const goneSince = findGoneSince(state, goneRouter)
  if (goneSince === undefined) return true
  const confirmedAt = goneSince + goneConfirmationMs
  const stopDeadline = confirmedAt + maxGraceMs
  if (state.now < stopDeadline && listLiveRouters(state).some(router => isDraining(state, router))) return true
  const stopTimes = [...state.registrationRemovedAt.values()].filter(at => at < stopDeadline)
  return !hasReportFromEveryRouterSince(state, Math.max(confirmedAt, ...stopTimes))
}

/**
 * Chooses the holder that replaces a router which stopped and removed its registration. Its
 * successor may have taken over already, so no other router is chosen while the successor is available.
 */
function chooseHolderAfterStop (state: ControllerState, router: string): string | undefined {
  const successor = state.fleet.routers.get(router)?.successor
  const isSuccessorAvailable = successor !== undefined && state.fleet.routers.has(successor) && !isConfirmedGone(state, successor)
  if (isSuccessorAvailable) return successor
  return hasReportFromEveryRouterSince(state, state.registrationRemovedAt.get(router) ?? state.now) ? findLiveRouter(state, router) : undefined
}

/** Whether every live router has reported after `since`, so that any takeover before that time is known. */
function hasReportFromEveryRouterSince (state: ControllerState, since: number): boolean {
  return listLiveRouters(state).every(router => (state.reports.get(router)?.receivedAt ?? -Infinity) > since)
}

function findLiveRouter (state: ControllerState, excluded: string): string | undefined {
  return listLiveRouters(state).find(name => name !== excluded)
}

function listLiveRouters (state: ControllerState): string[] {
  return [...state.fleet.routers.keys()].filter(name => state.registrations.has(name) && !isConfirmedGone(state, name))
}

function isRemovedOrGone (state: ControllerState, router: string): boolean {
  return !state.fleet.routers.has(router) || isConfirmedGone(state, router)
}
