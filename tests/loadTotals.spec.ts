import type { GatewayEvent } from '../src/core/gateway/events.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { gatewayTickMs, reportRetentionMs } from '../src/core/gateway/limits.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const ids = Array.from({ length: 5 }, (_, index) => `i-${index}`)

/** Starts the granting host of a fleet at `startedAt`, in virtual time. */
function startGrantingHost (startedAt = 0) {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'host-0', zone: 'z', region: 'r', regionOf: new Map(), address: 'host-0', processorShare: 1 }, 1, startedAt)
  const post = (event: GatewayEvent) => { state = reduceGateway(state, event, rules).state }
  let now = startedAt
  const advanceTime = (ms: number) => {
    for (const end = now + ms; now < end;) {
      now = Math.min(end, now + gatewayTickMs)
      if (state.granting.role === 'leading') post({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' })
      post({ kind: 'tick', now, wall: now })
    }
  }
  const services = new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]])
  post({ kind: 'configuration-read', now, configuration: { version: 1, routes: [], services, limits: { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 } }, revision: 1 })
  for (const id of ids) post({ kind: 'backend-read', now, backend: { id, startedAt: 1, service: 's', address: `${id}:80`, zone: 'z', slots: 4, leaving: false, slowForMs: 0 } })
  post({ kind: 'store-synced', now, startedAt: now, revision: 2 })
  advanceTime(400)
  post({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: 3 })
  post({ kind: 'store-synced', now, startedAt: now, revision: 3 })
  const report = (host: string, inFlight: ReadonlyMap<string, number>) => {
    const backends = [...inFlight].map(([id, count]) => ({ id, inFlight: count, answered: 1, serviceMsSum: 50 }))
    post({ kind: 'load-reported', now, report: { host, backends, keys: [], placement: state.placementVersion, wantsPlacement: false, storeRevision: 3, granting: undefined, zone: 'zone-1', renewed: [] } })
  }
  return { report, advanceTime, getState: () => state, getNow: () => now }
}

const loads = fc.array(fc.tuple(fc.nat({ max: ids.length - 1 }), fc.nat({ max: 9 })), { maxLength: 6 })
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('report' as const), host: fc.integer({ min: 1, max: 6 }), loads }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('silence' as const), ms: fc.nat({ max: 4000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const) }) }
)

testProp('the totals of requests in flight equal the sum of the load reports, whatever hosts report, leave out or lose', [fc.array(step, { minLength: 1, maxLength: 30 })], (t, steps) => {
  let grantingHost = startGrantingHost()
  let lastReports = new Map<string, { at: number, inFlight: Map<string, number> }>()
  for (const each of steps) {
    if (each.kind === 'silence') grantingHost.advanceTime(each.ms)
    if (each.kind === 'restart') {
      grantingHost = startGrantingHost(grantingHost.getNow())
      lastReports = new Map()
    }
    if (each.kind === 'report') {
      const inFlight = new Map(each.loads.map(([index, count]) => [ids[index] ?? '', count]))
      grantingHost.report(`host-${each.host}`, inFlight)
      lastReports.set(`host-${each.host}`, { at: grantingHost.getNow(), inFlight })
    }
    const state = grantingHost.getState()
    const sums = new Map<string, number>()
    for (const { inFlight } of state.granting.reports.values()) for (const [id, count] of inFlight) sums.set(id, (sums.get(id) ?? 0) + count)
    t.deepEqual([...state.granting.inFlight].sort(), [...sums].filter(([, sum]) => sum !== 0).sort())
    const present = [...lastReports].filter(([, { at }]) => grantingHost.getNow() - at <= reportRetentionMs).map(([host]) => host)
    t.deepEqual([...state.granting.reports.keys()].filter(host => host !== 'host-0').sort(), present.sort())
    for (const host of present) t.deepEqual(state.granting.reports.get(host)?.inFlight, lastReports.get(host)?.inFlight)
  }
}, { seed: 61, numRuns: 150 })

testProp('the load view for a host holds the requests in flight of the other hosts', [fc.array(loads, { minLength: 2, maxLength: 8 })], (t, fleet) => {
  const grantingHost = startGrantingHost()
  grantingHost.advanceTime(1200)
  const inFlightOfHosts = fleet.map(entries => new Map(entries.map(([index, count]) => [ids[index] ?? '', count])))
  inFlightOfHosts.forEach((inFlight, index) => grantingHost.report(`host-${index + 1}`, inFlight))
  inFlightOfHosts.forEach((_, index) => {
    const view = buildFleetLoad(grantingHost.getState(), `host-${index + 1}`)
    for (const id of ids) {
      const others = inFlightOfHosts.reduce((sum, inFlight, other) => sum + (other === index ? 0 : inFlight.get(id) ?? 0), 0)
      t.is(view.backends.find(entry => entry.id === id)?.inFlight ?? 0, others)
    }
  })
}, { seed: 62, numRuns: 60 })

test('building a load view does not iterate over the reports of all hosts, and changes nothing', t => {
  const grantingHost = startGrantingHost()
  for (let host = 1; host <= 20; host++) grantingHost.report(`host-${host}`, new Map(ids.map(id => [id, host])))
  const { reports } = grantingHost.getState().granting
  const entries = reports[Symbol.iterator].bind(reports)
  let visits = 0
  reports[Symbol.iterator] = () => {
    visits += 1
    return entries()
  }
  grantingHost.getState().now += reportRetentionMs + 1
  const before = [...reports.keys()]
  buildFleetLoad(grantingHost.getState(), 'host-1')
  t.is(visits, 0)
  t.deepEqual([...reports.keys()], before)
})
