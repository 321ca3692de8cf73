import type { StopTimes } from '../policy/stopPolicy.js'
import { isDoneBeforeEnd } from '../policy/stopPolicy.js'

/** Phases of a process in their order, `serving` until a stop is asked for. */
export const stopPhases = ['serving', 'leaving', 'finishing', 'closing', 'stopped'] as const

/**
 * How far an orderly stop has come: `leaving` takes every request, `finishing` only those
 * whose deadline passes before the end, `closing` none.
 */
export type StopPhase = typeof stopPhases[number]

/** Progress of an orderly stop; times in milliseconds of the steady clock. */
export type GatewayStop = StopTimes & { phase: StopPhase, askedAt: number }

/** Builds the state of a host that nobody asked to stop. */
export function buildStop (): GatewayStop {
  return { phase: 'serving', askedAt: Infinity, noticeEndsAt: Infinity, endAt: Infinity }
}

/** Whether a stopping host can still see a request to its end. */
export function isTakenDuringStop (stop: GatewayStop, deadlineAt: number): boolean {
  if (stop.phase === 'serving' || stop.phase === 'leaving') return true
  return stop.phase === 'finishing' && isDoneBeforeEnd(deadlineAt, stop.endAt)
}
