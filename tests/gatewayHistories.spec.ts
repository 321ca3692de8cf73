import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { listViolations, runHistory, stopTemporarily, faultHistories, restoreHistories } from '../spec/gateway/histories.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'

const rules = buildGatewayRules()

testProp('no generated history of faults gives a key two owners or leaves it without one', [faultHistories, fc.nat({ max: 1000 })], (t, steps, seed) => {
  t.deepEqual(listViolations(runHistory(steps, seed, rules)), [])
}, { seed: 4, numRuns: 15, endOnFailure: true })

testProp('no generated history in which the store is restored from an older copy gives a key two owners or a fencing token twice', [restoreHistories, fc.nat({ max: 1000 })], (t, steps, seed) => {
  t.deepEqual(listViolations(runHistory(steps, seed, rules)), [])
}, { seed: 4, numRuns: 10, endOnFailure: true })

/** Histories that once violated an invariant, or a check of the emulator itself. */
const regressions: Array<[string, Parameters<typeof runHistory>[0], number]> = [
  ['a renewal that is carried out late, after its keys got another owner', [{ kind: 'late-grants', at: 0, forMs: 341, pick: 0 }, { kind: 'server-unlisted', at: 0, forMs: 311, pick: 202 }], 739],
  ['late grants and the loss of the granting host', [{ kind: 'late-grants', at: 0, forMs: 1001, pick: 0 }, { kind: 'kill-granting-host', at: 1501, forMs: 300, pick: 0 }], 0],
  ['a renewal that reached its owner after a restart', [{ kind: 'store-down', at: 0, forMs: 328, pick: 0 }, { kind: 'server-reborn', at: 0, forMs: 300, pick: 0 }], 0],
  ['a renewal that reached its owner after a restart, and the granting host is lost', [{ kind: 'server-reborn', at: 2428, forMs: 300, pick: 0 }, { kind: 'kill-granting-host', at: 2441, forMs: 300, pick: 0 }], 0]
]

for (const [name, steps, seed] of regressions) {
  test(`regression: ${name}`, t => {
    t.deepEqual(listViolations(runHistory(steps, seed, rules)), [])
  })
}

test('a next owner that did not answer its grant may hold the keys: they wait for its release or for the expiry of the grant', t => {
  const broken: string[] = []
  for (let seed = 1; seed <= 8; seed++) {
    const steps = [
      { kind: 'server-silent', at: 1000, forMs: 300, pick: seed },
      { kind: 'late-grants', at: 3400 + seed * 100, forMs: 2600, pick: 0 }
    ] as const
    const result = runHistory(steps.map(step => ({ ...step })), seed, rules, 0.9)
    broken.push(...result.violations)
  }
  t.deepEqual(broken, [])
})

test('hosts that are stopped one after the other cut no request, at a load that never leaves them idle', t => {
  const stops = [0, 1, 2].map(index => ({
    at: 1000 + index * 8000,
    run: (world: Parameters<typeof stopTemporarily>[0]) => {
      const host = world.hosts[index]
      if (host !== undefined) stopTemporarily(world, host)
    }
  }))
  const result = runTrafficScenario({
    seed: 5, hosts: 3, shards: 4, plain: 12, lengthMs: 25_000, readsPerSecond: 20, ordersPerSecond: 150, workMs: 150, targetMs: 500, timeoutMs: 1000, rules, faults: stops
  })
  t.deepEqual(result.violations, [])
  t.true(result.orders.inTarget > result.orders.asked / 2)
})
