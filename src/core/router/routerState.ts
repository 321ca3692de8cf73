import type { Refusal } from '../domain/outcome.js'
import type { Assignment, Fleet, JournalEntry, Unit } from '../domain/assignment.js'
import type { BackendStatus, InFlightNote, Revisions, UnitEpoch } from '../domain/control.js'
import type { BackendServer, Route, Service, TeamDocument } from '../domain/document.js'
import type { ByRank, Rank } from '../domain/rank.js'
import type { HostList } from '../domain/hostList.js'
import type { PeerRequest } from './routerEvents.js'
import { defaultGraceMs } from '../limits.js'

/** A request between its arrival at the ingress and the end of its answer. */
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
  /** Whether an earlier sending may have run, so that a refusal can't promise otherwise. */
  mayHaveRun: boolean
  phase: 'waiting' | 'forwarded' | 'local' | 'answering'
  /** Owner of its key when it was last routed. */
  owner: string
  /** Router it was forwarded to. */
  peer: string | undefined
  /** Earliest time of the next routing, while waiting. */
  retryAt: number
  /** Reason reported when the deadline passes while waiting. */
  lastReason: 'no-owner' | 'not-holder' | 'moved' | 'lease-lapsed' | 'peer-unreachable' | 'draining'
    | 'fenced-by-backend' | 'backend-unreachable' | 'shed-by-backend'
}

/** A request at the holder of its backend server. */
export type EgressRequest = PeerRequest & {
  id: string
  arrivedAt: number
  deadlineAt: number
  attempts: number
  dispatchedAt: number
  /** Whether an earlier sending may have run. */
  mayHaveRun: boolean
  canceled: boolean
}

/** Grant bookkeeping for one backend server; local times in milliseconds. */
export type GrantState = {
  boot: string | undefined
  /** Clock of the backend server in its last reply. */
  clock: number
  /** Local times around that reply. */
  sentAt: number
  repliedAt: number
  set: number
  ackedSet: number
  units: Map<Unit, number>
  excludes: string[]
  ackedUnits: Map<Unit, number>
  /** Until when requests may be sent under the grant. */
  usableUntil: number
  /** Until when the backend server may consider itself granted. */
  fenceUntil: number
  /** Whether the set must be computed again. */
  stale: boolean
}

/** What a holder keeps for one backend server. */
export type BackendState = {
  service: string
  server: BackendServer
  checksGrants: boolean
  held: boolean
  holderEpoch: number
  status: BackendStatus
  lastOkAt: number
  refusalsInRow: number
  /** Whether the last exchange failed and nothing was heard since. */
  suspected: boolean
  nextGrantAt: number
  /** Earliest time of the next planned move. */
  nextMoveAt: number
  readySince: number
  grant: GrantState
  /** Requests allowed in flight; moves between 1 and the server's slots. */
  limit: number
  /** Part of the limit that shedding taught; recovers with time. */
  shedLimit: number
  queues: ByRank<EgressRequest[]>
  /** Requests whose unit, grant or backend server is not ready. */
  pending: EgressRequest[]
  /** Whether something changed that may make pending requests ready. */
  recheck: boolean
  inFlight: Map<string, EgressRequest>
  inFlightByRank: ByRank<number>
  /** Sums of the moments at which requests in flight were sent, to know their running time without a scan. */
  startedAtSum: ByRank<number>
  /** Requests that earlier holders sent and that may still run. */
  foreign: Array<{ unit: Unit, key: string, until: number }>
  /** Until when requests of an unknown earlier holder may still run. */
  foreignUnknownUntil: number
  busyMs: ByRank<number>
  meanMs: ByRank<number>
  lastDemandAt: ByRank<number>
  decayedAt: number
}

/** Progress of giving a unit to another backend server. */
export type Handoff = {
  service: string
  unit: Unit
  from: string
  to: string
  epoch: number
  phase: 'draining' | 'fencing' | 'journaling' | 'assuming' | 'done'
  lost: boolean
  journalRevision: number
  nextSendAt: number
  startedAt: number
  /** Backend servers that the unit should not go to. */
  avoid: string[]
}

/** Units taken over whose sender waits for the journal to be safe. */
export type PendingAssume = { service: string, to: string, units: UnitEpoch[], from: string, journalRevision: number }

/** Progress of giving a backend server to another holder. */
export type HolderMove = {
  service: string
  backend: string
  to: string
  epoch: number
  phase: 'draining' | 'journaling' | 'telling' | 'done'
  journalRevision: number
  nextSendAt: number
}

/** One of the peers that grant this router its lease. */
export type Guardian = {
  router: string
  ackedGeneration: number
  grantedUntil: number
  ackedJournal: number
}

/** This router's own lease. */
export type LeaseState = {
  generation: number
  successor: string | undefined
  witness: string | undefined
  pivot: string | undefined
  guardians: Guardian[]
  journal: JournalEntry[]
  journalRevision: number
  nextRenewAt: number
  wasValid: boolean
  /** When the lease was last gained or lost; 0 when it never was. */
  changedAt: number
  phase: 'normal' | 'resigning' | 'resigned'
}

/** A peer whose lease this router guards. */
export type Ward = {
  router: string
  generation: number
  successor: string | undefined
  witness: string | undefined
  grantedUntil: number
  phase: 'granting' | 'claiming' | 'consented' | 'journaling' | 'succeeded'
  journal: JournalEntry[]
  revisions: Revisions
  nextSendAt: number
  journalRevision: number
  resigned: boolean
}

/** Requests per unit and key since the last report. */
export type LoadCounters = {
  requests: Map<string, { service: string, unit: Unit, requests: number, busyMs: number }>
  keys: Map<string, { service: string, key: string, requests: number }>
  since: number
}

/** State of a router; one value holds everything that its decisions read. */
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
  /** Newer owners learnt from refusals, by service and unit. */
  hints: Map<string, { owner: string, epoch: number }>
  /** Newer holders learnt from refusals, by backend id. */
  holderHints: Map<string, string>
  /** Routers known to have been succeeded, from journals. */
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
  /** Refusals at this holder by the event at hand; empty between events. */
  refusedAtHolder: Array<{ id: string, refusal: Refusal }>
  egress: Map<string, EgressRequest>
  backends: Map<string, BackendState>
  handoffs: Map<string, Handoff>
  holderMoves: Map<string, HolderMove>
  pendingAssumes: Map<string, PendingAssume>
  lease: LeaseState
  wards: Map<string, Ward>
  budgets: Map<string, { tokens: number }>
  loads: LoadCounters
  nextReportAt: number
  nextMoveCheckAt: number
  /** In-flight notes received with a resignation, by resigning router. */
  resignNotes: Map<string, InFlightNote[]>
  /** `draining` takes what it can see to its end, `closing` nothing. */
  phase: 'starting' | 'serving' | 'draining' | 'closing' | 'stopped'
  /** Time from the wish to stop to the end of the process, in milliseconds. */
  graceMs: number
  drainStartedAt: number
  /** Until when a draining router takes all callers. */
  noticeEndsAt: number
  /** When the router ends, whatever it has in flight. */
  drainEndsAt: number
  /** Until when peers may read the last of their streams. */
  farewellEndsAt: number
  resignedAt: number
}

/** A service with the document it came from. */
export type ServiceOfTeam = { service: Service, team: TeamDocument }

/** A service with the route that a request matched. */
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
    hints: new Map(),
    holderHints: new Map(),
    successions: new Map(),
    unitOverlay: new Map(),
    holderOverlay: new Map(),
    knownRevisions: new Map(),
    hosts: new Map(),
    peers: new Map(),
    ingress: new Map(),
    refusedAtHolder: [],
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
    wards: new Map(),
    budgets: new Map(),
    loads: { requests: new Map(), keys: new Map(), since: 0 },
    nextReportAt: 0,
    nextMoveCheckAt: 0,
    resignNotes: new Map(),
    phase: 'starting',
    graceMs,
    drainStartedAt: 0,
    noticeEndsAt: Infinity,
    drainEndsAt: Infinity,
    farewellEndsAt: Infinity,
    resignedAt: 0
  }
}
