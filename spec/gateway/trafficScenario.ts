import type { Configuration, GatewayRoute, GatewayService } from '../../src/core/gateway/model.js'
import type { GatewayRules } from '../../src/core/gateway/rules.js'
import type { GatewayWorld, RequestOutcome } from './virtualWorld.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { scheduleIn, runUntil } from '../eventQueue.js'
import { addBackend, callHost, createGatewayWorld } from './virtualGateways.js'

/** Time for the hosts to start before traffic begins, in milliseconds. */
export const startupMs = 5000

/** Time between two changes of the noise of backend servers, in milliseconds. */
const noisePeriodMs = 400

/** A scenario of keyed reads at a sharded service and orders at a plain service, in virtual time. */
export type TrafficScenario = {
  seed: number
  hosts: number
  /** Number of availability zones over which hosts are spread; 1 if undefined. */
  zones?: number
  /** Number of backend servers of the sharded service. */
  shards: number
  /** Number of backend servers of the plain service. */
  plain: number
  lengthMs: number
  readsPerSecond: number
  ordersPerSecond: number
  /** Mean service time, in milliseconds. */
  workMs: number
  targetMs: number
  timeoutMs: number
  /** A group of neighbouring keys that gets a share of the reads for a while; `at` is in milliseconds after the start of traffic. */
  hot?: { at: number, forMs: number, share: number, keys: number }
  /** A factor on the rate of reads for a while; `at` is in milliseconds after the start of traffic. */
  burst?: { at: number, forMs: number, factor: number }
  /** Load reports of the backend servers; none if undefined. */
  loadReports?: GatewayWorld['loadReports']
  /** Whether one backend server in five has noise: a factor of up to 3 on its service time that is drawn anew every 400 ms. */
  hasNoise?: boolean
  /** Faults to inject; `at` is in milliseconds after the start of traffic. */
  faults?: Array<{ at: number, run: (world: GatewayWorld) => void }>
  rules: GatewayRules
  /** Requests a second that cold backend servers tolerate; no limit if undefined. */
  coldRequestsPerSecond?: number
}

/** Numbers of requests by outcome: `asked` counts all, `inTarget` and `late` those answered within or after the target. */
export type TrafficFigures = { asked: number, inTarget: number, late: number, refused: number, failed: number }
/** Result of a scenario; `busiest` is the busy time of the busiest sharded backend server relative to the mean. */
export type TrafficResult = { reads: TrafficFigures, orders: TrafficFigures, bySecond: TrafficFigures[], moves: number, calls: number, violations: string[], busiest: number, world: GatewayWorld }

const slownessFactors = [1 / 0.6, 1, 1 / 1.4, 1]

/** Runs a scenario and counts the outcomes of requests. A refused caller retries once if the refusal has a retry time. */
export function runTrafficScenario (scenario: TrafficScenario): TrafficResult {
  const world = createGatewayWorld({ seed: scenario.seed, hosts: scenario.hosts, zones: scenario.zones, configuration: buildTrafficConfiguration(scenario), rules: scenario.rules })
  const random = xoroshiro128plus(scenario.seed * 31 + 7)
  world.workMs = () => scenario.workMs * (0.6 + uniformFloat64(random) * 0.8)
  for (let index = 0; index < scenario.shards; index++) addBackend(world, buildRegistration('shards', index), slownessFactors[index % slownessFactors.length])
  for (let index = 0; index < scenario.plain; index++) addBackend(world, buildRegistration('plain', index), slownessFactors[index % slownessFactors.length])
  world.loadReports = scenario.loadReports ?? 'none'
  if (scenario.hasNoise === true) updateNoise(world)
  const reads = buildFigures()
  const orders = buildFigures()
  const bySecond = Array.from({ length: Math.ceil(scenario.lengthMs / 1000) }, buildFigures)
  const draw = () => uniformFloat64(random)
  const firstBusyKey = Math.floor(draw() * 50_000)
  const startRequest = (service: 'shards' | 'plain') => {
    const at = world.queue.now - startupMs
    const figures = [service === 'shards' ? reads : orders, bySecond[Math.floor(at / 1000)]].filter(entry => entry !== undefined)
    for (const entry of figures) entry.asked += 1
    const key = service === 'shards' ? chooseKey(scenario, at, draw, firstBusyKey) : undefined
    const path = service === 'shards' ? '/reads/1' : '/orders/1'
    const chooseHost = () => world.hosts[Math.floor(draw() * world.hosts.length)] ?? world.hosts[0]
    const startedAt = world.queue.now
    const countOutcome = (outcome: RequestOutcome, mayRetry: boolean) => {
      if (outcome.status === 503 && mayRetry && outcome.retryAfterMs !== undefined) {
        const remainingMs = startedAt + scenario.timeoutMs - world.queue.now
        const waitMs = Math.min(outcome.retryAfterMs, remainingMs / 3)
        return scheduleIn(world.queue, waitMs, () => send(remainingMs - waitMs, false))
      }
      const kind = outcome.status === 200 ? (outcome.endedAt - startedAt <= scenario.targetMs ? 'inTarget' : 'late') : outcome.status === 503 ? 'refused' : 'failed'
      for (const entry of figures) entry[kind] += 1
    }
    const send = (timeoutMs: number, mayRetry: boolean) => {
      const host = chooseHost()
      if (host !== undefined) callHost(world, host, { path, service, key, timeoutMs }, outcome => countOutcome(outcome, mayRetry))
    }
    send(scenario.timeoutMs, true)
  }
  const schedule = (service: 'shards' | 'plain', perSecond: number) => {
    const sendNext = () => {
      const at = world.queue.now - startupMs
      if (at >= scenario.lengthMs) return
      startRequest(service)
      const factor = service === 'shards' && scenario.burst !== undefined && at >= scenario.burst.at && at < scenario.burst.at + scenario.burst.forMs ? scenario.burst.factor : 1
      scheduleIn(world.queue, -Math.log(1 - draw()) * 1000 / (perSecond * factor), sendNext)
    }
    scheduleIn(world.queue, startupMs, sendNext)
  }
  schedule('shards', scenario.readsPerSecond)
  if (scenario.ordersPerSecond > 0) schedule('plain', scenario.ordersPerSecond)
  for (const fault of scenario.faults ?? []) scheduleIn(world.queue, startupMs + fault.at, () => fault.run(world))
  runUntil(world.queue, startupMs + scenario.lengthMs + scenario.timeoutMs)
  const busy = [...world.backends.values()].filter(backend => backend.registration.service === 'shards').map(backend => backend.busyMs)
  const busiest = Math.max(...busy) / (busy.reduce((sum, value) => sum + value, 0) / busy.length)
  return { reads, orders, bySecond, moves: world.moves, calls: Math.round(world.store.callCount), violations: world.violations, busiest, world }
}

/** Updates the noise of one backend server in five, and again every 400 ms. */
function updateNoise (world: GatewayWorld): void {
  [...world.backends.values()].forEach((backend, index) => { backend.noise = index % 5 === 0 ? 1 + uniformFloat64(world.random) * 2 : 1 })
  scheduleIn(world.queue, noisePeriodMs, () => updateNoise(world))
}

function buildFigures (): TrafficFigures {
  return { asked: 0, inTarget: 0, late: 0, refused: 0, failed: 0 }
}

/** Chooses a key: 40% of the reads go to a group of neighbouring busy keys, and the hot group gets its share while it is hot. */
function chooseKey (scenario: TrafficScenario, at: number, draw: () => number, firstBusyKey: number): number {
  const { hot } = scenario
  if (hot !== undefined && at >= hot.at && at < hot.at + hot.forMs && draw() < hot.share) return (firstBusyKey + 9000 + Math.floor(draw() * hot.keys)) % 65_536
  if (draw() < 0.4) return (firstBusyKey + Math.floor(draw() * draw() * 3000)) % 65_536
  return Math.floor(draw() * 65_536)
}

function buildRegistration (service: string, index: number) {
  return { id: `${service}-${index}`, startedAt: 1000 + index, service, address: `${service}-${index}:80`, zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0 }
}

function buildTrafficConfiguration (scenario: TrafficScenario): Configuration {
  const route = (name: string, pathPrefix: string, service: string, idempotent: boolean, priority: number): GatewayRoute => {
    return { name, host: 'shop.test', pathPrefix, targets: [{ service, weight: 1 }], idempotent, timeoutMs: scenario.timeoutMs, targetMs: scenario.targetMs, maxAttempts: 2, priority }
  }
  const cold = scenario.coldRequestsPerSecond === undefined ? {} : { coldRequestsPerSecond: scenario.coldRequestsPerSecond }
  return {
    version: 1,
    routes: [route('reads', '/reads/', 'shards', true, 0), route('orders', '/orders/', 'plain', false, 1)],
    services: new Map<string, GatewayService>([['shards', { name: 'shards', sharded: true, warmupMs: 2000, ...cold }], ['plain', { name: 'plain', sharded: false, warmupMs: 0, ...cold }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e8, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  }
}
