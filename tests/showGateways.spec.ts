import test from 'ava'
import { showGateways } from '../src/operator/showGateways.js'
import { startPlatformFleet } from './support/platform/platformFleet.js'

test('operators see versions, the granting host and the owners of keys; an address that is unreachable or not a gateway is reported', async t => {
  const fleet = await startPlatformFleet({ gateways: 2, shards: 2, plain: 1 })
  t.teardown(fleet.stop)
  const admins = fleet.gateways.map(gateway => gateway.addresses.admin)
  const overview = await showGateways(admins, { 'insecure-loopback': true })
  t.is(overview.code, 0)
  t.is((overview.text.match(/configuration 1, placement \d+, store up/g) ?? []).length, 2, overview.text)
  t.is((overview.text.match(/grants keys/g) ?? []).length, 1)
  t.regex(overview.text, /shards: \d+ ranges, next fencing token \d+\n {2}keys 0 to \d+: shard-\d, token \d+, held/)

  const failure = await showGateways([fleet.store.address, '127.0.0.1:1'], { 'insecure-loopback': true })
  t.is(failure.code, 4)
  t.regex(failure.text, /not as a gateway does/)
  t.regex(failure.text, /ECONNREFUSED/)
})
