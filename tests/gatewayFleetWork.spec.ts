import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { ShopDay } from '../spec/gateway/shopDay.js'
import type { GatewayWorld } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { leadMs, playShopDay } from '../spec/gateway/shopDay.js'
import { addBackend, announceBackend } from '../spec/gateway/virtualGateways.js'

const day: ShopDay = {
  seed: 1, hosts: 40, shards: 120, plain: 0, lengthMs: 6000, readsPerSecond: 400, ordersPerSecond: 0, workMs: 75, targetMs: 250, timeoutMs: 1000, rules: buildGatewayRules()
}
/** Time from the start of the hosts after which effects are counted, in milliseconds. */
const calmMs = leadMs + 1000
/** Share of all grant calls that one host may send. */
const grantShare = 0.2
/** Most changes of the placement told to all hosts in a second. */
const publicationsPerSecond = 25
/** Grant calls while answers come late, as a multiple of those of a calm run. */
const lateFactor = 1.5

type Faults = NonNullable<ShopDay['faults']>
type Count = { host: string, second: number, effect: GatewayEffect }

/** Plays a day and lists the effects of a kind that its hosts ask for. */
function listEffects (kind: GatewayEffect['kind'], played: ShopDay): Count[] {
  const counts: Count[] = []
  const watch = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (inWorld, host, effect) => {
      if (effect.kind === kind) counts.push({ host: host.name, second: Math.floor(inWorld.queue.now / 1000), effect })
      interpret(inWorld, host, effect)
    }
  }
  playShopDay({ ...played, faults: [{ at: calmMs - leadMs, run: watch }, ...played.faults ?? []] })
  return counts
}

function countBy (counts: Count[], name: (count: Count) => string | number): number[] {
  const sums = new Map<string | number, number>()
  for (const count of counts) sums.set(name(count), (sums.get(name(count)) ?? 0) + 1)
  return [...sums.values()]
}

/** Lets every third owner, counted from `first`, go silent and come back empty after a while, in milliseconds. */
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
  t.true(busiest <= grantShare * grants.length, `${busiest} of ${grants.length} calls`)
})

test('messages to other hosts do not multiply with moves', t => {
  const faults = [1500, 6500, 11_500].flatMap((at, index) => buildLosses(at, 2300, index))
  const changes = listEffects('publish-placement', { ...day, lengthMs: 16_000, readsPerSecond: 2000, faults })
  const toAll = changes.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === undefined)
  const most = Math.max(0, ...countBy(toAll, count => count.second))
  t.true(most <= publicationsPerSecond, `${most} changes told to ${day.hosts - 1} hosts in a second, ${toAll.length} in all`)
})

test('a granting host that hears answers late does not send the same calls again and again', t => {
  const calm = listEffects('grant', day).length
  const late = listEffects('grant', { ...day, faults: [{ at: calmMs - leadMs, run: world => { world.grantAnswerDelayMs = 400 } }] }).length
  t.true(late <= lateFactor * calm, `${late} calls, ${calm} when answers come at once`)
})
