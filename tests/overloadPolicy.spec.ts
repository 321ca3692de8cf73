import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { Configuration, GatewayRoute } from '../src/core/gateway/model.js'
import type { GatewayRules } from '../src/core/gateway/rules.js'
import type { GatewayRequest, GatewayState } from '../src/core/gateway/state.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { admitRequest } from '../src/core/gateway/admission.js'
import { computeRefusalCost, computeSlotLimit, listByCost, recordShortage } from '../src/core/gateway/overloadPolicy.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const workMs = 300
const rules = buildGatewayRules()
/** Rules that shed by capacity and target alone. */
const uncostedRules: GatewayRules = { ...rules, admit: (state, request, backend) => admitRequest(state, request, backend, () => Infinity) }

function buildRoute (name: string, priority: number, targetMs: number, timeoutMs: number): GatewayRoute {
  return { name, host: 'shop.test', pathPrefix: `/${name}/`, targets: [{ service: 'plain', weight: 1 }], idempotent: true, timeoutMs, targetMs, maxAttempts: 2, priority }
}

const configuration: Configuration = {
  version: 1,
  routes: [buildRoute('lookups', 0, 1000, 2600), buildRoute('uploads', 2, 4000, 5000)],
  services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

/** Builds the state of a host that knows one backend server of four slots, which takes `workMs`. */
function buildHostState (): GatewayState {
  const state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'north', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 3, 0)
  const events: GatewayEvent[] = [
    { kind: 'configuration-read', now: 1, configuration, revision: 1 },
    { kind: 'backend-read', now: 1, backend: { id: 'plain-1', startedAt: 1, service: 'plain', address: '10.0.0.1:80', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0 } },
    { kind: 'store-synced', now: 1, startedAt: 0, revision: 5 }
  ]
  for (const event of events) reduceGateway(state, event, rules)
  const backend = findBackend(state)
  backend.serviceMs = workMs
  return state
}

function findBackend (state: GatewayState) {
  const backend = state.backends.get('plain-1')
  if (backend === undefined) throw new Error('the backend server is not known')
  return backend
}

function buildRequest (route: string, members: Partial<GatewayRequest> = {}): GatewayRequest {
  const found = configuration.routes.find(({ name }) => name === route)
  if (found === undefined) throw new Error(`no route ${route}`)
  return { id: route, requestId: route, route: found, service: 'plain', key: undefined, arrivedAt: 0, deadlineAt: found.timeoutMs, targetAt: found.targetMs, bodyBytes: 0, replayable: true, mayHaveRun: false, phase: 'waiting', waitingUntil: 0, attempt: 0, backend: undefined, tried: [], sentAt: 0, inFlightAtSend: 0, ...members }
}

// Guards against an order of requests that puts less urgent, later or larger ones first.
testProp('a refusal costs more with a higher priority, an answer within the target, and less work', [fc.nat({ max: 3 }), fc.integer({ min: 1, max: 2000 }), fc.integer({ min: 1, max: 400 })], (t, priority, routeMs, earliestMs) => {
  const state = buildHostState()
  state.routeWorkMs.set('lookups', routeMs)
  const compute = (members: Partial<GatewayRequest>) => computeRefusalCost(state, buildRequest('lookups', members), earliestMs)
  const route = { ...buildRequest('lookups').route, priority }
  t.true(compute({ route }) > compute({ route: { ...route, priority: priority + 1 } }))
  t.true(compute({ route }) > compute({ route, targetAt: 0 }))
  t.is(compute({ route, deadlineAt: 0 }), 0)
  const cost = compute({ route })
  state.routeWorkMs.set('lookups', routeMs * 2)
  t.true(compute({ route }) < cost)
}, { seed: 17 })

// Guards against a kind of request that gets nothing, and against slots that stay free long after a shortage.
test('less costly requests keep a part of the slots during a shortage, and all of them after it or without one', t => {
  const state = buildHostState()
  const backend = findBackend(state)
  const limit = (request: GatewayRequest) => computeSlotLimit(state, request, backend, workMs)
  t.is(limit(buildRequest('uploads')), Infinity)
  recordShortage(state, buildRequest('lookups'), backend, workMs)
  t.is(limit(buildRequest('lookups')), Infinity)
  t.is(limit(buildRequest('uploads')), 1)
  t.is(limit(buildRequest('lookups', { targetAt: 0 })), Infinity)
  // A refusal that costs less does not end what is kept for one that costs more.
  recordShortage(state, buildRequest('uploads'), backend, workMs)
  t.is(limit(buildRequest('uploads')), 1)
  state.now += 2000
  t.is(limit(buildRequest('uploads')), Infinity)
})

test('requests that waited for an owner are placed by cost, then in the order of their arrival', t => {
  const state = buildHostState()
  const waiting = [buildRequest('uploads', { id: 'u' }), buildRequest('lookups', { id: 'late', targetAt: 0 }), buildRequest('lookups', { id: 'second', arrivedAt: 5 }), buildRequest('lookups', { id: 'first' })]
  t.deepEqual(listByCost(state, waiting).map(({ id }) => id), ['first', 'second', 'late', 'u'])
})

type Served = { asked: number, inTarget: number, late: number, refused: number }

/**
 * Offers a server of four slots `load` times what it can serve for 30 s, half of it uploads, and answers in order of
 * arrival at the server. Refused callers come back once after the time that they were told.
 */
function runOverload (admitting: GatewayRules, load: number, seed: number): Record<string, Served> {
  const state = buildHostState()
  const random = xoroshiro128plus(seed)
  const served: Record<string, Served> = { lookups: { asked: 0, inTarget: 0, late: 0, refused: 0 }, uploads: { asked: 0, inTarget: 0, late: 0, refused: 0 } }
  type Call = { route: string, firstAt: number, timeoutMs: number, mayReturn: boolean }
  const due: Array<{ at: number, run: () => void }> = []
  const schedule = (at: number, run: () => void) => {
    const index = due.findIndex(entry => entry.at > at)
    due.splice(index < 0 ? due.length : index, 0, { at, run })
  }
  let now = 10
  let calls = 0
  const slotFreeAt = [0, 0, 0, 0]
  const interpret = (effect: GatewayEffect, call: Call, id: string) => {
    const figures = served[call.route]
    if (figures === undefined) return
    if (effect.kind === 'refuse') {
      const remainingMs = call.firstAt + call.timeoutMs - now
      if (!call.mayReturn || effect.retryAfterMs === undefined) {
        figures.refused += 1
        return
      }
      schedule(now + Math.min(effect.retryAfterMs, remainingMs / 3), () => send({ ...call, mayReturn: false }))
    }
    if (effect.kind !== 'send') return
    slotFreeAt.sort((a, b) => a - b)
    const endsAt = Math.max(now, slotFreeAt[0] ?? 0) + workMs
    slotFreeAt[0] = endsAt
    schedule(endsAt, () => {
      reduceGateway(state, { kind: 'answer-whole', now, id, attempt: 1, status: 200, firstByteAt: now }, admitting)
      figures[now - call.firstAt <= (call.route === 'lookups' ? 1000 : 4000) ? 'inTarget' : 'late'] += 1
    })
  }
  const send = (call: Call) => {
    const id = `r-${calls++}`
    const head = { requestId: id, host: 'shop.test', path: `/${call.route}/1`, key: undefined, timeoutMs: call.firstAt + call.timeoutMs - now, bodyBytes: 0, replayable: true }
    for (const effect of reduceGateway(state, { kind: 'request-arrived', now, id, head }, admitting).effects) interpret(effect, call, id)
  }
  for (let at = 10; at < 30_000; at -= Math.log(1 - uniformFloat64(random)) * workMs / 4 / load) {
    const route = uniformFloat64(random) < 0.5 ? 'lookups' : 'uploads'
    schedule(at, () => {
      const figures = served[route]
      if (figures !== undefined) figures.asked += 1
      send({ route, firstAt: now, timeoutMs: route === 'lookups' ? 2600 : 5000, mayReturn: true })
    })
  }
  for (let next = due.shift(); next !== undefined; next = due.shift()) {
    now = next.at
    next.run()
  }
  return served
}

// Guards against uploads, which wait well, that take the slots of lookups, which do not.
test('at twice what a server can serve, lookups are served in time more often than by capacity alone, and uploads are still served', t => {
  const share = (figures: Served | undefined) => figures === undefined ? 0 : figures.inTarget / figures.asked
  const costed = runOverload(rules, 2, 5)
  const uncosted = runOverload(uncostedRules, 2, 5)
  t.log({ costed, uncosted })
  t.true(share(costed.lookups) >= share(uncosted.lookups) + 0.1)
  t.true(share(costed.lookups) >= share(costed.uploads))
  const served = (figures: Served | undefined) => figures === undefined ? 0 : figures.inTarget + figures.late
  t.true(served(costed.uploads) / (costed.uploads?.asked ?? 1) >= 0.25 * (served(costed.lookups) + served(costed.uploads)) / ((costed.lookups?.asked ?? 0) + (costed.uploads?.asked ?? 0)))
})

test('below what a server can serve, the cost of refusals changes nothing', t => {
  t.deepEqual(runOverload(rules, 0.4, 6), runOverload(uncostedRules, 0.4, 6))
})
