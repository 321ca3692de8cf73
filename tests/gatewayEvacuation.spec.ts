import test from 'ava'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

const evacuationKey = 'op/evacuate/zone-1'
/** Time within which no request may reach an evacuated zone, in milliseconds: the setting `evacuation-s` of the fleet. */
const boundMs = 5000
/** Time within which every host must know a change, in milliseconds. */
const knownWithinMs = 2000

// Guards the way of the key from the store to requests and back through real processes, on a host that watches and on those that are told.
test('while the only zone is evacuated, requests are refused at once and grants are renewed; when the key is gone, requests are served', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  const callAll = async (options: Parameters<typeof callGateway>[1]) => await Promise.all(fleet.gateways.map(async gateway => await callGateway(gateway.addresses.callers, options)))
  t.deepEqual((await callAll({ path: '/orders/1', method: 'POST', body: 'a' })).map(({ status }) => status), [200, 200, 200])
  const writtenAt = Date.now()
  fleet.store.put(evacuationKey, {})
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().evacuations.zones.size === 1), knownWithinMs)
  const runsBefore = fleet.plain[0]?.runs.length
  const startedAt = Date.now()
  const refused = await callAll({ path: '/orders/1', method: 'POST', body: 'a' })
  t.deepEqual(refused.map(({ status }) => status), [503, 503, 503])
  t.true(refused.every(({ headers }) => Number(headers['retry-after']) >= 2))
  t.true(Date.now() - startedAt < 1000)
  t.is(fleet.plain[0]?.runs.length, runsBefore)
  t.deepEqual((await callAll({ path: '/reads/1', key: 7 })).map(({ status }) => status), [200, 200, 200])
  const metrics = await (await fetch(`http://${fleet.gateways[0]?.addresses.admin}/metrics`)).text()
  t.regex(metrics, /^fulmar_gateway_evacuated_zones 1$/m)
  await new Promise(resolve => setTimeout(resolve, writtenAt + boundMs - Date.now()))
  t.deepEqual((await callAll({ path: '/reads/1', key: 7 })).map(({ status }) => status), [503, 503, 503])
  fleet.store.remove(evacuationKey)
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().evacuations.zones.size === 0), knownWithinMs)
  t.deepEqual((await callAll({ path: '/reads/1', key: 7 })).map(({ status }) => status), [200, 200, 200])
  t.deepEqual((await callAll({ path: '/orders/1', method: 'POST', body: 'a' })).map(({ status }) => status), [200, 200, 200])
  for (const event of ['evacuationStarted', 'evacuationEnded']) t.is(fleet.events.filter(({ msg }) => msg === event).length, 3)
})
