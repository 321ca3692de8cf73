import type { PlatformFleet } from './support/platform/platformFleet.js'
import test from 'ava'
import { buildConfiguration, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Time after which a configuration has to be in force, in milliseconds: the users' bound. */
const knownWithinMs = 2000

function countTold (fleet: PlatformFleet): number {
  return fleet.gateways.filter(gateway => gateway.getState().storeSource === 'told').length
}

/** Builds a configuration of about 900 kB. */
function buildLargeConfiguration (version: number): Record<string, unknown> {
  const route = { host: 'shop.test', kind: 'safe', timeout_s: 2, target_latency_s: 0.5, priority: 0, service: 'shards', max_attempts: 2 }
  return buildConfiguration(version, Object.fromEntries(Array.from({ length: 6000 }, (_, index) => [`r${index}`, { ...route, path_prefix: `/extra-${index}/` }])))
}

test.serial('a large configuration is not copied to every host by the granting host, whose link it would fill', async t => {
  const fleet = await startPlatformFleet({ gateways: 4, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => countTold(fleet) === 3, 5000)
  fleet.store.put('op/config', buildLargeConfiguration(2))
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), knownWithinMs)
  t.is(fleet.store.calls.get('/-/kv-key'), 3)
  const revisions = () => fleet.gateways.map(gateway => gateway.getState().storeRevision)
  await waitFor(() => new Set(revisions()).size === 1, 1000)
  t.is(countTold(fleet), 3)
})

test.serial('large configurations in quick succession end with the last one on every host', async t => {
  const fleet = await startPlatformFleet({ gateways: 4, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => countTold(fleet) === 3, 5000)
  for (let version = 2; version <= 9; version++) {
    fleet.store.put('op/config', buildLargeConfiguration(version))
    await new Promise(resolve => setTimeout(resolve, 130))
  }
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 9), knownWithinMs)
  t.pass()
})

test.serial('a host whose watch would bring more than it takes reads the store again', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  fleet.store.faults.down = 'reset'
  await waitFor(() => fleet.gateways[0]?.getState().storeUp === false, 5000)
  for (let version = 2; version <= 8; version++) fleet.store.put('op/config', buildLargeConfiguration(version))
  fleet.store.faults.down = 'no'
  await waitFor(() => fleet.gateways[0]?.getState().configuration?.version === 8, knownWithinMs)
  t.pass()
})

/** Time that a large configuration takes over a slow link, in milliseconds, and for each 64 KiB of it. */
const transferMs = 3000
const pieceMs = 150

test.serial('a configuration that takes seconds to arrive is not given up while it arrives', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => countTold(fleet) === 2, 5000)
  fleet.store.faults.partDelayMs = pieceMs
  fleet.store.put('op/config', buildLargeConfiguration(2))
  await waitFor(() => fleet.gateways.some(gateway => gateway.getState().configuration?.version === 2), transferMs + knownWithinMs)
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), transferMs + knownWithinMs)
  t.is(fleet.events.filter(event => event.msg === 'storeLost').length, 0)
})

test.serial('a host that reads a large configuration for seconds starts no watch beside the reading', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => countTold(fleet) === 2, 5000)
  // Over the link of the granting host, which watches, it comes at once.
  fleet.store.faults.partDelayMs = pieceMs
  fleet.store.faults.slowCall = 'kv-key'
  const eventsBefore = fleet.events.length
  fleet.store.put('op/config', buildLargeConfiguration(2))
  await waitFor(() => fleet.gateways.some(gateway => gateway.getState().configuration?.version === 2), knownWithinMs)
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), transferMs + knownWithinMs)
  t.true((fleet.store.calls.get('/-/kv-key') ?? 0) >= 2, 'nobody read it')
  t.is(fleet.events.filter(event => event.msg === 'storeLost').length, 0)
  // A watch beside the reading would bring every version of it over the same link.
  t.deepEqual(fleet.events.slice(eventsBefore).filter(event => event.msg === 'storeSourceChanged').map(event => event.fields.source), [])
})

test.serial('small changes of a large configuration are in force within 1 s on hosts over whose links it takes seconds', async t => {
  const fleet = await startPlatformFleet({ gateways: 4, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => countTold(fleet) === 3, 5000)
  fleet.store.put('op/config', buildLargeConfiguration(2))
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), knownWithinMs)
  fleet.store.faults.partDelayMs = pieceMs
  fleet.store.faults.slowCall = 'kv-key'
  for (let version = 3; version <= 6; version++) {
    fleet.store.put('op/config', buildLargeConfiguration(version))
    await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === version), 1000)
  }
  t.is(fleet.store.calls.get('/-/kv-key'), 3)
})
