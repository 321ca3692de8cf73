import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { TrafficScenario } from '../spec/gateway/trafficScenario.js'
import type { GatewayWorld } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { startupMs, runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { addBackend, announceBackend } from '../spec/gateway/virtualGateways.js'

const day: TrafficScenario = {
  seed: 1, hosts: 40, shards: 120, plain: 0, lengthMs: 6000, readsPerSecond: 400, ordersPerSecond: 0, workMs: 75, targetMs: 250, timeoutMs: 1000, rules: buildGatewayRules()
}
/** Time after the start of the hosts from which effects are counted, in milliseconds. */
const countedFromMs = startupMs + 1000
/** Maximum share of all grant calls that one host may send. */
const maxGrantShare = 0.2
/** Maximum number of placement changes that are sent to all hosts in one second. */
const maxPublicationsPerSecond = 25
/** Maximum ratio of grant calls with delayed answers to grant calls without delays. */
const maxDelayFactor = 1.5

type Faults = NonNullable<TrafficScenario['faults']>
type Count = { host: string, second: number, effect: GatewayEffect }

/** Simulates a day and lists the effects of one kind that its hosts emit. */
function listEffects (kind: GatewayEffect['kind'], played: TrafficScenario): Count[] {
  const counts: Count[] = []
  const recordEffects = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (inWorld, host, effect) => {
      if (effect.kind === kind) counts.push({ host: host.name, second: Math.floor(inWorld.queue.now / 1000), effect })
      interpret(inWorld, host, effect)
    }
  }
  runTrafficScenario({ ...played, faults: [{ at: countedFromMs - startupMs, run: recordEffects }, ...played.faults ?? []] })
  return counts
}

function countBy (counts: Count[], name: (count: Count) => string | number): number[] {
  const sums = new Map<string | number, number>()
  for (const count of counts) sums.set(name(count), (sums.get(name(count)) ?? 0) + 1)
  return [...sums.values()]
}

/** Makes every third owner, counted from `first`, unresponsive at `at` and restarts it without grants after `silentMs`. */
function buildLosses (at: number, silentMs: number, first: number): Faults {
  const lost = Array.from({ length: day.shards }, (_, index) => `shards-${index}`).filter((_, index) => index % 3 === first)
  const silence = (world: GatewayWorld) => {
    for (const id of lost) Object.assign(world.backends.get(id) ?? {}, { state: 'silent' })
  }
  const restart = (world: GatewayWorld) => {
    for (const id of lost) {
      const backend = world.backends.get(id)
      if (backend === undefined) continue
      announceBackend(world, id, undefined)
      addBackend(world, { ...backend.registration, startedAt: backend.registration.startedAt + at }, backend.slowness)
    }
  }
  return [{ at, run: silence }, { at: at + silentMs, run: restart }]
}

test('the granting host does not renew the grants of the whole fleet by itself', t => {
  const grants = listEffects('grant', day)
  const busiest = Math.max(...countBy(grants, count => count.host))
  t.true(grants.length > 0)
  t.true(busiest <= maxGrantShare * grants.length, `${busiest} of ${grants.length} calls`)
})

test('the number of placement changes sent to all hosts in a second stays bounded when many keys move', t => {
  const faults = [1500, 6500, 11_500].flatMap((at, index) => buildLosses(at, 2300, index))
  const changes = listEffects('publish-placement', { ...day, lengthMs: 16_000, readsPerSecond: 2000, faults })
  const toAll = changes.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === undefined)
  const maxInOneSecond = Math.max(0, ...countBy(toAll, count => count.second))
  t.true(maxInOneSecond <= maxPublicationsPerSecond, `${maxInOneSecond} changes sent to ${day.hosts - 1} hosts in a second, ${toAll.length} in all`)
})

test('a granting host that receives answers late does not send the same calls again and again', t => {
  const undelayed = listEffects('grant', day).length
  const delayed = listEffects('grant', { ...day, faults: [{ at: countedFromMs - startupMs, run: world => { world.grantAnswerDelayMs = 400 } }] }).length
  t.true(delayed <= maxDelayFactor * undelayed, `${delayed} calls, ${undelayed} when answers are not delayed`)
})
