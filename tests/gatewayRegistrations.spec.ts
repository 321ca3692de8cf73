import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration } from '../src/core/gateway/model.js'
import type { GatewayState } from '../src/core/gateway/state.js'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const rules = buildGatewayRules()
const registration: BackendRegistration = {
  id: 'bookings-1', startedAt: 1000, service: 'bookings', address: '127.0.0.1:9', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0, report: 7
}

/** Builds the state of a host that has followed the store from 0 to 5000 ms and knows one backend server. */
function buildSyncedState (): GatewayState {
  const state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  return apply(state, [
    { kind: 'store-synced', now: 10, startedAt: 0, revision: 1 },
    { kind: 'backend-read', now: 10, backend: registration },
    { kind: 'tick', now: 5000, wall: 5000 }
  ])
}

function apply (state: GatewayState, events: GatewayEvent[]): GatewayState {
  return events.reduce((current, event) => reduceGateway(current, event, rules).state, state)
}

test('a registration that is absent after a watch was cut is removed at once: no store outage made it lapse', t => {
  const state = apply(buildSyncedState(), [
    { kind: 'store-lost', now: 6000, reachableAt: 6000 },
    { kind: 'store-synced', now: 6160, startedAt: -Infinity, revision: 1 },
    { kind: 'backend-gone', now: 6160, id: registration.id, graceMs: undefined }
  ])
  t.false(state.backends.has(registration.id))
})

test('a registration that lapsed in a store outage is kept until it has had time to come back', t => {
  const outage: GatewayEvent[] = [
    { kind: 'store-lost', now: 8600, reachableAt: 6000 },
    { kind: 'store-synced', now: 9000, startedAt: -Infinity, revision: 1 },
    { kind: 'backend-gone', now: 9000, id: registration.id, graceMs: undefined }
  ]
  t.true(apply(buildSyncedState(), outage).backends.has(registration.id))
  const returned = apply(buildSyncedState(), [...outage, { kind: 'backend-read', now: 10_500, backend: registration }, { kind: 'tick', now: 14_000, wall: 14_000 }])
  t.true(returned.backends.has(registration.id))
  const notReturned = apply(buildSyncedState(), [...outage, { kind: 'tick', now: 11_300, wall: 11_300 }])
  t.false(notReturned.backends.has(registration.id))
})

test('a registration that the granting host reports as removed is removed at once, even if this host has just lost the store', t => {
  const state = apply(buildSyncedState(), [
    { kind: 'store-lost', now: 8600, reachableAt: 6000 },
    { kind: 'backend-gone', now: 8700, id: registration.id, graceMs: 0 }
  ])
  t.false(state.backends.has(registration.id))
})

test('a registration that the granting host reports as lapsed is kept for as long as that host says', t => {
  const lapsed: GatewayEvent[] = [{ kind: 'backend-gone', now: 6000, id: registration.id, graceMs: 1500 }]
  t.true(apply(buildSyncedState(), [...lapsed, { kind: 'tick', now: 7400, wall: 7400 }]).backends.has(registration.id))
  t.false(apply(buildSyncedState(), [...lapsed, { kind: 'tick', now: 7600, wall: 7600 }]).backends.has(registration.id))
})

test('a backend server that announced its leaving stays leaving when an earlier report of it is written late', t => {
  const leaving = apply(buildSyncedState(), [{ kind: 'backend-read', now: 5000, backend: { ...registration, leaving: true, report: 9 } }])
  t.true(apply(leaving, [{ kind: 'backend-read', now: 5100, backend: { ...registration, report: 8 } }]).backends.get(registration.id)?.leaving)
  t.false(apply(leaving, [{ kind: 'backend-read', now: 5200, backend: { ...registration, report: 10 } }]).backends.get(registration.id)?.leaving)
})

test('a report that a backend server sent before a restart, written late, does not replace the current registration', t => {
  const present = apply(buildSyncedState(), [{ kind: 'backend-read', now: 5000, backend: { ...registration, startedAt: 2000, report: 1 } }])
  t.is(apply(present, [{ kind: 'backend-read', now: 5100, backend: { ...registration, report: 8 } }]).backends.get(registration.id)?.startedAt, 2000)
})

test('a leaving owner gets no request after half of its 2 s from a host that learned of the leaving late', t => {
  const route = { name: 'reads', host: 'shop.test', pathPrefix: '/', targets: [{ service: 'bookings', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }
  const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
  const configuration = { version: 1, routes: [route], services: new Map([['bookings', { name: 'bookings', sharded: true, warmupMs: 0 }]]), limits }
  const ranges = [{ from: 0, to: 65_535, owner: registration, fence: 1, phase: 'held' as const, previous: undefined }]
  const placement = { nextFence: 2, services: new Map([['bookings', ranges]]), memory: { hosts: 12, serviceMs: new Map() } }
  const version = { revision: 1, confirmations: 0 }
  const lastRelayAt = 5000
  const state = apply(buildSyncedState(), [
    { kind: 'configuration-read', now: lastRelayAt, configuration, revision: 1 },
    { kind: 'placement-read', now: lastRelayAt, placement, revision: 1 },
    { kind: 'fleet-load-read', now: lastRelayAt, load: { hosts: 12, storeAgeMs: 0, placement: version, storeRevision: 1, backends: [], renewals: [] }, reported: new Map(), reportedAt: lastRelayAt },
    { kind: 'tick', now: lastRelayAt + 800, wall: lastRelayAt + 800 },
    { kind: 'backend-read', now: lastRelayAt + 900, backend: { ...registration, leaving: true, report: 9 } },
    { kind: 'tick', now: lastRelayAt + 1000, wall: lastRelayAt + 1000 }
  ])
  const head = { requestId: 'a', host: 'shop.test', path: '/', key: 7, timeoutMs: 1000, bodyBytes: 0, replayable: true }
  const { effects } = reduceGateway(state, { kind: 'request-arrived', now: lastRelayAt + 1050, id: '1', head }, rules)
  t.deepEqual(effects.filter(effect => effect.kind === 'send'), [])
})
