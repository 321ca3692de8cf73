import type { ColdDealing } from './coldShares.js'
import type { GrantConnection } from './grantConnections.js'
import type { GrantingHost, KeyRange, Placement } from './model.js'
import type { LoadTotals } from './loadTotals.js'
import type { VersionedPlacement } from './placementChange.js'
import type { Relay } from './relaying.js'
import type { RenewerHost } from './renewalState.js'
import { buildColdDealing } from './coldShares.js'
import { buildLoadTotals } from './loadTotals.js'
import { buildRelay } from './relaying.js'

/** A grant that this host manages as the granting host. */
export type ManagedGrant = {
  service: string
  range: KeyRange
  /** Ranges in force that this one supersedes; they are renewed until it is stored. */
  supersededRanges: KeyRange[]
  /** When the superseded ranges are renewed next. */
  supersededRenewAt: number
  /** Latest time at which a grant may have arrived at the owner, or at the former owner until it has released the keys. */
  latestArrivalAt: number
  /** Latest time at which a grant of moving keys may have arrived at their next owner; `-Infinity` when none was sent. */
  targetLatestArrivalAt: number
  /** When the last confirmed grant or renewal was sent. */
  confirmedAt: number
  /** When the next call is due, or when an unanswered one is resent. */
  nextAt: number
  /**
   * Progress of a change of owner: `release` while a release by the former owner is due, `releasing` while that call
   * is in flight, `grant` until the new owner has confirmed, `renew` from then on.
   */
  step: 'release' | 'releasing' | 'grant' | 'renew'
  /** Handover token that the former owner returned with its release. */
  handover: string | undefined
  /** When the last change of owner started. */
  moveStartedAt: number
  /** Revision of the first stored placement known to contain the current owner. */
  writtenRevision: number | undefined
  /** Whether another host might still renew the former owner's grant at the last check. */
  wasRenewable: boolean
  /** Requests a second for the keys when their move started. */
  rate: number
  /** When the first call of the current step was sent. */
  stepCalledAt: number | undefined
}

/** Exponentially decaying count of the requests for one key over the fleet: `value` with the time constant `rateTimeConstantMs`, `burst` with the shorter `burstTimeConstantMs`. */
export type DecayingSum = { value: number, burst: number, at: number }

/** Leadership state of a host, with what the leader (the granting host) knows of grants, load and renewers. */
export type GrantingState = LoadTotals & Relay & {
  role: 'follower' | 'claiming' | 'leading'
  claimAt: number | undefined
  claimSentAt: number
  lease: number
  /** Revision of the leadership record that this host wrote. */
  leaderRevision: number
  /** When the last confirmed renewal of the lease was sent. */
  confirmedAt: number
  renewAt: number
  /** When the last renewal was sent, and when the last one that was answered was sent. */
  renewSentAt: number
  renewAnsweredAt: number
  /** Whether this process was paused since the last confirmed renewal, so that another host may lead. */
  isLeadershipUncertain: boolean
  leaderSince: number
  /** Hosts in the fleet when this one became the leader. */
  expectedHosts: number
  /** Previous granting hosts that may not know yet that they have been replaced. */
  activePredecessors: GrantingHost[]
  /** Whether there may be such hosts, listed or unknown. */
  hasPossiblePredecessors: boolean
  /** Until when a predecessor that lost the store may continue to renew grants. */
  predecessorsActiveUntil: number
  /** When the previous granting hosts are notified next. */
  noticeAt: number
  /** When each host last reported, directly or through a collector, since this one became the leader. */
  hostReportedAt: Map<string, number>
  /** Until when the reports of the fleet prove that no other host grants keys. */
  reportedUntil: number
  /** Connections over which grants were sent in the last tick. */
  grantConnection: GrantConnection
  /** Whether this host has begun to record in the store that all predecessors have stopped. */
  isPredecessorStopRecorded: boolean
  /** Until when it grants nothing if the store was restored from an older copy since the placement was written; `-Infinity` if it knows all grants. */
  recoverUntil: number
  /** Whether this host was the last granting host before such a restore, as far as it knows, so that it knows all grants. */
  isContinuing: boolean
  /** Hosts that may have been the granting host before such a restore; `undefined` if neither this host nor the stored placement knew the fleet. */
  hostsToHearFrom: { count: number, last: GrantingHost | undefined } | undefined
  /** Hosts that reported that they know this granting host. */
  awareHosts: Set<string>
  /** When it may next request the placement of a host that knows a newer one than the store. */
  requestPlacementAt: number
  isRecoveryLogged: boolean
  grants: ManagedGrant[]
  /** Results of the last lookups, by service and first key; each use verifies that the entry still matches. */
  grantLookupCache: Map<string, Map<number, ManagedGrant>>
  /** Whether the grants of the stored placement have been loaded. */
  isLoaded: boolean
  nextFence: number
  /** Placement whose write is in flight. */
  pendingWrite: Placement | undefined
  /** When an unanswered write is sent again. */
  retryWriteAt: number
  /** Whether the placement has changes that are not in a write yet. */
  isDirty: boolean
  /** Earliest time of the next write of a changed placement. */
  writeAt: number
  /** Placement last published to the other hosts, and the earliest time of the next publication. */
  published: VersionedPlacement | undefined
  publishAt: number
  /** Private copy of the placement, in force since the last publication; it can be changed in place. */
  workingCopy: Placement | undefined
  balanceAt: number
  /** When cold ranges may next move to the owners of neighbouring ranges. */
  consolidateAt: number
  /** When mild load differences are next balanced. */
  mildRebalanceAt: number
  /** Until when each unreachable owner gets no keys. */
  unreachableUntil: Map<string, number>
  /** When the last grant that each owner confirmed was sent. */
  ownerConfirmedAt: Map<string, number>
  rates: Map<string, Map<number, DecayingSum>>
  /** Last computed requests a second, by service and key. */
  keyRates: Map<string, { at: number, rates: ReadonlyMap<number, number> }>
  /** When the first requests of each service were counted. */
  countedSince: Map<string, number>
  /** Decaying sum and count of the service times that hosts reported, by backend server, in milliseconds. */
  serviceTimes: Map<string, { sum: number, count: number, at: number }>
  /** Share of its requests that each overloaded owner can accept. */
  admitShares: Map<string, number>
  admitAt: number
  /** Hosts that report, directly or through a collector, and may renew grants for this one, by name. */
  renewers: Map<string, RenewerHost>
  /** Collector of each availability zone. */
  collectors: ReadonlyMap<string, GrantingHost>
  coldDealing: ColdDealing
  /** When collectors are chosen next. */
  chooseCollectorsAt: number
  /** Host that renews the grants of each owner. */
  renewerByOwner: Map<string, string>
  /** Until when each host may renew the grants of an owner, by owner and host; includes hosts that were asked earlier. */
  renewableUntil: Map<string, Map<string, number>>
  /** Since when calls to each owner have failed, with no confirmed call in between. */
  ownerFailingSince: Map<string, number>
  /** When renewers are chosen next. */
  chooseRenewersAt: number
  /** When the moves were last advanced. */
  movesCheckedAt: number
}

/** Builds the state of a host that is not the granting host. */
export function buildGrantingState (now: number): GrantingState {
  return {
    role: 'follower',
    ...buildLoadTotals(),
    ...buildRelay(now),
    claimAt: undefined,
    claimSentAt: 0,
    lease: 0,
    leaderRevision: 0,
    confirmedAt: 0,
    renewAt: 0,
    renewSentAt: 0,
    renewAnsweredAt: 0,
    isLeadershipUncertain: false,
    leaderSince: 0,
    expectedHosts: 1,
    activePredecessors: [],
    hasPossiblePredecessors: false,
    noticeAt: now,
    hostReportedAt: new Map(),
    reportedUntil: -Infinity,
    grantConnection: 'any',
    isPredecessorStopRecorded: false,
    predecessorsActiveUntil: 0,
    recoverUntil: -Infinity,
    isContinuing: false,
    hostsToHearFrom: undefined,
    awareHosts: new Set(),
    requestPlacementAt: now,
    isRecoveryLogged: false,
    grants: [],
    grantLookupCache: new Map(),
    isLoaded: false,
    nextFence: 1,
    pendingWrite: undefined,
    retryWriteAt: 0,
    isDirty: false,
    writeAt: now,
    published: undefined,
    publishAt: now,
    workingCopy: undefined,
    balanceAt: now,
    consolidateAt: now,
    mildRebalanceAt: now,
    unreachableUntil: new Map(),
    ownerConfirmedAt: new Map(),
    rates: new Map(),
    keyRates: new Map(),
    countedSince: new Map(),
    serviceTimes: new Map(),
    admitShares: new Map(),
    admitAt: now,
    renewers: new Map(),
    collectors: new Map(),
    coldDealing: buildColdDealing(now),
    chooseCollectorsAt: now,
    renewerByOwner: new Map(),
    renewableUntil: new Map(),
    ownerFailingSince: new Map(),
    chooseRenewersAt: now,
    movesCheckedAt: now
  }
}
