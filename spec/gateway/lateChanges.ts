import type { FollowingFleet, FollowingHost } from './followingFleet.js'
import type { RelayStore } from './relayStore.js'
import { createEventQueue, scheduleIn } from '../eventQueue.js'
import { advanceVirtualTime } from '../virtualTimers.js'
import { findGrantingHost, killHost, pauseHost, resumeHost, startFollowingFleet } from './followingFleet.js'
import { buildRelayStore, writeKey } from './relayStore.js'

/** Faults of the granting host: its watches get no answer, the store does not answer it, neither the store nor other hosts reach it, it is paused (for good or for a time), it is killed, or it handles every event late. */
export const grantingHostFaults = ['watch-silent', 'store-cut', 'all-cut', 'paused', 'paused-for-a-time', 'killed', 'slow'] as const
/** A fault of the granting host, or of the collector of an availability zone. */
export type HostFault = typeof grantingHostFaults[number]

/** A change of the configuration and of a backend server while the granting host has a fault. */
export type LateChange = {
  hosts: number
  /** Number of availability zones over which the hosts are spread; 1 if undefined. */
  zones?: number
  fault: HostFault
  /** Host with the fault: the granting host if undefined. */
  faultyHost?: 'granting-host' | 'collector'
  /** Time between two reports of a backend server, in milliseconds; short intervals keep the store's watches busy all the time. */
  reportIntervalMs: number
  /** Time from the fault to the changes, in milliseconds. */
  afterMs: number
}

/** Time until the changes were in force on all hosts without a fault, in milliseconds; `boundMs` is the largest upper bound of its own lag that such a host computed meanwhile. */
export type ChangeDelays = { configurationMs: number, leavingMs: number, boundMs: number }

/** Time for the fleet to start and for the granting host to relay store changes to all others, in milliseconds. */
const settleMs = 4000
/** Longest wait for the changes, in milliseconds. */
const maxWaitMs = 5000
/** Time between two checks for the changes, in milliseconds. */
const pollIntervalMs = 5
/** Delay with which a slow host handles every event, in milliseconds. */
const slowDelayMs = 400
/** Length of a temporary pause, in milliseconds. */
const pauseMs = 2500
const changedVersion = 7

/** Runs one change, and measures when it was in force on the hosts without a fault. */
export async function measureLateChange (change: LateChange): Promise<ChangeDelays | { problem: string }> {
  const queue = createEventQueue()
  const store = buildRelayStore(queue)
  writeBackends(store)
  writeConfiguration(store, 1)
  const fleet = startFollowingFleet(queue, store, change.hosts, change.zones)
  const reportRepeatedly = (sequence: number) => {
    writeBackend(store, 1, false, sequence)
    scheduleIn(queue, change.reportIntervalMs, () => reportRepeatedly(sequence + 1))
  }
  reportRepeatedly(1)
  await advanceVirtualTime(queue, settleMs)
  const granting = findGrantingHost(fleet)
  const followingCount = fleet.hosts.filter(host => host.state.storeSource === 'told').length
  if (granting === undefined || followingCount < change.hosts - 1) return { problem: `only ${followingCount} hosts receive relayed store changes` }
  const collector = fleet.hosts.find(host => host.state.collecting.role === 'collecting')
  if ((change.zones ?? 1) > 1 && collector === undefined) return { problem: 'no zone has a collector' }
  const faulty = change.faultyHost === 'collector' && collector !== undefined ? collector : granting
  causeFault(fleet, faulty, change.fault)
  await advanceVirtualTime(queue, change.afterMs)
  return await measureChange(fleet, fleet.hosts.filter(host => host !== faulty))
}

/** Causes a fault of a host. */
export function causeFault ({ store, queue }: FollowingFleet, host: FollowingHost, fault: HostFault): void {
  switch (fault) {
    case 'watch-silent':
      store.watchSilentTo.add(host.name)
      return
    case 'store-cut':
      store.silentTo.add(host.name)
      return
    case 'all-cut':
      store.silentTo.add(host.name)
      host.isCutFromHosts = true
      return
    case 'paused': return pauseHost(host)
    case 'paused-for-a-time':
      pauseHost(host)
      return scheduleIn(queue, pauseMs, () => resumeHost(host))
    case 'killed': return killHost(host)
    case 'slow':
      host.delayMs = slowDelayMs
  }
}

async function measureChange ({ queue, store }: FollowingFleet, healthyHosts: readonly FollowingHost[]): Promise<ChangeDelays> {
  const writtenAt = queue.now
  writeConfiguration(store, changedVersion)
  writeBackend(store, 0, true, 10_000)
  let configurationMs = Infinity
  let leavingMs = Infinity
  const bounds = new Map(healthyHosts.map(host => [host, 0]))
  while (queue.now - writtenAt < maxWaitMs && Math.max(configurationMs, leavingMs) === Infinity) {
    for (const host of healthyHosts) {
      if (host.state.configuration?.version !== changedVersion) bounds.set(host, queue.now - host.state.knownAsOf)
    }
    await advanceVirtualTime(queue, pollIntervalMs)
    if (healthyHosts.every(host => host.state.configuration?.version === changedVersion)) configurationMs = Math.min(configurationMs, queue.now - writtenAt)
    if (healthyHosts.every(host => host.state.backends.get('i-0')?.leaving)) leavingMs = Math.min(leavingMs, queue.now - writtenAt)
  }
  return { configurationMs, leavingMs, boundMs: Math.max(...bounds.values()) + pollIntervalMs }
}

function writeBackends (store: RelayStore): void {
  for (const index of [0, 1]) writeBackend(store, index, false, 0)
}

function writeBackend (store: RelayStore, index: number, leaving: boolean, sequence: number): void {
  const value = { service: 'plain', address: `10.0.0.${index}:80`, zone: 'zone-1', version: 'v1', slots: 4, state: leaving ? 'draining' : 'ready', cold_left_s: 0, born: 1000, sequence }
  writeKey(store, `servers/i-${index}`, JSON.stringify(value))
}

function writeConfiguration (store: RelayStore, version: number): void {
  const route = { host: 'shop.test', path_prefix: '/', kind: 'safe', timeout_s: 1, target_latency_s: 1, priority: 0, service: 'plain', max_attempts: 2 }
  const limits = { max_header_bytes: 16384, max_body_bytes: 1e6, header_timeout_s: 3, idle_timeout_s: 15 }
  const services = { plain: { health_path: '/', max_conns: 130 }, keyed: { health_path: '/', max_conns: 130, sharded: true, warmup_s: 2 } }
  writeKey(store, 'op/config', JSON.stringify({ version, routes: { all: route }, services, limits }))
}
