import type { GatewayWorld, VirtualHost } from '../spec/gateway/virtualWorld.js'
import type { CollectorCandidate } from '../src/core/gateway/collectorChoice.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { faultHistories, listViolations, runHistory } from '../spec/gateway/histories.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { killHost } from '../spec/gateway/virtualGateways.js'
import { buildCollectorChoice } from '../src/core/gateway/collectorChoice.js'
import { maxRelayFreshMs, maxReportMs } from '../src/core/gateway/limits.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

const rules = buildGatewayRules()
const chooseCollectors = buildCollectorChoice({ maxDirectHosts: 6, minZoneHosts: 2 })
const self = { host: 'host-0', address: '10.0.0.0:1', zone: 'zone-0' }

const candidates = fc.uniqueArray(fc.record({
  host: fc.integer({ min: 1, max: 40 }).map(index => `host-${index}`),
  zone: fc.nat({ max: 4 }).map(index => `zone-${index}`),
  address: fc.constantFrom('', '10.0.0.1:1', '10.0.0.2:1'),
  processorShare: fc.constantFrom(0.27, 0.675),
  isCollecting: fc.boolean()
}), { selector: ({ host }) => host, maxLength: 30 })

testProp('each zone has at most one collector: a host of that zone that can be reached, and the same one while it reports', [candidates], (t, hosts: CollectorCandidate[]) => {
  const chosen = chooseCollectors(hosts, self, new Map())
  if (hosts.length < 6) return t.is(chosen.size, 0)
  t.deepEqual(chosen.get(self.zone), { host: self.host, address: self.address })
  for (const [zone, collector] of chosen) {
    if (zone === self.zone) continue
    const found = hosts.find(({ host }) => host === collector.host)
    t.is(found?.zone, zone)
    t.not(found?.address, '')
    t.true(hosts.filter(host => host.zone === zone).length >= 2)
  }
  const reordered = [...hosts].reverse().map(host => ({ ...host, processorShare: host.processorShare === 0.27 ? 0.675 : 0.27 }))
  t.deepEqual([...chooseCollectors(reordered, self, chosen)].sort(), [...chosen].sort())
}, { seed: 71, numRuns: 200 })

const fleet = { seed: 9, hosts: 30, zones: 5, shards: 20, plain: 10, lengthMs: 12_000, readsPerSecond: 150, ordersPerSecond: 80, workMs: 60, targetMs: 300, timeoutMs: 1000, rules }

function findGrantingHost (world: GatewayWorld): VirtualHost | undefined {
  return world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
}

function findCollector (world: GatewayWorld): VirtualHost | undefined {
  return world.hosts.find(host => host.isUp && host.state.collecting.role === 'collecting')
}

test('hosts of other zones report to a collector, and all hosts know current load, with few exchanges at the granting host', t => {
  const { world, violations } = runTrafficScenario(fleet)
  const grantingHost = findGrantingHost(world)
  t.deepEqual(violations, [])
  t.is(world.hosts.filter(host => host.state.collecting.role === 'collecting').length, 4)
  // Five hosts of its own zone and itself, and four collectors.
  t.true((grantingHost?.state.granting.reports.size ?? 99) <= 10, `${grantingHost?.state.granting.reports.size}`)
  t.is(grantingHost?.state.granting.hostCount, 30)
  for (const host of world.hosts) {
    t.is(host.state.hosts, 30)
    t.true(host.state.now - host.state.loadReadAt <= maxReportMs, `${host.name}: ${host.state.now - host.state.loadReadAt} ms`)
    t.true(host.state.reporters <= 10)
  }
})

test('the requests in flight that hosts know are those of all hosts, whether they report through a collector or not', t => {
  const { world } = runTrafficScenario({ ...fleet, lengthMs: 4000, workMs: 100, timeoutMs: 2500 })
  for (const host of world.hosts) {
    // Traffic has ended, so that all requests are answered and reported.
    for (const backend of host.state.backends.values()) t.is(backend.othersInFlight, 0, `${host.name}, ${backend.id}`)
  }
})

const faults: Array<[name: string, cause: (world: GatewayWorld, host: VirtualHost) => void]> = [
  ['killed', killHost],
  ['frozen', (_, host) => { host.isPaused = true }],
  ['cut off from all hosts', (_, host) => { host.isCutFromHosts = true }],
  ['cut off from the store', (_, host) => { host.isCutFromStore = true }]
]

for (const [name, cause] of faults) {
  test(`a collector that is ${name} costs its zone a moment: the other hosts soon know current load again, and keys keep their owners`, t => {
    const ages: number[] = []
    const result = runTrafficScenario({
      ...fleet,
      faults: [
        { at: 3000, run: world => { const collector = findCollector(world); if (collector !== undefined) cause(world, collector) } },
        ...Array.from({ length: 30 }, (_, index) => ({
          at: 4600 + index * 200,
          run: (world: GatewayWorld) => {
            for (const host of world.hosts) {
              if (!host.isUp || host.isPaused || host.isCutFromHosts) continue
              ages.push(world.queue.now - host.state.loadReadAt)
            }
          }
        }))
      ]
    })
    t.deepEqual(result.violations, [])
    t.true(Math.max(...ages) <= maxRelayFreshMs, `${Math.max(...ages)} ms`)
    const served = result.bySecond.slice(5).map(second => (second.inTarget + second.late) / (second.asked - second.failed))
    t.true(served.every(share => share > 0.97), served.map(share => share.toFixed(2)).join(' '))
  })
}

test('the loss of the granting host leaves collectors and their hosts in place, and keys with their owners', t => {
  const result = runTrafficScenario({ ...fleet, faults: [{ at: 3000, run: world => { const host = findGrantingHost(world); if (host !== undefined) killHost(world, host) } }] })
  t.deepEqual(result.violations, [])
  t.true(result.world.hosts.filter(host => host.isUp && host.state.collecting.role === 'collecting').length >= 3)
  const served = result.bySecond.slice(7).map(second => (second.inTarget + second.late) / (second.asked - second.failed))
  t.true(served.every(share => share > 0.97), served.map(share => share.toFixed(2)).join(' '))
})

test('no load is counted twice when hosts change from the granting host to a collector, or lose it', t => {
  const counts: number[] = []
  const lateCounts: number[] = []
  const countHosts = (list: number[]) => (world: GatewayWorld) => { list.push(findGrantingHost(world)?.state.granting.hostCount ?? 0) }
  runTrafficScenario({
    ...fleet,
    faults: [
      ...Array.from({ length: 10 }, (_, index) => ({ at: -2000 + index * 400, run: countHosts(counts) })),
      { at: 3000, run: world => { const collector = findCollector(world); if (collector !== undefined) killHost(world, collector) } },
      ...Array.from({ length: 10 }, (_, index) => ({ at: 4300 + index * 200, run: countHosts(lateCounts) }))
    ]
  })
  t.true(counts.every(count => count <= 30), counts.join(' '))
  t.true(lateCounts.every(count => count <= 29), lateCounts.join(' '))
})

testProp('no generated history of faults gives a key two owners or leaves it without one in a fleet with collectors', [faultHistories, fc.nat({ max: 1000 })], (t, steps, seed) => {
  const eager = { ...rules, chooseCollectors }
  t.deepEqual(listViolations(runHistory(steps, seed, eager, 0.3, { hosts: 9, zones: 3 })), [])
}, { seed: 72, numRuns: 12, endOnFailure: true })
