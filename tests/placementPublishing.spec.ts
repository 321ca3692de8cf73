import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayWorld, VirtualHost } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { announceBackend, killHost } from '../spec/gateway/virtualGateways.js'
import { maxChangeMessagesPerSecond, computePublishMs, gatewayTickMs } from '../src/core/gateway/limits.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

type EmittedEffect = { at: number, host: string, effect: GatewayEffect }

/** Simulates a fleet whose owners leave and return all the time, and lists the effects that its hosts emit. */
function simulateOwnerChanges (disturb: (world: GatewayWorld) => void = () => {}) {
  const sent: EmittedEffect[] = []
  const recordEffects = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (target: GatewayWorld, host: VirtualHost, effect: GatewayEffect) => {
      sent.push({ at: world.queue.now, host: host.name, effect })
      interpret(target, host, effect)
    }
  }
  const setLeaving = (id: string, leaving: boolean) => (world: GatewayWorld) => {
    const backend = world.backends.get(id)
    if (backend === undefined) return
    backend.registration = { ...backend.registration, leaving }
    announceBackend(world, id, backend.registration)
  }
  const faults = Array.from({ length: 8 }, (_, index) => [
    { at: index * 400, run: (world: GatewayWorld) => { for (let part = 0; part < 3; part++) setLeaving(`shards-${index * 3 + part}`, true)(world) } },
    { at: index * 400 + 1500, run: (world: GatewayWorld) => { for (let part = 0; part < 3; part++) setLeaving(`shards-${index * 3 + part}`, false)(world) } }
  ]).flat()
  const result = runTrafficScenario({
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
    faults: [{ at: -4999, run: recordEffects }, ...faults, { at: 2000, run: disturb }]
  })
  const grantingHost = result.world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
  return { ...result, sent, grantingHost }
}

function listPublishedToAll (sent: readonly EmittedEffect[]): EmittedEffect[] {
  return sent.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === undefined)
}

function listFinishedMoves (sent: readonly EmittedEffect[]): EmittedEffect[] {
  return sent.filter(({ effect }) => effect.kind === 'log' && effect.event === 'moveFinished')
}

test('confirmations that arrive together are not published to every host one by one', t => {
  const { sent } = simulateOwnerChanges()
  const times = listPublishedToAll(sent).map(each => each.at)
  t.true(listFinishedMoves(sent).length > 60)
  const gaps = times.slice(1).map((at, index) => at - (times[index] ?? at))
  t.true(Math.min(...gaps) >= computePublishMs(6), `${Math.min(...gaps)} ms`)
})

test('a confirmation after a quiet period is published at once, and no other waits longer than the publish interval', t => {
  const { sent } = simulateOwnerChanges()
  const times = listPublishedToAll(sent).map(each => each.at)
  let publishedAtOnce = 0
  for (const { at } of listFinishedMoves(sent)) {
    const quietMs = at - (times.filter(other => other < at).at(-1) ?? -Infinity)
    const waitMs = (times.find(other => other >= at) ?? Infinity) - at
    if (quietMs >= computePublishMs(6)) {
      t.is(waitMs, 0)
      publishedAtOnce += 1
    }
    t.true(quietMs + waitMs <= computePublishMs(6) + gatewayTickMs || waitMs === 0, `${quietMs} ms, ${waitMs} ms`)
  }
  t.true(publishedAtOnce > 0)
})

test('no host requests the whole placement because a load view arrives before the batched change', t => {
  const { sent, world, grantingHost } = simulateOwnerChanges()
  const requestsForWhole = sent.filter(({ at, effect }) => at > 4000 && effect.kind === 'report-load' && effect.report.wantsPlacement)
  t.is(requestsForWhole.length, 0)
  t.true((grantingHost?.state.placementVersion.revision ?? 0) > 0)
  for (const host of world.hosts) {
    t.deepEqual(host.state.placementVersion, grantingHost?.state.placementVersion)
    t.deepEqual(host.state.placement?.services, grantingHost?.state.placement?.services)
  }
})

test('after the granting host is lost while owners change, all hosts use the placement of the next granting host', t => {
  const { world, grantingHost, violations: broken, sent } = simulateOwnerChanges(virtualWorld => {
    const granting = virtualWorld.hosts.find(host => host.state.granting.role === 'leading')
    if (granting !== undefined) killHost(virtualWorld, granting)
  })
  t.deepEqual(broken, [])
  t.truthy(grantingHost)
  t.is(new Set(listPublishedToAll(sent).map(each => each.host)).size, 2)
  for (const host of world.hosts.filter(each => each.isUp)) t.deepEqual(host.state.placement?.services, grantingHost?.state.placement?.services)
})

test('a host that requests the whole placement while owners change requests it only once', t => {
  let name = ''
  const { sent, world, grantingHost } = simulateOwnerChanges(virtualWorld => {
    const host = virtualWorld.hosts.find(each => each.state.granting.role !== 'leading')
    if (host === undefined) return
    name = host.name
    host.state.placementVersion = { ...host.state.placementVersion, revision: host.state.placementVersion.revision - 1 }
  })
  t.true(sent.filter(({ effect }) => effect.kind === 'publish-placement' && effect.host === name).length <= 2)
  t.deepEqual(world.hosts.find(host => host.name === name)?.state.placement?.services, grantingHost?.state.placement?.services)
})

test('the number of messages that publish changes of owners stays bounded in large fleets', t => {
  for (const hosts of [1, 12, 75, 300, 1400]) t.true(1000 / computePublishMs(hosts) * hosts <= maxChangeMessagesPerSecond)
  t.is(computePublishMs(20), 20)
  t.is(computePublishMs(75), 50)
})
