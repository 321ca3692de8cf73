import type { Clock } from './clock.js'
import bunyan from 'bunyan'
import { createBoundedStream } from './boundedStream.js'

/** Fields of a log event. */
export type LogFields = Record<string, string | number | boolean | undefined>

/** Writes one numbered event. */
export type LogEvent = (number: number, name: string, fields: LogFields) => void

/** Log levels, from least to most severe. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const
/** Least severe level that is written. */
export type LogLevel = typeof logLevels[number]

/** Numbers of the events that the runtime itself logs; docs/EVENTS.md describes each. */
export const runtimeEventNumbers = {
  started: 3001,
  stopped: 3002,
  storeUp: 3101,
  storeDown: 3102,
  peerRefused: 3201,
  storeCallFailed: 3301,
  storeValueRejected: 3302,
  settingsReloaded: 3303,
  logLinesDropped: 3304,
  peerCallFailed: 3305,
  requestCut: 3306,
  linesLeftOut: 3307,
  hostBehind: 3308,
  changesNotTaken: 3309,
  eventLate: 3310,
  eventLost: 3311,
  callerClosed: 3312,
  turnLate: 3313,
  readLate: 3314
} as const

/** Creates a structured log on standard output, or one that writes nothing if the level is `off`. Writing never blocks; lines are dropped when the reader is too slow. */
export function createLog (name: string, level: LogLevel | 'off'): LogEvent {
  if (level === 'off') return () => {}
  const logger = bunyan.createLogger({ name, level, streams: [{ level, stream: createBoundedStream(process.stdout) }] })
  return (number, event, fields) => logger.info({ event: number, ...fields }, event)
}

/** Minimum interval between two lines of one event that callers can cause at will, in milliseconds. */
const intervalMs = 1000

/** Creates a log for one event that writes at most one line per second. The field `leftOut` counts the lines suppressed since the previous one. */
export function createIntervalLog (clock: Clock, log: LogEvent, event: keyof typeof runtimeEventNumbers): (fields: LogFields) => void {
  let loggedAt = -Infinity
  let leftOut = 0
  return fields => {
    const now = clock.now()
    if (now - loggedAt < intervalMs) {
      leftOut += 1
      return
    }
    log(runtimeEventNumbers[event], event, { ...fields, leftOut })
    loggedAt = now
    leftOut = 0
  }
}
