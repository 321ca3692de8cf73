import type { Assignment, Fleet } from '../domain/assignment.js'
import type { TeamDocument } from '../domain/document.js'
import type { RouterEffect } from './routerEffects.js'
import type { StoreRecord } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { updateHoldings } from './backends.js'
import { refuseWaiting } from './refusal.js'
import { startDrainAfterLeaseLoss } from './drain.js'
import { startWantedMoves } from './wantedMoves.js'
import { startWantedHolderMoves } from './holderMove.js'
import { retryWaiting } from './ingress.js'
import { dropStoredEntries } from './journal.js'
import { applyOwnFleetEntry } from './lease.js'
import { hasRevisions } from './revisions.js'
import { findUnit } from './ownership.js'
import { dropDepartedPeers } from './guardedPeers.js'

/** Applies a record read from the store; an older revision never replaces a newer one. */
export function applyRecord (state: RouterState, record: StoreRecord, rules: RouterRules): RouterEffect[] {
  const effects = applyRecordByKind(state, record, rules)
  dropStoredEntries(state)
  dropOutdatedHints(state)
  updateHoldings(state)
  for (const backend of state.backends.values()) {
    if (!backend.isHeld) effects.push(...refuseWaiting(state, backend))
  }
  for (const service of state.assignments.keys()) {
    effects.push(...startWantedMoves(state, service, rules))
    startWantedHolderMoves(state, service)
  }
  if (state.phase === 'starting' && isReadyToServe(state)) state.phase = 'serving'
  retryWaiting(state)
  return effects
}

function applyRecordByKind (state: RouterState, record: StoreRecord, rules: RouterRules): RouterEffect[] {
  if (record.kind === 'document') return applyDocument(state, record.document, rules)
  if (record.kind === 'assignment') return applyAssignment(state, record.assignment, rules)
  if (record.kind === 'fleet') return applyFleet(state, record.fleet, rules)
  if (record.kind === 'document-removed') return dropDocument(state, record.team)
  return [{ kind: 'log', event: 'recordRejected', fields: { key: record.key, problem: record.problem } }]
}

function applyDocument (state: RouterState, document: TeamDocument, rules: RouterRules): RouterEffect[] {
  const current = state.documents.get(document.team)?.revision ?? 0
  const fields = { team: document.team, revision: document.revision, current }
  if (!rules.mayAcceptRevision(current, document.revision)) {
    return current === document.revision ? [] : [{ kind: 'log', event: 'documentIgnored', fields }]
  }
  state.documents.set(document.team, document)
  updateServices(state)
  return [{ kind: 'log', event: 'documentApplied', fields }]
}

function dropDocument (state: RouterState, team: string): RouterEffect[] {
  if (!state.documents.delete(team)) return []
  updateServices(state)
  return []
}

function updateServices (state: RouterState): void {
  state.services.clear()
  state.servicesByHost.clear()
  for (const team of state.documents.values()) {
    for (const service of team.services) {
      state.services.set(service.name, { service, team })
      state.servicesByHost.set(service.host, { service, team })
    }
  }
}

function applyAssignment (state: RouterState, assignment: Assignment, rules: RouterRules): RouterEffect[] {
  const current = state.assignments.get(assignment.service)?.revision ?? 0
  if (!rules.mayAcceptRevision(current, assignment.revision)) return []
  state.assignments.set(assignment.service, assignment)
  state.holderHints.clear()
  return [{
    kind: 'log',
    event: 'assignmentApplied',
    fields: { service: assignment.service, revision: assignment.revision }
  }]
}

function applyFleet (state: RouterState, fleet: Fleet, rules: RouterRules): RouterEffect[] {
  if (!rules.mayAcceptRevision(state.fleet.revision, fleet.revision)) return []
  state.fleet = fleet
  const ownEntry = fleet.routers.get(state.self)
  if (ownEntry !== undefined) applyOwnFleetEntry(state, ownEntry)
  const isDeposed = ownEntry === undefined && state.lease.generation > 0
  dropDepartedPeers(state)
  return [
    ...isDeposed ? startDrainAfterLeaseLoss(state) : [],
    { kind: 'log', event: 'fleetApplied', fields: { revision: fleet.revision, routers: fleet.routers.size } },
    { kind: 'connect-peers', routers: [...fleet.routers.values()].filter(entry => entry.router !== state.self) }
  ]
}

/** Removes hints that are not newer than the stored assignment or the journal. */
function dropOutdatedHints (state: RouterState): void {
  for (const [id, hint] of state.ownerHints) {
    const separator = id.lastIndexOf('/')
    const assignment = state.assignments.get(id.slice(0, separator))
    if (assignment === undefined) continue
    const entry = findUnit(state, assignment, id.slice(separator + 1), false)
    if (entry !== undefined && entry.epoch >= hint.epoch) state.ownerHints.delete(id)
  }
}

/**
 * Returns whether this router may start to serve: the fleet lists it, every service
 * has an assignment, and no document is older than the revisions that peers reported.
 */
function isReadyToServe (state: RouterState): boolean {
  if (!state.fleet.routers.has(state.self) || state.documents.size === 0) return false
  for (const name of state.services.keys()) {
    if (!state.assignments.has(name)) return false
  }
  const documents = [...state.knownRevisions].filter(([name]) => name.startsWith('document:'))
  return hasRevisions(state, new Map(documents))
}
