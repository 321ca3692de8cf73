import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import type { KeyRange } from '../src/core/gateway/model.js'
import type { TrafficScenario } from '../spec/gateway/trafficScenario.js'
import type { GatewayWorld } from '../spec/gateway/virtualWorld.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { encodePlacementChange, encodeFleetLoad } from '../src/protocol/fleetUpdate.js'
import { FleetUpdate } from '../src/protocol/gen/peer.js'
import { startupMs, runTrafficScenario } from '../spec/gateway/trafficScenario.js'

/** The size of a fleet; `rangesEach` is the number of ranges of each owner. */
type Fleet = { hosts: number, owners: number, rangesEach: number }
type Row = Record<string, string | number>

const rules = buildGatewayRules()
/** Number of keys in one load report. */
const reportedKeyCount = 30
/** Number of times that each step is measured. */
const roundCount = 100
const fleets: Fleet[] = [
  ...[12, 75, 300].map(hosts => ({ hosts, owners: 200, rangesEach: 1 })),
  ...[60, 600].map(owners => ({ hosts: 75, owners, rangesEach: 1 })),
  { hosts: 75, owners: 200, rangesEach: 6 }
]

/** Measures the time that a granting host spends on reports, ticks, moves and planning, and the messages that it sends. */
export function measureGrantingSlopes (): Row[] {
  // The first run is a warm-up for the JIT compiler; its figures are dropped.
  for (const fleet of fleets.slice(0, 1)) measureSteps(fleet)
  return [...fleets.map(measureSteps), ...[{ moves: 0 }, { moves: 1 }].flatMap(({ moves }) => [12, 40].map(hosts => measureMessages(hosts, 60, moves)))]
}

function buildRanges (fleet: Fleet): KeyRange[] {
  const count = fleet.owners * fleet.rangesEach
  const bound = (index: number) => Math.floor(index * 65_536 / count)
  return Array.from({ length: count }, (_, index) => ({ from: bound(index), to: bound(index + 1) - 1, owner: buildHolder(index % fleet.owners), fence: index + 1, phase: 'held', previous: undefined }))
}

function buildHolder (index: number) {
  return { id: `i-${index}`, startedAt: 1000 + index, address: `10.1.${index >> 8}.${index & 255}:80` }
}

function buildReport (host: number, fleet: Fleet): LoadReport {
  const backends = Array.from({ length: Math.min(40, fleet.owners) }, (_, index) => ({ id: `i-${(index * 7 + host) % fleet.owners}`, inFlight: 1 + index % 2, answered: 2, serviceMsSum: 150 }))
  const keys = Array.from({ length: reportedKeyCount }, (_, index) => (host * 977 + index * 2183) % 65_536)
  return { host: `h-${host}`, backends, keys: [{ service: 's', keys, counts: keys.map(() => 1) }], placement: { revision: 9, confirmations: 0 }, wantsPlacement: false, storeRevision: 9, granting: undefined, zone: 'zone-1', renewed: [] }
}

/** Builds the granting host of a fleet, with all grants confirmed at the time `start`, in milliseconds. */
function createGrantingHost (fleet: Fleet, start: number) {
  let state = buildGatewayState({ host: 'h', zone: 'z', region: 'r', regionOf: new Map(), address: 'h', processorShare: 1 }, 1, 0)
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects
  }
  const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
  post({ kind: 'configuration-read', now: 0, configuration: { version: 1, routes: [], services: new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]]), limits }, revision: 1 })
  for (let index = 0; index < fleet.owners; index++) post({ kind: 'backend-read', now: 0, backend: { ...buildHolder(index), service: 's', zone: 'z', slots: 4, leaving: false, slowForMs: 0 } })
  const ranges = buildRanges(fleet)
  post({ kind: 'placement-read', now: 0, placement: { nextFence: ranges.length + 1, services: new Map([['s', ranges]]), memory: { hosts: fleet.hosts, serviceMs: new Map() } }, revision: 9 })
  Object.assign(state, { storeSynced: true, storeUp: true, wall: start, now: start, reducedAt: start, laneNow: { callers: start, control: start }, syncStartedAt: start })
  Object.assign(state.granting, { role: 'leading', leaderSince: -start, confirmedAt: start, renewAt: Infinity })
  post({ kind: 'tick', now: start, wall: start })
  for (const grant of state.granting.grants) Object.assign(grant, { step: 'renew', confirmedAt: start, nextAt: Infinity })
  return { post, getState: () => state }
}

/** Measures the median time of a step, in microseconds. */
function measureMedianUs (step: (round: number) => void, prepare = () => {}): number {
  const times = Array.from({ length: roundCount }, (_, round) => {
    prepare()
    const startedAt = performance.now()
    step(round)
    return (performance.now() - startedAt) * 1000
  })
  return Math.round(times.sort((a, b) => a - b)[roundCount >> 1] ?? 0)
}

function measureSteps (fleet: Fleet): Row {
  const start = 10_000
  const host = createGrantingHost(fleet, start)
  for (let index = 0; index < fleet.hosts; index++) host.post({ kind: 'load-reported', now: start, report: buildReport(index, fleet) })
  const views = new Map()
  const reportUs = measureMedianUs(round => {
    host.post({ kind: 'load-reported', now: start + round, report: buildReport(round % fleet.hosts, fleet) })
    const view = encodeFleetLoad(buildFleetLoad(host.getState(), `h-${round % fleet.hosts}`), views)
    FleetUpdate.encode({ update: { $case: 'load', load: view } }).finish()
  })
  const { granting } = host.getState()
  const { grants } = granting
  let now = start + 100
  const prepareTick = (planAt: number) => {
    now += 1
    Object.assign(granting, { grants: structuredClone(grants), confirmedAt: now, balanceAt: planAt, admitAt: planAt, isDirty: false, pendingWrite: undefined })
  }
  const tick = () => { host.post({ kind: 'tick', now, wall: now }) }
  const tickUs = measureMedianUs(tick, () => prepareTick(Infinity))
  const planUs = measureMedianUs(tick, () => prepareTick(-Infinity))
  prepareTick(Infinity)
  const confirmUs = measureMedianUs(round => {
    const grant = granting.grants[round % granting.grants.length]
    if (grant === undefined) return
    grant.step = 'grant'
    const { service, range: { from, to, fence } } = grant
    const effects = host.post({ kind: 'grant-ended', now, sentAt: now, service, from, to, fence, outcome: { kind: 'granted' } })
    for (const effect of effects) {
      if (effect.kind !== 'publish-placement') continue
      const placement = encodePlacementChange(effect.change)
      for (let to = 1; to < fleet.hosts; to++) FleetUpdate.encode({ update: { $case: 'placement', placement } }).finish()
    }
  })
  return { slope: 'granting host, us', ...fleet, report: reportUs, idleTick: tickUs, confirmedMove: confirmUs, planning: planUs, ranges: grants.length }
}

/** Counts the messages that a fleet sends in a second; with `losses` set to 1, a third of the owners stops answering at the start of the count. */
function measureMessages (hosts: number, owners: number, losses: number): Row {
  const counts = new Map<string, number>()
  let grantsOfGrantingHost = 0
  const watch = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (inWorld, host, effect) => {
      if (inWorld.queue.now < startupMs + 8000) counts.set(effect.kind, (counts.get(effect.kind) ?? 0) + 1)
      if (inWorld.queue.now < startupMs + 8000 && effect.kind === 'grant' && host.state.granting.role === 'leading') grantsOfGrantingHost += 1
      interpret(inWorld, host, effect)
    }
  }
  const lose = (world: GatewayWorld) => {
    for (const backend of world.backends.values()) {
      if (losses > 0 && Number(backend.registration.id.split('-')[1]) % 3 === 0) backend.state = 'silent'
    }
  }
  const day: TrafficScenario = { seed: 1, hosts, shards: owners, plain: 0, lengthMs: 8000, readsPerSecond: 1000, ordersPerSecond: 0, workMs: 75, targetMs: 250, timeoutMs: 1000, rules, faults: [{ at: 3000, run: watch }, { at: 3000, run: lose }] }
  const { moves } = runTrafficScenario(day)
  const perSecond = (kind: GatewayEffect['kind']) => Math.round((counts.get(kind) ?? 0) / 5)
  return { slope: 'messages a second in the emulator', hosts, owners, lostOwners: losses * Math.ceil(owners / 3), moves, grants: perSecond('grant'), grantsOfGrantingHost: Math.round(grantsOfGrantingHost / 5), releases: perSecond('release'), changesToHosts: perSecond('publish-placement') * (hosts - 1), reports: perSecond('report-load') }
}
