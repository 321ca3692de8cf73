import type { Step } from '../step.js'
import { holderEpochBlockSize } from '../domain/assignment.js'
import type { Assignment } from '../domain/assignment.js'
import type { RouterReport } from '../domain/control.js'
import type { Service } from '../domain/document.js'
import type { HostList } from '../domain/hostList.js'
import type { ControllerEffect, ControllerEvent, ControllerRecord, ControllerState } from './controllerState.js'
import type { ControllerRules } from './rules.js'
import { planAssignment } from './planAssignment.js'
import { listTakeovers, planFleet } from './planFleet.js'

/** Store key of the fleet record. */
export const fleetKey = 'fulmar/fleet'
/** Prefix of the store keys of assignments. */
export const assignmentPrefix = 'fulmar/assignments/'
/** Time between two planning runs, in milliseconds. */
const planIntervalMs = 250
/** Time after which a pending write is given up and planned again, in milliseconds. */
const writeTimeoutMs = 2000
/** Weight of the newest report in the exponential moving average of load, 0 to 1. */
const newestReportWeight = 0.4

/** Applies one event to a controller's state. */
export function reduceController (
  state: ControllerState,
  event: ControllerEvent,
  rules: ControllerRules
): Step<ControllerState, ControllerEffect> {
  state.now = Math.max(state.now, event.now)
  return { state, effects: applyEvent(state, event, rules) }
}

function applyEvent (state: ControllerState, event: ControllerEvent, rules: ControllerRules): ControllerEffect[] {
  switch (event.kind) {
    case 'tick': return planWrites(state, rules)
    case 'record-changed': {
      applyRecord(state, event.key, event.modRevision, event.record)
      return []
    }
    case 'report-received': {
      applyReport(state, event.report)
      return []
    }
    case 'hosts-listed': {
      applyHosts(state, event.hosts)
      return []
    }
    case 'write-ended': return handleWriteResult(state, event)
    case 'leadership-changed': return applyLeadership(state, event.leading)
  }
}

function applyLeadership (state: ControllerState, leading: boolean): ControllerEffect[] {
  if (state.leading === leading) return []
  state.leading = leading
  return [{ kind: 'log', event: leading ? 'leadershipGained' : 'leadershipLost', fields: { controller: state.self } }]
}

function applyRecord (state: ControllerState, key: string, modRevision: number, record: ControllerRecord): void {
  if (modRevision < (state.modRevisions.get(key) ?? 0)) return
  state.modRevisions.set(key, modRevision)
  state.pendingWrites.delete(key)
  state.nextPlanAt = Math.min(state.nextPlanAt, state.now)
  switch (record.kind) {
    case 'document': {
      const knownRevision = state.documents.get(record.document.team)?.revision ?? 0
      if (record.document.revision > knownRevision) state.documents.set(record.document.team, record.document)
      return
    }
    case 'assignment': {
      const knownRevision = state.assignments.get(record.assignment.service)?.revision ?? 0
      if (record.assignment.revision > knownRevision) state.assignments.set(record.assignment.service, record.assignment)
      return
    }
    case 'fleet': {
      if (record.fleet.revision > state.fleet.revision) state.fleet = record.fleet
      return
    }
    case 'registration': {
      state.registrations.set(record.registration.router, record.registration)
      return
    }
    case 'registration-removed': {
      state.registrations.delete(record.router)
      state.registrationRemovedAt.set(record.router, state.now)
      return
    }
    case 'document-removed': {
      state.documents.delete(record.team)
    }
  }
}

function applyReport (state: ControllerState, report: RouterReport): void {
  state.reports.set(report.router, { report, receivedAt: state.now })
  const seconds = Math.max(0.05, report.intervalMs / 1000)
  for (const load of report.loads) {
    const id = `${load.service}/${load.unit}`
    const previous = state.loads.get(id)
    const requests = computeMovingAverage(previous?.requestsPerSecond, load.requests / seconds)
    const busy = computeMovingAverage(previous?.busyPerSecond, load.busyMs / seconds)
    state.loads.set(id, { service: load.service, unit: load.unit, requestsPerSecond: requests, busyPerSecond: busy })
  }
  for (const hotKey of report.hotKeys) {
    const id = `${hotKey.service}/${hotKey.key}`
    const perSecond = computeMovingAverage(state.hotKeys.get(id)?.perSecond, hotKey.requests / seconds)
    state.hotKeys.set(id, { service: hotKey.service, key: hotKey.key, perSecond })
  }
  state.nextPlanAt = Math.min(state.nextPlanAt, state.now)
}

function computeMovingAverage (previous: number | undefined, observed: number): number {
  return previous === undefined ? observed : previous + (observed - previous) * newestReportWeight
}

function applyHosts (state: ControllerState, hosts: HostList): void {
  state.hosts = hosts
  for (const [address, status] of hosts) {
    if (status !== 'gone') state.goneSince.delete(address)
    else if (!state.goneSince.has(address)) state.goneSince.set(address, state.now)
  }
}

function planWrites (state: ControllerState, rules: ControllerRules): ControllerEffect[] {
  if (!state.leading || state.now < state.nextPlanAt) return []
  state.nextPlanAt = state.now + planIntervalMs
  for (const [key, write] of state.pendingWrites) {
    if (state.now - write.since > writeTimeoutMs) state.pendingWrites.delete(key)
  }
  const effects = [...planFleetWrite(state), ...removeSupersededRegistrations(state)]
  for (const document of state.documents.values()) {
    for (const service of document.services) effects.push(...planServiceWrite(state, service.name, rules))
  }
  return effects
}

function planFleetWrite (state: ControllerState): ControllerEffect[] {
  if (state.pendingWrites.has(fleetKey)) return []
  const fleet = planFleet(state, createOperationId(state))
  if (fleet === undefined) return []
  startWrite(state, fleetKey, fleet.operation, undefined)
  return [
    { kind: 'log', event: 'fleetPlanned', fields: { revision: fleet.revision, routers: fleet.routers.size } },
    { kind: 'write-fleet', key: fleetKey, expected: state.modRevisions.get(fleetKey) ?? 0, fleet }
  ]
}

function planServiceWrite (state: ControllerState, name: string, rules: ControllerRules): ControllerEffect[] {
  const key = assignmentPrefix + name
  if (state.pendingWrites.has(key)) return []
  const service = findService(state, name)
  if (service === undefined) return []
  const assignment = planAssignment(state, service, createOperationId(state), rules)
  if (assignment === undefined) return []
  startWrite(state, key, assignment.operation, assignment)
  return [
    { kind: 'log', event: 'assignmentPlanned', fields: { service: name, revision: assignment.revision } },
    ...buildChangeLogs(state.assignments.get(name), assignment),
    { kind: 'write-assignment', key, expected: state.modRevisions.get(key) ?? 0, assignment }
  ]
}

/** Builds log events for the hot keys that got their own entries and the lost holders that were replaced. */
function buildChangeLogs (current: Assignment | undefined, next: Assignment): ControllerEffect[] {
  const effects: ControllerEffect[] = []
  if (current === undefined) return effects
  for (const key of next.keys.keys()) {
    if (!current.keys.has(key)) effects.push({ kind: 'log', event: 'keySplit', fields: { service: next.service, key } })
  }
  for (const [backend, holder] of next.holders) {
    const isReplaced = holder.epoch % holderEpochBlockSize === 0 && holder.epoch !== current.holders.get(backend)?.epoch
    if (isReplaced) effects.push({ kind: 'log', event: 'rescued', fields: { service: next.service, backend, router: holder.router } })
  }
  return effects
}

function findService (state: ControllerState, name: string): Service | undefined {
  for (const document of state.documents.values()) {
    const service = document.services.find(each => each.name === name)
    if (service !== undefined) return service
  }
  return undefined
}

/** Deletes registrations of routers that were taken over and removed from the fleet. */
function removeSupersededRegistrations (state: ControllerState): ControllerEffect[] {
  const effects: ControllerEffect[] = []
  for (const router of listTakeovers(state).keys()) {
    if (!state.registrations.has(router) || state.fleet.routers.has(router)) continue
    state.registrations.delete(router)
    effects.push({ kind: 'delete-registration', router })
  }
  return effects
}

function createOperationId (state: ControllerState): string {
  state.operationCount += 1
  return `${state.self}:${state.operationCount}`
}

function startWrite (state: ControllerState, key: string, operation: string, assignment: Assignment | undefined): void {
  state.pendingWrites.set(key, { operation, since: state.now, assignment })
}

/** Counts the result of a write. Unless it succeeded, the records are read again and planned from. */
function handleWriteResult (state: ControllerState, event: Extract<ControllerEvent, { kind: 'write-ended' }>): ControllerEffect[] {
  const countEffect: ControllerEffect = { kind: 'count', metric: 'writes', result: event.result }
  if (event.result === 'written') return [countEffect]
  const name = event.result === 'conflict' ? 'writeConflict' : 'writeUnknown'
  return [
    countEffect,
    { kind: 'log', event: name, fields: { key: event.key, operation: event.operation, result: event.result } },
    { kind: 'refresh' }
  ]
}
