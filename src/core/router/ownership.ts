import type { Assignment, JournalEntry, Unit, UnitEntry } from '../domain/assignment.js'
import type { RouterState } from './routerState.js'
import { computeRangeIndex, findStoredEntry, formatKeyUnit, formatRangeUnit } from '../domain/assignment.js'

/** Maximum number of successions followed from a stored holder. */
const maxSuccessionHops = 8

/** Builds the map key of a unit of a service. */
export function formatUnitId (service: string, unit: Unit): string {
  return `${service}/${unit}`
}

/** Builds the map key of a backend server of a service. */
export function formatBackendId (service: string, backend: string): string {
  return `${service}/${backend}`
}

/** Finds the newest entry of a unit in the stored assignment, the journal and, if `isForRouting`, the hints. */
export function findUnit (
  state: RouterState,
  assignment: Assignment,
  unit: Unit,
  isForRouting: boolean
): UnitEntry | undefined {
  const stored = findStoredEntry(assignment, unit)
  const id = formatUnitId(assignment.service, unit)
  let newest = stored
  const overlay = state.unitOverlay.get(id)
  if (overlay !== undefined && overlay.epoch > (newest?.epoch ?? -1)) {
    newest = { owner: overlay.owner, epoch: overlay.epoch, base: stored?.base }
  }
  if (!isForRouting) return newest
  const hint = state.ownerHints.get(id)
  if (hint !== undefined && hint.epoch > (newest?.epoch ?? -1)) {
    newest = { owner: hint.owner, epoch: hint.epoch, base: stored?.base }
  }
  return newest
}

/** The unit that determines the owner of a key, with its entry. */
export type ResolvedUnit = { unit: Unit, entry: UnitEntry }

/**
 * Resolves the unit that determines the owner of a key. A single-key override
 * that has not moved yet still belongs to its range, so the range determines it.
 */
export function resolveKey (
  state: RouterState,
  assignment: Assignment,
  key: string,
  hash: number,
  isForRouting: boolean
): ResolvedUnit | undefined {
  const rangeUnit = formatRangeUnit(computeRangeIndex(hash, assignment.ranges.length))
  const range = findUnit(state, assignment, rangeUnit, isForRouting)
  if (range === undefined) return undefined
  const keyUnit = formatKeyUnit(key)
  const override = findUnit(state, assignment, keyUnit, isForRouting)
  if (override === undefined || isUnmovedOverride(override)) return { unit: rangeUnit, entry: range }
  return { unit: keyUnit, entry: override }
}

/** Returns whether a single-key override has not moved out of its range yet. */
export function isUnmovedOverride (override: UnitEntry): boolean {
  return override.base !== undefined && override.epoch === override.base
}

/** Resolves the current holder of a backend server and its epoch, which each succession raises by one. */
export function resolveHolder (
  state: RouterState,
  service: string,
  backend: string
): { router: string, epoch: number } | undefined {
  const stored = state.assignments.get(service)?.holders.get(backend)
  const overlay = state.holderOverlay.get(formatBackendId(service, backend))
  let current: { router: string, epoch: number } | undefined = stored
  if (overlay !== undefined && overlay.epoch > (stored?.epoch ?? -1)) current = overlay
  if (current === undefined) return undefined
  let router = current.router
  let epoch = current.epoch
  for (let hop = 0; hop < maxSuccessionHops; hop++) {
    const next = state.successions.get(router)
    if (next === undefined) break
    router = next
    epoch += 1
  }
  return { router, epoch }
}

/** Rebuilds the overlays from the journal; must be called after each change of the journal. */
export function applyJournal (state: RouterState): void {
  state.unitOverlay.clear()
  state.holderOverlay.clear()
  state.successions.clear()
  for (const entry of state.lease.journal) applyJournalEntry(state, entry)
}

function applyJournalEntry (state: RouterState, entry: JournalEntry): void {
  if (entry.kind === 'router') {
    state.successions.set(entry.from, entry.to)
    return
  }
  if (entry.kind === 'holder') {
    const id = formatBackendId(entry.service, entry.backend)
    const existing = state.holderOverlay.get(id)
    if (existing !== undefined && existing.epoch >= entry.epoch) return
    state.holderOverlay.set(id, { router: entry.to, epoch: entry.epoch })
    return
  }
  const id = formatUnitId(entry.service, entry.unit)
  const existing = state.unitOverlay.get(id)
  if (existing !== undefined && existing.epoch >= entry.epoch) return
  state.unitOverlay.set(id, { owner: entry.to, epoch: entry.epoch })
}

/** Returns whether the records read from the store already include the change of a journal entry. */
export function isEntryStored (state: RouterState, entry: JournalEntry): boolean {
  if (entry.kind === 'router') return isSuccessionStored(state, entry.from)
  const assignment = state.assignments.get(entry.service)
  if (assignment === undefined) return false
  if (entry.kind === 'holder') return (assignment.holders.get(entry.backend)?.epoch ?? -1) >= entry.epoch
  return (findStoredEntry(assignment, entry.unit)?.epoch ?? -1) >= entry.epoch
}

function isSuccessionStored (state: RouterState, router: string): boolean {
  if (state.fleet.revision === 0) return false
  if (state.fleet.routers.has(router)) return false
  for (const assignment of state.assignments.values()) {
    for (const holder of assignment.holders.values()) {
      if (holder.router === router) return false
    }
  }
  return true
}
