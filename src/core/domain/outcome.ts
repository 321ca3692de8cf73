/** Whether a refused or failed request was executed by the backend server. */
export type Outcome = 'not-run' | 'unknown' | 'ran'

/** Reasons for which a request is refused or fails; each is a label value of the refusal counter. */
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
  'retry-budget-spent',
  /** No backend server in the regions that may serve the request can be used. */
  'region-unavailable',
  /** The backend servers that could serve the request are in availability zones that operators evacuate. */
  'zone-evacuated',
  /** The backend servers that could serve the request are cold and have had the requests that they tolerate. */
  'backend-cold',
  /** The backend server that has to serve the request asked this host for a pause. */
  'backend-paused',
  /** This host holds as much for callers and backend servers as its memory allows. */
  'memory-short',
  /** Reading the request takes so long that it holds up other callers of this host. */
  'processor-short'
] as const

/** Reason for which a request is refused or fails. */
export type RefusalReason = typeof refusalReasons[number]

/** Reasons for which a request is retried; each is a label value of the retry counter. */
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

/** Reason for which a request is retried. */
export type RetryReason = typeof retryReasons[number]

/** A refused or failed request: its outcome, the reason, and the current owner or holder when known. */
export type Refusal = {
  outcome: Outcome
  reason: RefusalReason
  /** Unit that `owner` and `epoch` refer to. */
  unit?: Unit
  /** Newer owner of the unit, when known. */
  owner?: string
  epoch?: number
  /** Whether an earlier attempt of the same request may have been executed although this one was not. */
  mayHaveRun?: boolean
  /** Router that holds the backend server now, when known. */
  holder?: string
}

type Unit = string

/** HTTP status returned to the caller for each reason. */
export const httpStatusByReason: Record<RefusalReason, number> = {
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
  'retry-budget-spent': 503,
  'region-unavailable': 503,
  'zone-evacuated': 503,
  'backend-cold': 503,
  'backend-paused': 503,
  'memory-short': 503,
  'processor-short': 503
}
