import test from 'ava'
import { buildCollectorChoice } from '../src/core/gateway/collectorChoice.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

const rules = { ...buildGatewayRules(), chooseCollectors: buildCollectorChoice({ maxDirectHosts: 3, minZoneHosts: 2 }) }

/** Starts six hosts in two zones, of which the one without the granting host has a collector with two hosts. */
async function startCollectedFleet () {
  const fleet = await startPlatformFleet({ gateways: 6, zones: 2, shards: 3, plain: 2 }, rules)
  const findCollector = () => fleet.gateways.find(gateway => gateway.getState().collecting.role === 'collecting')
  const listMembers = () => fleet.gateways.filter(gateway => {
    const { collector, grantingHost, loadReadAt, now } = gateway.getState()
    return collector !== undefined && collector.address !== grantingHost?.address && now - loadReadAt < 1000
  })
  await waitFor(() => findCollector() !== undefined && listMembers().length === 2, 8000)
  return { fleet, findCollector, listMembers }
}

test('changes of the store and of the placement reach hosts through a collector, and they answer callers', async t => {
  const { fleet, findCollector, listMembers } = await startCollectedFleet()
  t.teardown(fleet.stop)
  await waitFor(() => listMembers().every(gateway => gateway.getState().storeSource === 'told'), 5000)
  // Watches that were pending when their hosts stopped watching end within two seconds.
  await new Promise(resolve => setTimeout(resolve, 2300))
  const watchPath = '/-/kv-watch'
  const before = fleet.store.calls.get(watchPath) ?? 0
  const startedAt = Date.now()
  fleet.store.put('op/config', buildConfiguration(2))
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 2), 800)
  const answers = await Promise.all(listMembers().flatMap(({ addresses }) => Array.from({ length: 10 }, async (_, index) => await callGateway(addresses.callers, { path: '/reads/1', key: index * 6000 }))))
  t.deepEqual(answers.filter(({ status }) => status !== 200).map(({ status, body }) => `${status} ${body}`), [])
  await new Promise(resolve => setTimeout(resolve, 1500))
  const waits = Math.ceil((Date.now() - startedAt) / 200)
  t.true((fleet.store.calls.get(watchPath) ?? 0) - before <= waits + 3, 'only the granting host watches the store')
  t.is(findCollector()?.getState().hosts, 6)
})

test('hosts whose collector is stopped report to the granting host and then to the next collector, and callers notice nothing', async t => {
  const { fleet, findCollector, listMembers } = await startCollectedFleet()
  t.teardown(fleet.stop)
  const collector = findCollector()
  const members = listMembers()
  collector?.stop()
  const statuses: number[] = []
  for (let round = 0; round < 30; round++) {
    const answers = await Promise.all(members.map(async ({ addresses }, index) => await callGateway(addresses.callers, { path: '/reads/1', key: round * 2000 + index })))
    statuses.push(...answers.map(({ status }) => status))
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  t.deepEqual(statuses.filter(status => status !== 200), [])
  await waitFor(() => members.some(member => member.getState().collecting.role === 'collecting') || members.every(member => member.getState().collector === undefined), 5000)
  await waitFor(() => members.every(member => member.getState().now - member.getState().loadReadAt < 600), 5000)
  t.pass()
})
