import type { IncomingHttpHeaders } from 'node:http'
import type { BackendSignals, ReportedLoad } from '../../core/gateway/model.js'
import type { GatewayWire } from './ports.js'
import { maxPauseMs } from '../../core/gateway/backendPauses.js'

/** Longest header value that is read, in characters: four numbers with separators. */
const maxValueLength = 64
/** Highest number of requests or slots that is taken for a number of requests or slots. */
const maxRequests = 1_000_000
/** Highest slowdown that is taken for one, in percent of the usual time of work. */
const maxSlowdownPercent = 100_000
/** Longest time for which a backend server can say that it is cold, in milliseconds: one hour. */
const maxColdMs = 3_600_000

/** Answer of a backend server: its headers with names in lower case, and whether it declares with status 503 that the request did not run. */
export type SignalSource = { headers: IncomingHttpHeaders, isShed: boolean }

/** Decodes what a backend server says about itself with an answer; undefined if it says nothing. Malformed values count as absent. */
export function decodeBackendSignals ({ headers, isShed }: SignalSource, names: GatewayWire['headers']): BackendSignals | undefined {
  const isLeaving = readValue(headers, names.leaving) === '1'
  const pauseMs = isShed ? decodePauseMs(readValue(headers, 'retry-after')) : undefined
  const coldMs = decodeDecimal(readValue(headers, names.coldMs))
  const load = decodeReportedLoad(readValue(headers, names.load))
  if (!isLeaving && pauseMs === undefined && coldMs === undefined && load === undefined) return undefined
  return { isLeaving, pauseMs, coldMs: coldMs === undefined ? undefined : Math.min(maxColdMs, coldMs), load }
}

/** Reads a header that occurs once; undefined if it is absent or too long. */
function readValue (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name.toLowerCase()]
  return typeof value === 'string' && value.length <= maxValueLength ? value.trim() : undefined
}

/** Decodes a time in seconds for which no requests are wanted, to milliseconds; a date is not one. */
function decodePauseMs (value: string | undefined): number | undefined {
  const seconds = decodeDecimal(value)
  return seconds === undefined || seconds === 0 ? undefined : Math.min(maxPauseMs, seconds * 1000)
}

/** Decodes a number that is not negative, with or without a fraction. */
function decodeDecimal (value: string | undefined): number | undefined {
  return value !== undefined && /^(?:\d+(?:\.\d*)?|\.\d+)$/.test(value) ? Number(value) : undefined
}

/** Decodes `RUNNING,WAITING,SLOTS[,PERCENT]`. */
function decodeReportedLoad (value: string | undefined): ReportedLoad | undefined {
  const parts = (value ?? '').split(',').map(part => part.trim())
  if (parts.length !== 3 && parts.length !== 4) return undefined
  const [running, waiting, slots] = parts.slice(0, 3).map(part => /^\d{1,7}$/.test(part) ? Number(part) : undefined)
  const percent = parts.length === 3 ? 100 : decodeDecimal(parts[3])
  if (running === undefined || waiting === undefined || slots === undefined || percent === undefined) return undefined
  if (Math.max(running, waiting, slots) > maxRequests || slots === 0 || percent === 0 || percent > maxSlowdownPercent) return undefined
  return { running, waiting, slots, slowdown: percent / 100 }
}
