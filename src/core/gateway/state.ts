import type { ChangeLags } from './changeLags.js'
import type { Granting } from './grantingState.js'
import type { Lane } from '../lane.js'
import type { GatewayEffect } from './effects.js'
import type { BackendRegistration, Configuration, GatewayRoute, GrantingHost, GrantingRecord, Placement, PlacementVersion } from './model.js'
import type { Renewing } from './renewalState.js'
import type { GatewayStop } from './stop.js'
import type { Clocks } from './storeKnowledge.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { buildChangeLags } from './changeLags.js'
import { buildGranting } from './grantingState.js'
import { buildRenewing } from './renewalState.js'
import { buildStop } from './stop.js'

/** Who this host is, and what it goes by; `processorShare` in cores, `drainMs`: time for which a leaving backend server goes on serving, in milliseconds. */
export type GatewayIdentity = { host: string, zone: string, region: string, regionOf: Map<string, string>, address: string, processorShare: number, drainMs?: number }

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
  /** Since when it may have been leaving, at the earliest. */
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
  /** All that the store had acknowledged at this time is known here; `-Infinity` before the first reading. */
  knownAsOf: number
  /** Clocks at the last tick; they differ by more at the next one when the process stood still in between. */
  clocks: Clocks | undefined
  /** When this host last missed the store or stood still. */
  disturbedAt: number
  changeLags: ChangeLags
  /** Up to when the granting host has told all that the store had acknowledged, values included that it left out and that are being read; `-Infinity` without an exchange. */
  toldAsOf: number
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
    knownAsOf: -Infinity,
    clocks: undefined,
    disturbedAt: -Infinity,
    changeLags: buildChangeLags(now),
    toldAsOf: -Infinity,
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

/** What a part of the reducer works with: the state, and the effects so far. */
export type GatewayWork = { state: GatewayState, effects: GatewayEffect[] }
