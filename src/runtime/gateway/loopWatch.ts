import type { GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { Clock } from '../clock.js'
import type { LogEvent } from '../log.js'
import type { ProgramWatch } from '../program.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import { runtimeEventNumbers } from '../log.js'

/** Waiting time from which an event is logged as late, in milliseconds: callers notice such a delay, and lease renewal is delayed as much. */
const lateThresholdMs = 250
/** Minimum interval between two log lines of one name, in milliseconds. */
const logIntervalMs = 1000

/** Options of a gateway's program watch. */
export type LoopWatchOptions = { clock: Clock, metrics: Pick<GatewayMetrics, 'countWork' | 'countLost' | 'observeTurn' | 'observeReadWait'>, log: LogEvent }

/** Watch of a gateway's event loop. */
export type LoopWatch = ProgramWatch<GatewayEvent, GatewayEffect> & {
  /** Observes the duration of a turn of the event loop, in milliseconds. */
  observeTurn: (ms: number) => void
  /** Observes for how long bytes of a caller have waited to be read, in milliseconds, and the number of connections that wait. */
  observeRead: (waitedMs: number, waiting: number) => void
}

/** Creates the watch of a gateway's event loop, which counts its work by kind and logs what is late or lost. */
export function createLoopWatch (options: LoopWatchOptions): LoopWatch {
  const { metrics } = options
  const logLate = createThrottledLog(options, 'eventLate')
  const logLost = createThrottledLog(options, 'eventLost')
  const logTurn = createThrottledLog(options, 'turnLate')
  const logRead = createThrottledLog(options, 'readLate')
  return {
    countEvent: ({ kind }, ms, waitedMs, waiting) => {
      metrics.countWork('event', kind, ms)
      if (waitedMs >= lateThresholdMs) logLate({ kind, waitedMs: Math.round(waitedMs), waiting })
    },
    countEffect: ({ kind }, ms) => metrics.countWork('effect', kind, ms),
    countLost: ({ kind }) => {
      metrics.countLost(kind)
      logLost({ kind })
    },
    observeTurn: ms => {
      metrics.observeTurn(ms)
      if (ms >= lateThresholdMs) logTurn({ ms: Math.round(ms) })
    },
    observeRead: (waitedMs, waiting) => {
      metrics.observeReadWait(waitedMs)
      if (waitedMs >= lateThresholdMs) logRead({ waitedMs: Math.round(waitedMs), waiting })
    }
  }
}

type LoopLogFields = { kind?: GatewayEvent['kind'], ms?: number, waitedMs?: number, waiting?: number }

/** Creates a log for one event name that writes at most one line per second. The field `leftOut` counts the lines suppressed since the previous one. */
function createThrottledLog (options: LoopWatchOptions, name: 'eventLate' | 'eventLost' | 'turnLate' | 'readLate'): (fields: LoopLogFields) => void {
  let loggedAt = -Infinity
  let leftOut = 0
  return fields => {
    const now = options.clock.now()
    leftOut += 1
    if (now - loggedAt < logIntervalMs) return
    options.log(runtimeEventNumbers[name], name, { ...fields, leftOut: leftOut - 1 })
    loggedAt = now
    leftOut = 0
  }
}
