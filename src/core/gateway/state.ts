import type { ChangeLags } from './changeLags.js'
import type { ColdSpending } from './coldAdmission.js'
import type { CollectingState } from './collectingState.js'
import type { GrantingState } from './grantingState.js'
import type { Lane } from '../lane.js'
import type { GatewayEffect } from './effects.js'
import type { Evacuations } from './evacuation.js'
import type { BackendRegistration, Configuration, GatewayRoute, GrantingHost, GrantingRecord, Placement, PlacementVersion } from './model.js'
import type { LeavingMark } from './leavingMarks.js'
import type { Shortage } from './overloadPolicy.js'
import type { RenewalState } from './renewalState.js'
import type { SignalState } from './signalState.js'
import type { GatewayStop } from './stop.js'
import type { Clocks } from './storeFreshness.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { buildChangeLags } from './changeLags.js'
import { buildColdSpending } from './coldAdmission.js'
import { buildCollectingState } from './collectingState.js'
import { buildEvacuations } from './evacuation.js'
import { buildGrantingState } from './grantingState.js'
import { buildRenewalState } from './renewalState.js'
import { buildStop } from './stop.js'

/** Identity and settings of this host. `processorShare`: processor time available to it, in cores; `drainMs`: time for which a leaving backend server continues to serve, in milliseconds; `evacuationMs`: time within which an availability zone is evacuated, in milliseconds; `coldRequestsFactor`, `coldRequestsExtra`: in any second a cold backend server may get the requests a second that it tolerates times the factor, and the extra requests. */
export type GatewayIdentity = {
  host: string
  zone: string
  region: string
  regionOf: Map<string, string>
  address: string
  processorShare: number
  /** Bandwidth of this host's link, in Mbit/s; not a limit if undefined. */
  linkMbps?: number
  drainMs?: number
  evacuationMs?: number
  coldRequestsFactor?: number
  coldRequestsExtra?: number
}

/** State of a caller's request, from its arrival to its answer. */
export type GatewayRequest = {
  id: string
  requestId: string
  route: GatewayRoute
  /** Present route of the same name, if the configuration has changed since the request arrived and that route lists allowed regions. */
  laterRoute?: GatewayRoute | undefined
  service: string
  key: number | undefined
  arrivedAt: number
  /** Time at which the timeout of the caller or of the route expires, whichever is earlier. */
  deadlineAt: number
  /** Time until which an answer meets the route's target. */
  targetAt: number
  bodyBytes: number
  replayable: boolean
  /** Whether an attempt ended without it being known whether the backend server ran the request. */
  mayHaveRun: boolean
  phase: 'waiting' | 'sent' | 'answering'
  waitingUntil: number
  attempt: number
  backend: string | undefined
  tried: string[]
  /** Whether it is admitted by capacity alone while others of its route leave slots to more costly requests. */
  isExempt?: boolean
  sentAt: number
  /** Requests in flight at the backend server when this one was sent, including itself. */
  inFlightAtSend: number
}

/** What this host knows and estimates about one backend server. */
export type Backend = BackendRegistration & SignalState & {
  /** Until when it is slow after its start, and cold if its service limits the requests of cold servers. */
  slowUntil: number
  /** Time before which a registration does not end that: it may have been written before this host learned that the server is cold. */
  slowAtLeastUntil: number
  /** Earliest time at which it may have begun to leave; undefined while it is not leaving. */
  leavingSince: number | undefined
  inFlight: number
  /** Requests in flight from other hosts at the last load exchange. */
  othersInFlight: number
  /** Requests in flight from this host at the last load exchange. */
  inFlightAtReport: number
  /** Smoothed time for which one request occupies a slot, in milliseconds. */
  serviceMs: number
  /** Mean of that time over the fleet, as last received; 0 while it is unknown. */
  fleetServiceMs: number
  sampleCount: number
  avoidUntil: number
  /** Share of the requests for its keys that may be sent to it; below 1 while it is overloaded. */
  admitShare: number
  /** The most costly recent refusal here for want of capacity. */
  shortage: Shortage | undefined
  /** Time until which connections to it are not reused, after it sent bytes that belong to no request, or an invalid answer. */
  noReuseUntil: number
  answeredSinceReport: number
  serviceMsSinceReport: number
}

/** Complete state of a gateway. */
export type GatewayState = {
  identity: GatewayIdentity
  /** Time of the current event's lane. */
  now: number
  /** Time of each lane. Events are ordered within a lane only, so the lanes' times may differ. */
  laneNow: Record<Lane, number>
  /** Time at which the current event is reduced; it may have been queued since its own time. */
  reducedAt: number
  wall: number
  random: RandomGenerator
  stop: GatewayStop
  storeSynced: boolean
  storeUp: boolean
  /** Last time at which the store was known to be reachable before it was lost. */
  storeLostAt: number
  /** When the store was last regained after an outage in which registrations may have expired. */
  storeRegainedAt: number
  /** When the last complete read of the store began. */
  syncStartedAt: number
  configuration: Configuration | undefined
  configurationRevision: number
  routesByHost: Map<string, GatewayRoute[]>
  splitCredit: Map<string, number[]>
  backends: Map<string, Backend>
  backendsByService: Map<string, Set<string>>
  /** Ids of the backend servers at each address: more than one while an earlier registration for the address is still listed. */
  backendsByAddress: Map<string, Set<string>>
  /** Instance and sequence number of the latest report of each backend server, by its id. */
  latestReports: Map<string, Pick<BackendRegistration, 'startedAt' | 'report'>>
  /** Instances of backend servers that said in an answer that they are leaving, by id. */
  leavingMarks: Map<string, LeavingMark>
  /** When it was last logged that a mark of another host was not believed, by service. */
  marksIgnoredAt: Map<string, number>
  /** When a new backend server of each service was last added. */
  listedAt: Map<string, number>
  /** Backend servers whose registration may merely have expired in a store outage, with the time at which they are removed. */
  expiredRegistrations: Map<string, number>
  evacuations: Evacuations
  placement: Placement | undefined
  placementVersion: PlacementVersion
  /** Highest next fencing token of the placements that this host has known. */
  knownNextFence: number
  /** Revision of the latest stored placement that was not taken because its content is older than the known one; 0 if there was none. */
  refusedPlacementRevision: number
  /** Number of restores of the store from an older copy, as far as this host knows. */
  restores: number
  /** What this host knew of earlier granting hosts when it stopped granting because of a restore. `isCertain`: no other host can have become the granting host before the restore. */
  ledUntilRestore: { restores: number, at: number, isCertain: boolean, activePredecessors: GrantingHost[], predecessorsActiveUntil: number } | undefined
  /** Number of placement writes that this process has started. */
  writesStarted: number
  /** Whether this host missed a change of the placement and needs the whole placement. */
  wantsPlacement: boolean
  /** Where this host learns of the store's changes: from its own watch, or from the granting host. */
  storeSource: 'watched' | 'told'
  /** Revision up to which the changes of the store are known here. */
  storeRevision: number
  /** Revision up to which the granting host has relayed the changes; values that it left out may still be being read. */
  receivedRevision: number
  /** Time up to which all changes that the store had acknowledged are known here; `-Infinity` before the first complete read. */
  knownAsOf: number
  /** Clock readings at the last tick; the difference between the clocks grows when the process is suspended between ticks. */
  clocks: Clocks | undefined
  /** When this host last lost the store or was suspended. */
  disruptedAt: number
  changeLags: ChangeLags
  /** Time up to which the granting host has relayed all changes that the store had acknowledged, including values that it left out and that are still being read; `-Infinity` without an exchange. */
  receivedAsOf: number
  grantingHost: GrantingHost | undefined
  /** Granting host whose record was last seen to end. */
  formerGrantingHost: GrantingHost | undefined
  /** Address of the granting host to which this host last reported. */
  reportedTo: string | undefined
  /** Record of the last granting host in the store, with its revision. */
  lastGranting: { record: GrantingRecord, revision: number } | undefined
  grantingRevision: number
  requests: Map<string, GatewayRequest>
  waiting: Set<string>
  /** When the keys of each grant, by its fencing token, were first found without an owner that requests can be sent to. */
  unownedSince: Map<number, number>
  /** When fencing tokens that are no longer in use are next removed from `unownedSince`. */
  dropFencesAt: number
  /** Longest caller timeout seen for each route; a shorter timeout means that the caller is retrying. */
  longestTimeout: Map<string, number>
  retryTokens: Map<string, number>
  /** Smoothed time for which a request of each route occupies a slot, by the route's name, in milliseconds. */
  routeWorkMs: Map<string, number>
  /** Requests of each route since the last one that was exempt from shedding by cost. */
  exemptionTurns: Map<string, number>
  keyCounts: Map<string, Map<number, number>>
  reportAt: number
  reportedAt: number
  hosts: number
  /** Number of hosts that report to the same host as this one. */
  reporters: number
  loadReadAt: number
  /** Host of this zone to which this one reports instead of the granting host. */
  collector: GrantingHost | undefined
  /** Until when this host reports to the granting host whatever collector it names. */
  collectorAvoidedUntil: number
  collecting: CollectingState
  granting: GrantingState
  renewing: RenewalState
  cold: ColdSpending
  /** Smoothed time that owners take to answer a grant, in milliseconds. */
  grantAnswerMs: number
}

/** Builds the initial state of a gateway. */
export function buildGatewayState (identity: GatewayIdentity, seed: number, now: number): GatewayState {
  return {
    identity,
    now,
    laneNow: { callers: now, control: now },
    reducedAt: now,
    wall: 0,
    random: xoroshiro128plus(seed),
    stop: buildStop(),
    storeSynced: false,
    storeUp: false,
    storeLostAt: -Infinity,
    storeRegainedAt: -Infinity,
    syncStartedAt: -Infinity,
    configuration: undefined,
    configurationRevision: 0,
    routesByHost: new Map(),
    splitCredit: new Map(),
    backends: new Map(),
    backendsByService: new Map(),
    backendsByAddress: new Map(),
    latestReports: new Map(),
    leavingMarks: new Map(),
    marksIgnoredAt: new Map(),
    listedAt: new Map(),
    expiredRegistrations: new Map(),
    evacuations: buildEvacuations(),
    placement: undefined,
    placementVersion: { revision: 0, confirmations: 0 },
    knownNextFence: 0,
    refusedPlacementRevision: 0,
    restores: 0,
    ledUntilRestore: undefined,
    writesStarted: 0,
    wantsPlacement: false,
    storeSource: 'watched',
    storeRevision: 0,
    receivedRevision: 0,
    knownAsOf: -Infinity,
    clocks: undefined,
    disruptedAt: -Infinity,
    changeLags: buildChangeLags(now),
    receivedAsOf: -Infinity,
    grantingHost: undefined,
    formerGrantingHost: undefined,
    reportedTo: undefined,
    lastGranting: undefined,
    grantingRevision: 0,
    requests: new Map(),
    waiting: new Set(),
    unownedSince: new Map(),
    dropFencesAt: now,
    longestTimeout: new Map(),
    retryTokens: new Map(),
    routeWorkMs: new Map(),
    exemptionTurns: new Map(),
    keyCounts: new Map(),
    reportAt: now,
    reportedAt: now,
    hosts: 1,
    reporters: 1,
    loadReadAt: -Infinity,
    collector: undefined,
    collectorAvoidedUntil: -Infinity,
    collecting: buildCollectingState(now),
    granting: buildGrantingState(now),
    renewing: buildRenewalState(),
    cold: buildColdSpending(now),
    grantAnswerMs: 0
  }
}

/** Working context of the reducer's functions: the state, and the effects collected so far. */
export type GatewayWork = { state: GatewayState, effects: GatewayEffect[] }
