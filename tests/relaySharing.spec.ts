import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { FleetLoad, GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import type { RelayedChanges } from '../src/core/gateway/storeView.js'
import type { FleetExchangeParts } from '../src/runtime/gateway/fleetExchange.js'
import test from 'ava'
import { credentials, ServerCredentials } from '@grpc/grpc-js'
import { computeRelayMs, gatewayTickMs } from '../src/core/gateway/limits.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { computePeerLimits } from '../src/core/policy/peerBudget.js'
import { systemClock } from '../src/runtime/clock.js'
import { createSharedUpdates } from '../src/runtime/gateway/sharedUpdates.js'
import { createFleetExchange } from '../src/runtime/gateway/fleetExchange.js'
import { createPeerConnections } from '../src/runtime/peerConnections.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { waitFor } from './support/platform/platformFleet.js'

const placement = { revision: 5, confirmations: 0 }
const view: FleetLoad = { hosts: 5, backends: [], renewals: [], storeAgeMs: 0, placement, storeRevision: 5 }

function buildParts (parts: Partial<FleetExchangeParts>): FleetExchangeParts {
  const timers = createTimerService(systemClock)
  return {
    credentials: { client: credentials.createInsecure(), server: ServerCredentials.createInsecure(), readPem: undefined },
    connections: createPeerConnections({ timers, limits: computePeerLimits(350, 4096), notifyClosed: () => {} }),
    timers,
    post: () => true,
    buildLoadAnswer: () => view,
    listChangesSince: () => undefined,
    findEarlier: () => undefined,
    applyRelayedChanges: () => {},
    log: () => {},
    ...parts
  }
}

test('a change of the store is listed and encoded only once for all hosts that know the same revision', async t => {
  let listings = 0
  let valueReads = 0
  let revision = 5
  const change = { key: 'op/config', revision: 6, get value () { valueReads += 1; return 'v' } }
  const granting = createFleetExchange(buildParts({
    listChangesSince: from => {
      listings += 1
      return { from, to: revision, changes: from < revision ? [change] : [], edited: [], leftOut: [], present: undefined, graceMs: 0 }
    }
  }))
  t.teardown(granting.close)
  const listened = await granting.listen('127.0.0.1:0')
  if (listened.kind === 'failed') return t.fail(listened.problem)
  const received: RelayedChanges[] = []
  const placements: GatewayEvent[] = []
  let views = 0
  const hosts = Array.from({ length: 4 }, () => createFleetExchange(buildParts({
    applyRelayedChanges: changes => { received.push(changes) },
    post: event => {
      if (event.kind === 'fleet-load-read') views += 1
      if (event.kind === 'placement-changed') placements.push(event)
      return true
    }
  })))
  t.teardown(() => hosts.forEach(host => host.close()))
  hosts.forEach((host, index) => {
    const report: LoadReport = { host: `host-${index}`, backends: [], keys: [], placement, wantsPlacement: false, storeRevision: 5, granting: undefined, zone: 'zone-1', renewed: [] }
    host.report(listened.address, report, new Map())
  })
  await waitFor(() => views === 4, 5000)
  listings = 0
  valueReads = 0
  revision = 6
  granting.relay()
  granting.publish({ base: placement, next: { revision: 5, confirmations: 1 }, nextFence: 9, changes: [] })
  await waitFor(() => received.length === 4 && placements.length === 4, 5000)
  t.is(listings, 1)
  // The value is read once for its length and twice by the encoding.
  t.true(valueReads <= 4, `${valueReads}`)
  t.deepEqual(received.map(changes => changes.changes[0]?.value), ['v', 'v', 'v', 'v'])
  granting.relay()
  t.is(listings, 2)
})

test('a shared update is encoded only once', t => {
  const { service, share } = createSharedUpdates()
  const message = share({ $case: 'changes', changes: { from: 1, to: 2, changes: [], present: [], isWhole: false, graceMs: 0, leftOut: [], edited: [] } })
  t.is(service.follow.responseSerialize(message), service.follow.responseSerialize(message))
  t.deepEqual(service.follow.responseDeserialize(service.follow.responseSerialize(message)).update, message.update)
})

/** Starts the granting host of a fleet of `hosts` hosts, in virtual time. */
function startGrantingHost (hosts: number) {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'host-0', zone: 'z', region: 'r', regionOf: new Map(), address: 'host-0', processorShare: 1 }, 1, 0)
  const relayed: number[] = []
  let now = 0
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, { ...event, now }, rules)
    state = step.state
    step.effects.forEach((effect: GatewayEffect) => { if (effect.kind === 'relay-changes') relayed.push(now) })
  }
  const advanceTime = (ms: number) => {
    for (const end = now + ms; now < end;) {
      now += gatewayTickMs
      if (state.granting.role === 'leading') post({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' })
      post({ kind: 'tick', now, wall: now })
    }
  }
  const sync = (revision: number) => post({ kind: 'store-synced', now, startedAt: now, revision })
  const services = new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]])
  post({ kind: 'configuration-read', now, configuration: { version: 1, routes: [], services, limits: { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 } }, revision: 1 })
  sync(2)
  advanceTime(400)
  post({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: 3 })
  post({ kind: 'granting-host-read', now, granting: { host: 'host-0', address: 'host-0' }, revision: 3 })
  sync(3)
  for (let host = 1; host < hosts; host++) {
    post({ kind: 'load-reported', now, report: { host: `host-${host}`, backends: [], keys: [], placement, wantsPlacement: false, storeRevision: 3, granting: undefined, zone: 'zone-1', renewed: [] } })
  }
  advanceTime(1000)
  return { sync, advanceTime, relayed, getState: () => state, getNow: () => now }
}

test('continual changes of the store are relayed at a bounded rate, and the last one is relayed too', t => {
  const grantingHost = startGrantingHost(150)
  t.is(computeRelayMs(grantingHost.getState().hosts), 100)
  const since = grantingHost.getNow()
  let revision = 4
  for (; grantingHost.getNow() < since + 1000; revision++) {
    grantingHost.sync(revision)
    // No load view states a revision that has not been relayed: a host would conclude that it has missed changes.
    t.true(buildFleetLoad(grantingHost.getState(), 'host-1').storeRevision === grantingHost.getState().granting.relayedRevision)
    grantingHost.advanceTime(gatewayTickMs)
  }
  const times = grantingHost.relayed.filter(at => at >= since)
  t.is(times[0], since, 'the first one at once')
  t.true(times.length <= 11, `${times.length}`)
  grantingHost.advanceTime(120)
  t.is(grantingHost.getState().granting.relayedRevision, revision - 1)
  t.true((grantingHost.relayed.at(-1) ?? 0) - since <= 1100)
  t.true(computeRelayMs(3000) < 500)
})
