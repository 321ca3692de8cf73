/** Whether a refused or failed request ran at the backend server. */
export type Outcome = 'not-run' | 'unknown' | 'ran'

/** Every reason for which a request is refused or fails; each has its own counter label. */
export const refusalReasons = [
  'bad-request',
  'unknown-service',
  'unknown-route',
  'missing-key',
  'oversized',
  'slow-request',
  'not-ready',
  'draining',
  'no-owner',
  'moved',
  'not-holder',
  'lease-lapsed',
  'queue-full',
  'deadline-unreachable',
  'deadline-passed',
  'shed-by-backend',
  'fenced-by-backend',
  'backend-unreachable',
  'backend-failed',
  'backend-rubbish',
  'peer-unreachable',
  'peer-lost',
  'caller-gone',
  'retry-budget-spent'
] as const

/** Closed set of refusal reasons. */
export type RefusalReason = typeof refusalReasons[number]

/** Every reason for which a request is sent again; each has its own counter label. */
export const retryReasons = [
  'moved',
  'not-holder',
  'lease-lapsed',
  'draining',
  'no-owner',
  'peer-unreachable',
  'peer-lost-idempotent',
  'shed-by-backend',
  'fenced-by-backend',
  'backend-unreachable',
  'backend-lost-idempotent'
] as const

/** Closed set of retry reasons. */
export type RetryReason = typeof retryReasons[number]

/** A refusal as data: what happened, why, and where to go instead. */
export type Refusal = {
  outcome: Outcome
  reason: RefusalReason
  /** Unit the hint below is about. */
  unit?: Unit
  /** Newer owner of the unit, when known. */
  owner?: string
  epoch?: number
  /** Whether an earlier sending of the same request may have run, although this one did not. */
  mayHaveRun?: boolean
  /** Router that holds the backend server now, when known. */
  holder?: string
}

type Unit = string

/** HTTP status that a caller sees for each reason. */
export const statusOfReason: Record<RefusalReason, number> = {
  'bad-request': 400,
  'unknown-service': 404,
  'unknown-route': 404,
  'missing-key': 400,
  oversized: 413,
  'slow-request': 408,
  'not-ready': 503,
  draining: 503,
  'no-owner': 503,
  moved: 503,
  'not-holder': 503,
  'lease-lapsed': 503,
  'queue-full': 503,
  'deadline-unreachable': 503,
  'deadline-passed': 504,
  'shed-by-backend': 503,
  'fenced-by-backend': 503,
  'backend-unreachable': 503,
  'backend-failed': 502,
  'backend-rubbish': 502,
  'peer-unreachable': 503,
  'peer-lost': 502,
  'caller-gone': 499,
  'retry-budget-spent': 503
}
