import type { ByRank, Rank } from '../src/core/domain/rank.js'
import type { RouterRules } from '../src/core/router/rules.js'
import type { RouterState } from '../src/core/router/routerState.js'
import type { EventQueue } from '../spec/eventQueue.js'
import { build } from 'hdr-histogram-js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { buildByRank, ranks } from '../src/core/domain/rank.js'
import { buildRouterState, reduceRouter } from '../src/core/index.js'
import { buildDocumentText } from '../src/demo/documentTemplate.js'
import { parseDocument } from '../src/protocol/documentText.js'
import { createEventQueue, runUntil, scheduleIn } from '../spec/eventQueue.js'

/** Time for which one request occupies a slot, in milliseconds. */
export const workMs: ByRank<number> = { lookup: 4, confirmation: 15, upload: 150 }
/** Requests a second at one backend server in the steady state; they use about 60% of its 4 slots. */
export const steadyRatesPerSecond: ByRank<number> = { lookup: 300, confirmation: 40, upload: 4 }
const slots = 4
const warmUpMs = 4000
const measuredMs = 20_000

/** A scenario: the load of each rank as a factor on its steady rate, and the behaviour of the backend server. */
export type QueueScenarioOptions = {
  name: string
  factors: ByRank<number>
  /** Factor on the service time; the backend server reports itself healthy all the same. */
  slowness: number
  /** Share of its slots that the backend server uses before it sheds requests. */
  capacity: number
  /** Whether the backend server still warms up when the measured part starts: its warm-up time is 8 s instead of 0. */
  isCold: boolean
}

/** Figures of a scenario by rank: requests offered, answered (`good`) and answered within the target (`met`), latencies in milliseconds, and refusals by reason. */
export type QueueFigures = ByRank<{ offered: number, good: number, met: number, p50: number, p99: number, refused: Record<string, number> }>

type Scenario = {
  queue: EventQueue
  state: RouterState
  rules: RouterRules
  options: QueueScenarioOptions
  running: number
  arrivals: Map<string, { rank: Rank, at: number, isCounted: boolean }>
  figures: QueueFigures
  histograms: ByRank<ReturnType<typeof build>>
}

/** Runs a router's real reducer with one backend server in virtual time. */
export function runQueueScenario (options: QueueScenarioOptions, rules: RouterRules, seed: number): QueueFigures {
  const scenario = createScenario(options, rules)
  const random = xoroshiro128plus(seed)
  for (const rank of ranks) scheduleArrivals(scenario, rank, () => uniformFloat64(random))
  scheduleTicks(scenario)
  runUntil(scenario.queue, warmUpMs + measuredMs + 3000)
  for (const rank of ranks) {
    scenario.figures[rank].p50 = scenario.histograms[rank].getValueAtPercentile(50)
    scenario.figures[rank].p99 = scenario.histograms[rank].getValueAtPercentile(99)
  }
  return scenario.figures
}

function createScenario (options: QueueScenarioOptions, rules: RouterRules): Scenario {
  const text = buildDocumentText([{ name: 'book-1', address: '10.0.0.1:9001', service: 'bookings', zone: 'a-1' }])
    .replace('[service.bookings]', `[service.bookings]\nwarm-up-ms = ${options.isCold ? 8000 : 0}`)
  const parsed = parseDocument(text, 1)
  const scenario: Scenario = {
    queue: createEventQueue(),
    state: buildRouterState('router-1', 'a-1'),
    rules,
    options,
    running: 0,
    arrivals: new Map(),
    figures: buildByRank(() => ({ offered: 0, good: 0, met: 0, p50: 0, p99: 0, refused: {} })),
    histograms: buildByRank(() => build({ lowestDiscernibleValue: 1, highestTrackableValue: 100_000, numberOfSignificantValueDigits: 3 }))
  }
  if (parsed.kind === 'invalid') return scenario
  const entry = { router: 'router-1', address: '', adminAddress: '', zone: 'a-1', generation: 1, successor: undefined, witness: undefined, pivot: undefined }
  postEvent(scenario, { kind: 'store-changed', now: 0, record: { kind: 'document', document: parsed.value } })
  postEvent(scenario, { kind: 'store-changed', now: 0, record: { kind: 'fleet', fleet: { revision: 1, operation: '', routers: new Map([['router-1', entry]]) } } })
  const ranges = Array.from({ length: 64 }, () => ({ owner: 'book-1', epoch: 1 }))
  const assignment = { service: 'demo.bookings', revision: 1, operation: '', ranges, keys: new Map(), holders: new Map([['book-1', { router: 'router-1', epoch: 1 }]]) }
  postEvent(scenario, { kind: 'store-changed', now: 0, record: { kind: 'assignment', assignment } })
  return scenario
}

function postEvent (scenario: Scenario, event: Parameters<typeof reduceRouter>[1]): void {
  const step = reduceRouter(scenario.state, { ...event, now: scenario.queue.now }, scenario.rules)
  scenario.state = step.state
  for (const effect of step.effects) {
    if (effect.kind === 'dispatch') runWork(scenario, effect.id, effect.attempt)
    if (effect.kind === 'refuse') countRefusal(scenario, effect.id, effect.refusal.reason)
    if (effect.kind === 'send-grants') {
      const { backend, sentAt, usableUntil, notAfter } = effect
      scheduleIn(scenario.queue, 1, () => postEvent(scenario, { kind: 'grants-replied', now: 0, backend, sentAt, usableUntil, notAfter, reply: { kind: 'alive' } }))
    }
  }
}

function runWork (scenario: Scenario, id: string, attempt: number): void {
  const arrival = scenario.arrivals.get(id)
  if (arrival === undefined) return
  const end = (result: 'answered' | 'shed') => {
    if (result === 'answered') countAnswer(scenario, id)
    postEvent(scenario, { kind: 'dispatch-ended', now: 0, id, attempt, result })
  }
  if (scenario.running >= slots * scenario.options.capacity) {
    scheduleIn(scenario.queue, 1, () => end('shed'))
    return
  }
  scenario.running += 1
  scheduleIn(scenario.queue, workMs[arrival.rank] * scenario.options.slowness, () => {
    scenario.running -= 1
    end('answered')
  })
}

function countAnswer (scenario: Scenario, id: string): void {
  const arrival = scenario.arrivals.get(id)
  if (arrival === undefined || !arrival.isCounted) return
  const figures = scenario.figures[arrival.rank]
  const ms = scenario.queue.now - arrival.at
  figures.good += 1
  if (ms <= (scenario.state.services.get('demo.bookings')?.team.ranks[arrival.rank].targetMs ?? 0)) figures.met += 1
  scenario.histograms[arrival.rank].recordValue(Math.max(1, Math.round(ms)))
}

function countRefusal (scenario: Scenario, id: string, reason: string): void {
  const arrival = scenario.arrivals.get(id)
  if (arrival === undefined || !arrival.isCounted) return
  const { refused } = scenario.figures[arrival.rank]
  refused[reason] = (refused[reason] ?? 0) + 1
}

function scheduleTicks (scenario: Scenario): void {
  scheduleIn(scenario.queue, 20, () => {
    postEvent(scenario, { kind: 'tick', now: 0 })
    scheduleTicks(scenario)
  })
}

/** Schedules Poisson arrivals; the factors of the scenario apply when the measured part starts. */
function scheduleArrivals (scenario: Scenario, rank: Rank, draw: () => number): void {
  const factor = scenario.queue.now < warmUpMs ? 1 : scenario.options.factors[rank]
  const gapMs = -Math.log(1 - draw()) * 1000 / (steadyRatesPerSecond[rank] * factor)
  scheduleIn(scenario.queue, gapMs, () => {
    if (scenario.queue.now > warmUpMs + measuredMs) return
    const id = `p1:${scenario.queue.lastSequence}`
    const isCounted = scenario.queue.now >= warmUpMs
    scenario.arrivals.set(id, { rank, at: scenario.queue.now, isCounted })
    if (isCounted) scenario.figures[rank].offered += 1
    const deadlineMs = scenario.state.services.get('demo.bookings')?.team.ranks[rank].deadlineMs ?? 0
    const request = { service: 'demo.bookings', key: `key-${scenario.queue.lastSequence % 500}`, unit: 'r0', owner: 'book-1', epoch: 1, rank, idempotent: rank === 'lookup', deadlineMs, replayable: true }
    postEvent(scenario, { kind: 'peer-request', now: 0, id, request })
    scheduleArrivals(scenario, rank, draw)
  })
}
