import type { ColdShare, MemberReport } from './events.js'
import type { LoadTotals } from './loadTotals.js'
import type { Relay } from './relaying.js'
import { buildLoadTotals } from './loadTotals.js'
import { buildRelay } from './relaying.js'

/** Load that the hosts of the zone reported since this host's own last report. */
export type CollectedLoad = {
  answers: Map<string, { answered: number, serviceMsSum: number }>
  keyCounts: Map<string, Map<number, number>>
  /** Last report of each host, without its load, and when it arrived. */
  members: Map<string, { report: MemberReport, receivedAt: number }>
}

/** State of a host as the collector of its availability zone. */
export type CollectingState = LoadTotals & Relay & {
  role: 'none' | 'collecting'
  collected: CollectedLoad
  /** Owners whose grants each host of the zone is asked to renew; the granting host answered a report sent at `askedAt`, and connections may be opened for `connectMs` from then. */
  renewals: Map<string, { owners: readonly string[], askedAt: number, connectMs: number | undefined }>
  /** Shares in the requests of cold backend servers of each host of the zone; the granting host answered a report sent at `askedAt`. */
  coldShares: Map<string, { shares: readonly ColdShare[], askedAt: number }>
}

/** Builds the state of a host that collects no reports. */
export function buildCollectingState (now: number): CollectingState {
  return { role: 'none', ...buildLoadTotals(), ...buildRelay(now), collected: buildCollectedLoad(), renewals: new Map(), coldShares: new Map() }
}

/** Builds an empty load. */
export function buildCollectedLoad (): CollectedLoad {
  return { answers: new Map(), keyCounts: new Map(), members: new Map() }
}
