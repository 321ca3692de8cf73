import test from 'ava'
import { startGrantBackend } from './support/platform/grantBackend.js'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

test('a backend server that takes over the address of a lost one receives none of its grants, and the keys get new owners without waiting for those grants to expire', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 2, plain: 0 })
  t.teardown(fleet.stop)
  const [gateway] = fleet.gateways
  const [lost] = fleet.shards
  if (gateway === undefined || lost === undefined) return t.fail()
  const ranges = () => gateway.getState().placement?.services.get('shards') ?? []
  const key = ranges().find(range => range.owner.id === lost.id)?.from ?? 0
  await lost.close()
  const replacement = await startGrantBackend('shard-next', { sharded: true, port: Number(lost.address.split(':')[1]) })
  t.teardown(replacement.close)
  // Renewals are sent to this address every 700 ms.
  await new Promise(resolve => setTimeout(resolve, 1000))
  t.deepEqual(replacement.grants, [])
  fleet.register(replacement, 'shards', { born: 2000 })
  fleet.store.remove(`servers/${lost.id}`)
  // The last grant of the lost server is valid for 2.8 s, but the new process at its address proves that it has ended.
  await waitFor(() => ranges().every(range => range.phase === 'held' && range.owner.id !== lost.id), 1500)
  t.is((await callGateway(gateway.addresses.callers, { path: '/reads/1', key })).status, 200)
})
