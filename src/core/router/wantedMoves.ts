import type { Unit } from '../domain/assignment.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { BackendState, RouterState } from './routerState.js'
import { computeRangeIndex, findStoredEntry, formatRangeUnit, listUnits } from '../domain/assignment.js'
import { moveRetryDelayMs } from '../limits.js'
import { isForUnit } from './backends.js'
import { findUnit, formatBackendId, formatUnitId, isUnmovedOverride } from './ownership.js'
import { startLossHandoffs, startLeaveHandoffs, startHandoff } from './handoff.js'

/** Starts the unit moves that the controller requests in the assignment. */
export function startWantedMoves (state: RouterState, service: string, rules: RouterRules): RouterEffect[] {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return []
  const effects: RouterEffect[] = []
  for (const [unit, entry] of listUnits(assignment)) {
    if (entry.wanted !== undefined) effects.push(...startWantedMove(state, service, unit, entry.wanted, rules))
  }
  return effects
}

function startWantedMove (
  state: RouterState,
  service: string,
  unit: Unit,
  wanted: string,
  rules: RouterRules
): RouterEffect[] {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return []
  const stored = findStoredEntry(assignment, unit)
  const entry = findUnit(state, assignment, unit, false)
  if (entry === undefined || entry.epoch !== stored?.epoch || entry.owner === wanted) return []
  if (isUnmovedOverride(entry) && !isRangeAtBaseEpoch(state, service, unit, entry.base, rules)) return []
  const backend = state.backends.get(formatBackendId(service, entry.owner))
  if (backend === undefined || !backend.isHeld || backend.status === 'lost') return []
  if (state.now < backend.nextMoveAt || isBlockedByEarlierRequests(state, backend, unit)) return []
  return startHandoff(state, backend, unit, wanted, false, [], rules)
}

/** A move is not started while requests sent by an earlier holder would block it. */
function isBlockedByEarlierRequests (state: RouterState, backend: BackendState, unit: Unit): boolean {
  if (backend.checksGrants) return false
  if (backend.inheritedUnknownUntil > state.now) return true
  return backend.inheritedRequests.some(inherited => inherited.until > state.now && isForUnit(inherited, unit))
}

/** A new override is valid only while its range has the epoch that the controller saw and is not in a handoff. */
function isRangeAtBaseEpoch (
  state: RouterState,
  service: string,
  unit: Unit,
  base: number | undefined,
  rules: RouterRules
): boolean {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return false
  const rangeUnit = formatRangeUnit(computeRangeIndex(rules.hashKey(unit.slice(1)), assignment.ranges.length))
  const range = findUnit(state, assignment, rangeUnit, false)
  if (range === undefined || range.epoch !== base) return false
  return !state.handoffs.has(formatUnitId(service, rangeUnit))
}

/** Starts handoffs of units that a lost or leaving backend server still owns, for instance when a target appears late. */
export function retryLossAndLeaveHandoffs (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (!rules.isLeaseValid(state, state.now)) return []
  const effects: RouterEffect[] = []
  for (const backend of state.backends.values()) {
    if (!backend.isHeld) continue
    if (backend.status !== 'lost' && backend.status !== 'leaving') continue
    if (state.now < backend.nextGrantAt) continue
    const isLost = backend.status === 'lost'
    effects.push(...(isLost ? startLossHandoffs(state, backend, rules) : startLeaveHandoffs(state, backend, rules)))
  }
  return effects
}

/** Retries planned moves that timed out or were blocked. */
export function retryWantedMoves (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (state.now < state.nextMoveCheckAt) return []
  state.nextMoveCheckAt = state.now + moveRetryDelayMs / 2
  const effects: RouterEffect[] = []
  for (const service of state.assignments.keys()) effects.push(...startWantedMoves(state, service, rules))
  return effects
}
