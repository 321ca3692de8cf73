import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import type { Clock } from '../../src/runtime/clock.js'
import type { GatewayFollower } from '../../src/runtime/gateway/storeFollower.js'
import type { EventQueue } from '../eventQueue.js'
import type { RelayStore } from './relayStore.js'
import { platformWire } from '../../platform/platformWire.js'
import { encodeGrantingHost, grantingHostKey } from '../../src/protocol/placementRecord.js'
import { buildLoadAnswer } from '../../src/core/gateway/loadExchange.js'
import { computeWatchPauseMs, gatewayTickMs } from '../../src/core/gateway/limits.js'
import { isTickDue, reduceGateway } from '../../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../../src/core/gateway/rules.js'
import { buildGatewayState } from '../../src/core/gateway/state.js'
import { followStore } from '../../src/runtime/gateway/storeFollower.js'
import { scheduleIn } from '../eventQueue.js'
import { buildVirtualTimers } from '../virtualTimers.js'
import { buildHostStore, listItems, writeKey } from './relayStore.js'

/** One-way delay of a message between hosts in different regions, in milliseconds. */
const linkDelayMs = 10
/** Duration of a store call, in milliseconds. */
const storeDelayMs = 10
/** Time without an answer after which a host reopens its stream to the granting host, in milliseconds. */
const reportTimeoutMs = 800
/** Timeout of a store call, in milliseconds. */
const callTimeoutMs = 1200

/** A simulated host that runs the real reducer and store follower; calls to backend servers are not simulated, except by `FollowingFleet.handleSend`. */
export type FollowingHost = {
  name: string
  state: GatewayState
  follower: GatewayFollower
  clock: Clock
  /** Whether the process was killed. */
  isDown: boolean
  /** Whether all messages between it and other hosts are lost. */
  isCutFromHosts: boolean
  /** Callbacks that became due while the process was paused; undefined while it runs. */
  deferred: Array<() => void> | undefined
  /** Delay with which the process handles every event, in milliseconds. */
  delayMs: number
  /** Address of the host to which it reports. */
  reportsTo: string
  /** Send times of the load reports that have no answer yet. */
  pendingReports: number[]
  /** Revision up to which the granting host has relayed store changes to it. */
  relayedRevision: number | undefined
}

/** Hosts that follow a store; one of them is the granting host and relays store changes to the others. `handleSend` is called for each request that a host sends to a backend server. */
export type FollowingFleet = { queue: EventQueue, store: RelayStore, hosts: FollowingHost[], leases: Map<string, number>, handleSend?: (host: FollowingHost, effect: Extract<GatewayEffect, { kind: 'send' }>) => void }

const rules = buildGatewayRules()

/** Starts the hosts of a fleet, spread evenly over availability zones, at staggered times within the first 300 ms. */
export function startFollowingFleet (queue: EventQueue, store: RelayStore, hostCount: number, zoneCount = 1): FollowingFleet {
  const fleet: FollowingFleet = { queue, store, hosts: [], leases: new Map() }
  for (let index = 0; index < hostCount; index++) {
    scheduleIn(queue, index * 7 % 300, () => { fleet.hosts.push(startHost(fleet, `host-${index}`, `zone-${index % zoneCount + 1}`)) })
  }
  return fleet
}

/** Finds the granting host. */
export function findGrantingHost (fleet: FollowingFleet): FollowingHost | undefined {
  return fleet.hosts.find(host => host.state.granting.role === 'leading')
}

/** Pauses a process; what becomes due is deferred until it is resumed. */
export function pauseHost (host: FollowingHost): void {
  host.deferred = []
}

/** Resumes a process and runs the deferred callbacks. */
export function resumeHost (host: FollowingHost): void {
  const due = host.deferred ?? []
  host.deferred = undefined
  for (const run of due) runOn(host, run)
}

/** Kills a process. */
export function killHost (host: FollowingHost): void {
  host.isDown = true
  host.follower.stop()
}

function startHost (fleet: FollowingFleet, name: string, zone: string): FollowingHost {
  const { queue, store } = fleet
  let totalPausedMs = 0
  let pausedAt: number | undefined
  const clock: Clock = {
    now: () => {
      // The monotonic clock of a paused process stops for the length of the pause.
      if (host.deferred !== undefined) pausedAt ??= queue.now
      else if (pausedAt !== undefined) {
        totalPausedMs += queue.now - pausedAt
        pausedAt = undefined
      }
      return (pausedAt ?? queue.now) - totalPausedMs
    },
    wall: () => queue.now
  }
  const identity = { host: name, zone, region: 'region-1', regionOf: new Map(), address: `10.0.1.${name.slice(5)}:7540`, processorShare: 1 }
  const host: FollowingHost = {
    name,
    state: buildGatewayState(identity, queue.lastSequence, queue.now),
    follower: { refresh: () => {}, setWatching: () => {}, applyRelayedChanges: () => {}, listChangesSince: () => undefined, findEarlierValue: () => undefined, stop: () => {} },
    clock,
    isDown: false,
    isCutFromHosts: false,
    deferred: undefined,
    delayMs: 0,
    reportsTo: '',
    pendingReports: [],
    relayedRevision: undefined
  }
  const post = (event: GatewayEvent) => postTo(fleet, host, event)
  host.follower = followStore({ store: buildHostStore(store, name), wire: platformWire, timers: buildVirtualTimers(queue, clock, due => runOn(host, due)), post, log: () => {}, getWatchPauseMs: () => computeWatchPauseMs(host.state.hosts), countRejectedValue: () => {} })
  let tickedAt = -Infinity
  const tick = () => {
    scheduleIn(queue, gatewayTickMs, () => runOn(host, tick))
    const now = clock.now()
    if (!isTickDue(host.state, now, tickedAt)) return
    tickedAt = now
    post({ kind: 'tick', now, wall: clock.wall() })
  }
  tick()
  return host
}

function runOn (host: FollowingHost, run: () => void): void {
  if (host.isDown) return
  if (host.deferred === undefined) run()
  else host.deferred.push(run)
}

/** Posts an event to a host's reducer, after `delayMs` on a slow host. */
export function postTo (fleet: FollowingFleet, host: FollowingHost, event: GatewayEvent): boolean {
  const reduce = () => {
    const { effects } = reduceGateway(host.state, event, rules, host.clock.now())
    for (const effect of effects) interpret(fleet, host, effect)
  }
  if (host.delayMs === 0) runOn(host, reduce)
  else scheduleIn(fleet.queue, host.delayMs, () => runOn(host, reduce))
  return true
}

function interpret (fleet: FollowingFleet, host: FollowingHost, effect: GatewayEffect): void {
  switch (effect.kind) {
    case 'send': return fleet.handleSend?.(host, effect)
    case 'watch-store': return host.follower.setWatching(effect.isOn)
    case 'read-store': return host.follower.refresh()
    case 'relay-changes': return sendChangesToHosts(fleet, host)
    case 'report-load': return sendReport(fleet, host, effect)
    case 'claim-leadership': return claimLeadership(fleet, host, effect.ttlMs)
    case 'renew-lease': return renewLease(fleet, host)
  }
}

function claimLeadership (fleet: FollowingFleet, host: FollowingHost, ttlMs: number): void {
  const { store, queue } = fleet
  scheduleIn(queue, storeDelayMs, () => {
    if (store.silentTo.has(host.name)) return
    const isUnclaimed = !listItems(store).some(item => item.key === grantingHostKey)
    if (isUnclaimed) {
      writeKey(store, grantingHostKey, encodeGrantingHost({ host: host.name, address: host.state.identity.address }))
      fleet.leases.set(host.name, queue.now + ttlMs)
      watchLease(fleet, host.name, ttlMs)
      for (const other of fleet.hosts) other.relayedRevision = undefined
    }
    const { revision } = store
    runOn(host, () => postTo(fleet, host, { kind: 'leadership-claimed', now: host.clock.now(), outcome: isUnclaimed ? 'written' : 'conflict', lease: 1, revision }))
  })
}

function renewLease (fleet: FollowingFleet, host: FollowingHost): void {
  const { store, queue } = fleet
  const askedAt = host.clock.now()
  const isSilent = store.silentTo.has(host.name)
  const end = (outcome: 'renewed' | 'ended' | 'unknown') => runOn(host, () => postTo(fleet, host, { kind: 'lease-renewed', now: host.clock.now(), sentAt: askedAt, outcome }))
  if (isSilent) return scheduleIn(queue, callTimeoutMs, () => end('unknown'))
  scheduleIn(queue, storeDelayMs, () => {
    if (!fleet.leases.has(host.name)) return end('ended')
    fleet.leases.set(host.name, queue.now + 1500)
    end('renewed')
  })
}

/** Removes the record of the granting host when its lease has expired. */
function watchLease (fleet: FollowingFleet, name: string, ttlMs: number): void {
  scheduleIn(fleet.queue, ttlMs / 10, () => {
    if ((fleet.leases.get(name) ?? 0) > fleet.queue.now) return watchLease(fleet, name, ttlMs)
    fleet.leases.delete(name)
    writeKey(fleet.store, grantingHostKey, undefined)
  })
}

function sendReport (fleet: FollowingFleet, host: FollowingHost, effect: Extract<GatewayEffect, { kind: 'report-load' }>): void {
  const { queue } = fleet
  const target = fleet.hosts.find(other => other.state.identity.address === effect.address)
  if (target === undefined) return
  const sentAt = host.clock.now()
  const endExchange = () => {
    if (host.reportsTo !== effect.address) return
    Object.assign(host, { pendingReports: [], relayedRevision: undefined })
    postTo(fleet, host, { kind: 'exchange-ended', now: host.clock.now(), address: effect.address })
  }
  if (host.reportsTo !== effect.address) Object.assign(host, { reportsTo: effect.address, pendingReports: [], relayedRevision: undefined })
  if (sentAt - (host.pendingReports[0] ?? sentAt) > reportTimeoutMs) endExchange()
  host.pendingReports.push(sentAt)
  const { pendingReports } = host
  scheduleIn(queue, linkDelayMs + target.delayMs, () => {
    if (host.isCutFromHosts || target.isCutFromHosts) return
    if (target.isDown) return scheduleIn(queue, linkDelayMs, () => runOn(host, endExchange))
    runOn(target, () => {
      const load = buildLoadAnswer(target.state, host.name, { now: target.clock.now(), wall: target.clock.wall() })
      if (load === undefined) return scheduleIn(queue, linkDelayMs, () => runOn(host, endExchange))
      postTo(fleet, target, { kind: 'load-reported', now: target.clock.now(), report: effect.report })
      if (host.relayedRevision === undefined) sendChanges(fleet, target, host, effect.report.storeRevision)
      scheduleIn(queue, linkDelayMs, () => runOn(host, () => {
        if (host.pendingReports !== pendingReports) return
        const reportedAt = pendingReports.shift() ?? -Infinity
        postTo(fleet, host, { kind: 'fleet-load-read', now: host.clock.now(), load, reported: effect.inFlight, reportedAt })
      }))
    })
  })
}

function sendChangesToHosts (fleet: FollowingFleet, granting: FollowingHost): void {
  for (const host of fleet.hosts) {
    if (host.reportsTo === granting.state.identity.address && host !== granting && host.relayedRevision !== undefined) sendChanges(fleet, granting, host, host.relayedRevision)
  }
}

function sendChanges (fleet: FollowingFleet, granting: FollowingHost, host: FollowingHost, from: number): void {
  const changes = granting.follower.listChangesSince(from)
  if (changes === undefined) return
  host.relayedRevision = changes.to
  if (changes.to <= from || host.isCutFromHosts || granting.isCutFromHosts) return
  scheduleIn(fleet.queue, linkDelayMs, () => runOn(host, () => host.follower.applyRelayedChanges({ ...changes, graceMs: 0 })))
}
