import test from 'ava'
import { showGateways } from '../src/operator/showGateways.js'
import { startPlatformFleet } from './support/platform/platformFleet.js'

test('operators see versions, the granting host and the owners of keys; an address that answers otherwise is named', async t => {
  const fleet = await startPlatformFleet({ gateways: 2, shards: 2, plain: 1 })
  t.teardown(fleet.stop)
  const admins = fleet.gateways.map(gateway => gateway.addresses.admin)
  const shown = await showGateways(admins, { 'insecure-loopback': true })
  t.is(shown.code, 0)
  t.is((shown.text.match(/configuration 1, placement \d+, store up/g) ?? []).length, 2, shown.text)
  t.is((shown.text.match(/grants keys/g) ?? []).length, 1)
  t.regex(shown.text, /shards: \d+ ranges, next fencing token \d+\n {2}keys 0 to \d+: shard-\d, token \d+, held/)

  const wrong = await showGateways([fleet.store.address, '127.0.0.1:1'], { 'insecure-loopback': true })
  t.is(wrong.code, 4)
  t.regex(wrong.text, /not as a gateway does/)
  t.regex(wrong.text, /ECONNREFUSED/)
})
