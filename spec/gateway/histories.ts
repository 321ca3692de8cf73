import type { GatewayRules } from '../../src/core/gateway/rules.js'
import type { GatewayWorld, VirtualHost } from './virtualWorld.js'
import type { TrafficResult } from './trafficScenario.js'
import fc from 'fast-check'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { scheduleIn } from '../eventQueue.js'
import { runTrafficScenario } from './trafficScenario.js'
import { addBackend, announceBackend, killHost, restartHost, resumeHost } from './virtualGateways.js'
import { restartInPlace } from './virtualBackend.js'
import { buildStoreCopy, restoreStore } from './virtualStore.js'
import { post, readStore } from './virtualWorld.js'

/** Grace period of a stopping host, in milliseconds; the same as on the users' platform. */
const stopGraceMs = 6000
/** Time after which the platform restarts a process that has ended, in milliseconds. */
const restartMs = 300

/** Time for which a backend server is down when it starts again in place, in milliseconds. */
const inPlaceRestartMs = 150
/** Time from then until it registers again, in milliseconds. */
const nextHeartbeatMs = 800

/** Times for which the store is down when it is restored, in milliseconds. */
const restoreDownMs = [0, 300, 2000]
/** Time within which a watch of the store is answered, in milliseconds. */
const maxWatchMs = 200

/** Kinds of faults that a history injects. */
export const faultKinds = [
  'kill-granting-host', 'stop-granting-host', 'stop-some', 'pause-granting-host', 'cut-granting-host', 'kill-some', 'store-down', 'late-grants', 'late-store-calls',
  'server-silent', 'server-refusing', 'server-reborn', 'server-restarted', 'server-unlisted', 'server-leaving', 'server-added', 'server-slow', 'host-cut-from-server',
  'pause-some', 'host-cut-from-hosts', 'store-restored'
] as const

/** One fault: its kind, its time after the start of traffic, its duration, and a number that picks the affected hosts or backend server. Times are in milliseconds. */
export type InjectedFault = { kind: typeof faultKinds[number], at: number, forMs: number, pick: number }

/** Generates histories of up to six faults that start within the first 9 s. */
export const faultHistories = fc.array(fc.record({
  kind: fc.constantFrom(...faultKinds),
  at: fc.integer({ min: 0, max: 9000 }),
  forMs: fc.integer({ min: 300, max: 6000 }),
  pick: fc.nat({ max: 1000 })
}), { minLength: 1, maxLength: 6 })

/** The same histories, each with a restore of the store from a copy that is `forMs` milliseconds old. */
export const restoreHistories = fc.tuple(faultHistories, fc.record({
  kind: fc.constant('store-restored' as const),
  at: fc.integer({ min: 0, max: 6000 }),
  forMs: fc.integer({ min: 300, max: 6000 }),
  pick: fc.nat({ max: 1000 })
})).map(([faults, restore]): InjectedFault[] => [...faults, restore])

/** Hosts of a history, and the availability zones over which they are spread. */
export type HistoryFleet = { hosts: number, zones: number }

/** Runs a history on a small fleet under moderate load; `lateShare` is the share of calls that are late during the late-grants and late-store-calls faults. */
export function runHistory (faults: readonly InjectedFault[], seed: number, rules: GatewayRules, lateShare = 0.3, fleet: HistoryFleet = { hosts: 5, zones: 1 }): TrafficResult {
  return runTrafficScenario({
    seed,
    ...fleet,
    shards: 6,
    plain: 0,
    lengthMs: 18_000,
    readsPerSecond: 60,
    ordersPerSecond: 0,
    workMs: 60,
    targetMs: 300,
    timeoutMs: 1000,
    rules,
    faults: faults.map(fault => ({ at: fault.at, run: (world: GatewayWorld) => causeFault(world, fault, lateShare) }))
  })
}

function causeFault (world: GatewayWorld, fault: InjectedFault, lateShare: number): void {
  const scheduleEnd = (run: () => void) => scheduleIn(world.queue, fault.forMs, run)
  const grantingHost = world.hosts.find(host => host.isUp && host.state.granting.role === 'leading') ?? world.hosts[0]
  const backends = [...world.backends.values()].filter(backend => backend.state === 'up')
  const backend = backends[fault.pick % Math.max(1, backends.length)]
  if (grantingHost === undefined || backend === undefined) return
  const { registration } = backend
  switch (fault.kind) {
    case 'kill-granting-host': return killTemporarily(world, grantingHost, fault.forMs)
    case 'stop-granting-host': return stopTemporarily(world, grantingHost)
    case 'stop-some': {
      for (const host of world.hosts.filter((_, index) => (fault.pick >> index) % 2 === 0)) stopTemporarily(world, host)
      return
    }
    case 'kill-some': {
      for (const host of world.hosts.filter((_, index) => (fault.pick >> index) % 2 === 0)) killTemporarily(world, host, fault.forMs)
      return
    }
    case 'pause-granting-host': return pauseTemporarily(world, grantingHost, fault.forMs)
    case 'pause-some': {
      for (const host of world.hosts.filter((_, index) => (fault.pick >> index) % 2 === 0)) pauseTemporarily(world, host, fault.forMs)
      return
    }
    case 'host-cut-from-hosts': {
      const host = world.hosts[fault.pick % world.hosts.length]
      if (host === undefined) return
      host.isCutFromHosts = true
      return scheduleEnd(() => { host.isCutFromHosts = false })
    }
    case 'cut-granting-host': {
      grantingHost.isCutFromStore = true
      return scheduleEnd(() => {
        grantingHost.isCutFromStore = false
        readStore(world, grantingHost)
      })
    }
    case 'store-down': {
      world.store.isDown = true
      world.store.hasExpiryWhileDown = fault.pick % 2 === 0
      return scheduleEnd(() => {
        world.store.isDown = false
        for (const host of world.hosts) if (host.isUp) readStore(world, host)
      })
    }
    case 'store-restored': {
      const copy = buildStoreCopy(world.store)
      return scheduleEnd(() => restoreFromCopy(world, copy, restoreDownMs[fault.pick % restoreDownMs.length] ?? 0))
    }
    case 'late-grants': {
      world.lateGrantShare = lateShare
      return scheduleEnd(() => { world.lateGrantShare = 0 })
    }
    case 'late-store-calls': {
      world.lateStoreCallShare = lateShare
      return scheduleEnd(() => { world.lateStoreCallShare = 0 })
    }
    case 'server-silent':
    case 'server-refusing': {
      backend.state = fault.kind === 'server-silent' ? 'silent' : 'refusing'
      backend.running = []
      backend.queued = []
      scheduleIn(world.queue, 2600, () => { if (backend.state !== 'up') announceBackend(world, registration.id, undefined) })
      return
    }
    case 'server-reborn': {
      restartInPlace(backend)
      backend.registration = { ...registration, startedAt: registration.startedAt + 10_000 }
      return announceBackend(world, registration.id, backend.registration)
    }
    case 'server-restarted': {
      backend.state = 'refusing'
      scheduleIn(world.queue, inPlaceRestartMs, () => {
        restartInPlace(backend)
        backend.state = 'up'
      })
      return scheduleIn(world.queue, inPlaceRestartMs + nextHeartbeatMs, () => {
        backend.registration = { ...backend.registration, startedAt: backend.registration.startedAt + 10_000 }
        announceBackend(world, registration.id, backend.registration)
      })
    }
    case 'server-unlisted': {
      announceBackend(world, registration.id, undefined)
      return scheduleEnd(() => announceBackend(world, registration.id, registration))
    }
    case 'server-leaving': {
      backend.registration = { ...registration, leaving: true }
      announceBackend(world, registration.id, backend.registration)
      return scheduleEnd(() => {
        backend.state = 'refusing'
        announceBackend(world, registration.id, undefined)
      })
    }
    case 'server-added': {
      addBackend(world, { ...registration, id: `added-${fault.pick}-${fault.at}`, address: `added-${fault.pick}-${fault.at}:80`, startedAt: 50_000 + fault.at, leaving: false })
      return
    }
    case 'server-slow': {
      backend.slowness *= 5
      return scheduleEnd(() => { backend.slowness /= 5 })
    }
    case 'host-cut-from-server': {
      const host = world.hosts[fault.pick % world.hosts.length] ?? grantingHost
      host.unreachableBackends.add(registration.id)
      return scheduleEnd(() => host.unreachableBackends.delete(registration.id))
    }
  }
}

/** Restores the store from a copy after it was down for a while; backend servers register again with their next heartbeats. */
function restoreFromCopy (world: GatewayWorld, copy: ReturnType<typeof buildStoreCopy>, downMs: number): void {
  world.store.isDown = true
  scheduleIn(world.queue, downMs, () => {
    world.store.isDown = false
    restoreStore(world.store, copy)
    // Hosts that watch the store have their watches answered; the others learn of the restore when the granting host stops.
    for (const host of world.hosts) if (host.isUp && host.state.storeSource === 'watched') scheduleIn(world.queue, uniformFloat64(world.random) * maxWatchMs, () => { if (host.isUp) readStore(world, host) })
    for (const backend of world.backends.values()) {
      if (backend.state !== 'up') continue
      const { id } = backend.registration
      world.unregistered.add(id)
      scheduleIn(world.queue, uniformFloat64(world.random) * nextHeartbeatMs, () => {
        world.unregistered.delete(id)
        if (backend.state === 'up') announceBackend(world, id, backend.registration)
      })
    }
  })
}

function killTemporarily (world: GatewayWorld, host: VirtualHost, forMs: number): void {
  if (!host.isUp) return
  killHost(world, host)
  scheduleIn(world.queue, forMs, () => { if (!host.isUp) restartHost(world, host) })
}

function pauseTemporarily (world: GatewayWorld, host: VirtualHost, forMs: number): void {
  // A stopping host that is paused past its grace period cuts the requests it has accepted.
  if (host.state.stop.phase !== 'serving') return
  host.isPaused = true
  const incarnation = host.incarnation
  scheduleIn(world.queue, forMs, () => { if (host.incarnation === incarnation) resumeHost(world, host) })
}

/** Asks a host to stop, and restarts it after its grace period. */
export function stopTemporarily (world: GatewayWorld, host: VirtualHost): void {
  if (!host.isUp || host.isPaused || host.state.stop.phase !== 'serving') return
  post(world, host, { kind: 'stop-asked', now: 0, graceMs: stopGraceMs })
  scheduleIn(world.queue, stopGraceMs + restartMs, () => {
    if (!host.isUp) restartHost(world, host)
  })
}

/** Lists the invariants that a history violated: every key has at most one owner, a host grants keys at the end, and no move that is pending at the end is older than 14 s. */
export function listViolations (result: TrafficResult): string[] {
  const violations = [...result.violations.slice(0, 3)]
  const grantingHost = result.world.hosts.find(host => host.isUp && host.state.granting.role === 'leading')
  if (grantingHost === undefined) return [...violations, 'no granting host at the end of the history']
  const stuck = grantingHost.state.granting.grants.filter(grant => grant.range.phase === 'moving' && result.world.queue.now - grant.moveStartedAt > 14_000)
  if (stuck.length > 0) violations.push(`keys ${stuck[0]?.range.from}-${stuck[0]?.range.to} have not reached their new owner 14 s after the start of the move`)
  return violations
}
