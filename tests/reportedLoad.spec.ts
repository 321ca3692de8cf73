import type { SignalsHost } from './support/signalsHost.js'
import type { AgedLoad } from '../src/core/gateway/events.js'
import type { Backend } from '../src/core/gateway/state.js'
import test from 'ava'
import { admitRequest, estimateInFlight, estimateServiceMs } from '../src/core/gateway/admission.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { decodeFleetLoad, encodeFleetLoad } from '../src/protocol/fleetUpdate.js'
import { buildSharedLoad, silentSignals, startGranting, startSignalsHost } from './support/signalsHost.js'

function tell (host: SignalsHost, index: number, running: number, waiting: number, slowdown = 1): void {
  host.post({ kind: 'signals-read', now: host.now(), backend: `i-${index}`, startedAt: 1, signals: { ...silentSignals, load: { running, waiting, slots: 4, slowdown } } })
}

/** Applies what the granting host shares about one backend server. */
function share (host: SignalsHost, index: number, inFlight: number, reported?: AgedLoad): void {
  const load = buildSharedLoad({ backends: [{ id: `i-${index}`, inFlight, serviceMs: 300, admitShare: 1, ...(reported === undefined ? {} : { reported }) }] })
  host.post({ kind: 'fleet-load-read', now: host.now(), load, reported: new Map(), reportedAt: host.now() })
}

function find (host: SignalsHost, index: number): Backend {
  const backend = host.state().backends.get(`i-${index}`)
  if (backend === undefined) throw new Error('no such backend server')
  return backend
}

const estimate = (host: SignalsHost, index: number) => estimateInFlight(host.state(), find(host, index))
const load = { running: 4, waiting: 3, slots: 4, slowdown: 1 }

test('a fresh figure replaces the requests that other hosts reported, and counts no request twice', t => {
  const host = startSignalsHost({ servers: 1 })
  share(host, 0, 5)
  const [first, second] = [host.ask(), host.ask()]
  t.is(estimate(host, 0), 7 + 0.4)
  tell(host, 0, 2, 0)
  t.is(estimate(host, 0), 2, 'both requests in the figure are those of this host')
  const third = host.ask()
  t.is(third.backend, 'i-0')
  t.is(estimate(host, 0), 3, 'the figure can not contain a request that was sent later')
  for (const { id } of [first, second, third]) host.answer(id)
  t.is(estimate(host, 0), 0, 'requests that were answered since are gone from it')
  tell(host, 0, 4, 2)
  t.is(estimate(host, 0), 6)
})

test('a figure counts less as it ages, and a stale one not at all, whether the exchange goes on or this host is cut off', t => {
  for (const isCut of [false, true]) {
    const host = startSignalsHost({ servers: 1 })
    const advance = (ms: number) => {
      host.advanceTime(ms)
      if (!isCut) share(host, 0, 2)
    }
    const others = isCut ? 0 : 2
    advance(20)
    tell(host, 0, 4, 5)
    advance(100)
    t.is(estimate(host, 0), 9)
    advance(360)
    t.true(estimate(host, 0) > others && estimate(host, 0) < 9)
    advance(360)
    t.is(estimate(host, 0), others)
  }
})

test('a slowdown scales the expected time in part, relative to the usual one, within the noise period', t => {
  const host = startSignalsHost({ servers: 2 })
  const factor = (index: number) => estimateServiceMs(host.state(), find(host, index)) / find(host, index).serviceMs
  t.is(factor(0), 1, 'a server without the header')
  tell(host, 0, 0, 0, 3)
  t.true(factor(0) > 1.5 && factor(0) <= 2, `${factor(0)}`)
  tell(host, 1, 0, 0, 1000)
  t.true(factor(1) <= 2, 'an absurd value must not take a server out of service')
  host.advanceTime(200)
  t.true(factor(0) > 1.2 && factor(0) < 1.5, `${factor(0)}`)
  host.advanceTime(200)
  t.is(factor(0), 1)
  for (let time = 0; time < 100; time++) tell(host, 0, 0, 0, 2)
  t.true(Math.abs(factor(0) - 1) < 0.05, 'the smoothed service time contains a lasting slowdown already')
})

test('under load no request goes to a server whose own figure says that its queue is nearly full, although no host reported that load', t => {
  const host = startSignalsHost({ servers: 12 })
  for (let round = 0; round < 100; round++) {
    tell(host, 3, 4, 9)
    for (let request = 0; request < 3; request++) {
      const { id, backend } = host.ask()
      t.not(backend, 'i-3')
      host.answer(id)
    }
    host.advanceTime(20)
  }
  const request = { targetAt: host.now() + 1000, deadlineAt: host.now() + 2500, route: { priority: 0 } } as Parameters<typeof admitRequest>[1]
  tell(host, 3, 4, 9)
  t.is(admitRequest(host.state(), request, find(host, 3)).kind, 'refuse')
})

test('a newer figure of another host replaces the known one, and an older one does not', t => {
  const host = startSignalsHost({ servers: 1 })
  host.ask()
  host.advanceTime(100)
  tell(host, 0, 1, 0)
  host.advanceTime(60)
  share(host, 0, 2, { ...load, ageMs: 70 })
  t.is(estimate(host, 0), 1, 'the own figure is newer')
  share(host, 0, 2, { ...load, ageMs: 50 })
  t.is(estimate(host, 0), 1, 'newer by less than an age may be wrong')
  share(host, 0, 2, { ...load, ageMs: 30 })
  t.is(estimate(host, 0), 7, 'the request of this host was sent before that figure, which contains it')
  host.ask()
  t.is(estimate(host, 0), 8)
})

test('hosts report a figure once, and the granting host shares the latest one only while it is recent and says something new', t => {
  const host = startSignalsHost({ servers: 3 })
  host.post({ kind: 'granting-host-read', now: host.now(), granting: { host: 'host-9', address: 'host-9' }, revision: 5 })
  host.advanceTime(300)
  tell(host, 0, 3, 1)
  const reports = host.advanceTime(600).flatMap(effect => effect.kind === 'report-load' ? [effect.report.backends] : [])
  t.deepEqual(reports.flatMap(backends => backends.map(({ id, reported }) => [id, reported?.running, reported?.waiting])), [['i-0', 3, 1]])

  const granting = startSignalsHost({ servers: 3, sharded: true })
  startGranting(granting)
  const report = (from: string, reported: Array<AgedLoad | undefined>) => {
    const backends = reported.map((entry, index) => ({ id: `i-${index}`, inFlight: 2, answered: 3, serviceMsSum: 900, ...(entry === undefined ? {} : { reported: entry }) }))
    granting.post({ kind: 'load-reported', now: granting.now(), report: { host: from, backends, keys: [], placement: { revision: 0, confirmations: 0 }, wantsPlacement: false, storeRevision: 3, granting: undefined, zone: 'z', renewed: [] } })
  }
  report('host-1', [{ ...load, ageMs: 100 }, { running: 2, waiting: 1, slots: 4, slowdown: 1, ageMs: 0 }, undefined])
  report('host-2', [{ running: 1, waiting: 0, slots: 4, slowdown: 1, ageMs: 10 }, undefined, undefined])
  const listShared = () => buildFleetLoad(granting.state(), 'host-3').backends.map(({ id, reported }) => [id, reported?.running])
  t.deepEqual(listShared(), [['i-0', 1], ['i-1', undefined], ['i-2', undefined]], 'of 4 requests in flight, the latest figure has 1; 3 instead of 4 is not worth sending')
  granting.advanceTime(420)
  t.true(listShared().every(([, running]) => running === undefined), 'too old')
})

test('a figure is sent once over a stream and does not look fresh again with the next view', t => {
  const sent = new Map()
  const known = new Map()
  const entry = { id: 'i-0', inFlight: 9, serviceMs: 300, admitShare: 1 }
  const exchange = (reported: AgedLoad | undefined) => {
    const view = encodeFleetLoad(buildSharedLoad({ backends: [{ ...entry, ...(reported === undefined ? {} : { reported }) }] }), sent)
    return { sent: view.backends.length, load: decodeFleetLoad(view, known) }
  }
  t.is(exchange({ ...load, ageMs: 40 }).load.backends[0]?.reported?.ageMs, 40)
  const next = exchange({ ...load, ageMs: 240 })
  t.is(next.sent, 0)
  t.deepEqual(next.load.backends, [entry])
  t.is(exchange(undefined).sent, 0)
  t.is(exchange({ ...load, ageMs: 20 }).sent, 1)
})
