import type { FleetLoad, GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import test from 'ava'
import { buildLoadAnswer } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { decodeFleetLoad, decodeLoadReport, encodeFleetLoad, encodeLoadReport } from '../src/protocol/fleetUpdate.js'
import { FleetLoadView, LoadReport as WireReport } from '../src/protocol/gen/peer.js'

const rules = buildGatewayRules()
const version = { revision: 5, confirmations: 0 }
const owner = { id: 'shard-0', startedAt: 1, address: '127.0.0.1:10' }
const range = { from: 0, to: 65_535, owner, fence: 1, phase: 'held' as const, previous: undefined }
const collector = { host: 'host-1', address: 'host-1' }
const wallOffsetMs = 1_000_000

/** Starts a host in virtual time that routes by a placement with one owner. */
function startHost (host: string) {
  let state = buildGatewayState({ host, zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: host, processorShare: 1 }, 1, 0)
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects
  }
  post({ kind: 'tick', now: 0, wall: wallOffsetMs })
  post({ kind: 'placement-read', now: 0, placement: { nextFence: 2, services: new Map([['shards', [range]]]), memory: { hosts: 2, serviceMs: new Map() } }, revision: 5 })
  post({ kind: 'granting-host-read', now: 0, granting: { host: 'host-0', address: 'host-0' }, revision: 4 })
  return { post, getState: () => state }
}

function buildLoad (load: Partial<FleetLoad>): FleetLoad {
  return { hosts: 40, storeAgeMs: 0, placement: version, storeRevision: 5, backends: [], renewals: [], ...load }
}

/** Starts a collector that the granting host asked, in its answer to a report sent at 100 ms, to pass on that host-2 renews the grants of the owner. */
function startCollector () {
  const host = startHost(collector.host)
  const load = buildLoad({ collector, memberRenewals: [{ host: 'host-2', owners: [owner.id] }] })
  host.post({ kind: 'fleet-load-read', now: 120, load, reported: new Map(), reportedAt: 100 })
  host.post({ kind: 'fleet-load-read', now: 121, load, reported: new Map(), reportedAt: 100 })
  return host
}

const memberReport: LoadReport = { host: 'host-2', zone: 'zone-1', backends: [{ id: owner.id, inFlight: 2, answered: 3, serviceMsSum: 150 }], keys: [{ service: 'shards', keys: [7], counts: [4] }], placement: version, wantsPlacement: false, storeRevision: 5, granting: undefined, renewed: [{ fence: 1, from: 0, to: 65_535, ageMs: 30 }] }

test('a collector passes on whose grants its hosts renew, with the time since the granting host may have said so', t => {
  const { getState } = startCollector()
  const answer = buildLoadAnswer(getState(), 'host-2', { now: 400, wall: 400 + wallOffsetMs })
  t.deepEqual(answer?.renewals, [owner.id])
  t.is(answer?.renewalsAgeMs, 300)
  t.deepEqual(buildLoadAnswer(getState(), 'host-3', { now: 400, wall: 400 + wallOffsetMs })?.renewals, [])
})

test('a collector that was suspended counts the suspension in that time, before and after its next tick', t => {
  const { post, getState } = startCollector()
  const clocks = { now: 400, wall: 400 + wallOffsetMs + 7000 }
  t.is(buildLoadAnswer(getState(), 'host-2', clocks)?.renewalsAgeMs, 7300)
  post({ kind: 'tick', ...clocks })
  t.is(buildLoadAnswer(getState(), 'host-2', clocks)?.renewalsAgeMs, 7300)
})

test('a host renews grants through a collector for no longer than if the granting host had answered it directly', t => {
  const renew = (renewalsAgeMs: number) => {
    const { post } = startHost('host-2')
    for (let now = 100; now < 3000; now += 100) post({ kind: 'tick', now, wall: now + wallOffsetMs })
    post({ kind: 'fleet-load-read', now: 3000, load: buildLoad({ collector, renewals: [owner.id], renewalsAgeMs }), reported: new Map(), reportedAt: 2990 })
    return Array.from({ length: 30 }, (_, index) => 3020 + index * 100).filter(now => post({ kind: 'tick', now, wall: now + wallOffsetMs }).some(({ kind }) => kind === 'grant'))
  }
  t.true(renew(0).length > 0)
  t.true(Math.max(...renew(1500)) < 2990 - 1500 + 2000)
  t.deepEqual(renew(2100), [])
})

test('the report of a collector holds the load of its hosts, and their renewals with the time that passed since they arrived', t => {
  const { post } = startCollector()
  post({ kind: 'load-reported', now: 200, report: memberReport })
  const effects = [300, 350, 400].flatMap(now => post({ kind: 'tick', now, wall: now + wallOffsetMs }))
  const reports = effects.flatMap(effect => effect.kind === 'report-load' ? [effect] : [])
  const [first] = reports
  t.is(first?.address, 'host-0')
  t.deepEqual(first?.report.backends, [{ id: owner.id, inFlight: 2, answered: 3, serviceMsSum: 150 }])
  t.deepEqual([...first?.inFlight ?? []], [])
  t.deepEqual(first?.report.keys, [{ service: 'shards', keys: [7], counts: [4] }])
  t.is(first?.report.hosts, 2)
  t.deepEqual(first?.report.members?.map(({ host, ageMs, renewed }) => ({ host, ageMs, renewed: renewed[0]?.ageMs })), [{ host: 'host-2', ageMs: 100, renewed: 130 }])
})

test('a collector stops answering when no granting host has answered it for some seconds', t => {
  const { getState } = startCollector()
  t.truthy(buildLoadAnswer(getState(), 'host-2', { now: 3000, wall: 3000 + wallOffsetMs }))
  t.is(buildLoadAnswer(getState(), 'host-2', { now: 3200, wall: 3200 + wallOffsetMs }), undefined)
})

test('a host whose collector ends the exchange reports to the granting host, which it asks for a while whatever collector is named', t => {
  const { post, getState } = startHost('host-2')
  post({ kind: 'fleet-load-read', now: 100, load: buildLoad({ collector }), reported: new Map(), reportedAt: 90 })
  const reportTo = (now: number) => post({ kind: 'tick', now, wall: now + wallOffsetMs }).flatMap(effect => effect.kind === 'report-load' ? [effect.address] : [])
  t.deepEqual(reportTo(120), ['host-1'])
  post({ kind: 'exchange-ended', now: 200, address: 'host-1' })
  t.deepEqual(reportTo(220), ['host-0'])
  post({ kind: 'fleet-load-read', now: 240, load: buildLoad({ collector }), reported: new Map(), reportedAt: 220 })
  t.is(getState().collector, undefined)
  post({ kind: 'fleet-load-read', now: 3300, load: buildLoad({ collector }), reported: new Map(), reportedAt: 3290 })
  t.deepEqual(getState().collector, collector)
})

test('reports and answers of the former build, which know no collectors, are read as before', t => {
  const { host, zone, backends, keys, placement, wantsPlacement, storeRevision, renewed } = memberReport
  const wire = WireReport.decode(WireReport.encode(encodeLoadReport({ host, zone, backends, keys, placement, wantsPlacement, storeRevision, renewed, granting: undefined })).finish())
  const decoded = decodeLoadReport(wire)
  t.is(decoded.address, '')
  t.is(decoded.hosts, 1)
  t.deepEqual(decoded.members, [])
  const view = FleetLoadView.decode(FleetLoadView.encode(encodeFleetLoad(buildLoad({}), new Map())).finish())
  const load = decodeFleetLoad(view, new Map())
  t.is(load.collector, undefined)
  t.is(load.reporters, load.hosts)
})

test('what collectors report and answer is the same after encoding and decoding', t => {
  const member = { host: 'host-2', zone: 'zone-1', placement: version, granting: undefined, renewed: memberReport.renewed, address: 'host-2', processorShare: 0.27, ageMs: 12 }
  const report: LoadReport = { ...memberReport, address: 'host-1', processorShare: 0.675, hosts: 3, isCollecting: true, members: [member] }
  t.deepEqual(decodeLoadReport(WireReport.decode(WireReport.encode(encodeLoadReport(report)).finish())), report)
  const load = buildLoad({ collector, connectMs: 900, renewalsAgeMs: 40, loadAgeMs: 30, reporters: 21, memberRenewals: [{ host: 'host-2', owners: ['a', 'b'] }] })
  const { byId, ...decoded } = decodeFleetLoad(FleetLoadView.decode(FleetLoadView.encode(encodeFleetLoad(load, new Map())).finish()), new Map())
  t.deepEqual(decoded, load)
  t.is(byId?.size, 0)
})
