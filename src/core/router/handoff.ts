import type { JournalEntry, Unit } from '../domain/assignment.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { BackendState, RouterState } from './routerState.js'
import { computeRangeIndex, formatRangeUnit } from '../domain/assignment.js'
import { listOwnedUnits } from './backends.js'
import { moveQueuesToPending } from './dispatch.js'
import { retryInFlight } from './dispatchEnd.js'
import { findUnit, formatUnitId, isUnmovedOverride, resolveHolder } from './ownership.js'
import { chooseTarget } from './handoffTarget.js'

/** Starts a handoff of every unit of a lost backend server. */
export function startLossHandoffs (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  const effects = retryInFlight(state, backend, rules)
  moveQueuesToPending(backend)
  for (const handoff of state.handoffs.values()) {
    if (handoff.from === backend.server.name && handoff.service === backend.service) handoff.isOwnerLost = true
  }
  for (const [unit] of listOwnedUnits(state, backend.service, backend.server.name)) {
    effects.push(...startHandoff(state, backend, unit, undefined, true, [], rules))
  }
  return effects
}

/** Starts a handoff of every unit of a leaving backend server, without cutting off requests in flight. */
export function startLeaveHandoffs (state: RouterState, backend: BackendState, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const [unit] of listOwnedUnits(state, backend.service, backend.server.name)) {
    effects.push(...startHandoff(state, backend, unit, undefined, false, [], rules))
  }
  return effects
}

/** Starts one handoff; without a target, the new owner is chosen among the backend servers not listed in `avoid`. */
export function startHandoff (
  state: RouterState,
  backend: BackendState,
  unit: Unit,
  target: string | undefined,
  isLost: boolean,
  avoid: readonly string[],
  rules: RouterRules
): RouterEffect[] {
  const id = formatUnitId(backend.service, unit)
  const active = state.handoffs.get(id)
  if (active !== undefined && active.phase !== 'done') return []
  const assignment = state.assignments.get(backend.service)
  if (assignment === undefined) return []
  const entry = findUnit(state, assignment, unit, false)
  if (entry === undefined || entry.owner !== backend.server.name) return []
  const avoided = [...avoid, backend.server.name]
  const to = target ?? chooseTarget(state, backend.service, unit, avoided, rules)
  if (to === undefined || to === backend.server.name) return []
  state.handoffs.set(id, {
    service: backend.service,
    unit,
    from: backend.server.name,
    to,
    epoch: entry.epoch + 1,
    phase: 'draining',
    isOwnerLost: isLost,
    journalRevision: 0,
    nextSendAt: 0,
    startedAt: state.now,
    avoid: target === undefined ? avoided : []
  })
  if (unit.startsWith('r')) dropUnmovedKeyHandoffs(state, backend, unit, rules)
  backend.grant.isStale = true
  return [{
    kind: 'log',
    event: 'handoffStarted',
    fields: { service: backend.service, unit, from: backend.server.name, to, epoch: entry.epoch + 1, lost: isLost }
  }]
}

/** Drops handoffs of single keys out of a range that moves as a whole, unless they are already in the journal. */
function dropUnmovedKeyHandoffs (state: RouterState, backend: BackendState, unit: Unit, rules: RouterRules): void {
  const assignment = state.assignments.get(backend.service)
  if (assignment === undefined) return
  for (const [id, handoff] of state.handoffs) {
    if (handoff.service !== backend.service || !handoff.unit.startsWith('k')) continue
    if (handoff.phase !== 'draining' && handoff.phase !== 'fencing') continue
    const key = handoff.unit.slice(1)
    const override = findUnit(state, assignment, handoff.unit, false)
    if (override === undefined || !isUnmovedOverride(override)) continue
    const range = formatRangeUnit(computeRangeIndex(rules.hashKey(key), assignment.ranges.length))
    if (range === unit) state.handoffs.delete(id)
  }
}

/** Drops the handoffs of a returned backend server that are not in the journal yet, so that it keeps those units. */
export function dropUnjournaledHandoffs (state: RouterState, backend: BackendState): void {
  for (const [id, handoff] of state.handoffs) {
    if (handoff.service !== backend.service || handoff.from !== backend.server.name || !handoff.isOwnerLost) continue
    if (handoff.phase === 'draining' || handoff.phase === 'fencing') state.handoffs.delete(id)
  }
}

/** Resumes the handoffs recorded in the journal of a router that this router has succeeded. */
export function startInheritedHandoffs (state: RouterState, entries: readonly JournalEntry[]): void {
  for (const entry of entries) {
    if (entry.kind !== 'unit') continue
    const id = formatUnitId(entry.service, entry.unit)
    const holder = resolveHolder(state, entry.service, entry.from)
    if (holder?.router !== state.self) continue
    if (state.handoffs.has(id)) continue
    state.handoffs.set(id, {
      service: entry.service,
      unit: entry.unit,
      from: entry.from,
      to: entry.to,
      epoch: entry.epoch,
      phase: 'assuming',
      isOwnerLost: true,
      journalRevision: state.lease.journalRevision,
      nextSendAt: 0,
      startedAt: state.now,
      avoid: [entry.from]
    })
  }
}
