import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { KeyRange } from '../src/core/gateway/model.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const owners = 220
const rangeCount = 1000
const busyKeys = 5000
const hosts = 75

/** Measures the reducer time of the granting host's events with many ranges and busy keys, in microseconds (median and 90th percentile). */
export function measureGrantingCosts (): Array<Record<string, string | number>> {
  const grantingHost = startGrantingHost()
  grantingHost.warmUp()
  const rounds = grantingHost.measureRounds(30)
  return [
    buildRow('a tick with nothing due, us', grantingHost.measureTicks(300)),
    buildRow('a round of planning, us', rounds),
    buildRow('an answer to a grant, us', grantingHost.measureGrantAnswers(400)),
    buildRow('an answer to a release, us', grantingHost.measureReleaseAnswers(200))
  ]
}

function buildRow (slope: string, times: number[]): Record<string, string | number> {
  const sorted = [...times].sort((a, b) => a - b)
  const readPercentileUs = (share: number) => Math.round((sorted[Math.floor(sorted.length * share)] ?? 0) * 1000)
  return { slope, owners, ranges: rangeCount, busyKeys, figure: readPercentileUs(0.5), p90: readPercentileUs(0.9) }
}

function startGrantingHost () {
  const rules = buildGatewayRules()
  const idleRules = { ...rules, planMoves: () => [] }
  let state = buildGatewayState({ host: 'h', zone: 'z', region: 'r', regionOf: new Map(), address: 'h', processorShare: 1 }, 1, 0)
  let now = 0
  let activeRules = rules
  const post = (event: GatewayEvent) => {
    const startedAt = performance.now()
    const step = reduceGateway(state, event, activeRules)
    const ms = performance.now() - startedAt
    state = step.state
    return { effects: step.effects, ms }
  }
  const route = { name: 'a', host: 'a.test', pathPrefix: '/', targets: [{ service: 's', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }
  const services = new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]])
  post({ kind: 'configuration-read', now, configuration: { version: 1, routes: [route], services, limits: { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 } }, revision: 1 })
  const holders = Array.from({ length: owners }, (_, index) => ({ id: `i-${(index * 2654435761 % 2 ** 32).toString(16)}`, startedAt: 1_790_000_000_000 + index, address: `10.1.0.${index}:8080` }))
  for (const holder of holders) post({ kind: 'backend-read', now, backend: { ...holder, service: 's', zone: 'z', slots: 4, leaving: false, slowForMs: 0 } })
  const width = Math.floor(65_536 / rangeCount)
  const ranges = Array.from({ length: rangeCount }, (_, index): KeyRange => {
    return { from: index * width, to: index === rangeCount - 1 ? 65_535 : index * width + width - 1, owner: holders[index * 7 % owners]!, fence: index + 1, phase: 'held', previous: undefined }
  })
  post({ kind: 'placement-read', now, placement: { nextFence: rangeCount + 1, services: new Map([['s', ranges]]), memory: { hosts, serviceMs: new Map() } }, revision: 5 })
  state.wall = 1_000_000
  state.granting = { ...state.granting, role: 'leading', leaderRevision: 6, confirmedAt: now, leaderSince: -10_000, isLoaded: false }
  post({ kind: 'store-synced', now, startedAt: 0, revision: 5 })
  /** Advances the clock and posts a tick. Leadership counts as just confirmed, since the step would otherwise look like a pause of the process. */
  const tick = (ms: number) => {
    now += ms
    state.granting.confirmedAt = now
    state.granting.renewAt = Infinity
    state.granting.renewAnsweredAt = state.granting.renewSentAt
    return post({ kind: 'tick', now, wall: 1_000_000 + now })
  }
  const report = () => {
    for (let host = 0; host < hosts; host++) {
      const keys = Array.from({ length: 300 }, (_, index) => (host * 300 + index) % busyKeys * 13)
      post({ kind: 'load-reported', now, report: { host: `h-${host}`, backends: holders.map(({ id }) => ({ id, inFlight: 0, answered: 1, serviceMsSum: 75 })), keys: [{ service: 's', keys, counts: keys.map(() => 1) }], placement: state.placementVersion, wantsPlacement: false, storeRevision: 5, granting: undefined, zone: 'zone-1', renewed: [] } })
    }
  }
  const answer = (effects: ReturnType<typeof post>['effects']) => effects.flatMap(effect => {
    if (effect.kind !== 'grant') return []
    return [post({ kind: 'grant-ended', now, sentAt: now, service: 's', from: effect.from, to: effect.to, fence: effect.fence, outcome: { kind: 'granted' } }).ms]
  })
  const write = (effects: ReturnType<typeof post>['effects']) => {
    for (const effect of effects) if (effect.kind === 'write-placement') post({ kind: 'placement-written', now, outcome: 'written', revision: state.placementVersion.revision + 1, write: effect.write })
  }
  activeRules = idleRules
  return {
    warmUp: () => {
      for (let index = 0; index < 100; index++) {
        if (index % 25 === 0) report()
        const { effects } = tick(20)
        answer(effects)
        write(effects)
      }
    },
    measureTicks: (count: number) => Array.from({ length: count }, () => {
      state.granting.balanceAt = Infinity
      for (const grant of state.granting.grants) Object.assign(grant, { nextAt: Infinity, confirmedAt: now })
      state.reportAt = Infinity
      return tick(1).ms
    }),
    measureRounds: (count: number) => Array.from({ length: count }, () => {
      report()
      // The plan is computed but discarded, so that each round starts from the same ranges.
      activeRules = { ...rules, planMoves: input => rules.planMoves({ ...input, isConsolidationDue: true }).slice(0, 0) }
      Object.assign(state, { reportAt: Infinity })
      state.granting.balanceAt = now
      const { ms, effects } = tick(20)
      activeRules = idleRules
      answer(effects)
      write(effects)
      return ms
    }),
    measureGrantAnswers: (count: number) => state.granting.grants.slice(-count).map(grant => {
      return post({ kind: 'grant-ended', now, sentAt: now, service: 's', from: grant.range.from, to: grant.range.to, fence: grant.range.fence, outcome: { kind: 'granted' } }).ms
    }),
    measureReleaseAnswers: (count: number) => {
      for (const grant of state.granting.grants.slice(-count)) {
        const target = holders.find(holder => holder.id !== grant.range.owner.id)!
        Object.assign(grant, { step: 'releasing', nextAt: Infinity, latestArrivalAt: Infinity, range: { ...grant.range, phase: 'moving', previous: grant.range.owner, owner: target } })
      }
      return state.granting.grants.slice(-count).map(grant => {
        return post({ kind: 'release-ended', now, service: 's', from: grant.range.from, to: grant.range.to, fence: grant.range.fence, outcome: { kind: 'released', handover: 'token' } }).ms
      })
    }
  }
}
