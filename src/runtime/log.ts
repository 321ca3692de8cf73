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
  eventLost: 3311
} as const

/** Creates a structured log on standard output, or one that writes nothing if the level is `off`. Writing never blocks; lines are dropped when the reader is too slow. */
export function createLog (name: string, level: LogLevel | 'off'): LogEvent {
  if (level === 'off') return () => {}
  const logger = bunyan.createLogger({ name, level, streams: [{ level, stream: createBoundedStream(process.stdout) }] })
  return (number, event, fields) => logger.info({ event: number, ...fields }, event)
}
