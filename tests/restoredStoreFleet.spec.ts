import test from 'ava'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

test('a fleet whose store is restored from an older copy serves its keys again, keeps its configuration and gives no token twice', async t => {
  const fleet = await startPlatformFleet({ gateways: 2, shards: 3, plain: 1 })
  t.teardown(fleet.stop)
  const copy = fleet.store.copy()
  fleet.store.put('op/config', buildConfiguration(2))
  // The keys of a server that leaves move under tokens that the copy does not have.
  const [moved] = fleet.shards
  if (moved === undefined) return t.fail()
  fleet.register(moved, 'shards', { state: 'draining' })
  const readRanges = () => fleet.gateways.map(gateway => gateway.getState().placement?.services.get('shards') ?? [])
  await waitFor(() => readRanges().every(ranges => ranges.every(range => range.owner.id !== moved.id && range.phase === 'held')), 4000)
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), 2000)
  const ownerByFence = new Map(readRanges().flat().map(range => [range.fence, range.owner.id]))
  fleet.store.restore(copy)
  fleet.register(moved, 'shards', { state: 'draining', sequence: 2 })
  let lowestVersion = Infinity
  const isRecovered = () => {
    lowestVersion = Math.min(lowestVersion, ...fleet.gateways.map(gateway => gateway.getState().configuration?.version ?? 0))
    return fleet.gateways.every(gateway => gateway.getState().placement?.restores === 1)
  }
  await waitFor(isRecovered, 5000)
  fleet.store.put('op/config', buildConfiguration(2))
  t.is(lowestVersion, 2)
  t.true(fleet.events.some(event => event.msg === 'leadershipLost' && event.fields.reason === 'store restored'))
  await waitFor(() => readRanges().every(ranges => ranges.every(range => range.phase === 'held')), 4000)
  for (const range of readRanges().flat()) t.is(ownerByFence.get(range.fence) ?? range.owner.id, range.owner.id, `token ${range.fence}`)
  const statuses: number[] = []
  for (let index = 0; index < 40; index++) {
    const address = fleet.gateways[index % 2]?.addresses.callers ?? ''
    statuses.push((await callGateway(address, { path: '/reads/1', key: (index * 2311) % 65_536 })).status)
  }
  t.deepEqual(statuses.filter(status => status !== 200), [])
})
