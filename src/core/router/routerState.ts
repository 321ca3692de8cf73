import type { Refusal } from '../domain/outcome.js'
import type { Assignment, Fleet, JournalEntry, Unit } from '../domain/assignment.js'
import type { BackendStatus, InFlightRequest, Revisions, UnitEpoch } from '../domain/control.js'
import type { BackendServer, Route, Service, TeamDocument } from '../domain/document.js'
import type { ByRank, Rank } from '../domain/rank.js'
import type { HostList } from '../domain/hostList.js'
import type { PeerRequest } from './routerEvents.js'
import { defaultGraceMs } from '../limits.js'

/** A request at the router that accepted it from the caller, until its answer has ended. */
export type IngressRequest = {
  id: string
  service: string
  key: string
  rank: Rank
  idempotent: boolean
  replayable: boolean
  arrivedAt: number
  deadlineAt: number
  attempts: number
  /** Whether an earlier attempt may have run, in which case a refusal must not report `not-run`. */
  mayHaveRun: boolean
  phase: 'waiting' | 'forwarded' | 'local' | 'answering'
  /** Backend server that owned the key when the request was last routed. */
  owner: string
  /** Router that the request was last forwarded to. */
  peer: string | undefined
  /** Earliest time of the next routing attempt, while waiting. */
  retryAt: number
  /** Reason reported when the deadline passes while waiting. */
  lastReason: 'no-owner' | 'not-holder' | 'moved' | 'lease-lapsed' | 'peer-unreachable' | 'draining'
    | 'fenced-by-backend' | 'backend-unreachable' | 'shed-by-backend'
}

/** A request at the router that holds its backend server. */
export type EgressRequest = PeerRequest & {
  id: string
  arrivedAt: number
  deadlineAt: number
  attempts: number
  dispatchedAt: number
  /** Whether an earlier attempt may have run. */
  mayHaveRun: boolean
  isCanceled: boolean
}

/** Grant of one backend server; times in milliseconds on the router's clock unless stated otherwise. */
export type GrantState = {
  /** Process instance of the backend server, from its last reply. */
  boot: string | undefined
  /** Clock of the backend server in its last reply, in milliseconds. */
  clock: number
  /** When the message of that reply was sent, and when the reply arrived. */
  sentAt: number
  repliedAt: number
  /** Number of the current set of units. */
  set: number
  /** Number of the set that the backend server last acknowledged; -1 if none. */
  ackedSet: number
  /** Epochs of the units in the current set. */
  units: Map<Unit, number>
  /** Single keys that the ranges in the set do not cover. */
  excludes: string[]
  /** Epochs of the units in the acknowledged set. */
  ackedUnits: Map<Unit, number>
  /** Time until which requests may be sent under the grant. */
  usableUntil: number
  /** Time until which the backend server may consider its grant valid. */
  fenceUntil: number
  /** Whether the set must be recomputed. */
  isStale: boolean
}

/** State that a holder keeps for one backend server. */
export type BackendState = {
  service: string
  server: BackendServer
  checksGrants: boolean
  isHeld: boolean
  holderEpoch: number
  status: BackendStatus
  lastReplyAt: number
  consecutiveRefusals: number
  /** Whether an exchange failed and the backend server has answered no grant message or probe since. */
  isSuspected: boolean
  nextGrantAt: number
  /** Earliest time of the next planned move. */
  nextMoveAt: number
  readySince: number
  grant: GrantState
  /** Limit of requests in flight, between 1 and the slots of the backend server. */
  limit: number
  /** Upper bound of the limit, lowered when the backend server sheds load and raised over time. */
  shedLimit: number
  queues: ByRank<EgressRequest[]>
  /** Requests that wait because their unit, their grant or the backend server is not ready. */
  pending: EgressRequest[]
  /** Whether a change may have made pending requests ready. */
  isRecheckDue: boolean
  inFlight: Map<string, EgressRequest>
  inFlightByRank: ByRank<number>
  /** Sums of the send times of the requests in flight, from which their running time is computed without a scan. */
  dispatchedAtSum: ByRank<number>
  /** Requests that earlier holders or attempts left in flight and that may still run. */
  inheritedRequests: Array<{ unit: Unit, key: string, until: number }>
  /** Time until which unlisted requests of earlier holders may still run. */
  inheritedUnknownUntil: number
  /** Slot time used by requests that have ended, decayed exponentially, in milliseconds. */
  busyMs: ByRank<number>
  /** Moving average of the slot time of one request, in milliseconds. */
  meanBusyMs: ByRank<number>
  lastArrivalAt: ByRank<number>
  busyDecayedAt: number
}

/** Progress of moving a unit to another backend server. */
export type Handoff = {
  service: string
  unit: Unit
  from: string
  to: string
  epoch: number
  phase: 'draining' | 'fencing' | 'journaling' | 'assuming' | 'done'
  /** Whether the backend server that the unit moves from was lost. */
  isOwnerLost: boolean
  journalRevision: number
  nextSendAt: number
  startedAt: number
  /** Backend servers that the unit should not move to. */
  avoid: string[]
}

/** Units assumed by this router, whose sender is answered once a guardian has acknowledged the journal. */
export type PendingAssume = { service: string, to: string, units: UnitEpoch[], from: string, journalRevision: number }

/** Progress of moving a backend server to another holder. */
export type HolderMove = {
  service: string
  backend: string
  to: string
  epoch: number
  phase: 'draining' | 'journaling' | 'notifying' | 'done'
  journalRevision: number
  nextSendAt: number
}

/** A peer that grants this router its lease. */
export type Guardian = {
  router: string
  ackedGeneration: number
  grantedUntil: number
  ackedJournal: number
}

/** The lease of this router. */
export type LeaseState = {
  /** Number of the current guardian set; 0 before the first. */
  generation: number
  /** Guardian that takes over when the lease expires. */
  successor: string | undefined
  /** Guardian whose consent the successor needs to take over. */
  witness: string | undefined
  /** Guardian kept from the previous generation. */
  pivot: string | undefined
  guardians: Guardian[]
  journal: JournalEntry[]
  journalRevision: number
  nextRenewAt: number
  wasValid: boolean
  /** When the lease was last gained or lost; 0 if never. */
  changedAt: number
  phase: 'normal' | 'resigning' | 'resigned'
}

/** The lease of a peer that has this router as a guardian. */
export type GuardedPeer = {
  router: string
  generation: number
  successor: string | undefined
  witness: string | undefined
  grantedUntil: number
  /** As the successor: `claiming`, `journaling`, then `succeeded` after the takeover; as the witness: `consented`. */
  phase: 'granting' | 'claiming' | 'consented' | 'journaling' | 'succeeded'
  journal: JournalEntry[]
  revisions: Revisions
  nextSendAt: number
  journalRevision: number
  hasResigned: boolean
}

/** Requests per unit and key since the last report. */
export type LoadCounters = {
  requests: Map<string, { service: string, unit: Unit, requests: number, busyMs: number }>
  keys: Map<string, { service: string, key: string, requests: number }>
  since: number
}

/** State of a router; contains all that its decisions depend on. */
export type RouterState = {
  role: 'router'
  self: string
  zone: string
  now: number
  documents: Map<string, TeamDocument>
  services: Map<string, ServiceOfTeam>
  servicesByHost: Map<string, ServiceOfTeam>
  assignments: Map<string, Assignment>
  fleet: Fleet
  /** Newer owners named by refusals, by service and unit. */
  ownerHints: Map<string, { owner: string, epoch: number }>
  /** Holders named by refusals, by backend id. */
  holderHints: Map<string, string>
  /** Successors of routers whose leases were taken over, from the journal, by router. */
  successions: Map<string, string>
  /** Owners from the journal, by service and unit. */
  unitOverlay: Map<string, { owner: string, epoch: number }>
  /** Holders from the journal, by backend id. */
  holderOverlay: Map<string, { router: string, epoch: number }>
  /** Highest document revisions that peers reported. */
  knownRevisions: Revisions
  hosts: HostList
  peers: Map<string, 'up' | 'down'>
  ingress: Map<string, IngressRequest>
  /** Refusals that this router made as a holder while it applies an event; empty between events. */
  holderRefusals: Array<{ id: string, refusal: Refusal }>
  egress: Map<string, EgressRequest>
  backends: Map<string, BackendState>
  handoffs: Map<string, Handoff>
  holderMoves: Map<string, HolderMove>
  pendingAssumes: Map<string, PendingAssume>
  lease: LeaseState
  guardedPeers: Map<string, GuardedPeer>
  retryBudgets: Map<string, { tokens: number }>
  loads: LoadCounters
  nextReportAt: number
  nextMoveCheckAt: number
  /** Requests in flight listed in resignations, by resigning router. */
  resignedInFlight: Map<string, InFlightRequest[]>
  /** `draining` accepts the requests that it can finish, `closing` none. */
  phase: 'starting' | 'serving' | 'draining' | 'closing' | 'stopped'
  /** Time from the request to stop to the end of the process, in milliseconds. */
  graceMs: number
  drainStartedAt: number
  /** Time until which a draining router accepts all callers. */
  acceptAllUntil: number
  /** When the router ends, even with requests in flight. */
  drainEndsAt: number
  /** Time until which peers may read the rest of their streams. */
  peerCloseEndsAt: number
  resignedAt: number
}

/** A service and the team document that defines it. */
export type ServiceOfTeam = { service: Service, team: TeamDocument }

/** A service and the route that a request matched. */
export type RoutedService = ServiceOfTeam & { route: Route }

/** Builds the state of a router that has just started. */
export function buildRouterState (self: string, zone: string, graceMs = defaultGraceMs): RouterState {
  return {
    role: 'router',
    self,
    zone,
    now: 0,
    documents: new Map(),
    services: new Map(),
    servicesByHost: new Map(),
    assignments: new Map(),
    fleet: { revision: 0, operation: '', routers: new Map() },
    ownerHints: new Map(),
    holderHints: new Map(),
    successions: new Map(),
    unitOverlay: new Map(),
    holderOverlay: new Map(),
    knownRevisions: new Map(),
    hosts: new Map(),
    peers: new Map(),
    ingress: new Map(),
    holderRefusals: [],
    egress: new Map(),
    backends: new Map(),
    handoffs: new Map(),
    holderMoves: new Map(),
    pendingAssumes: new Map(),
    lease: {
      generation: 0,
      successor: undefined,
      witness: undefined,
      pivot: undefined,
      guardians: [],
      journal: [],
      journalRevision: 0,
      nextRenewAt: 0,
      wasValid: false,
      changedAt: 0,
      phase: 'normal'
    },
    guardedPeers: new Map(),
    retryBudgets: new Map(),
    loads: { requests: new Map(), keys: new Map(), since: 0 },
    nextReportAt: 0,
    nextMoveCheckAt: 0,
    resignedInFlight: new Map(),
    phase: 'starting',
    graceMs,
    drainStartedAt: 0,
    acceptAllUntil: Infinity,
    drainEndsAt: Infinity,
    peerCloseEndsAt: Infinity,
    resignedAt: 0
  }
}
