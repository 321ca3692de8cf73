import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import type { Clock } from '../../src/runtime/clock.js'
import type { GatewayFollower } from '../../src/runtime/gateway/storeFollower.js'
import type { EventQueue } from '../eventQueue.js'
import type { RelayStore } from './relayStore.js'
import { platformWire } from '../../platform/wireNames.js'
import { encodeGrantingHost, grantingHostKey } from '../../src/protocol/placementRecord.js'
import { buildFleetLoad, listInFlight } from '../../src/core/gateway/loadExchange.js'
import { computeWatchPauseMs, gatewayTickMs } from '../../src/core/gateway/limits.js'
import { isTickDue, reduceGateway } from '../../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../../src/core/gateway/rules.js'
import { buildGatewayState } from '../../src/core/gateway/state.js'
import { followStore } from '../../src/runtime/gateway/storeFollower.js'
import { scheduleIn } from '../eventQueue.js'
import { buildVirtualTimers } from '../virtualTimers.js'
import { buildHostStore, listItems, writeKey } from './relayStore.js'

/** Time of a message between hosts, in milliseconds: between regions. */
const linkMs = 10
/** Time of a call of the store, in milliseconds. */
const storeMs = 10
/** Time without an answer after which the stream to the granting host is opened again, in milliseconds. */
const reportTimeoutMs = 800
/** Time after which a call of a silent store counts as failed, in milliseconds. */
const callTimeoutMs = 1200

/** A host with its real reducer and follower; calls to backend servers are left out. */
export type FollowingHost = {
  name: string
  state: GatewayState
  follower: GatewayFollower
  clock: Clock
  /** Whether the process has ended. */
  isDown: boolean
  /** Whether other hosts can't reach it. */
  isCut: boolean
  /** What became due while the process stood still; undefined while it runs. */
  deferred: Array<() => void> | undefined
  /** Time by which the process is late with everything, in milliseconds. */
  delayMs: number
  /** Reports without an answer: when they were sent. */
  unanswered: number[]
  /** Revision up to which the granting host has told it. */
  toldTo: number | undefined
}

/** Hosts that follow a store, one of which grants and tells the others. */
export type FollowingFleet = { queue: EventQueue, store: RelayStore, hosts: FollowingHost[], leases: Map<string, number> }

const rules = buildGatewayRules()

/** Starts the hosts of a fleet at moments of their own. */
export function startFollowingFleet (queue: EventQueue, store: RelayStore, hostCount: number): FollowingFleet {
  const fleet: FollowingFleet = { queue, store, hosts: [], leases: new Map() }
  for (let index = 0; index < hostCount; index++) {
    scheduleIn(queue, index * 7 % 300, () => { fleet.hosts.push(startHost(fleet, `host-${index}`)) })
  }
  return fleet
}

/** Finds the host that grants. */
export function findGranting (fleet: FollowingFleet): FollowingHost | undefined {
  return fleet.hosts.find(host => host.state.granting.role === 'leading')
}

/** Lets a process stand still until it is resumed. */
export function pauseHost (host: FollowingHost): void {
  host.deferred = []
}

/** Lets a process go on with what became due meanwhile. */
export function resumeHost (host: FollowingHost): void {
  const due = host.deferred ?? []
  host.deferred = undefined
  for (const run of due) runOn(host, run)
}

/** Ends a process. */
export function killHost (host: FollowingHost): void {
  host.isDown = true
  host.follower.stop()
}

function startHost (fleet: FollowingFleet, name: string): FollowingHost {
  const { queue, store } = fleet
  let standstillMs = 0
  let pausedAt: number | undefined
  const clock: Clock = {
    now: () => {
      // Steady clocks of processes that stand still do not count that time.
      if (host.deferred !== undefined) pausedAt ??= queue.now
      else if (pausedAt !== undefined) {
        standstillMs += queue.now - pausedAt
        pausedAt = undefined
      }
      return (pausedAt ?? queue.now) - standstillMs
    },
    wall: () => queue.now
  }
  const identity = { host: name, zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: `10.0.1.${name.slice(5)}:7540`, processorShare: 1 }
  const host: FollowingHost = {
    name,
    state: buildGatewayState(identity, queue.order, queue.now),
    follower: { refresh: () => {}, setWatching: () => {}, applyRelayedChanges: () => {}, listChangesSince: () => undefined, findEarlierValue: () => undefined, stop: () => {} },
    clock,
    isDown: false,
    isCut: false,
    deferred: undefined,
    delayMs: 0,
    unanswered: [],
    toldTo: undefined
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

/** Gives an event to a host's reducer, later on one that is slow. */
function postTo (fleet: FollowingFleet, host: FollowingHost, event: GatewayEvent): boolean {
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
    case 'watch-store': return host.follower.setWatching(effect.isOn)
    case 'read-store': return host.follower.refresh()
    case 'relay-changes': return tellHosts(fleet, host)
    case 'report-load': return sendReport(fleet, host, effect)
    case 'claim-leadership': return claim(fleet, host, effect.ttlMs)
    case 'renew-lease': return renew(fleet, host)
  }
}

function claim (fleet: FollowingFleet, host: FollowingHost, ttlMs: number): void {
  const { store, queue } = fleet
  scheduleIn(queue, storeMs, () => {
    if (store.silentTo.has(host.name)) return
    const isFree = !listItems(store).some(item => item.key === grantingHostKey)
    if (isFree) {
      writeKey(store, grantingHostKey, encodeGrantingHost({ host: host.name, address: host.state.identity.address }))
      fleet.leases.set(host.name, queue.now + ttlMs)
      watchLease(fleet, host.name, ttlMs)
      for (const other of fleet.hosts) other.toldTo = undefined
    }
    const { revision } = store
    runOn(host, () => postTo(fleet, host, { kind: 'leadership-claimed', now: host.clock.now(), outcome: isFree ? 'written' : 'conflict', lease: 1, revision }))
  })
}

function renew (fleet: FollowingFleet, host: FollowingHost): void {
  const { store, queue } = fleet
  const askedAt = host.clock.now()
  const isSilent = store.silentTo.has(host.name)
  const end = (outcome: 'renewed' | 'ended' | 'unknown') => runOn(host, () => postTo(fleet, host, { kind: 'lease-renewed', now: host.clock.now(), sentAt: askedAt, outcome }))
  if (isSilent) return scheduleIn(queue, callTimeoutMs, () => end('unknown'))
  scheduleIn(queue, storeMs, () => {
    if (!fleet.leases.has(host.name)) return end('ended')
    fleet.leases.set(host.name, queue.now + 1500)
    end('renewed')
  })
}

/** Removes the record of the granting host when its lease has run out. */
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
    host.unanswered = []
    postTo(fleet, host, { kind: 'exchange-ended', now: host.clock.now() })
  }
  if (sentAt - (host.unanswered[0] ?? sentAt) > reportTimeoutMs) endExchange()
  host.unanswered.push(sentAt)
  const { unanswered } = host
  scheduleIn(queue, linkMs + target.delayMs, () => {
    if (host.isCut || target.isCut) return
    if (target.isDown) return scheduleIn(queue, linkMs, () => runOn(host, endExchange))
    runOn(target, () => {
      if (target.state.granting.role !== 'leading') return scheduleIn(queue, linkMs, () => runOn(host, endExchange))
      postTo(fleet, target, { kind: 'load-reported', now: target.clock.now(), report: effect.report })
      if (host.toldTo === undefined) tellHost(fleet, target, host, effect.report.storeRevision)
      const load = buildFleetLoad(target.state, host.name, { now: target.clock.now(), wall: target.clock.wall() })
      scheduleIn(queue, linkMs, () => runOn(host, () => {
        if (host.unanswered !== unanswered) return
        const reportedAt = unanswered.shift() ?? -Infinity
        postTo(fleet, host, { kind: 'fleet-load-read', now: host.clock.now(), load, reported: listInFlight(effect.report), reportedAt })
      }))
    })
  })
}

function tellHosts (fleet: FollowingFleet, granting: FollowingHost): void {
  for (const host of fleet.hosts) {
    if (host !== granting && host.toldTo !== undefined) tellHost(fleet, granting, host, host.toldTo)
  }
}

function tellHost (fleet: FollowingFleet, granting: FollowingHost, host: FollowingHost, from: number): void {
  const since = granting.follower.listChangesSince(from)
  if (since === undefined) return
  host.toldTo = since.to
  if (since.to <= from || host.isCut || granting.isCut) return
  scheduleIn(fleet.queue, linkMs, () => runOn(host, () => host.follower.applyRelayedChanges({ ...since, graceMs: 0 })))
}
