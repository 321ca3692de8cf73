import type { FollowingFleet, FollowingHost } from './followingFleet.js'
import type { HostFault } from './lateChanges.js'
import type { RelayStore } from './relayStore.js'
import { encodePlacement, placementKey } from '../../src/protocol/placementRecord.js'
import { createEventQueue, scheduleIn } from '../eventQueue.js'
import { advanceVirtualTime } from '../virtualTimers.js'
import { findGrantingHost, postTo, startFollowingFleet } from './followingFleet.js'
import { causeFault } from './lateChanges.js'
import { buildRelayStore, writeKey } from './relayStore.js'

/** Evacuation of `zone-1` while all hosts send requests and one of them has a fault. */
export type LateEvacuation = {
  hosts: number
  zones: number
  /** Fault of the granting host or of a collector; undefined for none. */
  fault?: HostFault
  faultyHost?: 'granting-host' | 'collector'
  /** Time from the fault to the evacuation, in milliseconds. */
  afterMs: number
}

/**
 * When the last requests were sent to the evacuated zone by hosts without a fault, in milliseconds after the evacuation was written:
 * those that any server can run, and those for keys whose owners are in the zone. `closedHosts`: such hosts that no longer send to
 * these owners at the end; `returnedMs`: time from the end of the evacuation until all such hosts knew of it.
 */
export type EvacuationDelays = { plainMs: number, keyedMs: number, healthyHosts: number, closedHosts: number, returnedMs: number }

/** Time for the fleet to start and for the granting host to relay store changes to all others, in milliseconds. */
const settleMs = 4000
/** Time for which requests are observed after the evacuation was written, in milliseconds. */
const observedMs = 7000
/** Time between two requests of a host, in milliseconds. */
const requestIntervalMs = 50
/** Time that a backend server takes to answer, in milliseconds. */
const answerMs = 30
const zone = 'zone-1'
const evacuationKey = `op/evacuate/${zone}`
/** Number of backend servers of each service; they are in the zones in turn. */
const backendsPerService = 4

/** Runs one evacuation. The moves of keys are never stored, so that all keys stay with the owners in the zone: the worst case. */
export async function measureLateEvacuation (evacuation: LateEvacuation): Promise<EvacuationDelays | { problem: string }> {
  const queue = createEventQueue()
  const store = buildRelayStore(queue)
  writeStoreContents(store)
  const fleet = startFollowingFleet(queue, store, evacuation.hosts, evacuation.zones)
  const delays: EvacuationDelays = { plainMs: -Infinity, keyedMs: -Infinity, healthyHosts: 0, closedHosts: 0, returnedMs: Infinity }
  await advanceVirtualTime(queue, settleMs)
  const granting = findGrantingHost(fleet)
  const collector = fleet.hosts.find(host => host.state.collecting.role === 'collecting')
  if (granting === undefined) return { problem: 'no host grants' }
  if (evacuation.faultyHost === 'collector' && collector === undefined) return { problem: 'no zone has a collector' }
  const faulty = evacuation.faultyHost === 'collector' ? collector : granting
  const healthyHosts = fleet.hosts.filter(host => evacuation.fault === undefined || host !== faulty)
  if (faulty !== undefined && evacuation.fault !== undefined) causeFault(fleet, faulty, evacuation.fault)
  await advanceVirtualTime(queue, evacuation.afterMs)
  const writtenAt = queue.now
  writeKey(store, evacuationKey, '')
  fleet.handleSend = (host, effect) => {
    const { id, attempt } = effect
    scheduleIn(queue, answerMs, () => postTo(fleet, host, { kind: 'answer-whole', now: host.clock.now(), id, attempt, status: 200, firstByteAt: host.clock.now() }))
    if (!healthyHosts.includes(host) || host.state.backends.get(effect.backend)?.zone !== zone) return
    if (effect.backend.startsWith('plain')) delays.plainMs = queue.now - writtenAt
    else delays.keyedMs = queue.now - writtenAt
  }
  sendRequests(fleet, writtenAt + observedMs)
  await advanceVirtualTime(queue, observedMs)
  delays.healthyHosts = healthyHosts.length
  delays.closedHosts = healthyHosts.filter(host => host.state.evacuations.zones.get(zone)?.isClosed === true).length
  writeKey(store, evacuationKey, undefined)
  const endedAt = queue.now
  while (queue.now - endedAt < observedMs && healthyHosts.some(host => host.state.evacuations.zones.has(zone))) await advanceVirtualTime(queue, requestIntervalMs)
  if (healthyHosts.every(host => !host.state.evacuations.zones.has(zone))) delays.returnedMs = queue.now - endedAt
  return delays
}

/** Sends requests of both kinds to every host until a time; the keys change so that each owner gets some. */
function sendRequests (fleet: FollowingFleet, until: number): void {
  let count = 0
  const sendFrom = (host: FollowingHost, path: string, key: number | undefined) => {
    const id = `${count++}`
    const now = host.clock.now()
    if (!host.isDown) postTo(fleet, host, { kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path, key, timeoutMs: 1000, bodyBytes: 0, replayable: true } })
  }
  const sendAll = () => {
    for (const host of fleet.hosts) {
      sendFrom(host, '/plain/1', undefined)
      sendFrom(host, '/keyed/1', count * 7919 % 65_536)
    }
    if (fleet.queue.now < until) scheduleIn(fleet.queue, requestIntervalMs, sendAll)
  }
  sendAll()
}

function writeStoreContents (store: RelayStore): void {
  const indexes = Array.from({ length: backendsPerService }, (_, index) => index)
  for (const service of ['plain', 'keyed']) {
    for (const index of indexes) {
      const value = { service, address: `10.0.0.${index}:${service === 'plain' ? 80 : 81}`, zone: `zone-${index % 2 + 1}`, version: 'v1', slots: 400, state: 'ready', cold_left_s: 0, born: 1000, sequence: 0 }
      writeKey(store, `servers/${service}-${index}`, JSON.stringify(value))
    }
  }
  const ranges = indexes.map(index => {
    const owner = { id: `keyed-${index}`, startedAt: 1000, address: `10.0.0.${index}:81` }
    return { from: index * 16_384, to: index * 16_384 + 16_383, owner, fence: index + 1, phase: 'held' as const, previous: undefined }
  })
  writeKey(store, placementKey, encodePlacement({ nextFence: 10, services: new Map([['keyed', ranges]]), memory: { hosts: 1, serviceMs: new Map() } }))
  const buildRoute = (service: string) => ({ host: 'shop.test', path_prefix: `/${service}/`, kind: 'safe', timeout_s: 1, target_latency_s: 1, priority: 0, service, max_attempts: 2 })
  const limits = { max_header_bytes: 16384, max_body_bytes: 1e6, header_timeout_s: 3, idle_timeout_s: 15 }
  const services = { plain: { health_path: '/' }, keyed: { health_path: '/', sharded: true, warmup_s: 2 } }
  writeKey(store, 'op/config', JSON.stringify({ version: 1, routes: { plain: buildRoute('plain'), keyed: buildRoute('keyed') }, services, limits }))
}
