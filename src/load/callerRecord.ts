import type { Rank } from '../core/domain/rank.js'

/** Result of a request as its caller sees it. */
export type CallerOutcome = 'answered' | 'refused-not-run' | 'unknown' | 'broken'

/** A caller's record of one request; times in milliseconds. */
export type CallerRecord = {
  requestId: string
  rank: Rank
  key: string
  idempotent: boolean
  sentAt: number
  endedAt: number
  outcome: CallerOutcome
  reason: string
  /** Whether an answer accepted as complete was truncated or belonged to another request. */
  hasWrongContent: boolean
}
