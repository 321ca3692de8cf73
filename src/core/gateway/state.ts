import type { Lane } from '../lane.js'
import type { GatewayEffect } from './effects.js'
import type { BackendRegistration, Configuration, GatewayRoute, GrantingHost, GrantingRecord, KeyRange, Placement, PlacementVersion } from './model.js'
import type { RenewerHost, Renewing } from './renewalState.js'
import type { GatewayStop } from './stop.js'
import type { VersionedPlacement } from './placementChange.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { buildRenewing } from './renewalState.js'
import { buildStop } from './stop.js'

/** Who this host is; `processorShare` in cores. */
export type GatewayIdentity = { host: string, zone: string, region: string, regionOf: Map<string, string>, address: string, processorShare: number }

/** A request of a caller, from its arrival to its answer. */
export type GatewayRequest = {
  id: string
  requestId: string
  route: GatewayRoute
  service: string
  key: number | undefined
  arrivedAt: number
  /** When the caller or the route's timeout gives it up. */
  deadlineAt: number
  /** Until when an answer is worth most. */
  targetAt: number
  bodyBytes: number
  replayable: boolean
  /** Whether a sending ended without word on whether the backend server ran it. */
  mayHaveRun: boolean
  phase: 'waiting' | 'sent' | 'answering'
  waitingUntil: number
  attempt: number
  backend: string | undefined
  tried: string[]
  sentAt: number
  /** Requests in flight at the backend server when this one was sent, itself included. */
  inFlightAtSend: number
}

/** What this host believes of one backend server. */
export type Backend = BackendRegistration & {
  slowUntil: number
  /** When this host learnt that it leaves. */
  leavingSince: number | undefined
  inFlight: number
  /** Requests in flight from other hosts, at the last exchange. */
  othersInFlight: number
  /** Own requests in flight at the last exchange. */
  inFlightAtReport: number
  /** Time that one request takes in a slot, smoothed, in milliseconds. */
  serviceMs: number
  samples: number
  avoidUntil: number
  /** Share of the requests for its keys that it can take. */
  admitShare: number
  /** When requests of each rank last found no room here. */
  lastRefused: Map<number, number>
  /** Until when no connection to it is used twice, after it sent bytes that belong to no request. */
  distrustUntil: number
  answeredSinceReport: number
  serviceMsSinceReport: number
}

/** A grant that this host keeps in force. */
export type KeptGrant = {
  service: string
  range: KeyRange
  /** Ranges in force that this one follows; they are renewed until it is written down. */
  standing: KeyRange[]
  /** When those are renewed next. */
  standingAt: number
  /** Latest moment at which a grant to the owner may have arrived. */
  arrivedBy: number
  /** Latest moment at which a grant of moving keys may have arrived at their next owner; `-Infinity` when none was sent. */
  targetArrivedBy: number
  confirmedAt: number
  /** When the next call is due; while one is unanswered, when it is sent again. */
  nextAt: number
  /** How far the change of owner has come. */
  step: 'release' | 'releasing' | 'grant' | 'keep'
  handover: string | undefined
  movedAt: number
  /** Revision of the placement in which the present owner was written, as far as known. */
  writtenIn: number | undefined
  /** Requests a second of the keys when their move began. */
  rate: number
  /** When the first call of this step of a move was sent. */
  askedAt: number | undefined
}

/** Requests for one key over the fleet, decaying: over the usual time, and over a short one. */
export type DecayingSum = { value: number, sudden: number, at: number }

/** State of the host that grants keys. */
export type Granting = {
  role: 'follower' | 'claiming' | 'leading'
  claimAt: number | undefined
  claimAskedAt: number
  lease: number
  /** Revision of the leadership record that this host wrote. */
  leaderRevision: number
  /** When the last confirmed renewal of the lease was asked for. */
  confirmedAt: number
  renewAt: number
  /** When the last renewal was asked for, and the one that was answered last. */
  renewAskedAt: number
  renewAnsweredAt: number
  /** Whether a pause of this process was seen since the last confirmed renewal. */
  doubted: boolean
  ledSince: number
  /** Hosts in the fleet when this one began to lead. */
  expectedHosts: number
  /** Hosts that granted before this one and may not know that they no longer do. */
  unsettled: GrantingHost[]
  /** Whether there may be such hosts. */
  mayBePreceded: boolean
  /** Until when a predecessor that lost the store may go on renewing grants. */
  predecessorUntil: number
  /** Whether the store was told that all of them have stopped. */
  isSettled: boolean
  grants: KeptGrant[]
  /** Grants by service and first key, as they were last looked up; one that was replaced since no longer fits what is asked for. */
  foundGrants: Map<string, Map<number, KeptGrant>>
  /** Whether the grants of the store's placement were taken up. */
  loaded: boolean
  nextFence: number
  /** Placement on its way to the store. */
  writing: Placement | undefined
  /** When the same write is sent once more, unless it is answered. */
  writeAgainAt: number
  dirty: boolean
  /** From when a changed placement is to be written. */
  writeAt: number
  /** What the other hosts were last told of the placement, and when they may be told again. */
  published: VersionedPlacement | undefined
  publishAt: number
  /** Placement in force when it was copied since they were told: nobody else holds it, and it is changed in place. */
  ownCopy: Placement | undefined
  /** Revision of the store up to which the other hosts were told, and when they may be told again. */
  relayedRevision: number
  relayAt: number
  balanceAt: number
  tidyAt: number
  mildAt: number
  unreachableUntil: Map<string, number>
  /** When the last grant that each owner confirmed was sent. */
  heardAt: Map<string, number>
  rates: Map<string, Map<number, DecayingSum>>
  /** Requests a second by service and key, as they were last computed. */
  keyRates: Map<string, { at: number, rates: ReadonlyMap<number, number> }>
  /** When the first requests of each service were counted. */
  countedSince: Map<string, number>
  service: Map<string, { sum: number, count: number, at: number }>
  /** Share of their requests that overloaded owners can take. */
  admitShares: Map<string, number>
  admitAt: number
  /** Last report of each host, the oldest first. */
  reports: Map<string, { at: number, inFlight: Map<string, number> }>
  /** Hosts that renew grants for this one, by name. */
  renewers: Map<string, RenewerHost>
  /** Host that renews the grants of each owner. */
  renewerOf: Map<string, string>
  /** When renewers are chosen next. */
  assignAt: number
  /** When the moves were last looked at. */
  movesAt: number
  /** Requests in flight at each backend server, summed over the reports. */
  inFlight: Map<string, number>
}

/** Whole state of a gateway. */
export type GatewayState = {
  identity: GatewayIdentity
  /** Time of the event at hand: that of its lane. */
  now: number
  /** Time of each lane, whose events come in order; the other lane's may be older or newer. */
  laneNow: Record<Lane, number>
  /** Latest time at which the effects of the event at hand may be carried out: events wait. */
  actedAt: number
  wall: number
  random: RandomGenerator
  stop: GatewayStop
  storeSynced: boolean
  storeUp: boolean
  /** Since when the store has given no word. */
  storeLostAt: number
  /** When the store came back from an outage in which registrations may have lapsed. */
  storeRegainedAt: number
  /** When the last complete reading of the store began. */
  syncStartedAt: number
  configuration: Configuration | undefined
  configurationRevision: number
  routesByHost: Map<string, GatewayRoute[]>
  splitCredit: Map<string, number[]>
  backends: Map<string, Backend>
  backendsByService: Map<string, Set<string>>
  /** Backend servers at each address: more than one while an earlier life is still listed. */
  backendsByAddress: Map<string, Set<string>>
  /** How far the reports of each backend server have come, by its id. */
  latestReports: Map<string, Pick<BackendRegistration, 'startedAt' | 'report'>>
  /** When the last new backend server of each service was listed. */
  listedAt: Map<string, number>
  /** Backend servers whose registration is absent since an outage of the store, with the time at which they count as gone. */
  lapsed: Map<string, number>
  placement: Placement | undefined
  placementVersion: PlacementVersion
  /** Placements that this process has begun to write. */
  writesBegun: number
  /** Whether a change of the placement was missed here. */
  wantsPlacement: boolean
  /** Whether this host watches the store, or the granting host passes its changes on. */
  storeSource: 'watched' | 'told'
  /** Revision up to which the changes of the store are known here. */
  storeRevision: number
  /** Revision up to which the granting host has told them; values that it left out may still be on their way. */
  toldRevision: number
  /** When a granting host that the store confirmed last answered a report. */
  toldAt: number
  grantingHost: GrantingHost | undefined
  /** Address of the granting host that this host reported to last. */
  reportedTo: string | undefined
  /** Host that granted last, as the store tells. */
  lastGranting: { record: GrantingRecord, revision: number } | undefined
  grantingRevision: number
  requests: Map<string, GatewayRequest>
  waiting: Set<string>
  /** Since when the keys of a grant, named by its fencing token, have had no owner to send to. */
  unownedSince: Map<number, number>
  /** When fencing tokens that are no more are dropped from it next. */
  dropFencesAt: number
  /** Longest timeout seen from callers of each route; a shorter one means that the caller came back. */
  longestTimeout: Map<string, number>
  retryTokens: Map<string, number>
  keyCounts: Map<string, Map<number, number>>
  reportAt: number
  reportedAt: number
  hosts: number
  loadReadAt: number
  granting: Granting
  renewing: Renewing
  /** Time that owners take to answer a grant, smoothed, in milliseconds. */
  grantAnswerMs: number
}

/** Builds the state of a gateway that knows nothing yet. */
export function buildGatewayState (identity: GatewayIdentity, seed: number, now: number): GatewayState {
  return {
    identity,
    now,
    laneNow: { callers: now, control: now },
    actedAt: now,
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
    listedAt: new Map(),
    lapsed: new Map(),
    placement: undefined,
    placementVersion: { revision: 0, confirmations: 0 },
    writesBegun: 0,
    wantsPlacement: false,
    storeSource: 'watched',
    storeRevision: 0,
    toldRevision: 0,
    toldAt: -Infinity,
    grantingHost: undefined,
    reportedTo: undefined,
    lastGranting: undefined,
    grantingRevision: 0,
    requests: new Map(),
    waiting: new Set(),
    unownedSince: new Map(),
    dropFencesAt: now,
    longestTimeout: new Map(),
    retryTokens: new Map(),
    keyCounts: new Map(),
    reportAt: now,
    reportedAt: now,
    hosts: 1,
    loadReadAt: -Infinity,
    granting: buildGranting(now),
    renewing: buildRenewing(),
    grantAnswerMs: 0
  }
}

/** Builds the state of a host that does not grant. */
export function buildGranting (now: number): Granting {
  return {
    role: 'follower',
    claimAt: undefined,
    claimAskedAt: 0,
    lease: 0,
    leaderRevision: 0,
    confirmedAt: 0,
    renewAt: 0,
    renewAskedAt: 0,
    renewAnsweredAt: 0,
    doubted: false,
    ledSince: 0,
    expectedHosts: 1,
    unsettled: [],
    mayBePreceded: false,
    isSettled: false,
    predecessorUntil: 0,
    grants: [],
    foundGrants: new Map(),
    loaded: false,
    nextFence: 1,
    writing: undefined,
    writeAgainAt: 0,
    dirty: false,
    writeAt: now,
    published: undefined,
    publishAt: now,
    ownCopy: undefined,
    relayedRevision: 0,
    relayAt: now,
    balanceAt: now,
    tidyAt: now,
    mildAt: now,
    unreachableUntil: new Map(),
    heardAt: new Map(),
    rates: new Map(),
    keyRates: new Map(),
    countedSince: new Map(),
    service: new Map(),
    admitShares: new Map(),
    admitAt: now,
    reports: new Map(),
    renewers: new Map(),
    renewerOf: new Map(),
    assignAt: now,
    movesAt: now,
    inFlight: new Map()
  }
}

/** What a part of the reducer works with: the state, and the effects so far. */
export type GatewayWork = { state: GatewayState, effects: GatewayEffect[] }
