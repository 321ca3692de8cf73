import type { LoadReport } from '../src/core/gateway/events.js'
import type { GatewayWorld, VirtualHost } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { scheduleIn } from '../spec/eventQueue.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { announceBackend, resumeHost } from '../spec/gateway/virtualGateways.js'
import { post, postLater } from '../spec/gateway/virtualWorld.js'
import { maxHoldMs } from '../src/core/gateway/limits.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'

const day = { seed: 3, hosts: 6, shards: 12, plain: 0, lengthMs: 12_000, readsPerSecond: 120, ordersPerSecond: 0, workMs: 60, targetMs: 300, timeoutMs: 1000, rules: buildGatewayRules() }
const owner = 'shards-1'

function findLeader (world: GatewayWorld): VirtualHost {
  const leader = world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
  if (leader === undefined) throw new Error('no host grants keys')
  return leader
}

function findRenewer (world: GatewayWorld): VirtualHost {
  const renewer = world.hosts.find(host => host.name === findLeader(world).state.granting.renewerByOwner.get(owner))
  if (renewer === undefined) throw new Error('no host renews the grants of the owner')
  return renewer
}

/** Announces that the owner is leaving. */
function announceLeaving (world: GatewayWorld): void {
  const registration = world.backends.get(owner)?.registration
  if (registration !== undefined) announceBackend(world, owner, { ...registration, leaving: true })
}

/** Ends the lease of the granting host and cuts all other hosts off from the store, so that it claims the same record again. */
function endLease (world: GatewayWorld, leader: VirtualHost): void {
  for (const host of world.hosts) host.isCutFromStore = host !== leader
  const lease = world.store.leases.get(leader.state.granting.lease)
  if (lease !== undefined) lease.until = 0
}

test('keys get no second owner while a host renews them under an earlier lease of the granting host', t => {
  const reclaim = (world: GatewayWorld) => {
    const leader = findLeader(world)
    const registration = world.backends.get(owner)?.registration
    findRenewer(world).isCutFromHosts = true
    leader.unreachableBackends.add(owner)
    endLease(world, leader)
    if (registration !== undefined) scheduleIn(world.queue, 200, () => announceBackend(world, owner, { ...registration, leaving: true }))
  }
  const result = runTrafficScenario({ ...day, faults: [{ at: 2000, run: reclaim }] })
  t.deepEqual(result.violations, [])
})

test('an owner is not declared unreachable for one failed call after the host that renews its grants was lost', t => {
  const unreachable: unknown[] = []
  const killRenewer = (world: GatewayWorld) => {
    const leader = findLeader(world)
    findRenewer(world).isUp = false
    const { interpret } = world
    let failed = 0
    world.interpret = (inner, host, effect) => {
      if (effect.kind === 'log' && effect.event === 'ownerUnreachable') unreachable.push(effect.fields)
      if (effect.kind !== 'grant' || host !== leader || effect.backend !== owner || failed > 0) return interpret(inner, host, effect)
      failed += 1
      const backend = inner.backends.get(owner)
      if (backend === undefined) return
      backend.state = 'refusing'
      interpret(inner, host, effect)
      backend.state = 'up'
    }
  }
  runTrafficScenario({ ...day, hosts: 75, shards: 150, lengthMs: 8000, faults: [{ at: 3000, run: killRenewer }] })
  t.deepEqual(unreachable, [])
})

test('all grants are renewed in turn when the granting host has more renewals due than it may send', t => {
  const shards = 700
  let oldest = 0
  const measureOldest = (world: GatewayWorld) => {
    const { grants } = findLeader(world).state.granting
    oldest = Math.max(...grants.map(grant => world.queue.now - grant.confirmedAt))
  }
  runTrafficScenario({ ...day, hosts: 2, shards, readsPerSecond: 1, lengthMs: 8000, faults: [{ at: 7000, run: measureOldest }] })
  t.true(oldest < maxHoldMs, `${oldest}`)
})

test('keys get no second owner when the answer to a host that was cut off is sent before its report is reduced', t => {
  const cutRenewer = (world: GatewayWorld) => {
    const leader = findLeader(world)
    const renewer = findRenewer(world)
    const { interpret } = world
    let isAnswered = false
    renewer.isCutFromHosts = true
    renewer.isCutFromStore = true
    // The ticks of the granting host stay queued until the report has arrived.
    leader.state.granting.chooseRenewersAt = Infinity
    const answerReport = (report: LoadReport) => {
      isAnswered = true
      // As in the runtime, the answer is built when the report arrives, and the report is reduced after the queued ticks.
      const load = buildFleetLoad(leader.state, renewer.name)
      postLater(world, renewer, 4, { kind: 'fleet-load-read', now: 0, load, reported: new Map(), reportedAt: world.queue.now })
      leader.state.granting.chooseRenewersAt = 0
      post(world, leader, { kind: 'tick', now: 0, wall: world.queue.now + 1_000_000 })
      post(world, leader, { kind: 'load-reported', now: 0, report })
      const registration = world.backends.get(owner)?.registration
      leader.unreachableBackends.add(owner)
      if (registration !== undefined) announceBackend(world, owner, { ...registration, leaving: true })
    }
    const cutAt = world.queue.now
    world.interpret = (inner, host, effect) => {
      if (effect.kind === 'report-load' && host === renewer && !isAnswered && world.queue.now - cutAt > 1100) return answerReport(effect.report)
      interpret(inner, host, effect)
    }
  }
  const result = runTrafficScenario({ ...day, faults: [{ at: 2000, run: cutRenewer }] })
  t.deepEqual(result.violations, [])
})

test('keys get no second owner while a host renews them for the previous granting host', t => {
  const takeOver = (world: GatewayWorld) => {
    const leader = findLeader(world)
    const renewer = findRenewer(world)
    const { interpret } = world
    leader.isCutFromStore = true
    renewer.isCutFromStore = true
    const loseOwner = () => {
      renewer.isCutFromHosts = true
      for (const other of world.hosts) if (other !== renewer) other.unreachableBackends.add(owner)
      scheduleIn(world.queue, 20, () => announceLeaving(world))
    }
    world.interpret = (inner, host, effect) => {
      interpret(inner, host, effect)
      if (host === leader || effect.kind !== 'log' || effect.event !== 'leadershipWon') return
      world.interpret = interpret
      loseOwner()
    }
  }
  t.deepEqual(runTrafficScenario({ ...day, lengthMs: 14_000, faults: [{ at: 2000, run: takeOver }] }).violations, [])
})

for (const at of [2000, 2150, 2300]) {
  test(`keys get no second owner when the granting host was paused while another host renewed them (${at} ms)`, t => {
    const pause = (world: GatewayWorld) => {
      const leader = findLeader(world)
      const renewer = findRenewer(world)
      renewer.isCutFromHosts = true
      renewer.isCutFromStore = true
      leader.unreachableBackends.add(owner)
      announceLeaving(world)
      scheduleIn(world.queue, 900, () => { leader.isPaused = true })
      scheduleIn(world.queue, 2010, () => resumeHost(world, leader))
    }
    t.deepEqual(runTrafficScenario({ ...day, lengthMs: 14_000, faults: [{ at, run: pause }] }).violations, [])
  })
}
