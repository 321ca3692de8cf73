import type { GatewayWork } from './state.js'
import { computeKnownAsOf } from './storeFreshness.js'
import { changeLagLogMs, disruptionWindowMs } from './limits.js'

/** Store changes that must take effect on every host within a short time: a new configuration, a leaving backend server, a removed registration, the evacuation of an availability zone. */
export type ChangeKind = 'configuration' | 'leaving' | 'gone' | 'evacuation'

/** Upper bounds of the histogram buckets of lags, in milliseconds; one more bucket counts lags above the last bound. */
export const changeLagBoundsMs = [50, 100, 150, 200, 250, 300, 400, 500, 600, 800, 1000, 1250, 1500, 2000, 2500, 3000, 5000] as const

/** Lags of one kind of change since the last log line; `worstOf` is the configuration version or the backend server that had the longest lag. */
type LagCounts = { change: ChangeKind, isDisrupted: boolean, counts: number[], worstMs: number, worstOf: string }

/** Lags since the last log line, by kind of change and by whether this host had recently lost the store or been suspended. */
export type ChangeLags = { byKind: Map<string, LagCounts>, loggedAt: number }

/** Builds an empty record of lags. */
export function buildChangeLags (now: number): ChangeLags {
  return { byKind: new Map(), loggedAt: now }
}

/**
 * Records that a change has taken effect, and returns the longest time that can have passed since
 * the store acknowledged it, in milliseconds; undefined before this host's first complete read of
 * the store.
 */
export function recordChangeLag (work: GatewayWork, change: ChangeKind, subject: string): number | undefined {
  const { state } = work
  const asOf = computeKnownAsOf(state, change)
  if (asOf === -Infinity) return undefined
  const ms = Math.round(state.reducedAt - asOf)
  const isDisrupted = state.now - state.disruptedAt < disruptionWindowMs
  const name = `${change} ${isDisrupted}`
  const lags = state.changeLags.byKind.get(name) ?? { change, isDisrupted, counts: changeLagBoundsMs.map(() => 0).concat(0), worstMs: 0, worstOf: subject }
  state.changeLags.byKind.set(name, lags)
  const bound = changeLagBoundsMs.findIndex(limit => ms <= limit)
  const index = bound < 0 ? changeLagBoundsMs.length : bound
  lags.counts[index] = (lags.counts[index] ?? 0) + 1
  if (ms > lags.worstMs) Object.assign(lags, { worstMs: ms, worstOf: subject })
  work.effects.push({ kind: 'observe-change', change, ms })
  return ms
}

/** Logs the lags of each kind of change since the last log lines. */
export function advanceChangeLags (work: GatewayWork): void {
  const { changeLags, now } = work.state
  if (changeLags.byKind.size === 0 || now - changeLags.loggedAt < changeLagLogMs) return
  changeLags.loggedAt = now
  for (const { change, isDisrupted, counts, worstMs, worstOf } of changeLags.byKind.values()) {
    work.effects.push({ kind: 'log', event: 'changeLags', fields: { change, disturbed: isDisrupted || undefined, worstMs, worstOf, counts: formatCounts(counts) } })
  }
  changeLags.byKind.clear()
}

/** Formats counts as `BOUND:COUNT`, without empty buckets; the bound of the last bucket is `more`. */
function formatCounts (counts: readonly number[]): string {
  return counts.map((count, index) => ({ count, bound: changeLagBoundsMs[index] ?? 'more' }))
    .filter(({ count }) => count > 0)
    .map(({ count, bound }) => `${bound}:${count}`)
    .join(' ')
}
