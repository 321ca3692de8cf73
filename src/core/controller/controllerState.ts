import type { Assignment, Fleet } from '../domain/assignment.js'
import type { RouterReport } from '../domain/control.js'
import type { HostList } from '../domain/hostList.js'
import type { TeamDocument } from '../domain/document.js'
import type { StoreRecord } from '../router/routerEvents.js'

/** Addresses and zone of a running router, which writes this record itself when it starts. */
export type Registration = { router: string, address: string, adminAddress: string, zone: string }

/** Stored records that a controller watches. */
export type ControllerRecord =
  | StoreRecord
  | { kind: 'registration', registration: Registration }
  | { kind: 'registration-removed', router: string }

/** Result of a write to the store; `unknown` means that the reply was lost. */
export type WriteResult = 'written' | 'conflict' | 'unknown' | 'failed'

/** Events that a controller handles. `now` is monotonic, in milliseconds. */
export type ControllerEvent =
  | { kind: 'tick', now: number }
  | { kind: 'record-changed', now: number, key: string, modRevision: number, record: ControllerRecord }
  | { kind: 'hosts-listed', now: number, hosts: HostList }
  | { kind: 'report-received', now: number, report: RouterReport }
  | { kind: 'write-ended', now: number, key: string, operation: string, result: WriteResult }
  | { kind: 'leadership-changed', now: number, leading: boolean }

/** Effects that a controller requests; `refresh` reads all records again. */
export type ControllerEffect =
  | { kind: 'write-assignment', key: string, expected: number, assignment: Assignment }
  | { kind: 'write-fleet', key: string, expected: number, fleet: Fleet }
  | { kind: 'delete-registration', router: string }
  | { kind: 'refresh' }
  | { kind: 'log', event: ControllerLogEventName, fields: Record<string, string | number | boolean | undefined> }
  | { kind: 'count', metric: 'writes', result: WriteResult }

/** Numbers of the controller's log events; docs/EVENTS.md lists what each means. */
export const controllerEventNumbers = {
  leadershipGained: 2001,
  leadershipLost: 2002,
  assignmentPlanned: 2101,
  fleetPlanned: 2102,
  writeConflict: 2103,
  writeUnknown: 2104,
  keySplit: 2201,
  rescued: 2301
} as const

/** Name of a controller log event. */
export type ControllerLogEventName = keyof typeof controllerEventNumbers

/** Moving average of the load of one unit. */
export type LoadAverage = { service: string, unit: string, busyPerSecond: number, requestsPerSecond: number }

/** State of a controller. */
export type ControllerState = {
  role: 'controller'
  self: string
  now: number
  leading: boolean
  documents: Map<string, TeamDocument>
  assignments: Map<string, Assignment>
  fleet: Fleet
  registrations: Map<string, Registration>
  modRevisions: Map<string, number>
  /** Time at which the removal of each stopped router's registration was observed. */
  registrationRemovedAt: Map<string, number>
  hosts: HostList
  /** Time since which each router or backend server address has been listed as gone. */
  goneSince: Map<string, number>
  reports: Map<string, { report: RouterReport, receivedAt: number }>
  loads: Map<string, LoadAverage>
  hotKeys: Map<string, { service: string, key: string, perSecond: number }>
  /** Pending writes by store key; `assignment` is the one being written, if any. */
  pendingWrites: Map<string, { operation: string, since: number, assignment: Assignment | undefined }>
  operationCount: number
  nextPlanAt: number
  /** Time at which the last move of each unit was requested, by `<service>/<unit>`. */
  moveRequestedAt: Map<string, number>
}

/** Builds the state of a controller that has just started. */
export function buildControllerState (self: string): ControllerState {
  return {
    role: 'controller',
    self,
    now: 0,
    leading: false,
    documents: new Map(),
    assignments: new Map(),
    fleet: { revision: 0, operation: '', routers: new Map() },
    registrations: new Map(),
    modRevisions: new Map(),
    registrationRemovedAt: new Map(),
    hosts: new Map(),
    goneSince: new Map(),
    reports: new Map(),
    loads: new Map(),
    hotKeys: new Map(),
    pendingWrites: new Map(),
    operationCount: 0,
    nextPlanAt: 0,
    moveRequestedAt: new Map()
  }
}
