import type { GatewayRules } from '../src/core/gateway/rules.js'
import type { TrafficScenario } from '../spec/gateway/trafficScenario.js'
import test from 'ava'
import { maxRangesPerOwner } from '../src/core/gateway/limits.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { addBackend, announceBackend, callHost } from '../spec/gateway/virtualGateways.js'

const rules = buildGatewayRules()
const day: TrafficScenario = {
  seed: 1, hosts: 12, shards: 22, plain: 12, lengthMs: 12_000, readsPerSecond: 370, ordersPerSecond: 150, workMs: 75, targetMs: 250, timeoutMs: 1000, rules
}

/** Computes the share of lookups that were answered within their target latency. */
function computeInTargetShare (result: ReturnType<typeof runTrafficScenario>): number {
  return result.reads.inTarget / result.reads.asked
}

test('on a day without faults nearly all requests are answered in time, and no key has two owners', t => {
  const result = runTrafficScenario(day)
  t.true(computeInTargetShare(result) >= 0.95, `${computeInTargetShare(result)}`)
  t.true(result.orders.inTarget / result.orders.asked >= 0.99)
  t.deepEqual(result.violations, [])
})

// KNOWN-RED.txt: fast owners are preferred while they have capacity, and carry more than the target of 1.3 times the mean load.
test.failing('a hot range is split: its owners carry at most 1.3 times the mean load 3 s after its start', t => {
  const result = runTrafficScenario({
    ...day,
    readsPerSecond: 500,
    hot: { at: 2000, forMs: 9000, share: 0.35, keys: 100 },
    faults: [{ at: 5000, run: world => { for (const backend of world.backends.values()) backend.busyMs = 0 } }]
  })
  const busy = [...result.world.backends.values()].filter(backend => backend.registration.service === 'shards')
  const load = busy.map(backend => backend.busyMs / backend.registration.slots)
  const mean = load.reduce((sum, value) => sum + value, 0) / load.length
  t.true(Math.max(...load) / mean <= 1.3, `${Math.max(...load) / mean}`)
  t.true(computeInTargetShare(result) >= 0.9, `${computeInTargetShare(result)}`)
})

test('a single hot key with more load than one backend server can serve does not delay orders, and hardly any lookup is late or fails', t => {
  const result = runTrafficScenario({ ...day, hot: { at: 2000, forMs: 8000, share: 0.35, keys: 1 } })
  t.true(result.reads.late / result.reads.asked < 0.03, `late ${result.reads.late}`)
  t.true(result.reads.failed / result.reads.asked < 0.01, `failed ${result.reads.failed}`)
  t.true(result.orders.inTarget / result.orders.asked >= 0.99)
})

test('load balancing serves a hot range better than static ranges do', t => {
  const staticRules: GatewayRules = { ...rules, planMoves: () => [] }
  const hot = { ...day, readsPerSecond: 500, hot: { at: 2000, forMs: 9000, share: 0.35, keys: 100 } }
  const gain = computeInTargetShare(runTrafficScenario(hot)) - computeInTargetShare(runTrafficScenario({ ...hot, rules: staticRules }))
  t.true(gain > 0.2, `${gain}`)
})

test('admission control keeps answers in time in a load spike that would otherwise overflow every queue', t => {
  const admitAll: GatewayRules = { ...rules, admit: () => ({ kind: 'admit', expectedMs: 1 }) }
  const flood = { ...day, readsPerSecond: 600, burst: { at: 3000, forMs: 5000, factor: 2.2 } }
  const withAdmission = runTrafficScenario(flood)
  const withoutAdmission = runTrafficScenario({ ...flood, rules: admitAll })
  t.true(computeInTargetShare(withAdmission) > computeInTargetShare(withoutAdmission) + 0.1, `${computeInTargetShare(withAdmission)} and ${computeInTargetShare(withoutAdmission)}`)
  t.true(withAdmission.reads.failed < withoutAdmission.reads.failed)
})

test('a refusal is sent at once and asks the caller to retry within a third of its timeout', t => {
  const waits: number[] = []
  const retries: number[] = []
  runTrafficScenario({
    ...day,
    faults: Array.from({ length: 60 }, (_, index) => ({
      at: 4000 + index,
      run: world => {
        for (let extra = 0; extra < 8; extra++) {
          const host = world.hosts[extra]
          if (host === undefined) continue
          callHost(world, host, { path: '/reads/1', service: 'shards', key: 4242, timeoutMs: 1000 }, outcome => {
            if (outcome.status !== 503) return
            waits.push(outcome.endedAt - outcome.at)
            retries.push(outcome.retryAfterMs ?? -1)
          })
        }
      }
    }))
  })
  t.true(waits.length > 50)
  // An eighth of the target latency; a few requests wait for a key that is being moved.
  t.true(waits.filter(wait => wait > 250 / 8).length / waits.length < 0.1)
  t.true(retries.every(retry => retry > 0 && retry <= 1000 / 3))
})

test('a slow owner loses keys before many of its lookups are late', t => {
  const result = runTrafficScenario({ ...day, faults: [{ at: 3000, run: world => { const slow = world.backends.get('shards-1'); if (slow !== undefined) slow.slowness *= 5 } }] })
  t.true(computeInTargetShare(result) >= 0.93, `${computeInTargetShare(result)}`)
})

/** Makes every third owner, counted from `first`, unresponsive at `at` and restarts it without grants after `silentMs`. */
function buildLosses (at: number, silentMs: number, first: number): NonNullable<TrafficScenario['faults']> {
  const lost = Array.from({ length: day.shards }, (_, index) => `shards-${index}`).filter((_, index) => index % 3 === first)
  return [
    { at, run: world => { for (const id of lost) Object.assign(world.backends.get(id) ?? {}, { state: 'silent' }) } },
    {
      at: at + silentMs,
      run: world => {
        for (const id of lost) {
          const backend = world.backends.get(id)
          if (backend === undefined) continue
          announceBackend(world, id, undefined)
          addBackend(world, { ...backend.registration, startedAt: backend.registration.startedAt + at }, backend.slowness)
        }
      }
    }
  ]
}

test('owners that are lost repeatedly do not multiply the ranges that one host renews', t => {
  const result = runTrafficScenario({ ...day, lengthMs: 20_000, readsPerSecond: 608, faults: [3000, 8000, 13_000].flatMap((at, index) => buildLosses(at, 2300, index)) })
  const granting = result.world.hosts.find(host => host.state.granting.role === 'leading')
  const ranges = granting?.state.granting.grants.length ?? Infinity
  t.true(ranges <= day.shards * maxRangesPerOwner, `${ranges} ranges`)
  t.deepEqual(result.violations, [])
})

test('the loss of two hosts costs no more than the requests that they were handling', t => {
  const calm = runTrafficScenario(day)
  const lossy = runTrafficScenario({ ...day, faults: [{ at: 4000, run: world => { for (const host of world.hosts.slice(0, 2)) host.isUp = false } }] })
  const served = (result: ReturnType<typeof runTrafficScenario>) => result.reads.inTarget / (result.reads.asked - result.reads.failed)
  t.true(served(lossy) >= served(calm) - 0.03, `${served(calm)} and ${served(lossy)}`)
})

test('while half of the grants, releases and store writes get no answer, nearly as many lookups are answered in time', t => {
  const hot = { ...day, hot: { at: 2000, forMs: 9000, share: 0.2, keys: 100 } }
  const calm = runTrafficScenario(hot)
  const lossy = runTrafficScenario({
    ...hot,
    faults: [{
      at: 2000,
      run: world => {
        world.lateGrantShare = 0.5
        world.lateStoreCallShare = 0.5
      }
    }]
  })
  t.deepEqual(lossy.violations, [])
  t.true(computeInTargetShare(lossy) >= 0.85 * computeInTargetShare(calm), `${computeInTargetShare(lossy)} and ${computeInTargetShare(calm)}`)
  t.true(lossy.moves < 4 * calm.moves, `${lossy.moves} moves and ${calm.moves}`)
})
