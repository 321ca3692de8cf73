import type { KeyRange } from '../src/core/gateway/model.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { measureGrantingSlopes } from './grantingSlopes.js'
import { planInitial, planMoves } from '../src/core/gateway/planner.js'
import { encodePlacement } from '../src/protocol/placementRecord.js'

/** Number of requests in one timed run. */
const timedRequests = 20_000

/** Measures the cost of a request, of a range in the placement record, and of a planning round at a gateway. */
export function measureGatewaySlopes (): Array<Record<string, string | number>> {
  return [200, 2000].flatMap(backends => [measureRequest(backends), measurePlacement(backends), measurePlanning(backends)]).concat(measurePlaceLimits(), measureGrantingSlopes())
}

function buildCandidates (count: number) {
  return Array.from({ length: count }, (_, index) => ({ id: `i-${(index * 2654435761 % 2 ** 32).toString(16)}`, startedAt: 1_790_000_000_000 + index, address: `10.1.${index >> 8}.${index & 255}:8080`, slots: 4, serviceMs: 75, isWarmingUp: false }))
}

function buildRanges (count: number): KeyRange[] {
  return planInitial(buildCandidates(count)).map((move, index) => ({ from: move.from, to: move.to, owner: move.owner, fence: index + 1, phase: 'held', previous: undefined }))
}

function measureRequest (backends: number): Record<string, string | number> {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'h', zone: 'z', region: 'r', regionOf: new Map(), address: 'h', processorShare: 1 }, 1, 0)
  const post = (event: Parameters<typeof reduceGateway>[1]) => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects
  }
  const route = { name: 'a', host: 'a.test', pathPrefix: '/', targets: [{ service: 's', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }
  const services = new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]])
  const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
  post({ kind: 'configuration-read', now: 0, configuration: { version: 1, routes: [route], services, limits }, revision: 1 })
  for (const candidate of buildCandidates(backends)) post({ kind: 'backend-read', now: 0, backend: { ...candidate, service: 's', zone: 'z', leaving: false, slowForMs: 0 } })
  post({ kind: 'placement-read', now: 0, placement: { nextFence: backends + 1, services: new Map([['s', buildRanges(backends)]]), memory: { hosts: 12, serviceMs: new Map() } }, revision: 2 })
  let sent = 0
  const run = (count: number) => {
    for (let index = 0; index < count; index++) {
      const id = `${index}`
      const head = { requestId: id, host: 'a.test', path: '/x', key: (index * 7919) % 65_536, timeoutMs: 1000, bodyBytes: 0, replayable: true }
      const effects = post({ kind: 'request-arrived', now: index / 100, id, head })
      if (effects.some(effect => effect.kind === 'send')) sent += 1
      post({ kind: 'answer-whole', now: index / 100, id, attempt: 1, status: 200, firstByteAt: 0 })
    }
  }
  run(2000)
  const startedAt = performance.now()
  run(timedRequests)
  const us = (performance.now() - startedAt) * 1000 / timedRequests
  return { slope: 'reducer time of a request, us', backends, figure: Math.round(us * 10) / 10, sentShare: Math.round(sent / (timedRequests + 2000) * 100) / 100 }
}

/** Measures a request that any of 200 servers in six zones can run: without limits on its place, with regions listed, and with a zone evacuated. */
function measurePlaceLimits (): Array<Record<string, string | number>> {
  const zones = Array.from({ length: 6 }, (_, index) => `z${index}`)
  const regionOf = new Map(zones.map((zone, index) => [zone, `r${index >> 1}`]))
  const measure = (limit: string, allowedRegions: string[], evacuated: string[]) => {
    const rules = buildGatewayRules()
    const state = buildGatewayState({ host: 'h', zone: 'z0', region: 'r0', regionOf, address: 'h', processorShare: 1 }, 1, 0)
    const post = (event: Parameters<typeof reduceGateway>[1]) => { reduceGateway(state, event, rules) }
    const route = { name: 'a', host: 'a.test', pathPrefix: '/', targets: [{ service: 's', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0, allowedRegions }
    const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
    post({ kind: 'configuration-read', now: 0, configuration: { version: 1, routes: [route], services: new Map([['s', { name: 's', sharded: false, warmupMs: 0 }]]), limits }, revision: 1 })
    buildCandidates(200).forEach((candidate, index) => post({ kind: 'backend-read', now: 0, backend: { ...candidate, service: 's', zone: zones[index % 6] ?? '', leaving: false, slowForMs: 0 } }))
    for (const zone of evacuated) post({ kind: 'evacuation-read', now: 0, zone, isRequested: true })
    const run = (count: number) => {
      for (let index = 0; index < count; index++) {
        const id = `${index}`
        post({ kind: 'request-arrived', now: index / 100, id, head: { requestId: id, host: 'a.test', path: '/x', key: undefined, timeoutMs: 1000, bodyBytes: 0, replayable: true } })
        post({ kind: 'answer-whole', now: index / 100, id, attempt: 1, status: 200, firstByteAt: 0 })
      }
    }
    run(2000)
    const startedAt = performance.now()
    run(timedRequests)
    return { slope: `reducer time of a request among 200 servers, us: ${limit}`, figure: Math.round((performance.now() - startedAt) * 10_000 / timedRequests) / 10 }
  }
  return [measure('no limits on its place', [], []), measure('regions listed, all allowed', ['r0', 'r1', 'r2'], []), measure('a region of three allowed', ['r0'], []), measure('a zone of six evacuated', [], ['z0'])]
}

function measurePlacement (backends: number): Record<string, string | number> {
  const bytes = encodePlacement({ nextFence: backends + 1, services: new Map([['s', buildRanges(backends)]]), memory: { hosts: 12, serviceMs: new Map() } }).length
  return { slope: 'placement record, bytes a backend server with one range', backends, figure: Math.round(bytes / backends * 10) / 10 }
}

function measurePlanning (backends: number): Record<string, string | number> {
  const rates = new Map(Array.from({ length: 5000 }, (_, index) => [index * 13, 0.5]))
  const input = { ranges: buildRanges(backends), candidates: buildCandidates(backends), rates, isConsolidationDue: true, overloadThreshold: 0.45, isHotKeyMovable: () => true }
  planMoves(input)
  const startedAt = performance.now()
  for (let round = 0; round < 10; round++) planMoves(input)
  return { slope: 'one round of planning with 5000 busy keys, ms', backends, figure: Math.round((performance.now() - startedAt) * 10) / 100 }
}
