import type { ColdFleet } from '../spec/gateway/coldFleet.js'
import type { BackendRegistration, Configuration } from '../src/core/gateway/model.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { runUntil, scheduleIn } from '../spec/eventQueue.js'
import { announceColdness, countBusiestSecond, createColdFleet, killColdHost, pauseColdHost, startColdHost } from '../spec/gateway/coldFleet.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { addBackend } from '../spec/gateway/virtualGateways.js'
import { computeColdKeyRate } from '../src/core/gateway/coldKeys.js'
import { planColdShares } from '../src/core/gateway/coldShares.js'
import { buildCollectorChoice } from '../src/core/gateway/collectorChoice.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

const rules = { ...buildGatewayRules(), chooseCollectors: buildCollectorChoice({ maxDirectHosts: 3, minZoneHosts: 2 }) }
const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'orders', host: 'shop.test', pathPrefix: '/orders/', targets: [{ service: 'plain', weight: 1 }], idempotent: true, timeoutMs: 3000, targetMs: 1500, maxAttempts: 2, priority: 0 }],
  services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0, coldStartMs: 60_000, coldRequestsPerSecond: 3.7 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e8, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}
const backend: BackendRegistration = { id: 'plain-0', startedAt: 1, service: 'plain', address: 'plain-0:80', zone: 'zone-2', slots: 100, leaving: false, slowForMs: 100_000 }
/** 3.7 x 1.5 + 8. */
const bound = 13

const shareHosts = fc.array(fc.record({ zone: fc.constantFrom('a', 'b', 'c'), shares: fc.nat({ max: 5 }) }), { maxLength: 20 }).map(hosts => hosts.map((host, index) => ({ ...host, host: `host-${index}` })))

testProp('shares that are dealt never exceed the allowance together with those that may still be in use', [
  fc.nat({ max: 30 }), fc.integer({ min: 1, max: 5 }), fc.dictionary(fc.constantFrom('host-0', 'host-1', 'gone'), fc.integer({ min: 1, max: 8 })), fc.nat({ max: 30 }), shareHosts
], (t, allowance, minShare, dealt, withheld, hosts) => {
  const current = new Map(Object.entries(dealt))
  const added = planColdShares({ zone: 'a', allowance, minShare }, current, withheld, hosts, new Map([['a', 'r'], ['b', 'r']]))
  const sum = [...current.values(), ...added.map(({ requests }) => requests)].reduce((total, requests) => total + requests, 0)
  t.true(added.length === 0 || sum + withheld <= allowance)
  t.true(added.every(({ requests, host }) => requests >= Math.min(minShare, allowance) && !current.has(host)))
  t.is(new Set(added.map(({ host }) => host)).size, added.length)
}, { seed: 81, numRuns: 500 })

test('an allowance of 13 is dealt to three hosts of the zone with the fewest shares, else of its region', t => {
  const hosts = [['h-0', 'a', 0], ['h-1', 'c', 0], ['h-2', 'b', 0], ['h-3', 'b', 1], ['h-4', 'a', 2]].map(([host, zone, shares]) => ({ host: `${host}`, zone: `${zone}`, shares: Number(shares) }))
  const added = planColdShares({ zone: 'a', allowance: bound, minShare: 4 }, new Map(), 0, hosts, new Map([['a', 'r'], ['b', 'r'], ['c', 's']]))
  t.deepEqual(added, ['h-0', 'h-4', 'h-2'].map(host => ({ host, requests: 4 })))
})

function startFleet (seed: number, zones: number): ColdFleet {
  return createColdFleet({ seed, hosts: 6, zones, requestsPerSecond: 30, configuration, backend, rules })
}

const faultKinds = ['cut', 'suspend', 'kill', 'kill-granting-host', 'kill-collector', 'lose-answers', 'store-down'] as const
type Fault = { at: number, kind: typeof faultKinds[number], host: number, forMs: number }

function causeFault (fleet: ColdFleet, { kind, host: index, forMs }: Fault): void {
  const findHost = () => {
    if (kind === 'kill-granting-host') return fleet.hosts.find(({ state }) => state.granting.role === 'leading')
    if (kind === 'kill-collector') return fleet.hosts.find(({ state }) => state.collecting.role === 'collecting')
    // Half of the faults meet a host that holds a share.
    const holders = fleet.hosts.filter(({ state }) => state.cold.shares.size > 0)
    return holders[index] ?? fleet.hosts[index]
  }
  const host = findHost()
  if (kind === 'lose-answers') fleet.lostAnswerShare = 0.7
  if (kind === 'store-down') fleet.isStoreDown = true
  if (host === undefined) return
  if (kind === 'cut') host.isCut = true
  if (kind === 'suspend') pauseColdHost(fleet, host, forMs)
  if (kind.startsWith('kill')) killColdHost(host)
  scheduleIn(fleet.queue, forMs, () => {
    fleet.lostAnswerShare = 0
    fleet.isStoreDown = false
    host.isCut = false
    if (!host.isUp) startColdHost(fleet, host)
  })
}

const fault = fc.record<Fault>({ at: fc.integer({ min: 5500, max: 20_000 }), kind: fc.constantFrom(...faultKinds), host: fc.nat({ max: 5 }), forMs: fc.oneof(fc.integer({ min: 10, max: 900 }), fc.integer({ min: 900, max: 8000 })) })

testProp('all hosts together never send a cold server more than the bound in any second, whatever fails', [
  fc.integer(), fc.integer({ min: 1, max: 3 }), fc.array(fault, { minLength: 1, maxLength: 6 })
], (t, seed, zones, faults) => {
  const fleet = startFleet(seed, zones)
  for (const each of faults) scheduleIn(fleet.queue, each.at, () => causeFault(fleet, each))
  runUntil(fleet.queue, 30_000)
  t.true(fleet.arrivals.length > 0)
  t.true(countBusiestSecond(fleet.arrivals) <= bound, `${countBusiestSecond(fleet.arrivals)} requests in a second`)
}, { seed: 82, numRuns: 60 })

testProp('a server that is warm for a while and becomes cold again gets no more than the bound, though its shares were withdrawn and dealt anew', [
  fc.integer(), fc.array(fc.record({ coldMs: fc.integer({ min: 1200, max: 6000 }), warmMs: fc.integer({ min: 50, max: 2500 }) }), { minLength: 1, maxLength: 3 }), fc.constantFrom(0, 0.5)
], (t, seed, phases, lostAnswerShare) => {
  const fleet = startFleet(seed, 3)
  fleet.lostAnswerShare = lostAnswerShare
  runUntil(fleet.queue, 7000)
  for (const { coldMs, warmMs } of phases) {
    announceColdness(fleet, 0)
    runUntil(fleet.queue, fleet.queue.now + warmMs)
    announceColdness(fleet, 100_000)
    // What was sent until the hosts knew has arrived by then.
    runUntil(fleet.queue, fleet.queue.now + 150)
    const arrived = fleet.arrivals.length
    runUntil(fleet.queue, fleet.queue.now + coldMs)
    t.true(countBusiestSecond(fleet.arrivals.slice(arrived)) <= bound)
    t.true(coldMs < 3000 || lostAnswerShare > 0 || fleet.arrivals.length > arrived, 'withdrawn shares are dealt anew to their holders')
  }
}, { seed: 83, numRuns: 30 })

test('without faults a cold server gets most of what it tolerates, and a host that is cut off stops when its share has run out', t => {
  const fleet = startFleet(5, 3)
  runUntil(fleet.queue, 16_000)
  const steady = fleet.arrivals.filter(at => at >= 6000 && at < 16_000).length / 10
  t.true(steady >= 7, `${steady} a second`)
  for (const host of fleet.hosts) host.isCut = true
  fleet.isStoreDown = true
  runUntil(fleet.queue, 19_000)
  const sent = fleet.arrivals.length
  runUntil(fleet.queue, 24_000)
  t.is(fleet.arrivals.length, sent)
})

const scenario = { seed: 3, hosts: 30, zones: 5, shards: 12, plain: 8, lengthMs: 14_000, readsPerSecond: 250, ordersPerSecond: 150, workMs: 60, targetMs: 400, timeoutMs: 1200, rules: buildGatewayRules(), coldRequestsPerSecond: bound }

/** Plays servers that join cold 6 s after the start of traffic, in a fleet with collectors; lists when requests were sent to each, from then on. */
function playJoining (services: string[]) {
  const sent = new Map<string, number[]>(services.map(service => [`${service}-joins`, []]))
  const run: NonNullable<Parameters<typeof runTrafficScenario>[0]['faults']>[number]['run'] = world => {
    const { interpret } = world
    const joinedAt = world.queue.now
    world.interpret = (within, host, effect) => {
      if (effect.kind === 'send') sent.get(effect.backend)?.push(within.queue.now - joinedAt)
      interpret(within, host, effect)
    }
    services.forEach(service => addBackend(world, { id: `${service}-joins`, startedAt: 50_000, service, address: `${service}-joins:80`, zone: 'zone-1', slots: 4, leaving: false, slowForMs: 5000 }))
  }
  return { sent, result: runTrafficScenario({ ...scenario, faults: [{ at: 6000, run }] }) }
}

test('servers that join cold get work within three seconds through reports and collectors, at most the bound until they are warm, and more after that', t => {
  const { sent, result } = playJoining(['plain', 'shards'])
  t.deepEqual(result.violations, [])
  for (const [id, times] of sent) {
    t.true((times[0] ?? Infinity) < 3000, `${id}: first request after ${times[0]} ms`)
    t.true(countBusiestSecond(times.filter(at => at < 5000)) <= bound, id)
    t.true(times.filter(at => at > 6000).length > times.filter(at => at < 5000).length, id)
  }
  const { refused, asked } = result.bySecond.slice(6, 11).reduce((sum, second) => ({ refused: sum.refused + second.refused, asked: sum.asked + second.asked }), { refused: 0, asked: 0 })
  t.true(refused <= asked * 0.02, `${refused} of ${asked} refused`)
})

test('keys that a cold server gets bring no more than it tolerates, and few refusals where most hosts have no share', t => {
  const limits = { perSecond: 3.7, allowance: bound, hosts: 12, serviceRate: 1000, coldServers: 1 }
  t.is(computeColdKeyRate(limits), 3.7)
  for (const coldServers of [1, 10, 30]) {
    const rate = computeColdKeyRate({ ...limits, hosts: 82, coldServers })
    t.true(rate <= 3.7 && rate * coldServers * (1 - bound / 82) <= 10.001)
  }
  t.is(computeColdKeyRate({ ...limits, allowance: 0 }), 0)
})
