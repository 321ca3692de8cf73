import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayWorld, VirtualHost } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { playShopDay } from '../spec/gateway/shopDay.js'
import { announceBackend, killHost } from '../spec/gateway/virtualGateways.js'
import { maxChangeMessagesPerSecond, computePublishMs, gatewayTickMs } from '../src/core/gateway/limits.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

type Sent = { at: number, host: string, effect: GatewayEffect }

/** Plays a day in which owners leave and come all the time, and lists what hosts sent to each other. */
function playMovingDay (trouble: (world: GatewayWorld) => void = () => {}) {
  const sent: Sent[] = []
  const listen = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (of: GatewayWorld, host: VirtualHost, effect: GatewayEffect) => {
      sent.push({ at: world.queue.now, host: host.name, effect })
      interpret(of, host, effect)
    }
  }
  const leave = (id: string, leaving: boolean) => (world: GatewayWorld) => {
    const backend = world.backends.get(id)
    if (backend === undefined) return
    backend.registration = { ...backend.registration, leaving }
    announceBackend(world, id, backend.registration)
  }
  const faults = Array.from({ length: 8 }, (_, index) => [
    { at: index * 400, run: (world: GatewayWorld) => { for (let part = 0; part < 3; part++) leave(`shards-${index * 3 + part}`, true)(world) } },
    { at: index * 400 + 1500, run: (world: GatewayWorld) => { for (let part = 0; part < 3; part++) leave(`shards-${index * 3 + part}`, false)(world) } }
  ]).flat()
  const result = playShopDay({
    seed: 7,
    hosts: 6,
    shards: 24,
    plain: 0,
    lengthMs: 8000,
    readsPerSecond: 200,
    ordersPerSecond: 0,
    workMs: 30,
    targetMs: 300,
    timeoutMs: 1000,
    rules: buildGatewayRules(),
    faults: [{ at: -4999, run: listen }, ...faults, { at: 2000, run: trouble }]
  })
  const leader = result.world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
  return { ...result, sent, leader }
}

function listPublished (sent: readonly Sent[]): Sent[] {
  return sent.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === undefined)
}

function listFinished (sent: readonly Sent[]): Sent[] {
  return sent.filter(({ effect }) => effect.kind === 'log' && effect.event === 'moveFinished')
}

test('confirmations that come in together are not sent to every host one by one', t => {
  const { sent } = playMovingDay()
  const times = listPublished(sent).map(each => each.at)
  t.true(listFinished(sent).length > 60)
  const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at))
  t.true(Math.min(...gaps) >= computePublishMs(6), `${Math.min(...gaps)} ms`)
})

test('a confirmation after a quiet time is told at once, and no other waits longer than the spacing', t => {
  const { sent } = playMovingDay()
  const times = listPublished(sent).map(each => each.at)
  let atOnce = 0
  for (const { at } of listFinished(sent)) {
    const since = at - (times.filter(other => other < at).at(-1) ?? -Infinity)
    const waitMs = (times.find(other => other >= at) ?? Infinity) - at
    if (since >= computePublishMs(6)) {
      t.is(waitMs, 0)
      atOnce += 1
    }
    t.true(since + waitMs <= computePublishMs(6) + gatewayTickMs || waitMs === 0, `${since} ms, ${waitMs} ms`)
  }
  t.true(atOnce > 0)
})

test('no host asks for the whole placement because a view of the load came before the collected change', t => {
  const { sent, world, leader } = playMovingDay()
  const asked = sent.filter(({ at, effect }) => at > 4000 && effect.kind === 'report-load' && effect.report.wantsPlacement)
  t.is(asked.length, 0)
  t.true((leader?.state.placementVersion.revision ?? 0) > 0)
  for (const host of world.hosts) {
    t.deepEqual(host.state.placementVersion, leader?.state.placementVersion)
    t.deepEqual(host.state.placement?.services, leader?.state.placement?.services)
  }
})

test('after the granting host is lost while owners change, all hosts go by the placement of the next one', t => {
  const { world, leader, broken, sent } = playMovingDay(of => {
    const granting = of.hosts.find(host => host.state.granting.role === 'leading')
    if (granting !== undefined) killHost(of, granting)
  })
  t.deepEqual(broken, [])
  t.truthy(leader)
  t.is(new Set(listPublished(sent).map(each => each.host)).size, 2)
  for (const host of world.hosts.filter(each => each.isUp)) t.deepEqual(host.state.placement?.services, leader?.state.placement?.services)
})

test('a host that asks for the whole placement while owners change asks once', t => {
  let name = ''
  const { sent, world, leader } = playMovingDay(of => {
    const host = of.hosts.find(each => each.state.granting.role !== 'leading')
    if (host === undefined) return
    name = host.name
    host.state.placementVersion = { ...host.state.placementVersion, revision: host.state.placementVersion.revision - 1 }
  })
  t.true(sent.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === name).length <= 2)
  t.deepEqual(world.hosts.find(host => host.name === name)?.state.placement?.services, leader?.state.placement?.services)
})

test('the messages that tell of changes of owners stay bounded in large fleets', t => {
  for (const hosts of [1, 12, 75, 300, 1400]) t.true(1000 / computePublishMs(hosts) * hosts <= maxChangeMessagesPerSecond)
  t.is(computePublishMs(20), 20)
  t.is(computePublishMs(75), 50)
})
