import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration, GatewayRoute } from '../src/core/gateway/model.js'
import type { GatewayState } from '../src/core/gateway/state.js'
import test from 'ava'
import { computeReturnShare, returnGrowthMs } from '../src/core/gateway/evacuation.js'
import { buildManagedGrant, isTargetReplaceable } from '../src/core/gateway/grantChanges.js'
import { chooseMoves } from '../src/core/gateway/moves.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const rules = buildGatewayRules()
const zones = ['zone-1', 'zone-2', 'zone-3']
/** Time at which all acknowledged changes of the store were last known, in milliseconds. */
const knownAsOf = 900
/** Time until which owners in an evacuated zone get requests: half of the bound of 5 s. */
const lastOwnerSendAt = knownAsOf + 2500

function buildConfiguration (coldRequestsPerSecond?: number): Configuration {
  const buildRoute = (name: string, service: string): GatewayRoute => {
    return { name, host: 'shop.test', pathPrefix: `/${name}/`, targets: [{ service, weight: 1 }], idempotent: true, timeoutMs: 2000, targetMs: 1000, maxAttempts: 3, priority: 0 }
  }
  return {
    version: 1,
    routes: [buildRoute('orders', 'plain'), buildRoute('reads', 'keyed')],
    services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0, coldRequestsPerSecond, coldStartMs: 3000 }], ['keyed', { name: 'keyed', sharded: true, warmupMs: 0 }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  }
}

function buildBackend (service: string, zone: string): BackendRegistration {
  return { id: `${service}-${zone}`, startedAt: 1000, service, address: `${service}-${zone}:80`, zone, slots: 400, leaving: false, slowForMs: 0 }
}

/** Builds the state of a host that knows one backend server of each service in each zone; the owner in each zone has 10,000 keys or more. */
function buildFleetState (configuration = buildConfiguration()): GatewayState {
  const state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'north', regionOf: new Map(), address: 'host-1', processorShare: 1, evacuationMs: 5000 }, 7, 0)
  const ranges = zones.map((zone, index) => ({ from: index * 10_000, to: index === 2 ? 65_535 : index * 10_000 + 9999, owner: buildBackend('keyed', zone), fence: index + 1, phase: 'held' as const, previous: undefined }))
  run(state, [
    { kind: 'tick', now: 10, wall: 10 },
    { kind: 'store-synced', now: 10, startedAt: 0, revision: 1 },
    { kind: 'configuration-read', now: 10, configuration, revision: 1 },
    ...['plain', 'keyed'].flatMap(service => zones.map((zone): GatewayEvent => ({ kind: 'backend-read', now: 10, backend: buildBackend(service, zone) }))),
    { kind: 'placement-read', now: 10, placement: { nextFence: 100, services: new Map([['keyed', ranges]]), memory: { hosts: 1, serviceMs: new Map() } }, revision: 2 },
    { kind: 'store-known', now: 1000, asOf: knownAsOf },
    { kind: 'tick', now: 1000, wall: 1000 }
  ])
  return state
}

function run (state: GatewayState, events: readonly GatewayEvent[]): GatewayEffect[] {
  return events.flatMap(event => reduceGateway(state, event, rules).effects)
}

let requests = 0

/** Sends one request and returns the backend server that got it, or the reason of its refusal. */
function call (state: GatewayState, now: number, key?: number): string {
  const id = `${requests++}`
  const path = key === undefined ? '/orders/1' : '/reads/1'
  const effects = run(state, [{ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path, key, timeoutMs: undefined, bodyBytes: 0, replayable: true } }])
  run(state, [{ kind: 'answer-whole', now, id, attempt: 1, status: 200, firstByteAt: now }])
  return effects.flatMap(effect => effect.kind === 'send' ? [effect.backend] : effect.kind === 'refuse' ? [effect.reason] : []).join()
}

function listBounds (effects: readonly GatewayEffect[]): string[] {
  return effects.flatMap(effect => effect.kind === 'bound-opening' ? [`${effect.backend} ${effect.withinMs}`] : [])
}

function listEvents (effects: readonly GatewayEffect[]): string[] {
  return effects.flatMap(effect => effect.kind === 'log' ? [effect.event] : [])
}

const evacuate = (now: number, zone: string): GatewayEvent => ({ kind: 'evacuation-read', now, zone, isRequested: true })
const takeBack = (now: number, zone: string): GatewayEvent => ({ kind: 'evacuation-read', now, zone, isRequested: false })

// Guards against first attempts to the zone, and against requests that already wait for a connection when the evacuation begins.
test('requests that any server can run avoid the zone at once, and those that wait for a connection to it are bounded', t => {
  const state = buildFleetState()
  const effects = run(state, [evacuate(1000, 'zone-1')])
  t.deepEqual(listBounds(effects), ['plain-zone-1 0', `keyed-zone-1 ${lastOwnerSendAt - 1000}`])
  t.true(listEvents(effects).includes('evacuationStarted'))
  for (let index = 0; index < 50; index++) t.not(call(state, 1010 + index), 'plain-zone-1')
})

// Guards against owners that get requests after their part of the bound, counted from when the store may have acknowledged the evacuation.
test('an owner in the zone gets requests for its keys for half of the bound, then its keys are refused at once and waits for its connections end', t => {
  const state = buildFleetState()
  run(state, [evacuate(1000, 'zone-1')])
  t.is(call(state, lastOwnerSendAt, 5), 'keyed-zone-1')
  t.is(call(state, lastOwnerSendAt + 1, 5), 'zone-evacuated')
  t.is(call(state, lastOwnerSendAt + 1, 10_005), 'keyed-zone-2')
  t.true(listBounds(run(state, [{ kind: 'tick', now: lastOwnerSendAt + 20, wall: lastOwnerSendAt + 20 }])).includes('keyed-zone-1 0'))
})

// Guards against an event that waited in a busy process and is judged by the time at which it was posted.
test('a request that waited in the queue of events is judged by the time at which it is reduced', t => {
  const state = buildFleetState()
  run(state, [evacuate(1000, 'zone-1')])
  const arrival: GatewayEvent = { kind: 'request-arrived', now: lastOwnerSendAt - 100, id: 'late', head: { requestId: 'late', host: 'shop.test', path: '/reads/1', key: 5, timeoutMs: undefined, bodyBytes: 0, replayable: true } }
  const { effects } = reduceGateway(state, arrival, rules, lastOwnerSendAt + 100)
  t.deepEqual(effects.flatMap(effect => effect.kind === 'send' || effect.kind === 'refuse' ? [effect.kind] : []), ['refuse'])
})

// Guards against a clock that stood still while the process was suspended.
test('the time for which a process was suspended counts towards the bound', t => {
  const state = buildFleetState()
  run(state, [evacuate(1000, 'zone-1'), { kind: 'tick', now: 1100, wall: 6000 }])
  t.is(call(state, 1100, 5), 'zone-evacuated')
})

// Guards against a host that starts during an evacuation and takes it for a new one.
test('a host that reads an evacuation when it starts sends nothing to the zone', t => {
  const state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'north', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 7, 0)
  const owner = buildBackend('keyed', 'zone-1')
  run(state, [
    { kind: 'configuration-read', now: 10, configuration: buildConfiguration(), revision: 1 },
    evacuate(10, 'zone-1'),
    { kind: 'backend-read', now: 10, backend: owner },
    { kind: 'placement-read', now: 10, placement: { nextFence: 2, services: new Map([['keyed', [{ from: 0, to: 65_535, owner, fence: 1, phase: 'held', previous: undefined }]]]), memory: { hosts: 1, serviceMs: new Map() } }, revision: 2 }
  ])
  t.is(call(state, 11, 5), 'zone-evacuated')
})

// Guards against retries that return to the zone, and requests held for an owner that get one there.
test('retries avoid the zone, and a request held for its next owner is refused when that owner is in a closed zone', t => {
  const state = buildFleetState()
  const arrival = (id: string, path: string, now: number, key?: number): GatewayEvent => ({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path, key, timeoutMs: undefined, bodyBytes: 0, replayable: true } })
  const [sent] = run(state, [arrival('a', '/orders/1', 1000)]).filter(effect => effect.kind === 'send')
  const left = zones.filter(zone => zone !== state.backends.get(sent?.backend ?? '')?.zone)
  run(state, left.slice(0, 1).map(zone => evacuate(1001, zone)))
  const retried = run(state, [{ kind: 'not-run-answered', now: 1002, id: 'a', attempt: 1, status: 503 }]).filter(effect => effect.kind === 'send')
  t.deepEqual(retried.map(effect => effect.backend), [`plain-${left[1]}`])

  const keyed = buildFleetState()
  run(keyed, [evacuate(1000, 'zone-2')])
  const owner = (zone: string) => buildBackend('keyed', zone)
  const change = (phase: 'held' | 'moving', confirmations: number): GatewayEvent => ({
    kind: 'placement-changed',
    now: 4000,
    change: { base: { revision: 2, confirmations }, next: { revision: 2, confirmations: confirmations + 1 }, nextFence: 101, changes: [{ service: 'keyed', range: { from: 0, to: 9999, owner: owner('zone-2'), fence: 50, phase, previous: phase === 'moving' ? owner('zone-1') : undefined } }] }
  })
  t.false(run(keyed, [change('moving', 0), arrival('b', '/reads/1', 4000, 5)]).some(effect => effect.kind === 'send' || effect.kind === 'refuse'))
  const ended = run(keyed, [change('held', 1)])
  t.deepEqual(ended.flatMap(effect => effect.kind === 'refuse' ? [effect.reason] : effect.kind === 'send' ? [effect.backend] : []), ['zone-evacuated'])
})

// Guards against requests that wait for their deadline though every server of their service is in an evacuated zone.
test('with all zones evacuated every request is refused at once with 503 and asked back after 2 s or more', t => {
  const state = buildFleetState()
  run(state, zones.map(zone => evacuate(1000, zone)))
  const [refusal] = run(state, [{ kind: 'request-arrived', now: 1001, id: 'x', head: { requestId: 'x', host: 'shop.test', path: '/orders/1', key: undefined, timeoutMs: undefined, bodyBytes: 0, replayable: true } }]).filter(effect => effect.kind === 'refuse')
  t.like(refusal, { reason: 'zone-evacuated', status: 503 })
  t.true((refusal?.retryAfterMs ?? 0) >= 2000)
  t.is(call(state, 6000, 5), 'zone-evacuated')
})

// Guards against an end that is taken for the end of all evacuations, and against a key that is written again.
test('overlapping evacuations end one by one, and a repeated key does not start one anew', t => {
  const state = buildFleetState()
  t.true(listEvents(run(state, [evacuate(1000, 'zone-1'), evacuate(1000, 'zone-2')])).includes('evacuationStarted'))
  t.deepEqual(listEvents(run(state, [evacuate(2000, 'zone-1'), takeBack(2000, 'zone-3')])), [])
  t.deepEqual(listEvents(run(state, [takeBack(2000, 'zone-2')])), ['evacuationEnded'])
  t.deepEqual([...state.evacuations.zones.keys()], ['zone-1'])
  t.is(call(state, lastOwnerSendAt + 1, 5), 'zone-evacuated')
  t.is(call(state, lastOwnerSendAt + 1, 10_005), 'keyed-zone-2')
})

// Guards against a completion that is reported while keys are still owned in the zone, or never.
test('the completion is logged once, when no key is owned in the zone any more', t => {
  const state = buildFleetState()
  const effects = run(state, [evacuate(1000, 'zone-1'), { kind: 'tick', now: 1500, wall: 1500 }])
  t.false(listEvents(effects).includes('evacuationComplete'))
  const moved = { from: 0, to: 9999, owner: buildBackend('keyed', 'zone-2'), fence: 50, phase: 'held' as const, previous: undefined }
  const change: GatewayEvent = { kind: 'placement-changed', now: 1600, change: { base: { revision: 2, confirmations: 0 }, next: { revision: 2, confirmations: 1 }, nextFence: 101, changes: [{ service: 'keyed', range: moved }] } }
  const later = run(state, [change, { kind: 'tick', now: 2000, wall: 2000 }, { kind: 'tick', now: 3000, wall: 3000 }])
  t.is(listEvents(later).filter(event => event === 'evacuationComplete').length, 1)
})

// Guards against all hosts sending to the servers of a zone at once when it is taken back.
test('the share of a zone that was taken back grows from none to the usual one, and its servers count as cold', t => {
  t.is(computeReturnShare(0), 0)
  t.is(computeReturnShare(returnGrowthMs), 1)
  let previous = 0
  for (let ms = 0; ms <= returnGrowthMs; ms += 100) {
    t.true(computeReturnShare(ms) >= previous && computeReturnShare(ms) - previous <= 0.03)
    previous = computeReturnShare(ms)
  }
  const state = buildFleetState()
  run(state, [evacuate(1000, 'zone-1'), takeBack(10_000, 'zone-1')])
  t.is(state.backends.get('plain-zone-1')?.slowUntil, 13_000)
  t.is(state.backends.get('keyed-zone-1')?.slowUntil, 10_000 + returnGrowthMs)
  const countSent = (from: number) => Array.from({ length: 200 }, (_, index) => call(state, from + index)).filter(backend => backend === 'plain-zone-1').length
  t.true(countSent(10_000) <= 2)
  t.true(countSent(11_800) <= 200 * 0.15)
  t.true(countSent(10_000 + returnGrowthMs) > 50)
})

// Guards against refusals while the only servers are those of a zone that was just taken back, against servers that return cold and get requests beyond their shares, and against two limits at once.
test('a zone that was taken back serves at once if there are no other servers, and by shares alone if its service has a limit for cold servers', t => {
  const state = buildFleetState()
  run(state, [...zones.map(zone => evacuate(1000, zone)), takeBack(10_000, 'zone-1')])
  t.is(call(state, 10_001), 'plain-zone-1')
  const limited = buildFleetState(buildConfiguration(3.7))
  run(limited, [evacuate(1000, 'zone-1'), takeBack(10_000, 'zone-1')])
  const countSent = () => Array.from({ length: 50 }, (_, index) => call(limited, 10_000 + index)).filter(backend => backend === 'plain-zone-1').length
  t.is(countSent(), 0)
  limited.cold.shares.set('plain-zone-1', { startedAt: 1000, requests: 4, validUntil: 12_000 })
  t.is(countSent(), 4)
})

// Guards against keys that are first granted to a server of a zone that is evacuated meanwhile, and against moves for balance that take the place of those out of the zone.
test('keys on their way into an evacuated zone may get another next owner, and moves out of the zone come first, the busiest keys before others', t => {
  const state = buildFleetState()
  const work = { state, effects: [] }
  const owner = (zone: string) => buildBackend('keyed', zone)
  const moving = buildManagedGrant('keyed', { from: 0, to: 9, owner: owner('zone-2'), fence: 50, phase: 'moving', previous: owner('zone-1') }, 'release', 1000)
  t.false(isTargetReplaceable(work, moving))
  run(state, [evacuate(1000, 'zone-2')])
  t.true(isTargetReplaceable(work, moving))
  const planned = [['zone-1', 9], ['zone-2', 1], ['zone-2', 5]].map(([zone, rate], index) => ({ from: index, to: index, owner: owner('zone-3'), rate: Number(rate), zone: String(zone) }))
  const chosen = chooseMoves(work, planned, move => owner(planned[move.from]?.zone ?? ''))
  t.deepEqual(chosen.map(move => move.from), [2, 1, 0])
})
