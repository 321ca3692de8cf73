import type { Rank } from '../core/domain/rank.js'
import type { RunRecord } from '../standins/backendReducer.js'
import type { CallerRecord } from './callerRecord.js'
import { build } from 'hdr-histogram-js'
import { buildByRank, ranks } from '../core/domain/rank.js'

/** Counts from comparing callers' records with backend servers' records. */
export type Reconciliation = {
  sent: number
  answered: number
  refusedNotRun: number
  unknown: number
  /** Answered requests that no backend server executed. */
  lost: number
  /** Requests that are not idempotent and were executed more than once. */
  doubled: number
  /** Requests that were executed although their refusal said not-run. */
  refusedButRan: number
  /** Executions by a backend server after another one had executed a request for the same key under the same or a newer epoch. */
  wrongOwner: number
  /** Answers accepted as complete that were truncated or belonged to another request. */
  truncatedAsWhole: number
  /** Refusals and failures by reason. */
  reasons: Record<string, number>
  ranks: Record<Rank, { sent: number, answered: number, p50Ms: number, p99Ms: number }>
}

/** Compares callers' records with backend servers' records, by request id. */
export function compareRecords (callerRecords: readonly CallerRecord[], runs: readonly RunRecord[]): Reconciliation {
  const runsById = new Map<string, number>()
  for (const run of runs) runsById.set(run.requestId, (runsById.get(run.requestId) ?? 0) + 1)
  const countRuns = (record: CallerRecord) => runsById.get(record.requestId) ?? 0
  const answered = callerRecords.filter(record => record.outcome === 'answered')
  const refused = callerRecords.filter(record => record.outcome === 'refused-not-run')
  return {
    sent: callerRecords.length,
    answered: answered.length,
    refusedNotRun: refused.length,
    unknown: callerRecords.length - answered.length - refused.length,
    lost: answered.filter(record => countRuns(record) === 0).length,
    doubled: callerRecords.filter(record => !record.idempotent && countRuns(record) > 1).length,
    refusedButRan: refused.filter(record => countRuns(record) > 0).length,
    wrongOwner: countWrongOwners(runs),
    truncatedAsWhole: answered.filter(record => record.hasWrongContent).length,
    reasons: countReasons(callerRecords),
    ranks: buildByRank(rank => computeRankFigures(callerRecords, rank))
  }
}

/** Counts executions, in order of commit, by a backend server other than the one with the newest epoch of the key so far, unless their own epoch is newer. */
export function countWrongOwners (runs: readonly RunRecord[]): number {
  const newestRuns = new Map<string, { epoch: number, backend: string }>()
  let wrongCount = 0
  for (const run of [...runs].sort((left, right) => left.committedAt - right.committedAt)) {
    const id = `${run.host} ${run.key}`
    const newestRun = newestRuns.get(id)
    if (newestRun !== undefined && run.epoch < newestRun.epoch && run.backend !== newestRun.backend) wrongCount += 1
    if (newestRun !== undefined && run.epoch === newestRun.epoch && run.backend !== newestRun.backend) wrongCount += 1
    if (newestRun === undefined || run.epoch > newestRun.epoch) newestRuns.set(id, { epoch: run.epoch, backend: run.backend })
  }
  return wrongCount
}

function computeRankFigures (callerRecords: readonly CallerRecord[], rank: Rank) {
  const rankRecords = callerRecords.filter(record => record.rank === rank)
  const answered = rankRecords.filter(record => record.outcome === 'answered')
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 })
  for (const record of answered) histogram.recordValue(Math.max(1, Math.round((record.endedAt - record.sentAt) * 1000)))
  const computePercentileMs = (percentile: number) => answered.length === 0 ? 0 : Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100
  return { sent: rankRecords.length, answered: answered.length, p50Ms: computePercentileMs(50), p99Ms: computePercentileMs(99) }
}

/** Formats a reconciliation as a text table. */
export function formatReconciliation (result: Reconciliation): string {
  const { sent, answered, refusedNotRun, unknown, lost, doubled, refusedButRan, wrongOwner, truncatedAsWhole } = result
  const counts = { sent, answered, refusedNotRun, unknown, lost, doubled, refusedButRan, wrongOwner, truncatedAsWhole }
  const lines = Object.entries(counts).map(([name, value]) => `  ${name.padEnd(20)}${String(value).padStart(8)}`)
  lines.push('', `  ${'rank'.padEnd(14)}${'sent'.padStart(8)}${'answered'.padStart(10)}${'p50 ms'.padStart(10)}${'p99 ms'.padStart(10)}`)
  for (const rank of ranks) {
    const row = result.ranks[rank]
    const cells = [String(row.sent).padStart(8), String(row.answered).padStart(10), row.p50Ms.toFixed(1).padStart(10), row.p99Ms.toFixed(1).padStart(10)]
    lines.push(`  ${rank.padEnd(14)}${cells.join('')}`)
  }
  return lines.join('\n')
}

/** Counts refusals and failures by reason. */
export function countReasons (callerRecords: readonly CallerRecord[]): Record<string, number> {
  const reasons: Record<string, number> = {}
  for (const record of callerRecords) {
    if (record.outcome === 'answered') continue
    reasons[record.reason] = (reasons[record.reason] ?? 0) + 1
  }
  return reasons
}
