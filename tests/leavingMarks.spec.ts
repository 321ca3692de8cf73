import type { BackendMark } from '../src/core/gateway/events.js'
import type { SignalsHost } from './support/signalsHost.js'
import test from 'ava'
import { markEndMs } from '../src/core/gateway/leavingMarks.js'
import { buildFleetLoad, buildLoadAnswer, listCandidates } from '../src/core/gateway/loadExchange.js'
import { buildRegistration, buildSharedLoad, silentSignals, startGranting, startSignalsHost } from './support/signalsHost.js'

function mark (host: SignalsHost, index: number): ReturnType<SignalsHost['post']> {
  return host.post({ kind: 'signals-read', now: host.now(), backend: `i-${index}`, startedAt: 1, signals: { ...silentSignals, isLeaving: true } })
}

function listMarked (host: SignalsHost): string[] {
  return [...host.state().backends.values()].filter(backend => backend.leaving).map(({ id }) => id)
}

/** Reads a heartbeat that the store acknowledged after `asOf`. */
function beat (host: SignalsHost, index: number, asOf: number): void {
  host.post({ kind: 'store-known', now: host.now(), asOf })
  host.post({ kind: 'backend-read', now: host.now(), backend: buildRegistration(index) })
}

function buildMarks (count: number, ageMs = 0): BackendMark[] {
  return Array.from({ length: count }, (_, index) => ({ id: `i-${index}`, startedAt: 1, ageMs, isLeaving: true, coldMs: 0 }))
}

function report (host: SignalsHost, from: string, marks: BackendMark[]): void {
  host.post({ kind: 'load-reported', now: host.now(), report: { host: from, backends: [], keys: [], placement: { revision: 0, confirmations: 0 }, wantsPlacement: false, storeRevision: 3, granting: undefined, zone: 'z', renewed: [], marks } })
}

test('after a leaving answer no request is sent to that instance, under load and without any contact, and those that wait for a connection go elsewhere', t => {
  const host = startSignalsHost({ servers: 3 })
  const first = host.ask()
  const effects = host.answer(first.id, { isLeaving: true })
  t.deepEqual(effects.filter(effect => effect.kind === 'bound-opening'), [{ kind: 'bound-opening', backend: first.backend ?? '', withinMs: 0 }])
  for (let index = 0; index < 300; index++) {
    const { id, backend } = host.ask()
    t.not(backend, first.backend)
    host.answer(id)
    host.advanceTime(20)
  }
})

test('a leaving owner gets requests for its keys for half of the 2 s for which it serves on, and none later', t => {
  const host = startSignalsHost({ sharded: true })
  mark(host, 0)
  host.advanceTime(900)
  t.is(host.ask(7).backend, 'i-0')
  mark(host, 0)
  host.advanceTime(140)
  t.is(host.ask(7).backend, undefined, 'a later leaving answer does not extend that time')
})

test('a leaving owner gets no request from a host that was suspended for longer than it may send', t => {
  const host = startSignalsHost({ sharded: true })
  host.advanceTime(40)
  mark(host, 0)
  host.post({ kind: 'tick', now: host.now() + 20, wall: host.now() + 20 + 1500 })
  t.is(host.ask(7).backend, undefined)
})

test('a ready registration ends a mark only if it was certainly written some heartbeats later', t => {
  const host = startSignalsHost({ servers: 2 })
  const markedAt = host.now()
  mark(host, 0)
  host.advanceTime(markEndMs + 3000)
  beat(host, 0, markedAt + markEndMs - 1)
  t.deepEqual(listMarked(host), ['i-0'], 'written by a server that had not registered its leaving yet, and read late')
  beat(host, 0, markedAt + markEndMs)
  t.deepEqual(listMarked(host), [])
  host.post({ kind: 'fleet-load-read', now: host.now(), load: buildSharedLoad({ marks: buildMarks(1, host.now() - markedAt) }), reported: new Map(), reportedAt: host.now() })
  t.deepEqual(listMarked(host), [], 'another host that does not know that registration yet must not bring the mark back')
})

test('a mark outlasts a registration that lapsed and came back, and ends with its instance', t => {
  const host = startSignalsHost({ servers: 2 })
  mark(host, 0)
  host.post({ kind: 'backend-gone', now: host.now(), id: 'i-0', graceMs: 0 })
  host.post({ kind: 'backend-read', now: host.now(), backend: buildRegistration(0) })
  t.deepEqual(listMarked(host), ['i-0'])
  host.post({ kind: 'backend-read', now: host.now(), backend: buildRegistration(0, { startedAt: 2 }) })
  t.deepEqual(listMarked(host), [])
})

test('marks of other hosts take at most a quarter of the servers of a service, and none from a service with one server', t => {
  for (const [servers, expected] of [[1, 0], [2, 1], [8, 2], [68, 17]] as const) {
    const host = startSignalsHost({ servers })
    for (let time = 0; time < 3; time++) host.post({ kind: 'fleet-load-read', now: host.now(), load: buildSharedLoad({ marks: buildMarks(servers) }), reported: new Map(), reportedAt: host.now() })
    t.is(listMarked(host).length, expected, `${servers}`)
  }
})

test('the granting host passes a reported mark on, takes the keys of that server away, and does not relay marks of more than a quarter of a service', t => {
  const host = startSignalsHost({ servers: 8, sharded: true })
  startGranting(host)
  report(host, 'host-1', buildMarks(1, 40))
  const shared = buildFleetLoad(host.state(), 'host-2').marks ?? []
  t.deepEqual(shared.map(({ id, startedAt, isLeaving }) => ({ id, startedAt, isLeaving })), [{ id: 'i-0', startedAt: 1, isLeaving: true }])
  t.false(listCandidates({ state: host.state(), effects: [] }, 's').some(({ id }) => id === 'i-0'))
  const effects = host.advanceTime(700)
  t.true(effects.some(effect => effect.kind === 'log' && effect.event === 'moveStarted'), 'its keys move')
  for (const from of ['host-1', 'host-2', 'host-3']) report(host, from, buildMarks(8))
  for (let index = 0; index < 8; index++) mark(host, index)
  t.is(buildFleetLoad(host.state(), 'host-2').marks?.length, 2)
})

test('a host reports its own marks soon, and again with every report, so that a new granting host learns them after the loss of the former one', t => {
  const host = startSignalsHost({ servers: 8 })
  host.post({ kind: 'granting-host-read', now: host.now(), granting: { host: 'host-9', address: 'host-9' }, revision: 5 })
  host.advanceTime(400)
  host.post({ kind: 'fleet-load-read', now: host.now(), load: buildSharedLoad({ marks: buildMarks(1) }), reported: new Map(), reportedAt: host.now() })
  mark(host, 1)
  const listReported = (ms: number) => host.advanceTime(ms).flatMap(effect => effect.kind === 'report-load' && effect.report.backends !== undefined ? [{ address: effect.address, marks: effect.report.marks?.map(({ id }) => id) }] : [])
  t.deepEqual(listReported(80).at(-1), { address: 'host-9', marks: ['i-1'] }, 'marks that others told are not reported again')
  host.post({ kind: 'granting-host-read', now: host.now(), granting: { host: 'host-8', address: 'host-8' }, revision: 6 })
  t.deepEqual(listReported(400).at(-1), { address: 'host-8', marks: ['i-1'] })
  t.deepEqual(listMarked(host).sort(), ['i-0', 'i-1'])
})

test('a collector passes marks on to its hosts and to the granting host', t => {
  const host = startSignalsHost({ servers: 8 })
  host.post({ kind: 'granting-host-read', now: host.now(), granting: { host: 'host-9', address: 'host-9' }, revision: 5 })
  host.post({ kind: 'fleet-load-read', now: host.now(), load: buildSharedLoad({ hosts: 30, collector: { host: 'host-0', address: 'host-0' } }), reported: new Map(), reportedAt: host.now() })
  report(host, 'host-1', buildMarks(1))
  const answer = buildLoadAnswer(host.state(), 'host-2', { now: host.now() + 30, wall: 0 })
  t.deepEqual(answer?.marks, [{ id: 'i-0', startedAt: 1, ageMs: 30, isLeaving: true, coldMs: 0 }])
  const reports = host.advanceTime(300).filter(effect => effect.kind === 'report-load')
  t.deepEqual(reports.at(-1)?.report.marks?.map(({ id }) => id), ['i-0'])
})
