import type { StopTimes } from '../policy/stopPolicy.js'
import { isAnsweredBeforeEnd } from '../policy/stopPolicy.js'

/** Phases of a process in their order; `serving` until a stop is requested. */
export const stopPhases = ['serving', 'leaving', 'finishing', 'closing', 'stopped'] as const

/**
 * Phase of a graceful shutdown: `leaving` accepts every request, `finishing` only those whose
 * deadline is before the end of the process, `closing` none.
 */
export type StopPhase = typeof stopPhases[number]

/** Progress of a graceful shutdown; times in milliseconds of the monotonic clock. */
export type GatewayStop = StopTimes & { phase: StopPhase, requestedAt: number }

/** Builds the state of a host that has not been asked to stop. */
export function buildStop (): GatewayStop {
  return { phase: 'serving', requestedAt: Infinity, acceptAllUntil: Infinity, endAt: Infinity }
}

/** Whether a host accepts a request: while it stops, only a request that can be answered before the process ends. */
export function isAcceptedDuringStop (stop: GatewayStop, deadlineAt: number): boolean {
  if (stop.phase === 'serving' || stop.phase === 'leaving') return true
  return stop.phase === 'finishing' && isAnsweredBeforeEnd(deadlineAt, stop.endAt)
}
