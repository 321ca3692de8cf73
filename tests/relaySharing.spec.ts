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
import { systemClock } from '../src/runtime/clock.js'
import { createSharedUpdates } from '../src/runtime/gateway/sharedUpdates.js'
import { createFleetExchange } from '../src/runtime/gateway/fleetExchange.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { waitFor } from './support/platform/platformFleet.js'

const placement = { revision: 5, confirmations: 0 }
const view: FleetLoad = { hosts: 5, backends: [], renewals: [], storeAgeMs: 0, placement, storeRevision: 5 }

function buildParts (parts: Partial<FleetExchangeParts>): FleetExchangeParts {
  return {
    credentials: { client: credentials.createInsecure(), server: ServerCredentials.createInsecure(), readPem: undefined },
    timers: createTimerService(systemClock),
    post: () => true,
    buildView: () => view,
    listChangesSince: () => undefined,
    findEarlier: () => undefined,
    applyRelayedChanges: () => {},
    log: () => {},
    ...parts
  }
}

test('a change of the store is listed and encoded once for all hosts that know the same revision', async t => {
  let listings = 0
  let readings = 0
  let revision = 5
  const change = { key: 'op/config', revision: 6, get value () { readings += 1; return 'v' } }
  const granting = createFleetExchange(buildParts({
    listChangesSince: from => {
      listings += 1
      return { from, to: revision, changes: from < revision ? [change] : [], edited: [], leftOut: [], present: undefined, graceMs: 0 }
    }
  }))
  t.teardown(granting.close)
  const listened = await granting.listen('127.0.0.1:0')
  if (listened.kind === 'failed') return t.fail(listened.problem)
  const told: RelayedChanges[] = []
  const placements: GatewayEvent[] = []
  let views = 0
  const hosts = Array.from({ length: 4 }, () => createFleetExchange(buildParts({
    applyRelayedChanges: changes => { told.push(changes) },
    post: event => {
      if (event.kind === 'fleet-load-read') views += 1
      if (event.kind === 'placement-changed') placements.push(event)
      return true
    }
  })))
  t.teardown(() => hosts.forEach(host => host.close()))
  hosts.forEach((host, index) => {
    const report: LoadReport = { host: `host-${index}`, backends: [], keys: [], placement, wantsPlacement: false, storeRevision: 5, granting: undefined, zone: 'zone-1', renewed: [] }
    host.report(listened.address, report)
  })
  await waitFor(() => views === 4, 5000)
  listings = 0
  readings = 0
  revision = 6
  granting.relay()
  granting.publish({ base: placement, next: { revision: 5, confirmations: 1 }, nextFence: 9, changes: [] })
  await waitFor(() => told.length === 4 && placements.length === 4, 5000)
  t.is(listings, 1)
  // Its length is looked at once, and encoding reads it twice.
  t.true(readings <= 4, `${readings}`)
  t.deepEqual(told.map(changes => changes.changes[0]?.value), ['v', 'v', 'v', 'v'])
  granting.relay()
  t.is(listings, 2)
})

test('an update that is shared is encoded once', t => {
  const { service, share } = createSharedUpdates()
  const message = share({ $case: 'changes', changes: { from: 1, to: 2, changes: [], present: [], isWhole: false, graceMs: 0, leftOut: [], edited: [] } })
  t.is(service.follow.responseSerialize(message), service.follow.responseSerialize(message))
  t.deepEqual(service.follow.responseDeserialize(service.follow.responseSerialize(message)).update, message.update)
})

/** Starts a host that grants keys in a fleet of as many hosts. */
function startLeader (hosts: number) {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'host-0', zone: 'z', region: 'r', regionOf: new Map(), address: 'host-0', processorShare: 1 }, 1, 0)
  const relayed: number[] = []
  let now = 0
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, { ...event, now }, rules)
    state = step.state
    step.effects.forEach((effect: GatewayEffect) => { if (effect.kind === 'relay-changes') relayed.push(now) })
  }
  const passTime = (ms: number) => {
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
  passTime(400)
  post({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: 3 })
  post({ kind: 'granting-host-read', now, granting: { host: 'host-0', address: 'host-0' }, revision: 3 })
  sync(3)
  for (let host = 1; host < hosts; host++) {
    post({ kind: 'load-reported', now, report: { host: `host-${host}`, backends: [], keys: [], placement, wantsPlacement: false, storeRevision: 3, granting: undefined, zone: 'zone-1', renewed: [] } })
  }
  passTime(1000)
  return { sync, passTime, relayed, getState: () => state, getNow: () => now }
}

test('changes of the store that come all the time are relayed at a bounded rate, the last one too', t => {
  const leader = startLeader(150)
  t.is(computeRelayMs(leader.getState().hosts), 100)
  const since = leader.getNow()
  let revision = 4
  for (; leader.getNow() < since + 1000; revision++) {
    leader.sync(revision)
    // No view names a revision that was not passed on: a host would take itself for one that is left behind.
    t.true(buildFleetLoad(leader.getState(), 'host-1').storeRevision === leader.getState().granting.relayedRevision)
    leader.passTime(gatewayTickMs)
  }
  const times = leader.relayed.filter(at => at >= since)
  t.is(times[0], since, 'the first one at once')
  t.true(times.length <= 11, `${times.length}`)
  leader.passTime(120)
  t.is(leader.getState().granting.relayedRevision, revision - 1)
  t.true((leader.relayed.at(-1) ?? 0) - since <= 1100)
  t.true(computeRelayMs(3000) < 500)
})
