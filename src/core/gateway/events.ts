import type { BackendRegistration, Configuration, GrantingHost, GrantingRecord, Placement, PlacementChange, PlacementVersion } from './model.js'

/** How sending a request to a backend server ended without an answer. */
export type SendFailure =
  | 'connection-refused'
  | 'connect-failed'
  /** The backend server left before a connection for the request was open. */
  | 'left-unsent'
  | 'broken-after-send'
  | 'malformed'
  | 'unending'
  | 'wrong-request'

/** What a call that grants or takes back keys came to. */
export type GrantOutcome =
  | { kind: 'granted' }
  | { kind: 'released', handover: string | undefined }
  | { kind: 'fenced' }
  | { kind: 'connection-refused' }
  | { kind: 'failed' }

/** What a conditional write of the store came to. */
export type WriteOutcome = 'written' | 'conflict' | 'lease-ended' | 'unknown' | 'rejected'

/** Load that one host saw since its last report. */
export type LoadReport = {
  host: string
  backends: Array<{ id: string, inFlight: number, answered: number, serviceMsSum: number }>
  keys: Array<{ service: string, keys: number[], counts: number[] }>
  /** Placement that this host routes by. */
  placement: PlacementVersion
  /** Whether it missed a change and needs the whole placement. */
  wantsPlacement: boolean
  /** Revision up to which this host knows the changes of the store. */
  storeRevision: number
  /** Availability zone of the host. */
  zone: string
  /** Grants that it renews for the granting host, with the time since the last confirmed call was sent, in milliseconds. */
  renewed: Array<{ fence: number, from: number, to: number, ageMs: number }>
  /** Granting host that this host knows of, with the revision of its record. */
  granting: KnownGrantingHost | undefined
}

/** A granting host, with the revision of its record. */
export type KnownGrantingHost = { host: GrantingHost, revision: number }

/** Load of the fleet, as the granting host sums it up. */
export type FleetLoad = {
  hosts: number
  /** Newest placement that the sender has told; all changes up to it went before. */
  placement: PlacementVersion
  /** Revision of the store up to which the sender has passed on all changes. */
  storeRevision: number
  /** Time since which the store may have acknowledged changes that the sender has not passed on, in milliseconds. */
  storeAgeMs: number
  /** `admitShare` is the share of its requests that an overloaded owner of keys can take, else 1. */
  backends: Array<{ id: string, inFlight: number, serviceMs: number, admitShare: number }>
  /** Owners whose grants the receiver is asked to renew. */
  renewals: string[]
}

/** Head of a caller's request, decoded. */
export type RequestHead = {
  /** Identifier that the caller gave to this attempt. */
  requestId: string
  host: string
  path: string
  /** Key of a sharded service. */
  key: number | undefined
  /** Time the caller waits, in milliseconds. */
  timeoutMs: number | undefined
  bodyBytes: number
  /** Whether the whole body is buffered, so that it can be sent again. */
  replayable: boolean
}

/** Everything that can happen to a gateway. Times are monotonic milliseconds. */
export type GatewayEvent =
  | { kind: 'tick', now: number, wall: number }
  | { kind: 'request-arrived', now: number, id: string, head: RequestHead }
  | { kind: 'caller-gone', now: number, id: string }
  | { kind: 'not-run-answered', now: number, id: string, attempt: number, status: number }
  | { kind: 'answer-whole', now: number, id: string, attempt: number, status: number, firstByteAt: number }
  | { kind: 'answer-streaming', now: number, id: string, attempt: number, status: number }
  | { kind: 'answer-cut', now: number, id: string, attempt: number }
  | { kind: 'send-failed', now: number, id: string, attempt: number, failure: SendFailure }
  /** Bytes came in that belong to no request. */
  | { kind: 'stray-bytes-read', now: number, backend: string }
  | { kind: 'configuration-read', now: number, configuration: Configuration, revision: number }
  | { kind: 'backend-read', now: number, backend: BackendRegistration }
  /** `graceMs`: time in which the registration may still come back, as the host judges that told of it; undefined when this host heard it from the store. */
  | { kind: 'backend-gone', now: number, id: string, graceMs: number | undefined }
  | { kind: 'placement-read', now: number, placement: Placement, revision: number }
  | { kind: 'granting-host-read', now: number, granting: GrantingHost | undefined, revision: number }
  | { kind: 'last-granting-host-read', now: number, record: GrantingRecord, revision: number }
  | { kind: 'store-synced', now: number, startedAt: number, revision: number }
  /** The granting host has told the store's changes up to `toldRevision`; up to `revision` all are known here, values that it left out included. */
  | { kind: 'changes-told', now: number, toldRevision: number, revision: number }
  /** All that the store had acknowledged at `asOf` is known here: an answer of the store to a call that began then has been taken. */
  | { kind: 'store-known', now: number, asOf: number }
  /** `heardAt`: the latest time at which the store is known to have been there. */
  | { kind: 'store-lost', now: number, heardAt: number }
  | { kind: 'leadership-claimed', now: number, outcome: WriteOutcome, lease: number, revision: number }
  | { kind: 'lease-renewed', now: number, askedAt: number, outcome: 'renewed' | 'ended' | 'unknown' }
  /** `write`: number of the write, as its effect has it. */
  | { kind: 'placement-written', now: number, outcome: WriteOutcome, revision: number, write: number }
  | { kind: 'grant-ended', now: number, sentAt: number, service: string, from: number, to: number, fence: number, outcome: GrantOutcome }
  | { kind: 'release-ended', now: number, service: string, from: number, to: number, fence: number, outcome: GrantOutcome }
  | { kind: 'load-reported', now: number, report: LoadReport }
  /** `reported`: requests in flight in the report that is answered; `reportedAt`: when that report was sent. */
  | { kind: 'fleet-load-read', now: number, load: FleetLoad, reported: Map<string, number>, reportedAt: number }
  | { kind: 'placement-changed', now: number, change: PlacementChange }
  | { kind: 'exchange-ended', now: number }
  /** The process is to end within `graceMs` milliseconds. */
  | { kind: 'stop-asked', now: number, graceMs: number }
  /** The last connection of a caller has closed. */
  | { kind: 'callers-closed', now: number }
