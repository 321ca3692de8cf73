import type { JournalEntry } from '../domain/assignment.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { BackendState, Handoff, RouterState } from './routerState.js'
import { findStoredEntry } from '../domain/assignment.js'
import { moveDrainTimeoutMs, moveRetryDelayMs } from '../limits.js'
import { isForUnit } from './backends.js'
import { hasInFlight } from './dispatch.js'
import { buildGrantMessage } from './grantMessage.js'
import { addToJournal } from './journal.js'
import { findUnit, formatBackendId } from './ownership.js'
import { sendAssumeMessages, answerPendingAssumes, finishHandoffs } from './handoffAssume.js'

/** Advances every handoff as far as currently possible. */
export function advanceHandoffs (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (state.handoffs.size === 0 && state.pendingAssumes.size === 0) return []
  if (!rules.isLeaseValid(state, state.now)) return []
  const effects: RouterEffect[] = []
  addFencedHandoffsToJournal(state, rules)
  for (const [id, handoff] of state.handoffs) {
    effects.push(...advanceHandoff(state, handoff, rules))
    if (handoff.phase === 'done' && isNewOwnerRecorded(state, handoff)) state.handoffs.delete(id)
  }
  effects.push(...sendAssumeMessages(state, rules), ...answerPendingAssumes(state, rules))
  return effects
}

/** Returns whether the stored assignment or the journal shows a finished handoff, which can then be removed. */
function isNewOwnerRecorded (state: RouterState, handoff: Handoff): boolean {
  const assignment = state.assignments.get(handoff.service)
  if (assignment === undefined) return false
  const entry = findUnit(state, assignment, handoff.unit, false)
  return entry !== undefined && entry.epoch >= handoff.epoch
}

/** Adds, in one revision, all handoffs whose old owner can no longer act, and drops those that timed out. */
function addFencedHandoffsToJournal (state: RouterState, rules: RouterRules): void {
  const fenced: Handoff[] = []
  for (const [id, handoff] of state.handoffs) {
    const backend = state.backends.get(formatBackendId(handoff.service, handoff.from))
    if (backend === undefined) continue
    if (isDrainTimedOut(state, backend, handoff)) {
      state.handoffs.delete(id)
      backend.grant.isStale = true
      continue
    }
    if (handoff.phase === 'draining' && isDrained(backend, handoff)) handoff.phase = 'fencing'
    if (handoff.phase === 'fencing' && isFenced(state, backend, handoff, rules)) fenced.push(handoff)
  }
  if (fenced.length === 0) return
  const revision = addToJournal(state, fenced.map(buildJournalEntry))
  for (const handoff of fenced) {
    handoff.phase = 'journaling'
    handoff.journalRevision = revision
  }
}

/**
 * Returns whether a planned move has waited for `moveDrainTimeoutMs` for requests in flight
 * or fencing. The caller then drops it; it can be retried after `moveRetryDelayMs`.
 */
function isDrainTimedOut (state: RouterState, backend: BackendState, handoff: Handoff): boolean {
  if (handoff.isOwnerLost || backend.status !== 'ready') return false
  if (handoff.phase !== 'draining' && handoff.phase !== 'fencing') return false
  if (state.now - handoff.startedAt < moveDrainTimeoutMs) return false
  backend.nextMoveAt = state.now + moveRetryDelayMs
  return true
}

function buildJournalEntry (handoff: Handoff): JournalEntry {
  const { service, unit, from, to, epoch } = handoff
  return { kind: 'unit', service, unit, from, to, epoch }
}

/** A planned handoff waits for requests in flight to finish; a lost backend server is fenced instead. */
function isDrained (backend: BackendState, handoff: Handoff): boolean {
  if (handoff.isOwnerLost) return true
  return !hasInFlight(backend, handoff.unit)
}

/** Returns whether the old owner can no longer act on the unit. */
function isFenced (state: RouterState, backend: BackendState, handoff: Handoff, rules: RouterRules): boolean {
  if (backend.checksGrants) return isGrantRevoked(state, backend, rules)
  if (!rules.isFenceOver(backend.inheritedUnknownUntil, state.now)) return false
  for (const inherited of backend.inheritedRequests) {
    if (isForUnit(inherited, handoff.unit) && !rules.isFenceOver(inherited.until, state.now)) return false
  }
  if (!handoff.isOwnerLost) return true
  if (backend.consecutiveRefusals > 0) return true
  for (const request of backend.inFlight.values()) {
    if (isForUnit(request, handoff.unit) && !rules.isFenceOver(request.deadlineAt, state.now)) return false
  }
  return true
}

function isGrantRevoked (state: RouterState, backend: BackendState, rules: RouterRules): boolean {
  const grant = backend.grant
  if (!grant.isStale && grant.ackedSet === grant.set && backend.status !== 'lost') return true
  return rules.isFenceOver(grant.fenceUntil, state.now)
}

function advanceHandoff (state: RouterState, handoff: Handoff, rules: RouterRules): RouterEffect[] {
  if (handoff.phase === 'journaling' && rules.isJournalReplicated(state, handoff.journalRevision)) handoff.phase = 'assuming'
  if (handoff.phase === 'assuming' && isHandoffStored(state, handoff)) {
    return finishHandoffs(state, handoff.service, [{ unit: handoff.unit, epoch: handoff.epoch }], rules)
  }
  if (handoff.phase === 'draining' || handoff.phase === 'fencing') return sendRevocation(state, handoff)
  return []
}

/** Once the stored assignment shows the handoff, the new owner's holder reads it there and needs no message. */
function isHandoffStored (state: RouterState, handoff: Handoff): boolean {
  const assignment = state.assignments.get(handoff.service)
  const stored = assignment === undefined ? undefined : findStoredEntry(assignment, handoff.unit)
  return stored !== undefined && stored.epoch >= handoff.epoch
}

function sendRevocation (state: RouterState, handoff: Handoff): RouterEffect[] {
  const backend = state.backends.get(formatBackendId(handoff.service, handoff.from))
  if (backend === undefined || !backend.grant.isStale || backend.status === 'lost') return []
  return [buildGrantMessage(state, backend)]
}
