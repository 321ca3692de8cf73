import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { ColdShare, FleetLoad, GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration } from '../src/core/gateway/model.js'
import type { Candidate } from '../src/core/gateway/planner.js'
import test from 'ava'
import { coldWindowMs } from '../src/core/gateway/coldAdmission.js'
import { firstDealMs } from '../src/core/gateway/coldShares.js'
import { applyZoneReturn } from '../src/core/gateway/coldState.js'
import { buildLoadAnswer } from '../src/core/gateway/loadExchange.js'
import { planInitial, planMoves } from '../src/core/gateway/planner.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { decodeFleetLoad, encodeFleetLoad } from '../src/protocol/fleetUpdate.js'
import { FleetLoadView } from '../src/protocol/gen/peer.js'

const rules = buildGatewayRules()
const wallOffsetMs = 1_000_000
const registration: BackendRegistration = { id: 'b-1', startedAt: 1000, service: 'items', address: '127.0.0.1:9', zone: 'zone-1', slots: 50, leaving: false, slowForMs: 20_000, report: 1 }

function buildConfiguration (sharded: boolean, coldRequestsPerSecond: number | undefined): Configuration {
  return {
    version: 1,
    routes: [['/', 0], ['/uploads/', 2]].map(([pathPrefix, priority]) => ({ name: `items${priority}`, host: 'shop.test', pathPrefix: `${pathPrefix}`, targets: [{ service: 'items', weight: 1 }], idempotent: true, timeoutMs: 3000, targetMs: 1500, maxAttempts: 2, priority: Number(priority) })),
    services: new Map([['items', { name: 'items', sharded, warmupMs: 0, coldStartMs: 10_000, coldRequestsPerSecond }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e8, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  }
}

function buildLoad (coldShares: ColdShare[] | undefined, load: Partial<FleetLoad> = {}): FleetLoad {
  return { hosts: 5, storeAgeMs: 0, placement: { revision: 0, confirmations: 0 }, storeRevision: 0, backends: [], renewals: [], coldShares, ...load }
}

const share: ColdShare = { id: 'b-1', startedAt: 1000, requests: 2, validMs: 2400 }

/** Starts a host at 0 ms that knows one backend server, and brings it to 2000 ms. */
function startHost ({ sharded = false, isLimited = true, slowForMs = 20_000 } = {}) {
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  let wallAheadMs = wallOffsetMs
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, event, rules, event.now, event.now + wallAheadMs)
    state = step.state
    return step.effects
  }
  const tick = (now: number) => post({ kind: 'tick', now, wall: now + wallAheadMs })
  tick(0)
  post({ kind: 'configuration-read', now: 0, configuration: buildConfiguration(sharded, isLimited ? 4 : undefined), revision: 1 })
  post({ kind: 'backend-read', now: 0, backend: { ...registration, slowForMs } })
  post({ kind: 'store-synced', now: 0, startedAt: 0, revision: 1 })
  for (let now = 100; now <= 2000; now += 100) tick(now)
  let count = 0
  /** Posts a request and returns the effects on it. */
  const ask = (now: number, key?: number, path = '/') => {
    count += 1
    const id = `${count}`
    return post({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path, key, timeoutMs: 3000, bodyBytes: 0, replayable: true } })
  }
  const isSent = (now: number, path = '/') => ask(now, undefined, path).some(({ kind }) => kind === 'send')
  const share = (now: number, load: FleetLoad, reportedAt = now) => post({ kind: 'fleet-load-read', now, load, reported: new Map(), reportedAt })
  const setWallAhead = (ms: number) => { wallAheadMs += ms }
  return { post, tick, ask, isSent, share, setWallAhead, getState: () => state }
}

test('a host without a share of a cold server sends it nothing and refuses with a time after which the caller may retry', t => {
  const { ask } = startHost()
  const refusal = ask(2000).find(({ kind }) => kind === 'refuse')
  t.like(refusal, { kind: 'refuse', reason: 'backend-cold', status: 503 })
  t.true(refusal?.kind === 'refuse' && (refusal.retryAfterMs ?? 0) > 0 && (refusal.retryAfterMs ?? 0) <= coldWindowMs + 40)
})

test('a server of a service without a limit gets requests while it is cold, as before', t => {
  const { isSent } = startHost({ isLimited: false })
  t.true(isSent(2000))
})

test('a share is spent in a sliding window: no burst after a quiet time, and no more than the share in any window', t => {
  const { isSent, share: give } = startHost()
  give(2000, buildLoad([{ ...share, validMs: 60_000 }]))
  const sent: number[] = []
  for (let now = 3500; now < 8000; now += 50) if (isSent(now)) sent.push(now)
  t.true(sent.length >= 6)
  for (const [index, at] of sent.entries()) t.true(at - (sent[index - 2] ?? -Infinity) >= coldWindowMs)
})

test('less urgent requests get no part of a share while more urgent ones of the service are refused', t => {
  const { isSent, share: give } = startHost()
  give(2000, buildLoad([{ ...share, requests: 1, validMs: 60_000 }]))
  t.true(isSent(2010, '/uploads/1'))
  t.false(isSent(2500))
  t.false(isSent(2010 + coldWindowMs, '/uploads/1'))
  t.true(isSent(2010 + coldWindowMs))
  t.true(isSent(4600, '/uploads/1'))
})

test('a share runs out after its validity, counted from the report that was answered, and belongs to one instance', t => {
  const { isSent, share: give, post, tick } = startHost()
  give(2100, buildLoad([share]), 2000)
  t.true(isSent(4390))
  t.false(isSent(4401))
  for (let now = 2200; now <= 6000; now += 100) tick(now)
  give(6000, buildLoad([share]), 5900)
  t.true(isSent(6005))
  post({ kind: 'backend-read', now: 6010, backend: { ...registration, startedAt: 2000 } })
  t.false(isSent(6020))
})

test('a suspension that the monotonic clock does not count ends shares at once, before the next tick, and the answers to reports sent before it give none', t => {
  const { isSent, share: give, setWallAhead } = startHost()
  give(2000, buildLoad([share]))
  setWallAhead(3000)
  t.false(isSent(2010))
  give(2020, buildLoad([share]), 2005)
  t.false(isSent(2030))
  give(2040, buildLoad([share]), 2035)
  t.true(isSent(2050))
})

test('a collector passes shares on with what is left of their validity, also after a suspension', t => {
  const collector = { host: 'host-1', address: 'host-1' }
  const { share: give, getState } = startHost()
  const load = buildLoad(undefined, { collector, memberColdShares: [{ host: 'host-2', shares: [share] }] })
  give(2020, load, 2000)
  give(2021, load, 2000)
  const readValidity = (now: number, suspendedMs: number, host = 'host-2') => buildLoadAnswer(getState(), host, { now, wall: now + wallOffsetMs + suspendedMs })?.coldShares?.map(({ validMs }) => validMs)
  t.deepEqual(readValidity(2400, 0), [2000])
  t.deepEqual(readValidity(2400, 1000), [1000])
  t.is(readValidity(2400, 2100), undefined)
  t.is(readValidity(2400, 0, 'host-3'), undefined)
})

test('the granting host deals after the shares of its predecessor have run out, while its lease is confirmed, and after a suspension only once it is confirmed anew', t => {
  const { post, tick, ask, setWallAhead, getState } = startHost({ sharded: true, slowForMs: 60_000 })
  const report: LoadReport = { host: 'host-2', zone: 'zone-1', address: 'host-2', backends: [], keys: [], placement: { revision: 0, confirmations: 0 }, wantsPlacement: false, storeRevision: 0, granting: undefined, renewed: [] }
  post({ kind: 'leadership-claimed', now: 2010, outcome: 'written', lease: 1, revision: 2 })
  const advance = (from: number, to: number) => {
    for (let now = from; now <= to; now += 100) {
      post({ kind: 'load-reported', now, report })
      post({ kind: 'lease-renewed', now, sentAt: now - 20, outcome: 'renewed' })
      tick(now)
    }
  }
  const countShared = (now: number, wallAheadMs = wallOffsetMs) => buildLoadAnswer(getState(), 'host-2', { now, wall: now + wallAheadMs })?.coldShares?.length ?? 0
  advance(2100, 2010 + firstDealMs)
  t.is(countShared(2010 + firstDealMs), 0)
  advance(2100 + firstDealMs, 8000)
  post({ kind: 'lease-renewed', now: 8000, sentAt: 7990, outcome: 'renewed' })
  t.is(countShared(8000), 1)
  t.is(countShared(8000 + 1150), 1)
  t.is(countShared(8000 + 1201), 0)
  t.is(countShared(8010, wallOffsetMs + 3000), 0)
  setWallAhead(3000)
  ask(8010)
  t.is(countShared(8020, wallOffsetMs + 3000), 0)
  post({ kind: 'lease-renewed', now: 8050, sentAt: 8005, outcome: 'renewed' })
  t.is(countShared(8060, wallOffsetMs + 3000), 0)
  post({ kind: 'lease-renewed', now: 8070, sentAt: 8065, outcome: 'renewed' })
  t.is(countShared(8080, wallOffsetMs + 3000), 1)
})

test('a server that becomes cold again keeps its keys, and requests for them beyond the share are refused', t => {
  const { post, ask, share: give } = startHost({ sharded: true, slowForMs: 0 })
  const range = { from: 0, to: 65_535, owner: { id: 'b-1', startedAt: 1000, address: '127.0.0.1:9' }, fence: 1, phase: 'held' as const, previous: undefined }
  post({ kind: 'placement-read', now: 2000, placement: { nextFence: 2, services: new Map([['items', [range]]]), memory: { hosts: 1, serviceMs: new Map() } }, revision: 2 })
  const kinds = (now: number) => ask(now, 7).flatMap(effect => effect.kind === 'send' ? ['send'] : effect.kind === 'refuse' ? [effect.reason] : [])
  t.deepEqual(kinds(2010), ['send'])
  post({ kind: 'backend-read', now: 4000, backend: { ...registration, slowForMs: 5000, report: 2 } })
  t.deepEqual(kinds(4010), ['backend-cold'])
  give(4020, buildLoad([share]))
  t.deepEqual([4030, 4040, 4050].flatMap(kinds), ['send', 'send', 'backend-cold'])
  t.deepEqual(kinds(9100), ['send'])
})

test('reports of the same instance say for how much longer it is cold: it may become so again, and a report that is read twice changes nothing', t => {
  const { post, isSent, getState } = startHost({ slowForMs: 0 })
  const report = (now: number, slowForMs: number, number: number) => post({ kind: 'backend-read', now, backend: { ...registration, slowForMs, report: number } })
  t.true(isSent(2010))
  t.true(report(2100, 5000, 2).some(effect => effect.kind === 'log' && effect.event === 'backendCold'))
  t.false(isSent(2110))
  report(4000, 5000, 2)
  t.is(getState().backends.get('b-1')?.slowUntil, 7100)
  report(4500, 0, 3)
  t.true(isSent(4510))
})

test('what answers say of a cold server, and the return of a zone, hold until a registration must have been written later', t => {
  const { post, share: give, isSent, getState } = startHost({ slowForMs: 0 })
  give(2000, buildLoad([], { marks: [{ id: 'b-1', startedAt: 1000, ageMs: 500, isLeaving: false, coldMs: 6500 }] }))
  t.is(getState().backends.get('b-1')?.slowUntil, 8000)
  post({ kind: 'backend-read', now: 2200, backend: { ...registration, slowForMs: 0, report: 2 } })
  t.false(isSent(2210))
  post({ kind: 'backend-read', now: 4300, backend: { ...registration, slowForMs: 0, report: 3 } })
  t.true(isSent(4310))
  applyZoneReturn({ state: getState(), effects: [] }, 'zone-1')
  t.false(isSent(4400))
  post({ kind: 'backend-read', now: 7000, backend: { ...registration, slowForMs: 0, report: 4 } })
  t.true(isSent(7010))
})

function buildCandidate (index: number, limits: Partial<Candidate> = {}): Candidate {
  return { id: `b-${index}`, startedAt: 1, address: `b-${index}:80`, slots: 4, serviceMs: 75, isWarmingUp: limits.maxKeyRate !== undefined, hasColdLimit: true, ...limits }
}

test('the planner gives a cold server quiet keys that fit, keeps busy ones away until it is warm, and leaves those that it has', t => {
  const warm = [0, 1, 2, 3].map(index => buildCandidate(index))
  const ranges = planInitial(warm).map(({ from, to, owner }, index) => ({ from, to, owner, fence: index + 1, phase: 'held' as const, previous: undefined }))
  const rates = new Map(Array.from({ length: 400 }, (_, index) => [index * 160, index % 20 === 0 ? 4 : 0.1]))
  const plan = (candidates: Candidate[], from = ranges) => planMoves({ ranges: from, candidates, rates, isConsolidationDue: false, overloadThreshold: 0.9, isHotKeyMovable: () => true })
  const countRate = (moves: Array<{ from: number, to: number }>) => moves.reduce((sum, { from, to }) => sum + [...rates].reduce((part, [key, rate]) => part + (key >= from && key <= to ? rate : 0), 0), 0)
  const cold = plan([...warm, buildCandidate(4, { maxKeyRate: 1.85 })])
  t.is(cold.length, 1)
  t.is(cold[0]?.owner.id, 'b-4')
  t.true(countRate(cold) > 0 && countRate(cold) <= 1.85)
  t.deepEqual(plan([...warm, buildCandidate(4, { maxKeyRate: 0 })]), [])
  t.deepEqual(plan(warm.map((candidate, index) => index === 0 ? { ...candidate, maxKeyRate: 1.85 } : candidate)).filter(({ from }) => from < (ranges[1]?.from ?? 0)), [])
  const lost = plan([...warm.slice(1), buildCandidate(4, { maxKeyRate: 1.85 })])
  t.true(countRate(lost.filter(({ owner }) => owner.id === 'b-4')) <= 1.85)
  const [move] = cold
  const after = ranges.flatMap(range => move === undefined || move.from < range.from || move.to > range.to
    ? [range]
    : [{ ...range, to: move.from - 1 }, { ...range, from: move.from, to: move.to, owner: move.owner, fence: 9 }, { ...range, from: move.to + 1 }].filter(({ from, to }) => from <= to))
  t.true(countRate(plan([...warm, buildCandidate(4)], after).filter(({ owner }) => owner.id === 'b-4')) > 1.85)
})

test('shares are the same after encoding and decoding, and answers of the former release give none', t => {
  const load = buildLoad([share], { memberColdShares: [{ host: 'host-2', shares: [share, { ...share, id: 'b-2' }] }] })
  const send = (sent: FleetLoad) => decodeFleetLoad(FleetLoadView.decode(FleetLoadView.encode(encodeFleetLoad(sent, new Map())).finish()), new Map())
  t.like(send(load), { coldShares: load.coldShares, memberColdShares: load.memberColdShares })
  t.is(send(buildLoad(undefined)).coldShares, undefined)
})
