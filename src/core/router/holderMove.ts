import type { JournalEntry } from '../domain/assignment.js'
import type { ControlMessage } from '../domain/control.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { BackendState, HolderMove, RouterState } from './routerState.js'
import { controlResendMs } from '../limits.js'
import { addInheritedRequests, anyUnit, computeLongestDeadline, listInFlight } from './backends.js'
import { refuseWaiting } from './refusal.js'
import { addToJournal } from './journal.js'
import { formatBackendId, resolveHolder } from './ownership.js'

type HolderMoved = Extract<ControlMessage, { kind: 'holder-moved' }>
type HolderMovedReply = Extract<ControlMessage, { kind: 'holder-moved-reply' }>

/** Starts the holder moves that the controller requests in the assignment. */
export function startWantedHolderMoves (state: RouterState, service: string): void {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return
  for (const [backend, entry] of assignment.holders) {
    if (entry.wanted === undefined || entry.wanted === state.self) continue
    startHolderMove(state, service, backend, entry.wanted)
  }
}

function startHolderMove (state: RouterState, service: string, backend: string, to: string): void {
  const id = formatBackendId(service, backend)
  if (state.holderMoves.has(id)) return
  const holder = resolveHolder(state, service, backend)
  if (holder === undefined || holder.router !== state.self) return
  if (state.peers.get(to) === 'down' || !state.fleet.routers.has(to)) return
  if (hasActiveHandoffs(state, service, backend)) return
  state.holderMoves.set(id, {
    service,
    backend,
    to,
    epoch: holder.epoch + 1,
    phase: 'draining',
    journalRevision: 0,
    nextSendAt: 0
  })
}

function hasActiveHandoffs (state: RouterState, service: string, backend: string): boolean {
  for (const handoff of state.handoffs.values()) {
    if (handoff.service !== service || handoff.phase === 'done') continue
    if (handoff.from === backend || handoff.to === backend) return true
  }
  return false
}

/** Advances every holder move as far as currently possible. */
export function advanceHolderMoves (state: RouterState, rules: RouterRules): RouterEffect[] {
  if (state.holderMoves.size === 0) return []
  const effects: RouterEffect[] = []
  for (const [id, move] of state.holderMoves) {
    const stored = state.assignments.get(move.service)?.holders.get(move.backend)
    // The stored assignment shows this move or a later one, so the new holder needs no message.
    if (move.phase !== 'draining' && stored !== undefined && stored.epoch >= move.epoch) move.phase = 'done'
    else effects.push(...advanceHolderMove(state, id, move, rules))
    if (move.phase === 'done') state.holderMoves.delete(id)
  }
  return effects
}

function advanceHolderMove (state: RouterState, id: string, move: HolderMove, rules: RouterRules): RouterEffect[] {
  const backend = state.backends.get(id)
  if (move.phase === 'draining') {
    if (!rules.isLeaseValid(state, state.now)) return []
    return addHolderMoveToJournal(state, move, backend, rules)
  }
  if (move.phase === 'journaling' && rules.isJournalReplicated(state, move.journalRevision)) move.phase = 'notifying'
  if (move.phase !== 'notifying' || state.now < move.nextSendAt) return []
  move.nextSendAt = state.now + controlResendMs
  return [{ kind: 'send-control', to: move.to, message: buildHolderMovedMessage(state, move, backend) }]
}

/** Journals the new holder and stops sending requests; those in flight continue and are reported to the new holder. */
function addHolderMoveToJournal (
  state: RouterState,
  move: HolderMove,
  backend: BackendState | undefined,
  rules: RouterRules
): RouterEffect[] {
  const { service, to, epoch } = move
  move.phase = 'journaling'
  const entry: JournalEntry = { kind: 'holder', service, backend: move.backend, from: state.self, to, epoch }
  move.journalRevision = addToJournal(state, [entry])
  return backend === undefined ? [] : refuseWaiting(state, backend)
}

function buildHolderMovedMessage (state: RouterState, move: HolderMove, backend: BackendState | undefined): HolderMoved {
  const team = state.services.get(move.service)?.team
  const longestDeadlineMs = team === undefined ? 0 : computeLongestDeadline(team)
  const unknownRequests = [{ backend: formatBackendId(move.service, move.backend), unit: anyUnit, key: '', deadlineMs: longestDeadlineMs }]
  return {
    kind: 'holder-moved',
    service: move.service,
    backend: move.backend,
    from: state.self,
    to: move.to,
    epoch: move.epoch,
    revision: state.assignments.get(move.service)?.revision ?? 0,
    inFlight: backend === undefined ? unknownRequests : listInFlight(state, backend),
    units: state.lease.journal.filter(entry => entry.kind === 'unit' && entry.service === move.service)
  }
}

/** Takes over a backend server from its previous holder. */
export function applyHolderMoved (state: RouterState, from: string, message: HolderMoved): RouterEffect[] {
  const { service, backend, to, epoch } = message
  if ((state.assignments.get(service)?.revision ?? 0) < message.revision) return []
  const id = formatBackendId(service, backend)
  const current = resolveHolder(state, service, backend)
  if (current === undefined || current.epoch < epoch) {
    const entry: JournalEntry = { kind: 'holder', service, backend, from: message.from, to, epoch }
    addToJournal(state, [...message.units, entry])
    const backendState = state.backends.get(id)
    if (backendState !== undefined) addInheritedRequests(state, backendState, message.inFlight)
  }
  return [{ kind: 'send-control', to: from, message: { kind: 'holder-moved-reply', service, backend, to, epoch } }]
}

/** Finishes a holder move when the new holder has taken over. */
export function applyHolderMovedReply (state: RouterState, message: HolderMovedReply): RouterEffect[] {
  const move = state.holderMoves.get(formatBackendId(message.service, message.backend))
  if (move === undefined || move.epoch !== message.epoch) return []
  move.phase = 'done'
  return [{
    kind: 'log',
    event: 'holderMoved',
    fields: { service: message.service, backend: message.backend, to: message.to, epoch: message.epoch }
  }]
}

/** Resumes the holder moves recorded in the journal of a router that this router has succeeded. */
export function startInheritedHolderMoves (state: RouterState, entries: readonly JournalEntry[]): void {
  for (const entry of entries) {
    if (entry.kind !== 'holder' || entry.to === state.self) continue
    const id = formatBackendId(entry.service, entry.backend)
    if (state.holderMoves.has(id)) continue
    state.holderMoves.set(id, {
      service: entry.service,
      backend: entry.backend,
      to: entry.to,
      epoch: entry.epoch,
      phase: 'notifying',
      journalRevision: state.lease.journalRevision,
      nextSendAt: 0
    })
  }
}
