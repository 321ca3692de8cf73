/** Queues of a program: events of callers' requests, and all others. */
export const lanes = ['callers', 'control'] as const
/** Queue that an event waits in; the order within a lane is kept. */
export type Lane = typeof lanes[number]

/** Events that wait in each lane. */
export type LaneCounts = Record<Lane, number>

/** Chooses the lane whose event is next: callers' first, unless control has waited for its half of the time. */
export function chooseNextLane (waiting: LaneCounts, leadMs: number, turnMs: number): Lane {
  if (waiting.callers === 0) return 'control'
  return waiting.control === 0 || leadMs < turnMs ? 'callers' : 'control'
}

/**
 * Computes how much more time callers' events have had than control events that waited meanwhile.
 * It is bounded, so that one slow event of a caller makes the others wait for no more than a few turns.
 */
export function computeLead (leadMs: number, lane: Lane, ms: number, waiting: LaneCounts, turnMs: number): number {
  if (waiting.control === 0) return 0
  return lane === 'callers' ? Math.min(leadMs + ms, turnMs * 2) : Math.max(leadMs - ms, 0)
}
