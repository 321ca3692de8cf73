import type { LogEvent, LogFields } from '../log.js'
import type { TimerService } from '../timerService.js'
import { runtimeEventNumbers } from '../log.js'

/** Interval between summaries of the lines that were left out, in milliseconds. */
export const summaryIntervalMs = 1000
/** Bytes of a line besides its fields: host, time, event number, name, and the prefix that a log collector adds. */
const lineOverheadBytes = 200
/** Bytes of a field besides its name and value: quotes, colon and comma. */
const fieldOverheadBytes = 6
/** Maximum number of groups that a summary lists for each event; further groups are counted together as `others`. */
const maxSummaryGroups = 12
/** Maximum number of kinds of lines with their own budget; further kinds share one. */
const maxBuckets = 200
/** Limits for all lines of a process, in lines: writing a line costs about a hundredth of the processing of a request. */
const lineLimits = { perSecond: 300, burst: 600 }

/** Priority class of a line: `lifecycle` is always written, `success` (routine successful requests) is left out first. */
type LineClass = 'lifecycle' | 'success' | 'request' | 'state'

/** Limits of one kind of line, in bytes. The lines of a quiet minute of a host fit in 150 kB, the output that was collected of a process in the incident of 2026-12-04. */
const byteLimits: Record<Exclude<LineClass, 'lifecycle'>, Limits> = {
  success: { perSecond: 400, burst: 1000 },
  request: { perSecond: 300, burst: 32_000 },
  state: { perSecond: 250, burst: 8000 }
}

/** Events at the start and end of a process; `requestCut` is logged once for each request that is in flight at the end. */
const lifecycleEvents = new Set(['started', 'stopped', 'settingsReloaded', 'gatewayStopping', 'requestCut'])
/** Events that concern a single request. */
const requestEvents = new Set(['requestAnswered', 'requestRefused', 'requestFailed', 'requestRetried', 'requestAbandoned'])

type Limits = { perSecond: number, burst: number }
type TokenBucket = { tokens: number, refilledAt: number }
type LeftOut = { count: number, since: number, groups: Map<string, Map<string, number>> }

/** Log with a byte budget for each kind of line. */
export type LogBudget = {
  log: LogEvent
  /** Writes the last summary and stops. */
  close: () => void
}

/** Options of a log budget. */
export type LogBudgetOptions = { timers: TimerService, log: LogEvent, countLeftOutLine: (event: string) => void }

/**
 * Creates a log that limits each kind of line to a byte budget, so that a burst of one kind
 * does not displace other kinds. Lines left out are counted and summarized in one line per second.
 */
export function createLogBudget (options: LogBudgetOptions): LogBudget {
  const { timers, log, countLeftOutLine: countLeftOut } = options
  const buckets = new Map<string, TokenBucket>()
  const lineBucket: TokenBucket = { tokens: lineLimits.burst, refilledAt: timers.clock.now() }
  let leftOut: LeftOut | undefined
  const findBucket = (kind: string, limits: Limits, now: number): TokenBucket => {
    const bucketKind = buckets.has(kind) || buckets.size < maxBuckets ? kind : 'others'
    const bucket = buckets.get(bucketKind) ?? { tokens: limits.burst, refilledAt: now }
    buckets.set(bucketKind, bucket)
    return bucket
  }
  const writeSummary = () => {
    if (leftOut === undefined) return
    const { count, since, groups } = leftOut
    leftOut = undefined
    const fields: LogFields = { count, forMs: Math.round(timers.clock.now() - since) }
    for (const [event, counts] of groups) fields[event] = formatGroupCounts(counts)
    log(runtimeEventNumbers.linesLeftOut, 'linesLeftOut', fields)
  }
  const unsubscribe = timers.subscribe(summaryIntervalMs, writeSummary)
  return {
    log: (number, event, fields) => {
      const lineClass = chooseClass(event, fields)
      if (lineClass === 'lifecycle') return log(number, event, fields)
      const now = timers.clock.now()
      const limits = byteLimits[lineClass]
      const bucket = findBucket(formatKind(event, fields, lineClass), limits, now)
      // Lines beyond the budget of their kind do not count towards the limit for all lines.
      const isWithinBudget = takeTokens(bucket, limits, now, computeLineBytes(event, fields)) && takeTokens(lineBucket, lineLimits, now, 1)
      if (isWithinBudget) return log(number, event, fields)
      leftOut ??= { count: 0, since: now, groups: new Map() }
      addToSummary(leftOut, event, fields)
      countLeftOut(event)
    },
    close: () => {
      unsubscribe()
      writeSummary()
    }
  }
}

function chooseClass (event: string, fields: LogFields): LineClass {
  if (lifecycleEvents.has(event)) return 'lifecycle'
  if (!requestEvents.has(event)) return 'state'
  return event === 'requestAnswered' && isRoutineSuccess(fields) ? 'success' : 'request'
}

/** Returns whether a request succeeded without being held or retried, and within the target latency of its route. */
function isRoutineSuccess (fields: LogFields): boolean {
  return Number(fields.status) < 400 && fields.attempts === 1 && fields.lateMs === undefined && fields.heldMs === undefined
}

/** Formats the kind of a line; lines of the same kind share a budget. Request lines are of one kind per event and reason or status, other lines per event. */
function formatKind (event: string, fields: LogFields, lineClass: LineClass): string {
  return lineClass === 'request' ? `${event} ${fields.reason ?? fields.status ?? ''}` : `${event} ${lineClass}`
}

function takeTokens (bucket: TokenBucket, limits: Limits, now: number, amount: number): boolean {
  bucket.tokens = Math.min(limits.burst, bucket.tokens + (now - bucket.refilledAt) / 1000 * limits.perSecond)
  bucket.refilledAt = now
  if (bucket.tokens < amount) return false
  bucket.tokens -= amount
  return true
}

function computeLineBytes (event: string, fields: LogFields): number {
  let bytes = lineOverheadBytes + event.length
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) bytes += name.length + String(value).length + fieldOverheadBytes
  }
  return bytes
}

function addToSummary (leftOut: LeftOut, event: string, fields: LogFields): void {
  leftOut.count += 1
  const group = [fields.route, fields.reason ?? fields.status].filter(part => part !== undefined).join(' ')
  const groupCounts = leftOut.groups.get(event) ?? new Map<string, number>()
  const name = groupCounts.has(group) || groupCounts.size < maxSummaryGroups ? group : 'others'
  groupCounts.set(name, (groupCounts.get(name) ?? 0) + 1)
  leftOut.groups.set(event, groupCounts)
}

/** Formats the counts of one event: a number, or a list of `route reason: number` (or status) with one item for each group. */
function formatGroupCounts (counts: ReadonlyMap<string, number>): string | number {
  const only = counts.get('')
  if (only !== undefined && counts.size === 1) return only
  return [...counts].map(([group, count]) => `${group}: ${count}`).join(', ')
}
