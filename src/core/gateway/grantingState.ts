import type { GrantingHost, KeyRange, Placement } from './model.js'
import type { VersionedPlacement } from './placementChange.js'
import type { RenewerHost } from './renewalState.js'

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
  /** Whether another host might still renew the former owner's grant when this host last looked. */
  wasRenewed: boolean
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
  /** What this host knew of the store when they were told: all that was acknowledged at this time. */
  relayedAsOf: number
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
  /** Until when hosts may renew the grants of each owner, by owner and host: also those that were asked earlier. */
  renewableUntil: Map<string, Map<string, number>>
  /** Since when calls to owners have failed without one that was confirmed. */
  missedSince: Map<string, number>
  /** When renewers are chosen next. */
  assignAt: number
  /** When the moves were last looked at. */
  movesAt: number
  /** Requests in flight at each backend server, summed over the reports. */
  inFlight: Map<string, number>
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
    relayedAsOf: -Infinity,
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
    renewableUntil: new Map(),
    missedSince: new Map(),
    assignAt: now,
    movesAt: now,
    inFlight: new Map()
  }
}
