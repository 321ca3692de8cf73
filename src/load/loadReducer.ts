import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { Step } from '../core/step.js'
import type { ByRank, Rank } from '../core/domain/rank.js'
import type { CallerRecord } from './callerRecord.js'
import type { PlannedRequest } from './caller.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { ranks } from '../core/domain/rank.js'

/** Parameters of a load run: rates are requests per second, `keyCount` is the number of different keys. */
export type LoadPlan = {
  routers: readonly string[]
  host: ByRank<string>
  requestsPerSecond: ByRank<number>
  uploadBytes: number
  keyCount: number
  durationMs: number
  seed: number
  requestIdPrefix: string
}

/** State of a load run. */
export type LoadState = {
  plan: LoadPlan
  random: RandomGenerator
  startedAt: number
  sentCounts: ByRank<number>
  inFlightCount: number
  records: CallerRecord[]
  phase: 'running' | 'draining' | 'done'
}

/** Events of a load run. */
export type LoadEvent =
  | { kind: 'tick', now: number }
  | { kind: 'request-ended', record: CallerRecord }

/** Effects that a load run requests. */
export type LoadEffect =
  | { kind: 'send', planned: PlannedRequest }
  | { kind: 'finished' }

/** Share of requests that go to popular keys only; the others go to all keys. */
const popularRequestShare = 0.8
/** Share of all keys that are popular. */
const popularKeyShare = 0.2

/** Builds the state of a load run that starts at `now`. */
export function buildLoadState (plan: LoadPlan, now: number): LoadState {
  return {
    plan,
    random: xoroshiro128plus(plan.seed),
    startedAt: now,
    sentCounts: { lookup: 0, confirmation: 0, upload: 0 },
    inFlightCount: 0,
    records: [],
    phase: 'running'
  }
}

/** Applies one event to a load run. */
export function reduceLoad (state: LoadState, event: LoadEvent): Step<LoadState, LoadEffect> {
  if (event.kind === 'request-ended') {
    state.records.push(event.record)
    state.inFlightCount -= 1
    return { state, effects: finishIfIdle(state) }
  }
  if (state.phase !== 'running') return { state, effects: [] }
  const elapsedMs = event.now - state.startedAt
  if (elapsedMs >= state.plan.durationMs) {
    state.phase = 'draining'
    return { state, effects: finishIfIdle(state) }
  }
  return { state, effects: ranks.flatMap(rank => sendDueRequests(state, rank, elapsedMs)) }
}

function finishIfIdle (state: LoadState): LoadEffect[] {
  if (state.phase !== 'draining' || state.inFlightCount > 0) return []
  state.phase = 'done'
  return [{ kind: 'finished' }]
}

function sendDueRequests (state: LoadState, rank: Rank, elapsedMs: number): LoadEffect[] {
  const dueCount = Math.floor((elapsedMs / 1000) * state.plan.requestsPerSecond[rank])
  const effects: LoadEffect[] = []
  while (state.sentCounts[rank] < dueCount) {
    state.sentCounts[rank] += 1
    state.inFlightCount += 1
    effects.push({ kind: 'send', planned: planRequest(state, rank) })
  }
  return effects
}

function planRequest (state: LoadState, rank: Rank): PlannedRequest {
  const { plan } = state
  const key = chooseKey(state)
  const address = plan.routers[Math.floor(uniformFloat64(state.random) * plan.routers.length)] ?? ''
  const requestId = `${plan.requestIdPrefix}${rank}-${state.sentCounts[rank]}`
  const common = { requestId, rank, key, host: plan.host[rank], address }
  if (rank === 'lookup') return { ...common, method: 'GET', path: `/items/${key}`, idempotent: true, bodyBytes: 0 }
  if (rank === 'confirmation') return { ...common, method: 'POST', path: `/orders/${key}`, idempotent: false, bodyBytes: 200 }
  return { ...common, method: 'PUT', path: `/photos/${key}`, idempotent: false, bodyBytes: plan.uploadBytes }
}

function chooseKey (state: LoadState): string {
  const popularKeyCount = Math.max(1, Math.floor(state.plan.keyCount * popularKeyShare))
  const candidateCount = uniformFloat64(state.random) < popularRequestShare ? popularKeyCount : state.plan.keyCount
  return `key-${Math.floor(uniformFloat64(state.random) * candidateCount)}`
}
