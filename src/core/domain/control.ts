import type { JournalEntry, Unit } from './assignment.js'

/** A request that was in flight at a backend server when its holder handed it over to another router. */
export type InFlightRequest = { backend: string, deadlineMs: number, unit: Unit, key: string }

/** A unit with the epoch that its next owner gets. */
export type UnitEpoch = { unit: Unit, epoch: number }

/** Revisions of the records that a router has applied, by record name. */
export type Revisions = Map<string, number>

/** Messages between routers about leases and ownership; times are in milliseconds of the sender's clock. */
export type ControlMessage =
  | {
    kind: 'renew'
    router: string
    generation: number
    sentAt: number
    successor: string | undefined
    witness: string | undefined
    pivot: string | undefined
    journalRevision: number
    journal: JournalEntry[]
    revisions: Revisions
  }
  | {
    kind: 'renew-reply'
    guardian: string
    generation: number
    sentAt: number
    journalRevision: number
    granted: boolean
    revisions: Revisions
  }
  | { kind: 'claim', router: string, generation: number, claimant: string }
  | {
    kind: 'claim-reply'
    router: string
    generation: number
    outcome: ClaimOutcome
    journal: JournalEntry[]
    revisions: Revisions
  }
  | { kind: 'assume', service: string, from: string, to: string, units: UnitEpoch[], avoid: string[] }
  | { kind: 'assume-reply', service: string, to: string, units: UnitEpoch[], outcome: AssumeOutcome }
  | {
    kind: 'resign'
    router: string
    generation: number
    journal: JournalEntry[]
    inFlight: InFlightRequest[]
    revisions: Revisions
  }
  | {
    kind: 'holder-moved'
    service: string
    backend: string
    from: string
    to: string
    epoch: number
    /** Assignment revision that the receiver must have applied. */
    revision: number
    inFlight: InFlightRequest[]
    units: JournalEntry[]
  }
  | { kind: 'holder-moved-reply', service: string, backend: string, to: string, epoch: number }

/** Answer of a witness to a claim, or of a successor to a resignation. */
export type ClaimOutcome = 'consented' | 'denied' | 'succeeded'

/** Answer to a request to take over units. */
export type AssumeOutcome = 'assumed' | 'not-holder'

/** Periodic report of a router to the controller. */
export type RouterReport = {
  router: string
  generation: number
  /** Whether the router is stopping and should no longer be a guardian. */
  draining: boolean
  intervalMs: number
  loads: Array<{ service: string, unit: Unit, requests: number, busyMs: number }>
  hotKeys: Array<{ service: string, key: string, requests: number }>
  journal: JournalEntry[]
  backends: Array<{ service: string, backend: string, state: BackendStatus }>
}

/** Status of a backend server as seen by its holder. */
export type BackendStatus = 'unknown' | 'ready' | 'lost' | 'leaving'
