import type { CommandResult } from './commands.js'
import type { LogLine } from './logLines.js'
import { exitCodes } from './commands.js'
import { parseLines } from './logLines.js'

/** Share of the lags that lie below the second figure. */
const highShare = 0.99

/** Lags of one kind over all lines; `counts` by upper bound in milliseconds. */
type LagSum = { counts: Map<number, number>, total: number, worstMs: number, worst: LogLine }

/** Sums up how late changes came into force on all hosts whose logs are given. */
export function showChangeLags (texts: readonly string[]): CommandResult {
  const lines = texts.flatMap(parseLines).filter(line => line.msg === 'changeLags')
  if (lines.length === 0) return { text: 'no line of change lags in these logs', code: exitCodes.failed }
  const sums = new Map<string, LagSum>()
  for (const line of lines) {
    const name = `${String(line.change)}${line.disturbed === true ? ' (disturbed hosts)' : ''}`
    const sum = sums.get(name) ?? { counts: new Map(), total: 0, worstMs: 0, worst: line }
    sums.set(name, sum)
    addCounts(sum, String(line.counts))
    if (Number(line.worstMs) > sum.worstMs) Object.assign(sum, { worstMs: Number(line.worstMs), worst: line })
  }
  const rows = [...sums].sort(([a], [b]) => a < b ? -1 : 1).map(([name, sum]) => formatSum(name, sum))
  return { text: [`${new Set(lines.map(line => line.hostname)).size} hosts; longest time from acknowledgement to in force`, ...rows].join('\n'), code: exitCodes.done }
}

function addCounts (sum: LagSum, counts: string): void {
  for (const entry of counts.split(' ')) {
    const [bound, count] = entry.split(':')
    const limit = bound === 'more' ? Infinity : Number(bound)
    sum.counts.set(limit, (sum.counts.get(limit) ?? 0) + Number(count))
    sum.total += Number(count)
  }
}

function formatSum (name: string, sum: LagSum): string {
  const { worst } = sum
  return `${name}: ${sum.total} times, 99% within ${formatBound(sum)}, worst ${sum.worstMs} ms (${String(worst.worstOf)} on ${worst.hostname}, by ${worst.time})`
}

/** Formats the bound below which the high share of the lags lies; the worst is the bound where it is less. */
function formatBound ({ counts, total, worstMs }: LagSum): string {
  let below = 0
  for (const [bound, count] of [...counts].sort(([a], [b]) => a - b)) {
    below += count
    if (below >= total * highShare) return `${Math.min(bound, worstMs)} ms`
  }
  return `${worstMs} ms`
}
