import type { GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { Clock } from '../clock.js'
import type { LogEvent } from '../log.js'
import type { ProgramWatch } from '../program.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import { runtimeEventNumbers } from '../log.js'

/** Wait of an event from which it is logged, in milliseconds: callers notice it, and the lease is renewed that much later. */
const lateMs = 250
/** Time between two lines of one name, in milliseconds. */
const lineIntervalMs = 1000

/** What the watch of a gateway's loop needs. */
export type LoopWatchOptions = { clock: Clock, metrics: Pick<GatewayMetrics, 'countWork' | 'countLost'>, log: LogEvent }

/** Creates the watch of a gateway's loop: counts its work by kind and logs when it falls behind. */
export function createLoopWatch (options: LoopWatchOptions): ProgramWatch<GatewayEvent, GatewayEffect> {
  const { metrics } = options
  const logLate = createLineLimit(options, 'eventLate')
  const logLost = createLineLimit(options, 'eventLost')
  return {
    countEvent: ({ kind }, ms, waitedMs, waiting) => {
      metrics.countWork('event', kind, ms)
      if (waitedMs >= lateMs) logLate({ kind, waitedMs: Math.round(waitedMs), waiting })
    },
    countEffect: ({ kind }, ms) => metrics.countWork('effect', kind, ms),
    countLost: ({ kind }) => {
      metrics.countLost(kind)
      logLost({ kind })
    }
  }
}

type LateFields = { kind: GatewayEvent['kind'], waitedMs?: number, waiting?: number }

/** Creates a log of lines of one name, a second apart; `leftOut` counts those since the last one. */
function createLineLimit (options: LoopWatchOptions, name: 'eventLate' | 'eventLost'): (fields: LateFields) => void {
  let loggedAt = -Infinity
  let leftOut = 0
  return fields => {
    const now = options.clock.now()
    leftOut += 1
    if (now - loggedAt < lineIntervalMs) return
    options.log(runtimeEventNumbers[name], name, { ...fields, leftOut: leftOut - 1 })
    loggedAt = now
    leftOut = 0
  }
}
