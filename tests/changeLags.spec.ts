import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration } from '../src/core/gateway/model.js'
import type { GatewayState } from '../src/core/gateway/state.js'
import test from 'ava'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { showChangeLags } from '../src/operator/showChangeLags.js'

const rules = buildGatewayRules()
const registration: BackendRegistration = {
  id: 'bookings-1', startedAt: 1000, service: 'bookings', address: '127.0.0.1:9', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0, report: 7
}

function apply (state: GatewayState, events: GatewayEvent[]): { state: GatewayState, lags: number[] } {
  const lags: number[] = []
  for (const event of events) {
    for (const effect of reduceGateway(state, event, rules).effects) if (effect.kind === 'observe-change') lags.push(effect.ms)
  }
  return { state, lags }
}

/** Builds the state of a host that has read the store at 1000 ms. */
function buildSyncedState (): GatewayState {
  return apply(buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0), [
    { kind: 'tick', now: 900, wall: 10_900 },
    { kind: 'backend-read', now: 1010, backend: registration },
    { kind: 'store-synced', now: 1010, startedAt: 1000, revision: 5 },
    { kind: 'store-known', now: 1010, asOf: 1000 },
    { kind: 'tick', now: 1020, wall: 11_020 }
  ]).state
}

const leaving: BackendRegistration = { ...registration, leaving: true, report: 9 }

test('the lag of a change counts from the last answer of the store that did not contain it; the first read of a value has no lag', t => {
  const { lags } = apply(buildSyncedState(), [
    { kind: 'store-known', now: 1310, asOf: 1100 },
    { kind: 'backend-read', now: 1500, backend: leaving },
    { kind: 'store-known', now: 1500, asOf: 1450 },
    { kind: 'backend-gone', now: 1700, id: registration.id, graceMs: 0 }
  ])
  t.deepEqual(lags, [400, 250])
})

test('relayed knowledge dates from the report that the granting host answers, less the age that it states; it does not advance while a change is missing', t => {
  const load = { hosts: 2, placement: { revision: 0, confirmations: 0 }, storeRevision: 5, storeAgeMs: 200, backends: [], renewals: [] }
  const { state } = apply(buildSyncedState(), [{ kind: 'fleet-load-read', now: 2100, load, reported: new Map(), reportedAt: 2000 }])
  t.is(state.knownAsOf, 1800)
  const afterMissedChange = apply(state, [{ kind: 'fleet-load-read', now: 3100, load: { ...load, storeRevision: 6 }, reported: new Map(), reportedAt: 3000 }])
  t.is(afterMissedChange.state.knownAsOf, 1800)
})

test('a granting host whose process was paused does not understate the age of its knowledge of the store', t => {
  const state = buildSyncedState()
  Object.assign(state.granting, { relayedRevision: 5, relayedAsOf: 1000 })
  t.is(buildFleetLoad(state, 'host-2', { now: 1100, wall: 11_100 }).storeAgeMs, 100)
  t.is(buildFleetLoad(state, 'host-2', { now: 1100, wall: 14_100 }).storeAgeMs, 3100)
  t.is(apply(state, [{ kind: 'tick', now: 1100, wall: 14_100 }]).state.knownAsOf, -2000)
  t.is(buildFleetLoad(state, 'host-2', { now: 1110, wall: 14_110 }).storeAgeMs, 3110)
})

test('changes that have not been relayed yet add to the age that the granting host states', t => {
  const state = buildSyncedState()
  Object.assign(state.granting, { relayedRevision: 5, relayedAsOf: 1000 })
  const { state: later } = apply(state, [{ kind: 'store-synced', now: 1400, startedAt: -Infinity, revision: 6 }, { kind: 'store-known', now: 1400, asOf: 1390 }])
  t.is(buildFleetLoad(later, 'host-2', { now: 1400, wall: 11_400 }).storeAgeMs, 400)
})

test('change lags of all hosts are summarized with the worst lag and the 99th percentile', t => {
  const line = (fields: Record<string, unknown>) => `  1.2 h ${JSON.stringify({ hostname: 'h', event: 4114, msg: 'changeLags', time: '2026-12-05T10:00:00.000Z', ...fields })}`
  const { text } = showChangeLags([
    line({ change: 'leaving', counts: '50:90 100:9', worstMs: 90, worstOf: 'i-1' }),
    line({ change: 'leaving', counts: '2000:1', worstMs: 1700, worstOf: 'i-2' }),
    line({ change: 'leaving', disturbed: true, counts: 'more:1', worstMs: 7000, worstOf: 'i-3' })
  ])
  t.regex(text, /^leaving: 100 times, 99% within 100 ms, worst 1700 ms \(i-2 on h/m)
  t.regex(text, /^leaving \(disturbed hosts\): 1 times, 99% within 7000 ms, worst 7000 ms/m)
})
