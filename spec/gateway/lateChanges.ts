import type { FollowingFleet, FollowingHost } from './followingFleet.js'
import type { RelayStore } from './relayStore.js'
import { createEventQueue, scheduleIn } from '../eventQueue.js'
import { passVirtualTime } from '../virtualTimers.js'
import { findGranting, killHost, pauseHost, resumeHost, startFollowingFleet } from './followingFleet.js'
import { buildRelayStore, writeKey } from './relayStore.js'

/** What happens to the granting host: its watches get no answer, the store or everything is silent to it, it stands still (for good or for a time), ends, or is late with everything. */
export const grantingHarms = ['watch-silent', 'store-cut', 'all-cut', 'paused', 'paused-for-a-time', 'killed', 'slow'] as const
/** What happens to the granting host. */
export type GrantingHarm = typeof grantingHarms[number]

/** A change of a configuration and of a backend server while the granting host is harmed. */
export type LateChange = {
  hosts: number
  harm: GrantingHarm
  /** Time between two reports of backend servers, in milliseconds: with many of them the store's watches never rest. */
  beatMs: number
  /** Time from the harm to the changes, in milliseconds. */
  afterMs: number
}

/** How late the changes came into force on hosts that nothing harmed, in milliseconds; `boundMs`: the longest lag that such a host took it for. */
export type Lateness = { configurationMs: number, leavingMs: number, boundMs: number }

/** Time in which the fleet starts and one host tells all others, in milliseconds. */
const settleMs = 4000
/** Time for which the changes are waited for, in milliseconds. */
const watchedMs = 5000
/** Time between two looks, in milliseconds. */
const lookMs = 5
/** Time by which a slow host is late with everything, in milliseconds. */
const slowMs = 400
/** Length of a standstill that ends, in milliseconds. */
const standstillMs = 2500
const version = 7

/** Plays one change, and measures how late it was in force on the hosts that nothing harmed. */
export async function playLateChange (change: LateChange): Promise<Lateness | { problem: string }> {
  const queue = createEventQueue()
  const store = buildRelayStore(queue)
  writeBackends(store)
  writeConfiguration(store, 1)
  const fleet = startFollowingFleet(queue, store, change.hosts)
  const beat = (sequence: number) => {
    writeBackend(store, 1, false, sequence)
    scheduleIn(queue, change.beatMs, () => beat(sequence + 1))
  }
  beat(1)
  await passVirtualTime(queue, settleMs)
  const granting = findGranting(fleet)
  const told = fleet.hosts.filter(host => host.state.storeSource === 'told').length
  if (granting === undefined || told < change.hosts - 1) return { problem: `${told} hosts are told` }
  causeHarm(fleet, granting, change.harm)
  await passVirtualTime(queue, change.afterMs)
  return await measureChange(fleet, fleet.hosts.filter(host => host !== granting))
}

function causeHarm ({ store, queue }: FollowingFleet, host: FollowingHost, kind: GrantingHarm): void {
  switch (kind) {
    case 'watch-silent':
      store.unheardBy.add(host.name)
      return
    case 'store-cut':
      store.silentTo.add(host.name)
      return
    case 'all-cut':
      store.silentTo.add(host.name)
      host.isCut = true
      return
    case 'paused': return pauseHost(host)
    case 'paused-for-a-time':
      pauseHost(host)
      return scheduleIn(queue, standstillMs, () => resumeHost(host))
    case 'killed': return killHost(host)
    case 'slow':
      host.delayMs = slowMs
  }
}

async function measureChange ({ queue, store }: FollowingFleet, unharmed: readonly FollowingHost[]): Promise<Lateness> {
  const writtenAt = queue.now
  writeConfiguration(store, version)
  writeBackend(store, 0, true, 10_000)
  let configurationMs = Infinity
  let leavingMs = Infinity
  const bounds = new Map(unharmed.map(host => [host, 0]))
  while (queue.now - writtenAt < watchedMs && Math.max(configurationMs, leavingMs) === Infinity) {
    for (const host of unharmed) {
      if (host.state.configuration?.version !== version) bounds.set(host, queue.now - host.state.knownAsOf)
    }
    await passVirtualTime(queue, lookMs)
    if (unharmed.every(host => host.state.configuration?.version === version)) configurationMs = Math.min(configurationMs, queue.now - writtenAt)
    if (unharmed.every(host => host.state.backends.get('i-0')?.leaving)) leavingMs = Math.min(leavingMs, queue.now - writtenAt)
  }
  return { configurationMs, leavingMs, boundMs: Math.max(...bounds.values()) + lookMs }
}

function writeBackends (store: RelayStore): void {
  for (const index of [0, 1]) writeBackend(store, index, false, 0)
}

function writeBackend (store: RelayStore, index: number, leaving: boolean, sequence: number): void {
  const value = { service: 'plain', address: `10.0.0.${index}:80`, zone: 'zone-1', slots: 4, state: leaving ? 'draining' : 'ready', born: 1000, sequence }
  writeKey(store, `servers/i-${index}`, JSON.stringify(value))
}

function writeConfiguration (store: RelayStore, number: number): void {
  const route = { host: 'shop.test', path_prefix: '/', kind: 'safe', timeout_s: 1, target_latency_s: 1, priority: 0, service: 'plain', max_attempts: 2 }
  const limits = { max_header_bytes: 16384, max_body_bytes: 1e6, header_timeout_s: 3, idle_timeout_s: 15 }
  const services = { plain: { health_path: '/', max_conns: 130 }, keyed: { health_path: '/', max_conns: 130, sharded: true, warmup_s: 2 } }
  writeKey(store, 'op/config', JSON.stringify({ version: number, routes: { all: route }, services, limits }))
}
