import type { BackendRegistration, BackendSignals, Configuration, GrantingHost, GrantingRecord, Placement, PlacementChange, PlacementVersion, ReportedLoad } from './model.js'

/** How sending a request to a backend server ended without an answer. */
export type SendFailure =
  | 'connection-refused'
  | 'connect-failed'
  /** The backend server was leaving or gone before a connection for the request was open. */
  | 'left-unsent'
  | 'broken-after-send'
  | 'malformed'
  | 'unending'
  | 'wrong-request'

/** Outcome of a call that grants keys to a backend server or releases them. */
export type GrantOutcome =
  | { kind: 'granted' }
  | { kind: 'released', handover: string | undefined }
  | { kind: 'fenced' }
  | { kind: 'connection-refused' }
  /** There was no connection over which the call may be sent. */
  | { kind: 'not-sent' }
  | { kind: 'failed' }

/** Outcome of a conditional write to the store. */
export type WriteOutcome = 'written' | 'conflict' | 'lease-ended' | 'unknown' | 'rejected'

/** Load that a backend server reported, with the time since then, in milliseconds. */
export type AgedLoad = ReportedLoad & { ageMs: number }

/** Load that one instance of a backend server reported with an answer. It is part of the answer's event, since nearly every answer of such servers has one. */
export type AnswerLoad = { backend: string, startedAt: number | undefined, load: ReportedLoad }

/** What a host learned from answers of one instance of a backend server, with the time since then, in milliseconds. */
export type BackendMark = { id: string, startedAt: number, ageMs: number, isLeaving: boolean, coldMs: number }

/** Requests that one host may send to a cold backend server in any second, and for how long after the report that was answered with them, in milliseconds. */
export type ColdShare = { id: string, startedAt: number, requests: number, validMs: number }

/** Load that one host has seen since its last report. */
export type LoadReport = {
  host: string
  backends: Array<{ id: string, inFlight: number, answered: number, serviceMsSum: number, reported?: AgedLoad | undefined }>
  keys: Array<{ service: string, keys: number[], counts: number[] }>
  /** Version of the placement that the host routes by. */
  placement: PlacementVersion
  /** Whether the host missed a change and needs the whole placement. */
  wantsPlacement: boolean
  /** Revision up to which the host knows the changes of the store. */
  storeRevision: number
  /** Availability zone of the host. */
  zone: string
  /** Grants that the host renews for the granting host, with the time since it sent the last confirmed renewal, in milliseconds. */
  renewed: Array<{ fence: number, from: number, to: number, ageMs: number }>
  /** Granting host as known to this host, with the revision of its record. */
  granting: KnownGrantingHost | undefined
  /** Address for the exchange between hosts; empty while the host can't be a collector. */
  address?: string | undefined
  /** Processor time available to the host, in cores. */
  processorShare?: number | undefined
  /** Bandwidth of the host's link, in Mbit/s; not a limit if undefined. */
  linkMbps?: number | undefined
  /** Number of hosts whose load the report contains; 1 if undefined. */
  hosts?: number | undefined
  /** Whether hosts of its zone report to this host. */
  isCollecting?: boolean | undefined
  /** Reports of hosts of its zone that arrived since its previous report; their load is part of this one. */
  members?: MemberReport[] | undefined
  /** Next fencing token of the newest placement that the host knows or has known. */
  nextFence?: number | undefined
  /** Backend servers that said in answers to this host that they are leaving or cold. */
  marks?: BackendMark[] | undefined
}

/** Report of a host that its collector passes on, without the load. `ageMs`: time since it arrived at the collector, in milliseconds. */
export type MemberReport = Pick<LoadReport, 'host' | 'zone' | 'placement' | 'granting' | 'renewed' | 'address' | 'processorShare' | 'linkMbps'> & { ageMs: number }

/** A granting host, with the revision of its record. */
export type KnownGrantingHost = { host: GrantingHost, revision: number }

/** Load of the fleet, aggregated by the granting host. */
export type FleetLoad = {
  hosts: number
  /** Version of the newest placement that the sender has published; all changes up to it were sent earlier. */
  placement: PlacementVersion
  /** Revision of the store up to which the sender has relayed all changes. */
  storeRevision: number
  /** Age in milliseconds of the oldest change that the store may have acknowledged and the sender has not relayed. */
  storeAgeMs: number
  /** `admitShare`: share of the requests for its keys that an overloaded owner can serve; 1 when it is not overloaded. */
  backends: Array<{ id: string, inFlight: number, serviceMs: number, admitShare: number, reported?: AgedLoad | undefined }>
  /** The same figures by id, if they were received that way; the receiver's copy, updated with each answer. */
  byId?: ReadonlyMap<string, FleetLoad['backends'][number]> | undefined
  /** Owners whose grants the receiver is asked to renew. */
  renewals: string[]
  /** Time since a report was sent that the granting host answered with these owners, in milliseconds; 0 if the sender is the granting host. */
  renewalsAgeMs?: number | undefined
  /** Time since that report for which the receiver may open connections to renew these grants, in milliseconds; as long as it may renew them if undefined. */
  connectMs?: number | undefined
  /** Age of the load figures, in milliseconds; 0 if the sender is the granting host. */
  loadAgeMs?: number | undefined
  /** Number of hosts that report to the sender directly; `hosts` if undefined. */
  reporters?: number | undefined
  /** Collector of the receiver's zone, to which it reports from now on; undefined while it reports to the granting host. */
  collector?: GrantingHost | undefined
  /** Owners whose grants each host that reports to the receiver is asked to renew. */
  memberRenewals?: Array<{ host: string, owners: string[] }> | undefined
  /** Backend servers that said in answers to other hosts that they are leaving or cold. */
  marks?: BackendMark[] | undefined
  /** Shares of the receiver in the requests that cold backend servers tolerate; it sends them none without a share. */
  coldShares?: ColdShare[] | undefined
  /** The same for each host that reports to the receiver. */
  memberColdShares?: Array<{ host: string, shares: ColdShare[] }> | undefined
}

/** Head of a caller's request, decoded. */
export type RequestHead = {
  /** Identifier that the caller gave to this attempt of its request. */
  requestId: string
  host: string
  path: string
  /** Key of a sharded service. */
  key: number | undefined
  /** Timeout of the caller, in milliseconds. */
  timeoutMs: number | undefined
  bodyBytes: number
  /** Whether the whole body is buffered, so that it can be sent again. */
  replayable: boolean
  /** Time since the host received the head of the request, in milliseconds; 0 if undefined. `timeoutMs` is less by it. */
  waitedMs?: number
}

/** Every input of the reducer. Times are milliseconds of the monotonic clock; `wall` is of the wall clock. */
export type GatewayEvent =
  | { kind: 'tick', now: number, wall: number }
  | { kind: 'request-arrived', now: number, id: string, head: RequestHead }
  | { kind: 'caller-gone', now: number, id: string }
  | { kind: 'not-run-answered', now: number, id: string, attempt: number, status: number, reported?: AnswerLoad | undefined }
  | { kind: 'answer-whole', now: number, id: string, attempt: number, status: number, firstByteAt: number, reported?: AnswerLoad | undefined }
  | { kind: 'answer-streaming', now: number, id: string, attempt: number, status: number }
  | { kind: 'answer-cut', now: number, id: string, attempt: number }
  | { kind: 'send-failed', now: number, id: string, attempt: number, failure: SendFailure }
  /** Bytes arrived from a backend server that belong to no request. */
  | { kind: 'stray-bytes-read', now: number, backend: string }
  /** A backend server said something about itself with an answer; posted before the event of that answer. `startedAt`: instance to which the request was sent; unknown if undefined. */
  | { kind: 'signals-read', now: number, backend: string, startedAt?: number | undefined, signals: BackendSignals }
  /** Whether operators ask that nothing more is sent to the backend servers of an availability zone. */
  | { kind: 'evacuation-read', now: number, zone: string, isRequested: boolean }
  | { kind: 'configuration-read', now: number, configuration: Configuration, revision: number }
  | { kind: 'backend-read', now: number, backend: BackendRegistration }
  /** `graceMs`: time within which the registration may still be renewed, as judged by the host that relayed its end; undefined when this host read it from the store itself. */
  | { kind: 'backend-gone', now: number, id: string, graceMs: number | undefined }
  | { kind: 'placement-read', now: number, placement: Placement, revision: number }
  | { kind: 'granting-host-read', now: number, granting: GrantingHost | undefined, revision: number }
  | { kind: 'last-granting-host-read', now: number, record: GrantingRecord, revision: number }
  | { kind: 'store-synced', now: number, startedAt: number, revision: number }
  /** The granting host has relayed the store's changes up to `receivedRevision`. All changes up to `revision` are known here, including values that it left out. */
  | { kind: 'changes-told', now: number, receivedRevision: number, revision: number }
  /** All changes that the store had acknowledged by `asOf` are known here: its answer to a call that began then has been applied. */
  | { kind: 'store-known', now: number, asOf: number }
  /** The store was restored from an older copy; `restores` counts how often that has happened. */
  | { kind: 'store-restored', now: number, restores: number }
  /** `reachableAt`: latest time at which the store is known to have been reachable. */
  | { kind: 'store-lost', now: number, reachableAt: number }
  | { kind: 'leadership-claimed', now: number, outcome: WriteOutcome, lease: number, revision: number }
  | { kind: 'lease-renewed', now: number, sentAt: number, outcome: 'renewed' | 'ended' | 'unknown' }
  /** `write`: sequence number of the write, from its effect. */
  | { kind: 'placement-written', now: number, outcome: WriteOutcome, revision: number, write: number }
  | { kind: 'grant-ended', now: number, sentAt: number, service: string, from: number, to: number, fence: number, outcome: GrantOutcome }
  | { kind: 'release-ended', now: number, service: string, from: number, to: number, fence: number, outcome: GrantOutcome }
  | { kind: 'load-reported', now: number, report: LoadReport }
  /** `reported`: requests in flight in the report that this answers; `reportedAt`: when that report was sent. */
  | { kind: 'fleet-load-read', now: number, load: FleetLoad, reported: Map<string, number>, reportedAt: number }
  | { kind: 'placement-changed', now: number, change: PlacementChange }
  /** A host answered the request for its placement. */
  | { kind: 'placement-found', now: number, change: PlacementChange }
  /** `address`: address of the host with which the exchange ended. */
  | { kind: 'exchange-ended', now: number, address?: string }
  /** The process must end within `graceMs` milliseconds. */
  | { kind: 'stop-asked', now: number, graceMs: number }
  /** The last connection of a caller has closed. */
  | { kind: 'callers-closed', now: number }
