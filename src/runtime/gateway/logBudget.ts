import type { LogEvent, LogFields } from '../log.js'
import type { TimerService } from '../timerService.js'
import { runtimeEventNumbers } from '../log.js'

/** Time between two lines that sum up what was left out, in milliseconds. */
export const summaryMs = 1000
/** Bytes of a line besides its fields: host, time, event, name, and what a collector puts before it. */
const lineOverheadBytes = 200
/** Bytes around the name and the value of a field: quotes, colon and comma. */
const fieldOverheadBytes = 6
/** Groups that a summary names for each kind of line; the others are counted together. */
const summaryGroups = 12
/** Kinds that get a budget of their own; later ones share one. */
const mostKinds = 200
/** Lines of a process together: each costs about as much as a hundredth of a request. */
const lineLimits = { perSecond: 300, burst: 600 }

/** What a line is worth: `life` is always written, a `plain` success first left out. */
type LineClass = 'life' | 'plain' | 'request' | 'belief'

/** Limits of one kind of line, in bytes: a quiet minute of a host fits in 150 kB, the output that was collected of a process in the incident of 2026-12-04. */
const byteLimits: Record<Exclude<LineClass, 'life'>, Limits> = {
  plain: { perSecond: 400, burst: 1000 },
  request: { perSecond: 300, burst: 32_000 },
  belief: { perSecond: 250, burst: 8000 }
}

/** Lines at the start and end of a process; `requestCut` comes once for each request in flight then. */
const lifeEvents = new Set(['started', 'stopped', 'settingsReloaded', 'gatewayStopping', 'requestCut'])
/** Lines that end or touch one request. */
const requestEvents = new Set(['requestAnswered', 'requestRefused', 'requestFailed', 'requestRetried', 'requestAbandoned'])

type Limits = { perSecond: number, burst: number }
type Bucket = { left: number, filledAt: number }
type LeftOut = { count: number, since: number, groups: Map<string, Map<string, number>> }

/** Log of a process within a budget for each kind of line. */
export type LogBudget = {
  log: LogEvent
  /** Writes what is left to sum up, and ends. */
  close: () => void
}

/** What a log budget needs. */
export type LogBudgetOptions = { timers: TimerService, log: LogEvent, countLeftOut: (event: string) => void }

/**
 * Writes log lines within a budget of bytes for each kind, so that a burst of one kind pushes
 * out no other. What is left out is counted and summed up in a line a second.
 */
export function createLogBudget (options: LogBudgetOptions): LogBudget {
  const { timers, log, countLeftOut } = options
  const buckets = new Map<string, Bucket>()
  const lines: Bucket = { left: lineLimits.burst, filledAt: timers.clock.now() }
  let leftOut: LeftOut | undefined
  const findBucket = (kind: string, limits: Limits, now: number): Bucket => {
    const name = buckets.has(kind) || buckets.size < mostKinds ? kind : 'others'
    const bucket = buckets.get(name) ?? { left: limits.burst, filledAt: now }
    buckets.set(name, bucket)
    return bucket
  }
  const writeSummary = () => {
    if (leftOut === undefined) return
    const { count, since, groups } = leftOut
    leftOut = undefined
    const fields: LogFields = { count, forMs: Math.round(timers.clock.now() - since) }
    for (const [event, counts] of groups) fields[event] = formatGroups(counts)
    log(runtimeEventNumbers.linesLeftOut, 'linesLeftOut', fields)
  }
  const unsubscribe = timers.subscribe(summaryMs, writeSummary)
  return {
    log: (number, event, fields) => {
      const lineClass = chooseClass(event, fields)
      if (lineClass === 'life') return log(number, event, fields)
      const now = timers.clock.now()
      const limits = byteLimits[lineClass]
      const bucket = findBucket(formatKind(event, fields, lineClass), limits, now)
      // Lines that have no bytes left take none from the lines of other kinds.
      const isWithin = takeFrom(bucket, limits, now, computeLineBytes(event, fields)) && takeFrom(lines, lineLimits, now, 1)
      if (isWithin) return log(number, event, fields)
      leftOut ??= { count: 0, since: now, groups: new Map() }
      countGroup(leftOut, event, fields)
      countLeftOut(event)
    },
    close: () => {
      unsubscribe()
      writeSummary()
    }
  }
}

function chooseClass (event: string, fields: LogFields): LineClass {
  if (lifeEvents.has(event)) return 'life'
  if (!requestEvents.has(event)) return 'belief'
  return event === 'requestAnswered' && isPlainSuccess(fields) ? 'plain' : 'request'
}

/** Whether a request was sent at once, to one backend server only, and answered in time. */
function isPlainSuccess (fields: LogFields): boolean {
  return Number(fields.status) < 400 && fields.attempts === 1 && fields.lateMs === undefined && fields.heldMs === undefined
}

/** Names what shares a budget: refusals and failures of one reason, or lines of one event. */
function formatKind (event: string, fields: LogFields, lineClass: LineClass): string {
  return lineClass === 'request' ? `${event} ${fields.reason ?? fields.status ?? ''}` : `${event} ${lineClass}`
}

function takeFrom (bucket: Bucket, limits: Limits, now: number, amount: number): boolean {
  bucket.left = Math.min(limits.burst, bucket.left + (now - bucket.filledAt) / 1000 * limits.perSecond)
  bucket.filledAt = now
  if (bucket.left < amount) return false
  bucket.left -= amount
  return true
}

function computeLineBytes (event: string, fields: LogFields): number {
  let bytes = lineOverheadBytes + event.length
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) bytes += name.length + String(value).length + fieldOverheadBytes
  }
  return bytes
}

function countGroup (leftOut: LeftOut, event: string, fields: LogFields): void {
  leftOut.count += 1
  const group = [fields.route, fields.reason ?? fields.status].filter(part => part !== undefined).join(' ')
  const counts = leftOut.groups.get(event) ?? new Map<string, number>()
  const name = counts.has(group) || counts.size < summaryGroups ? group : 'others'
  counts.set(name, (counts.get(name) ?? 0) + 1)
  leftOut.groups.set(event, counts)
}

/** Formats the counts of one kind: a number, or `route status: number` for each group. */
function formatGroups (counts: ReadonlyMap<string, number>): string | number {
  const only = counts.get('')
  if (only !== undefined && counts.size === 1) return only
  return [...counts].map(([group, count]) => `${group}: ${count}`).join(', ')
}
