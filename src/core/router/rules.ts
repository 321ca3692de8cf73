import type { ByRank, Rank } from '../domain/rank.js'
import type { RouterState, GuardedPeer } from './routerState.js'
import type { UnitEntry } from '../domain/assignment.js'

/** Input of a scheduling policy for one backend server. */
export type QueueView = {
  queued: ByRank<number>
  inFlight: ByRank<number>
  limit: number
  floors: ByRank<number>
  targetsMs: ByRank<number>
  /** Slot time used recently, decayed exponentially, in milliseconds. */
  busyMs: ByRank<number>
  /** Mean slot time of one request, in milliseconds. */
  meanBusyMs: ByRank<number>
  /** Time since a request of the rank last arrived, in milliseconds. */
  sinceLastArrivalMs: ByRank<number>
}

/** Decision on a request that arrives at a queue. */
export type Admission = 'admit' | 'queue-full' | 'deadline-unreachable'

/** Input for computing the limit of requests in flight. */
export type LimitView = { slots: number, warmUpMs: number, readyForMs: number, current: number }

/**
 * Behaviour that varies, passed as functions. Production code, measurement baselines and
 * simulations with seeded faults differ only here.
 */
export type RouterRules = {
  hashKey: (key: string) => number
  chooseRank: (view: QueueView) => Rank | undefined
  admit: (view: QueueView, rank: Rank, queueLimit: number, remainingMs: number) => Admission
  computeLimit: (view: LimitView) => number
  chooseOwner: (unit: string, candidates: readonly string[], hashKey: (key: string) => number) => string | undefined
  isLeaseValid: (state: RouterState, now: number) => boolean
  mayClaim: (peer: GuardedPeer, now: number) => boolean
  mayConsent: (peer: GuardedPeer, generation: number, now: number) => boolean
  mayAcceptRevision: (current: number, offered: number) => boolean
  mayResend: (request: { idempotent: boolean, replayable: boolean }) => boolean
  isFenceOver: (fenceUntil: number, now: number) => boolean
  mayServe: (entry: UnitEntry, backend: string, requestEpoch: number) => boolean
  /** Whether journal entries up to a revision may take effect, by default once a guardian has acknowledged them. */
  isJournalReplicated: (state: RouterState, journalRevision: number) => boolean
}
