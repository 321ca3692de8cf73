import type { TrafficScenario } from '../spec/gateway/trafficScenario.js'
import test from 'ava'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { killHost } from '../spec/gateway/virtualGateways.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

/** Times of work and of callers as for confirmations of fleet M, with one server in five under noise, at about 80% of what the servers of any-server requests can do. */
const busy = { hosts: 24, zones: 2, shards: 24, plain: 24, lengthMs: 8000, readsPerSecond: 130, ordersPerSecond: 170, workMs: 390, targetMs: 1033, timeoutMs: 2583, hasNoise: true, rules: buildGatewayRules() }
const seeds = [1, 2, 3, 4]

/** Plays the scenario with each seed; returns the shares of orders in target and of orders that failed because a full server never answered. */
function play (extra: Partial<TrafficScenario>): { inTarget: number, failed: number, violations: string[] } {
  const results = seeds.map(seed => runTrafficScenario({ ...busy, seed, ...extra }))
  const sum = (kind: 'asked' | 'inTarget' | 'failed') => results.reduce((total, { orders }) => total + orders[kind], 0)
  return { inTarget: sum('inTarget') / sum('asked'), failed: sum('failed') / sum('asked'), violations: results.flatMap(({ violations }) => violations) }
}

const failures: Array<[name: string, faults: TrafficScenario['faults']]> = [
  ['without a failure', []],
  ['when the granting host is lost', [{ at: 3000, run: world => { for (const host of world.hosts.filter(each => each.state.granting.role === 'leading')) killHost(world, host) } }]],
  ['when four hosts are cut off from all others', [{ at: 3000, run: world => { for (const host of world.hosts.slice(4, 8)) host.isCutFromHosts = true } }]]
]

const silent = new Map(failures.map(([name, faults]) => [name, play({ faults })]))

for (const loadReports of ['with-answered', 'without-answered'] as const) {
  test(`servers under noise that report their load answer at least as many requests in time as without reports, also under each failure, and fewer fail (figures ${loadReports})`, t => {
    let failed = 0
    let silentFailed = 0
    for (const [name, faults] of failures) {
      const reporting = play({ faults, loadReports })
      const before = silent.get(name)
      t.log(`${name}: ${JSON.stringify({ before, reporting })}`)
      t.deepEqual(reporting.violations, [])
      t.true(reporting.inTarget >= (before?.inTarget ?? 1), name)
      failed += reporting.failed
      silentFailed += before?.failed ?? 0
    }
    t.true(failed <= silentFailed, `${failed}, ${silentFailed}`)
  })
}
