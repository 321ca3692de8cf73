import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { GatewayWorld, VirtualHost } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { maxHoldMs, maxRenewedOwners, maxRenewalsPerTick, renewalValidityMs } from '../src/core/gateway/limits.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { announceBackend } from '../spec/gateway/virtualGateways.js'

const rules = buildGatewayRules()
const day = { seed: 3, hosts: 6, shards: 12, plain: 0, lengthMs: 12_000, readsPerSecond: 120, ordersPerSecond: 0, workMs: 60, targetMs: 300, timeoutMs: 1000, rules }

function findLeader (world: GatewayWorld): VirtualHost | undefined {
  return world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
}

/** Simulates the leaving of an owner that only its renewer can reach, not the granting host; `isRenewerCut`: the renewer is also cut off from all other hosts. */
function playLostRelease (owner: string, isRenewerCut: boolean) {
  const leave = (world: GatewayWorld) => {
    const leader = findLeader(world)
    const renewer = world.hosts.find(host => host.name === leader?.state.granting.renewerByOwner.get(owner))
    const registration = world.backends.get(owner)?.registration
    if (leader === undefined || renewer === undefined || registration === undefined) return world.violations.push('no host renews the grants of the owner')
    leader.unreachableBackends.add(owner)
    renewer.isCutFromHosts = isRenewerCut
    announceBackend(world, owner, { ...registration, leaving: true })
  }
  const result = runTrafficScenario({ ...day, faults: [{ at: 2000, run: leave }] })
  return { result, grants: findLeader(result.world)?.state.granting.grants ?? [] }
}

for (const isRenewerCut of [false, true]) {
  test(`keys of an owner that only its renewer reaches get no second owner${isRenewerCut ? ', even if the renewer has lost the granting host' : ''}`, t => {
    const owner = 'shards-1'
    const { result, grants } = playLostRelease(owner, isRenewerCut)
    t.deepEqual(result.violations, [])
    t.true(grants.length > 0)
    t.true(grants.every(grant => grant.range.owner.id !== owner && grant.range.phase === 'held'), 'all keys have new owners')
    // Lookups of the keys fail until the grant has expired, and no longer.
    const unservedMs = result.bySecond.filter(second => second.refused + second.failed > second.asked * 0.02).length * 1000
    t.true(unservedMs <= maxHoldMs + renewalValidityMs + 2000, `${unservedMs}`)
  })
}

test('each host renews the grants of a bounded number of owners, and the granting host renews hardly any', t => {
  const calls = new Map<string, number>()
  const result = runTrafficScenario({
    ...day,
    hosts: 12,
    shards: 60,
    faults: [{
      at: 2000,
      run: world => {
        const { interpret } = world
        world.interpret = (inner, host, effect) => {
          if (effect.kind === 'grant') calls.set(host.name, (calls.get(host.name) ?? 0) + 1)
          interpret(inner, host, effect)
        }
      }
    }]
  })
  const leader = findLeader(result.world)
  const total = [...calls.values()].reduce((sum, count) => sum + count, 0)
  t.true(total > 60 * 8)
  t.true((calls.get(leader?.name ?? '') ?? 0) < total / 10, JSON.stringify([...calls]))
  for (const host of result.world.hosts) t.true(host.state.renewing.owners.size <= maxRenewedOwners)
  t.deepEqual(result.violations, [])
})

test('the loss of hosts that renew grants does not cost any owner its keys', t => {
  const result = runTrafficScenario({ ...day, faults: [{ at: 3000, run: world => { for (const host of world.hosts.filter(other => other !== findLeader(world)).slice(0, 3)) host.isUp = false } }] })
  const served = result.bySecond.slice(4).map(second => second.inTarget / (second.asked - second.failed))
  // Requests to a lost host fail; none is refused because its key has no owner.
  t.true(served.every(share => share > 0.97), served.map(share => share.toFixed(2)).join(' '))
  t.deepEqual(result.violations, [])
})

/** Starts a host, in virtual time, that the granting host asks to renew the grant of one owner. */
function startRenewer () {
  const owner = { id: 'shard-0', startedAt: 1, address: '127.0.0.1:10' }
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects.filter(effect => effect.kind === 'grant')
  }
  const version = { revision: 5, confirmations: 0 }
  const range = { from: 0, to: 65_535, owner, fence: 1, phase: 'held' as const, previous: undefined }
  const tick = (now: number, wall = now) => post({ kind: 'tick', now, wall })
  tick(20)
  post({ kind: 'placement-read', now: 20, placement: { nextFence: 2, services: new Map([['shards', [range]]]), memory: { hosts: 2, serviceMs: new Map() } }, revision: 5 })
  const answerReport = (now: number, reportedAt: number, renewals = [owner.id]) => {
    post({ kind: 'fleet-load-read', now, load: { hosts: 2, storeAgeMs: 0, placement: version, storeRevision: 5, backends: [], renewals }, reported: new Map(), reportedAt })
  }
  return { tick, answerReport }
}

test('a host that was paused renews nothing on an answer to a report that it sent before the pause', t => {
  const { tick, answerReport } = startRenewer()
  answerReport(40, 30)
  t.is(tick(60).length, 1)
  // The monotonic clock does not advance during the pause.
  tick(80, 5080)
  answerReport(90, 70)
  for (let now = 100; now < 2000; now += 100) t.deepEqual(tick(now, now + 5000), [])
  answerReport(2000, 1990)
  t.is(tick(2020, 7020).length, 1)
})

test('a host renews nothing when the granting host has not answered for a while, or no longer asks for it', t => {
  const { tick, answerReport } = startRenewer()
  answerReport(40, 30)
  const sentAt: number[] = []
  for (let now = 60; now < 6000; now += 100) if (tick(now).length > 0) sentAt.push(now)
  t.true(Math.max(...sentAt) < 30 + renewalValidityMs)
  answerReport(6000, 5990)
  t.is(tick(6020).length, 1)
  answerReport(6030, 6025, [])
  for (let now = 6100; now < 8000; now += 100) t.deepEqual(tick(now), [])
})

test('the renewals that a new granting host sends at the same moment are bounded, so that they do not hold it up', t => {
  let maxAtOnce = 0
  runTrafficScenario({
    ...day,
    shards: 120,
    faults: [{
      at: 2000,
      run: world => {
        const { interpret, queue } = world
        const calls = new Map<number, number>()
        world.interpret = (inner, host, effect) => {
          if (effect.kind === 'grant' && host.state.granting.role === 'leading') {
            calls.set(queue.now, (calls.get(queue.now) ?? 0) + 1)
            maxAtOnce = Math.max(maxAtOnce, calls.get(queue.now) ?? 0)
          }
          interpret(inner, host, effect)
        }
        const leader = findLeader(world)
        if (leader !== undefined) leader.isUp = false
      }
    }]
  })
  t.true(maxAtOnce > 0 && maxAtOnce <= maxRenewalsPerTick, `${maxAtOnce}`)
})
