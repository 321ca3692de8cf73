import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration, GatewayRoute } from '../src/core/gateway/model.js'
import type { GatewayState } from '../src/core/gateway/state.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const rules = buildGatewayRules()
const regions = ['north', 'south', 'west']
const zones = ['north-1', 'north-2', 'south-1', 'south-2', 'west-1', 'west-2', 'unlisted-1']
const regionOf = new Map(zones.slice(0, 6).map(zone => [zone, zone.slice(0, -2)]))

function buildRoute (name: string, service: string, allowedRegions: readonly string[]): GatewayRoute {
  return { name, host: 'shop.test', pathPrefix: `/${name}/`, targets: [{ service, weight: 1 }], idempotent: true, timeoutMs: 2000, targetMs: 1000, maxAttempts: 3, priority: 0, allowedRegions }
}

function buildConfiguration (version: number, plainRegions: readonly string[], keyedRegions: readonly string[] = plainRegions): Configuration {
  return {
    version,
    routes: [buildRoute('orders', 'plain', plainRegions), buildRoute('reads', 'keyed', keyedRegions)],
    services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0 }], ['keyed', { name: 'keyed', sharded: true, warmupMs: 0 }]]),
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  }
}

function buildBackend (service: string, zone: string): BackendRegistration {
  return { id: `${service}-${zone}`, startedAt: 1000, service, address: `${service}-${zone}:80`, zone, slots: 4, leaving: false, slowForMs: 0 }
}

function buildArrival (id: string, route: string, now: number, key?: number): GatewayEvent {
  return { kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path: `/${route}/1`, key, timeoutMs: undefined, bodyBytes: 0, replayable: true } }
}

/** Builds the state of a host that knows one backend server of each service in each zone; each one owns an equal share of the keys. */
function buildFleetState (configuration: Configuration, hosts = 1): GatewayState {
  const state = buildGatewayState({ host: 'host-1', zone: 'north-1', region: 'north', regionOf, address: 'host-1', processorShare: 1 }, 7, 0)
  const ranges = zones.map((zone, index) => ({ from: index * 1000, to: index === zones.length - 1 ? 65_535 : index * 1000 + 999, owner: buildBackend('keyed', zone), fence: index + 1, phase: 'held' as const, previous: undefined }))
  run(state, [
    { kind: 'store-synced', now: 10, startedAt: 0, revision: 1 },
    { kind: 'configuration-read', now: 10, configuration, revision: 1 },
    ...['plain', 'keyed'].flatMap(service => zones.map((zone): GatewayEvent => ({ kind: 'backend-read', now: 10, backend: buildBackend(service, zone) }))),
    { kind: 'placement-read', now: 10, placement: { nextFence: 100, services: new Map([['keyed', ranges]]), memory: { hosts, serviceMs: new Map() } }, revision: 2 }
  ])
  state.hosts = hosts
  return state
}

function run (state: GatewayState, events: readonly GatewayEvent[]): GatewayEffect[] {
  return events.flatMap(event => reduceGateway(state, event, rules).effects)
}

function isAllowed (backend: string, allowedRegions: readonly string[]): boolean {
  return allowedRegions.length === 0 || allowedRegions.includes(regionOf.get(backend.slice(backend.indexOf('-') + 1)) ?? '')
}

const listedRegions = fc.subarray(regions)
const outcomes = fc.array(fc.constantFrom('answered', 'not-run', 'refused', 'lost', 'change', 'tick'), { minLength: 20, maxLength: 80 })

// Guards against a request that reaches a region which its route did not allow when it arrived, or does not allow now.
testProp('no attempt, retry or request for a key reaches a region that the old or the new route does not allow', [listedRegions, listedRegions, listedRegions, outcomes, fc.constantFrom(1, 60)], (t, first, second, third, steps, hosts) => {
  const state = buildFleetState(buildConfiguration(1, first), hosts)
  let inForce = first
  let changes = 0
  const arrivedUnder = new Map<string, readonly string[]>()
  const open: Array<{ id: string, attempt: number }> = []
  const check = (effects: readonly GatewayEffect[]) => {
    for (const effect of effects) {
      if (effect.kind !== 'send') continue
      open.push({ id: effect.id, attempt: effect.attempt })
      t.true(isAllowed(effect.backend, arrivedUnder.get(effect.id) ?? []) && isAllowed(effect.backend, inForce), effect.backend)
    }
  }
  steps.forEach((step, index) => {
    const now = 100 + index * 30
    for (const [route, key] of [['orders', undefined], ['reads', index * 97 % 8000]] as const) {
      const id = `${route}-${index}`
      arrivedUnder.set(id, inForce)
      check(run(state, [buildArrival(id, route, now, key)]))
    }
    if (step === 'change') {
      changes += 1
      inForce = changes % 2 === 1 ? second : third
      check(run(state, [{ kind: 'configuration-read', now, configuration: buildConfiguration(1 + changes, inForce), revision: 10 + changes }]))
    }
    const sent = open.shift()
    if (sent !== undefined && step === 'answered') check(run(state, [{ kind: 'answer-whole', now, ...sent, status: 200, firstByteAt: now }]))
    if (sent !== undefined && step === 'not-run') check(run(state, [{ kind: 'not-run-answered', now, ...sent, status: 503 }]))
    if (sent !== undefined && step === 'refused') check(run(state, [{ kind: 'send-failed', now, ...sent, failure: 'connection-refused' }]))
    if (sent !== undefined && step === 'lost') check(run(state, [{ kind: 'send-failed', now, ...sent, failure: 'broken-after-send' }]))
    if (step === 'tick') check(run(state, [{ kind: 'tick', now, wall: now }]))
  })
}, { seed: 31, numRuns: 150 })

// Guards against requests that are held until their deadline, or asked back too early, though no server may serve them.
test('a request without a usable server in its regions, or whose owner is elsewhere, is refused at once and asked back after a second or more', t => {
  const state = buildFleetState(buildConfiguration(1, ['east'], ['south']))
  const effects = run(state, [buildArrival('1', 'orders', 100), buildArrival('2', 'reads', 100, 10), buildArrival('3', 'reads', 100, 2010), buildArrival('4', 'reads', 100, 6010)])
  t.deepEqual(effects.flatMap(effect => effect.kind === 'send' ? [effect.backend] : []), ['keyed-south-1'])
  const refusals = effects.flatMap(effect => effect.kind === 'refuse' ? [effect] : [])
  t.deepEqual(refusals.map(({ id, reason, status }) => `${id} ${reason} ${status}`), ['1 region-unavailable 503', '2 region-unavailable 503', '4 region-unavailable 503'])
  for (const { retryAfterMs } of refusals) t.true((retryAfterMs ?? 0) >= 1000 && (retryAfterMs ?? 0) <= 1500)
})

// Guards against a fallback to other regions while the allowed one can't be reached.
test('while the only allowed region is cut off, its requests are refused and none goes elsewhere', t => {
  const state = buildFleetState(buildConfiguration(1, ['west']))
  const attempts: string[] = []
  let effects = run(state, [buildArrival('1', 'orders', 100)])
  for (let now = 110; now < 200; now += 10) {
    const sent = effects.find(effect => effect.kind === 'send')
    if (sent?.kind !== 'send') break
    attempts.push(sent.backend)
    effects = run(state, [{ kind: 'send-failed', now, id: sent.id, attempt: sent.attempt, failure: 'connect-failed' }])
  }
  t.deepEqual(attempts.sort(), ['plain-west-1', 'plain-west-2'])
  t.true(effects.some(effect => effect.kind === 'refuse' && effect.reason === 'region-unavailable' && effect.status === 503))
})

// Guards against a request that waits for a connection while the configuration changes and is then sent to a region that is no longer allowed.
test('a request that waits for a connection to a region that a new configuration does not allow is kept from being sent, and no other one', t => {
  const state = buildFleetState(buildConfiguration(1, []))
  const sent = run(state, [buildArrival('1', 'reads', 100, 10), buildArrival('2', 'reads', 100, 2010)])
  t.is(sent.filter(effect => effect.kind === 'send').length, 2)
  const bounds = run(state, [{ kind: 'configuration-read', now: 110, configuration: buildConfiguration(2, ['south']), revision: 3 }]).filter(effect => effect.kind === 'bound-opening')
  t.deepEqual(bounds, [{ kind: 'bound-opening', backend: 'keyed-north-1', withinMs: 0, id: '1' }])
  const ended = run(state, [{ kind: 'send-failed', now: 111, id: '1', attempt: 1, failure: 'left-unsent' }, { kind: 'tick', now: 130, wall: 130 }])
  t.false(ended.some(effect => effect.kind === 'send'))
  t.true(ended.some(effect => effect.kind === 'refuse' && effect.id === '1' && effect.reason === 'region-unavailable'))
})
