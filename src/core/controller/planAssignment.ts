import type { Assignment, HolderEntry, JournalEntry } from '../domain/assignment.js'
import type { Service } from '../domain/document.js'
import type { ControllerState } from './controllerState.js'
import type { ControllerRules } from './rules.js'
import { findStoredEntry, formatRangeUnit, holderEpochBlock } from '../domain/assignment.js'
import { longestGraceMs } from '../limits.js'
import { findGoneSince, goneConfirmMs, isConfirmedGone, isDraining, listSuccessions } from './planFleet.js'
import { planBalance } from './planBalance.js'
import { planHolders } from './planHolders.js'

/** Plans the next assignment of a service, or nothing when the current one fits. */
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
  let changed = applyReportedJournals(state, next)
  changed = applyReportedSuccessions(state, next) || changed
  changed = replaceLostHolders(state, next) || changed
  changed = planHolders(state, service, next) || changed
  changed = planBalance(state, service, next, rules) || changed
  return changed ? next : undefined
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
  const placed = rules.placeUnits(units, backends, rules.hashKey)
  const assignment: Assignment = {
    service: service.name,
    revision: 1,
    operation,
    ranges: units.map(unit => ({ owner: placed.get(unit) ?? backends[0] ?? '', epoch: 1 })),
    keys: new Map(),
    holders: new Map()
  }
  planHolders(state, service, assignment)
  return assignment
}

/** Takes over what holders changed on their own; a higher epoch always wins. */
function applyReportedJournals (state: ControllerState, next: Assignment): boolean {
  let changed = false
  for (const { report } of state.reports.values()) {
    for (const entry of report.journal) changed = applyReportedEntry(next, entry) || changed
  }
  return changed
}

function applyReportedEntry (next: Assignment, entry: JournalEntry): boolean {
  if (entry.kind === 'router' || entry.service !== next.service) return false
  if (entry.kind === 'holder') return applyReportedHolder(next, entry.backend, entry.to, entry.epoch)
  const known = findStoredEntry(next, entry.unit)
  if (known === undefined || known.epoch >= entry.epoch) return false
  known.owner = entry.to
  known.epoch = entry.epoch
  delete known.wanted
  return true
}

function applyReportedHolder (next: Assignment, backend: string, router: string, epoch: number): boolean {
  const known = next.holders.get(backend)
  if (known === undefined || known.epoch >= epoch) return false
  next.holders.set(backend, { router, epoch })
  return true
}

/** Replaces holders that were succeeded by their successors. */
function applyReportedSuccessions (state: ControllerState, next: Assignment): boolean {
  const successions = listSuccessions(state)
  let changed = false
  for (const [backend, holder] of next.holders) {
    const successor = successions.get(holder.router)
    if (successor === undefined) continue
    next.holders.set(backend, { router: successor, epoch: holder.epoch + 1 })
    changed = true
  }
  return changed
}

/**
 * Replaces holders that nobody could succeed: the router stopped without a
 * successor's answer, or the platform lists it as gone and no guardian follows it.
 */
function replaceLostHolders (state: ControllerState, next: Assignment): boolean {
  let changed = false
  for (const [backend, holder] of next.holders) {
    const rescuer = findRescuer(state, holder)
    if (rescuer === undefined) continue
    const block = Math.floor(holder.epoch / holderEpochBlock) + 1
    next.holders.set(backend, { router: rescuer, epoch: block * holderEpochBlock })
    changed = true
  }
  return changed
}

function findRescuer (state: ControllerState, holder: HolderEntry): string | undefined {
  if (!state.registrations.has(holder.router)) return findHeir(state, holder.router)
  if (!isConfirmedGone(state, holder.router)) return undefined
  const entry = state.fleet.routers.get(holder.router)
  if (entry === undefined) return undefined
  const successorGone = entry.successor === undefined || isAbsent(state, entry.successor)
  const witnessGone = entry.witness !== undefined && isAbsent(state, entry.witness)
  if (successorGone) return findAlive(state, holder.router)
  return witnessGone || !isTakeOverOpen(state, holder.router) ? entry.successor : undefined
}

/**
 * Tells whether somebody may still take over from a lost router by its lease. Its named successor
 * doesn't when it never heard of its ward: the router was lost before it followed a new guardian
 * set. The successor of the set before may, as long as it is stopping.
 */
function isTakeOverOpen (state: ControllerState, lost: string): boolean {
  const goneSince = findGoneSince(state, lost)
  if (goneSince === undefined) return true
  const confirmedAt = goneSince + goneConfirmMs
  const stoppedBy = confirmedAt + longestGraceMs
  if (state.now < stoppedBy && listLiving(state).some(router => isDraining(state, router))) return true
  const stops = [...state.removedAt.values()].filter(at => at < stoppedBy)
  return !hasEveryReportSince(state, Math.max(confirmedAt, ...stops))
}

/**
 * Names the router that follows one which stopped and said so. Its successor
 * may have taken over already, so nobody else may be named while it is there.
 */
function findHeir (state: ControllerState, router: string): string | undefined {
  const successor = state.fleet.routers.get(router)?.successor
  const canFollow = successor !== undefined && state.fleet.routers.has(successor) && !isConfirmedGone(state, successor)
  if (canFollow) return successor
  return hasEveryReportSince(state, state.removedAt.get(router) ?? state.now) ? findAlive(state, router) : undefined
}

/** Tells whether every living router reported since a moment, so that any take-over before it is known. */
function hasEveryReportSince (state: ControllerState, since: number): boolean {
  return listLiving(state).every(router => (state.reports.get(router)?.at ?? -Infinity) > since)
}

function findAlive (state: ControllerState, except: string): string | undefined {
  return listLiving(state).find(name => name !== except)
}

function listLiving (state: ControllerState): string[] {
  return [...state.fleet.routers.keys()].filter(name => state.registrations.has(name) && !isConfirmedGone(state, name))
}

function isAbsent (state: ControllerState, router: string): boolean {
  return !state.fleet.routers.has(router) || isConfirmedGone(state, router)
}
