import type { CommandResult } from './commands.js'
import type { LogLine } from './logLines.js'
import { exitCodes } from './commands.js'
import { parseLines } from './logLines.js'

/** Percentile that is shown of the lags, as a share. */
const percentileShare = 0.99

/** Lags of one kind of change over all lines; `counts` is keyed by upper bound in milliseconds. */
type LagTotals = { counts: Map<number, number>, total: number, worstMs: number, worstLine: LogLine }

/** Summarizes how long changes took to come into force, on all hosts whose logs are given. */
export function showChangeLags (texts: readonly string[]): CommandResult {
  const lines = texts.flatMap(parseLines).filter(line => line.msg === 'changeLags')
  if (lines.length === 0) return { text: 'no changeLags lines in these logs', code: exitCodes.failed }
  const totalsByKind = new Map<string, LagTotals>()
  for (const line of lines) {
    const name = `${String(line.change)}${line.disturbed === true ? ' (disturbed hosts)' : ''}`
    const totals = totalsByKind.get(name) ?? { counts: new Map(), total: 0, worstMs: 0, worstLine: line }
    totalsByKind.set(name, totals)
    addCounts(totals, String(line.counts))
    if (Number(line.worstMs) > totals.worstMs) Object.assign(totals, { worstMs: Number(line.worstMs), worstLine: line })
  }
  const rows = [...totalsByKind].sort(([a], [b]) => a < b ? -1 : 1).map(([name, totals]) => formatTotals(name, totals))
  return { text: [`${new Set(lines.map(line => line.hostname)).size} hosts; upper bounds of the time from acknowledgement by the store until in force`, ...rows].join('\n'), code: exitCodes.done }
}

function addCounts (totals: LagTotals, counts: string): void {
  for (const entry of counts.split(' ')) {
    const [bound, count] = entry.split(':')
    const boundMs = bound === 'more' ? Infinity : Number(bound)
    totals.counts.set(boundMs, (totals.counts.get(boundMs) ?? 0) + Number(count))
    totals.total += Number(count)
  }
}

function formatTotals (name: string, totals: LagTotals): string {
  const { worstLine } = totals
  return `${name}: ${totals.total} times, 99% within ${formatBound(totals)}, worst ${totals.worstMs} ms (${String(worstLine.worstOf)} on ${worstLine.hostname}, by ${worstLine.time})`
}

/** Formats the upper bound of the percentile, or the worst lag if that is lower. */
function formatBound ({ counts, total, worstMs }: LagTotals): string {
  let belowCount = 0
  for (const [bound, count] of [...counts].sort(([a], [b]) => a - b)) {
    belowCount += count
    if (belowCount >= total * percentileShare) return `${Math.min(bound, worstMs)} ms`
  }
  return `${worstMs} ms`
}
