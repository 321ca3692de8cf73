import test from 'ava'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

/** Load that keeps about 60% of all slots busy with requests that take longer than figures of the load are old. */
const load = { hosts: 100, zones: 5, shards: 4, plain: 60, lengthMs: 6000, readsPerSecond: 5, ordersPerSecond: 190, workMs: 800, targetMs: 2500, timeoutMs: 6000 }

for (const seed of [1, 2, 3]) {
  test(`the hosts of a large fleet do not all choose the same servers: callers get their answers in time at 60% load (seed ${seed})`, t => {
    const { orders, violations } = runTrafficScenario({ ...load, seed, rules: buildGatewayRules() })
    t.deepEqual(violations, [])
    t.is(orders.failed, 0, JSON.stringify(orders))
    t.true(orders.inTarget >= orders.asked * 0.95, JSON.stringify(orders))
  })
}
