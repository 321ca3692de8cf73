import type { RefusalReason, RetryReason } from '../domain/outcome.js'
import type { ChangeKind } from './changeLags.js'
import type { LoadReport } from './events.js'
import type { GrantConnection } from './grantConnections.js'
import type { CallerLimits, GrantingRecord, Placement, PlacementChange } from './model.js'

/** Numbers of log events; docs/EVENTS.md lists what each means. */
export const gatewayEventNumbers = {
  requestAnswered: 4001,
  requestRefused: 4002,
  requestFailed: 4003,
  requestRetried: 4004,
  requestAbandoned: 4005,
  configurationInForce: 4101,
  configurationIgnored: 4102,
  backendListed: 4103,
  backendLeft: 4104,
  backendAvoided: 4105,
  placementInForce: 4106,
  grantingHostChanged: 4107,
  storeRegained: 4108,
  storeLost: 4109,
  storeSourceChanged: 4110,
  backendDistrusted: 4111,
  backendReturned: 4112,
  backendReportIgnored: 4113,
  changeLags: 4114,
  collectorChanged: 4115,
  evacuationStarted: 4116,
  evacuationEnded: 4117,
  evacuationComplete: 4118,
  backendCold: 4120,
  backendMarked: 4121,
  backendMarkIgnored: 4122,
  backendPaused: 4123,
  storeRestored: 4130,
  placementRefused: 4131,
  leadershipWon: 4201,
  leadershipLost: 4202,
  leadershipDoubted: 4203,
  moveStarted: 4204,
  moveFinished: 4205,
  ownerUnreachable: 4206,
  placementConflict: 4207,
  grantFenced: 4208,
  grantConnectionsChanged: 4209,
  predecessorStopped: 4210,
  coldSharesDealt: 4220,
  grantingDelayed: 4230,
  placementTakenOver: 4231,
  grantingRecovered: 4232,
  gatewayStopping: 4301
} as const

/** Name of a numbered log event. */
export type GatewayLogEventName = keyof typeof gatewayEventNumbers

/** Values that a log line may carry. */
export type LogValue = string | number | boolean | undefined

/** Why the process ended: every caller had its answer, or the grace period was over. */
export type EndReason = 'drained' | 'out-of-time'

/** Everything that the reducer can ask the runtime to do. */
export type GatewayEffect =
  /** `needsOwnConnection`: the request is sent on a connection that has carried no other request. `startedAt`: instance of the backend server. */
  | { kind: 'send', id: string, attempt: number, backend: string, startedAt?: number, address: string, timeoutMs: number, mayReuse: boolean, needsOwnConnection: boolean, maxIdleMs: number, maxConnections: number }
  | { kind: 'cancel', id: string }
  | { kind: 'deliver', id: string, attempt: number }
  | { kind: 'refuse', id: string, reason: RefusalReason, status: number, retryAfterMs: number | undefined }
  | { kind: 'close-backend', backend: string }
  /** Requests that have no open connection to the backend server after `withinMs` milliseconds are not sent to it; with an `id`, only that request. */
  | { kind: 'bound-opening', backend: string, withinMs: number, id?: string | undefined }
  /** `lastRevision`: revision of the record of the last granting host, 0 when there is none; the claim fails if the record has changed. */
  | { kind: 'claim-leadership', ttlMs: number, record: GrantingRecord, lastRevision: number }
  /** Records in the store that all earlier granting hosts have stopped granting. */
  | { kind: 'settle-granting', leaderRevision: number }
  | { kind: 'renew-lease', lease: number }
  | { kind: 'end-lease', lease: number }
  /** `write`: sequence number of the write within this process; a write that is sent again keeps its number. */
  | { kind: 'write-placement', write: number, placement: Placement, revision: number, leaderRevision: number }
  | { kind: 'read-store' }
  | { kind: 'grant', service: string, backend: string, address: string, from: number, to: number, fence: number, holdMs: number, handover: string | undefined, connection: GrantConnection }
  | { kind: 'release', service: string, backend: string, address: string, from: number, to: number, fence: number }
  /** `inFlight`: this host's own requests in flight, by backend server. */
  | { kind: 'report-load', address: string, report: LoadReport, inFlight: Map<string, number> }
  /** Notifies a previous granting host, which may not have stopped, that it was replaced. */
  | { kind: 'notify-predecessor', address: string, report: LoadReport }
  /** Requests the whole placement that another host knows. */
  | { kind: 'request-placement', address: string, report: LoadReport }
  | { kind: 'publish-placement', change: PlacementChange, host: string | undefined }
  | { kind: 'watch-store', isOn: boolean }
  /** Relays the store's changes to the hosts that report to this one. */
  | { kind: 'relay-changes' }
  | { kind: 'set-caller-limits', limits: CallerLimits }
  /** Closes each connection of a caller after its next answer. */
  | { kind: 'end-keep-alive' }
  /** Closes idle connections of callers that have carried at least one request. */
  | { kind: 'close-idle-callers' }
  /** Accepts no more connections and closes each open one once its answer is written; `callers-closed` follows. */
  | { kind: 'close-callers' }
  | { kind: 'end-program', reason: EndReason, afterMs: number }
  | { kind: 'count-refusal', reason: RefusalReason, outcome: 'not-run' | 'unknown' }
  | { kind: 'count-retry', reason: RetryReason }
  | { kind: 'observe-answer', service: string, ms: number }
  /** `ms`: longest time that can have passed since the store acknowledged the change, in milliseconds. */
  | { kind: 'observe-change', change: ChangeKind, ms: number }
  | { kind: 'log', event: GatewayLogEventName, fields: Record<string, LogValue> }
