/** Event queues of a program: `callers` for events of callers' requests, `control` for all others. */
export const lanes = ['callers', 'control'] as const
/** Queue of an event; events of the same lane are handled in order. */
export type Lane = typeof lanes[number]

/** Number of queued events in each lane. */
export type LaneCounts = Record<Lane, number>

/**
 * Chooses the lane of the next event. Caller events go first until they have had `turnMs` more
 * processing time than the waiting control events, so that control gets half of the time.
 */
export function chooseNextLane (waiting: LaneCounts, callerExcessMs: number, turnMs: number): Lane {
  if (waiting.callers === 0) return 'control'
  return waiting.control === 0 || callerExcessMs < turnMs ? 'callers' : 'control'
}

/**
 * Computes how much more processing time caller events have had than the control events that
 * were waiting, in milliseconds. The value is capped at two turns, so that one slow caller event
 * delays the caller events after it by a few turns at most.
 */
export function computeCallerExcess (callerExcessMs: number, lane: Lane, durationMs: number, waiting: LaneCounts, turnMs: number): number {
  if (waiting.control === 0) return 0
  return lane === 'callers' ? Math.min(callerExcessMs + durationMs, turnMs * 2) : Math.max(callerExcessMs - durationMs, 0)
}
