import type { PlatformFleet } from './support/platform/platformFleet.js'
import test from 'ava'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

const watchPath = '/-/kv-watch'
/** Time within which every host must know a change, in milliseconds: the users' bound for leaving backend servers and configurations. */
const knownWithinMs = 2000

/** Waits until the granting host relays the store's changes to all others, and cuts one of those off from the store. */
async function cutFollowerFromStore (fleet: PlatformFleet): Promise<PlatformFleet['gateways'][number] | undefined> {
  const isRelayed = (gateway: PlatformFleet['gateways'][number]) => gateway.getState().storeSource === 'told'
  await waitFor(() => fleet.gateways.filter(isRelayed).length === fleet.gateways.length - 1, 5000)
  const host = fleet.gateways.findIndex(isRelayed)
  fleet.cutFromStore(host)
  return fleet.gateways[host]
}

test('hosts learn of configurations and registrations from the granting host, and watch the store themselves when there is none', async t => {
  const fleet = await startPlatformFleet({ gateways: 4, shards: 2, plain: 2 })
  t.teardown(fleet.stop)
  const listRelayed = () => fleet.gateways.filter(gateway => gateway.getState().storeSource === 'told')
  await waitFor(() => listRelayed().length === 3, 5000)
  // Watches that were pending when their hosts stopped watching end within two seconds.
  await new Promise(resolve => setTimeout(resolve, 2300))
  const before = fleet.store.calls.get(watchPath) ?? 0
  const startedAt = Date.now()
  fleet.store.put('op/config', buildConfiguration(2))
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), 600)
  const removed = fleet.plain[0]
  if (removed === undefined) return t.fail()
  fleet.store.remove(`servers/${removed.id}`)
  await waitFor(() => fleet.gateways.every(gateway => !gateway.getState().backends.has(removed.id)), 600)
  await new Promise(resolve => setTimeout(resolve, 2000))
  // One host watches the store: one call every 200 ms, and one more after each change.
  const waits = Math.ceil((Date.now() - startedAt) / 200)
  t.true((fleet.store.calls.get(watchPath) ?? 0) - before <= waits + 2, `${(fleet.store.calls.get(watchPath) ?? 0) - before} calls in ${waits} waits`)
  t.is(listRelayed().length, 3)

  const leader = fleet.gateways.find(gateway => gateway.getState().granting.role === 'leading')
  leader?.stop()
  fleet.store.put('op/config', buildConfiguration(3))
  const others = fleet.gateways.filter(gateway => gateway !== leader)
  await waitFor(() => others.every(gateway => gateway.getState().configuration?.version === 3), 2000)
  await waitFor(() => listRelayed().filter(gateway => gateway !== leader).length === 2, 5000)
  t.pass()
})

test('a host to which the granting host can no longer relay changes learns of a configuration within 2 s', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 2, plain: 1 })
  t.teardown(fleet.stop)
  await waitFor(() => fleet.gateways.filter(gateway => gateway.getState().storeSource === 'told').length === 2, 5000)
  const leader = fleet.gateways.findIndex(gateway => gateway.getState().granting.role === 'leading')
  fleet.cutFromStore(leader)
  const others = fleet.gateways.filter((_, index) => index !== leader)
  fleet.store.put('op/config', buildConfiguration(2))
  await waitFor(() => others.every(gateway => gateway.getState().configuration?.version === 2), 2000)
  t.pass()
})

test('no request reaches a leaving backend server through a host that lost the store when its history was compacted', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  const host = await cutFollowerFromStore(fleet)
  const [leaving] = fleet.plain
  if (host === undefined || leaving === undefined) return t.fail('nothing started')
  fleet.store.changeWithoutEvents(() => fleet.register(leaving, 'plain', { state: 'draining' }))
  await new Promise(resolve => setTimeout(resolve, knownWithinMs))
  const before = leaving.runs.length
  for (let index = 0; index < 20; index++) await callGateway(host.addresses.callers, { path: '/orders/1', method: 'POST', body: 'a' })
  t.is(leaving.runs.length - before, 0)
})

test('a configuration is in force within 2 s on a host that lost the store when its history was compacted', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  const host = await cutFollowerFromStore(fleet)
  if (host === undefined) return t.fail('nothing started')
  fleet.store.changeWithoutEvents(() => fleet.store.put('op/config', buildConfiguration(2)))
  await new Promise(resolve => setTimeout(resolve, knownWithinMs))
  t.deepEqual(fleet.gateways.map(gateway => gateway.getState().configuration?.version), [2, 2, 2])
})

/** Starts a fleet in which the granting host relays to all others, and leaves its watch without an answer; its lease is still renewed. */
async function startWithUnansweredWatch (): Promise<PlatformFleet> {
  const fleet = await startPlatformFleet({ gateways: 4, shards: 1, plain: 2 })
  await waitFor(() => fleet.gateways.filter(gateway => gateway.getState().storeSource === 'told').length === 3, 5000)
  // The watches of the hosts that receive relayed changes have ended by then.
  await new Promise(resolve => setTimeout(resolve, 2300))
  const [, other] = fleet.plain
  const before = fleet.store.calls.get(watchPath) ?? 0
  if (other !== undefined) fleet.register(other, 'plain', { sequence: 2 })
  await waitFor(() => (fleet.store.calls.get(watchPath) ?? 0) > before, 2000)
  fleet.store.dropWatches()
  return fleet
}

test('no request reaches a backend server that started to leave 2 s before, even if the watch of the granting host gets no answer', async t => {
  const fleet = await startWithUnansweredWatch()
  t.teardown(fleet.stop)
  const [leaving] = fleet.plain
  if (leaving === undefined) return t.fail('nothing started')
  fleet.register(leaving, 'plain', { state: 'draining' })
  await new Promise(resolve => setTimeout(resolve, knownWithinMs))
  const before = leaving.runs.length
  const { gateways } = fleet
  await Promise.all(gateways.flatMap(({ addresses }) => Array.from({ length: 5 }, async () => await callGateway(addresses.callers, { path: '/photos/1', method: 'POST', body: 'a' }))))
  t.is(leaving.runs.length - before, 0)
})

test('a configuration is in force on every host within 2 s, even if the watch of the granting host gets no answer', async t => {
  const fleet = await startWithUnansweredWatch()
  t.teardown(fleet.stop)
  fleet.store.put('op/config', buildConfiguration(2, { added: { host: 'shop.test', path_prefix: '/added/', kind: 'safe', timeout_s: 1, target_latency_s: 1, priority: 0, service: 'plain', max_attempts: 2 } }))
  await new Promise(resolve => setTimeout(resolve, knownWithinMs))
  t.deepEqual(fleet.gateways.map(gateway => gateway.getState().configuration?.version), [2, 2, 2, 2])
  const answers = await Promise.all(fleet.gateways.map(async ({ addresses }) => await callGateway(addresses.callers, { path: '/added/1' })))
  t.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200])
})
