import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { Configuration, GrantingHost, GrantingRecord, Placement } from '../../src/core/gateway/model.js'
import type { GatewayRules } from '../../src/core/gateway/rules.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import type { EventQueue } from '../eventQueue.js'
import type { VirtualBackend } from './virtualBackend.js'
import type { VirtualStore } from './virtualStore.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { reduceGateway } from '../../src/core/gateway/reduceGateway.js'
import { mergeRevision } from '../../platform/storeEra.js'
import { scheduleIn } from '../eventQueue.js'

/** One-way delay of a message, in milliseconds. */
export const linkDelayMs = 4

/** One-way delay of a store call, in milliseconds. */
export const storeDelayMs = 12

/** Difference between the wall clock and the monotonic clock of all hosts, in milliseconds. */
export const wallOffsetMs = 1_000_000

/** Time without an answer to a report after which a host ends the exchange, in milliseconds. */
export const reportTimeoutMs = 800

export const placementKey = 'placement'

export const grantingHostKey = 'granting'

export const lastGrantingHostKey = 'last-granting'

/** A simulated host. */
export type VirtualHost = {
  name: string
  zone: string
  state: GatewayState
  isUp: boolean
  isPaused: boolean
  isCutFromStore: boolean
  /** Whether messages between it and other hosts are lost. */
  isCutFromHosts: boolean
  /** Identifiers of the backend servers that it can't reach. */
  unreachableBackends: Set<string>
  /** Process of each backend server to which it has kept a connection for grants. */
  grantConnections: Map<string, number>
  /** Number that changes when the process ends, so that callbacks of an earlier process are ignored. */
  incarnation: number
  /** Number of restores of the store that its calls have shown. */
  knownRestores: number
  /** Address of the host to which it reports, and the times of its reports without an answer. */
  exchange: { address: string, unanswered: number[] }
  /** Events that arrived while it was paused. */
  deferredEvents: GatewayEvent[]
  clockOffset: number
}

/** Outcome of one caller's request; `at` is its start, status 0 means that it got no answer. */
export type RequestOutcome = { at: number, endedAt: number, status: number, service: string, key: number | undefined, retryAfterMs: number | undefined }

/** Hosts that run the real reducer, with a store and backend servers, in virtual time. */
export type GatewayWorld = {
  queue: EventQueue
  random: RandomGenerator
  rules: GatewayRules
  configuration: Configuration
  store: VirtualStore
  hosts: VirtualHost[]
  backends: Map<string, VirtualBackend>
  outcomes: RequestOutcome[]
  pending: Map<string, { at: number, service: string, key: number | undefined, work: { isCanceled: boolean } | undefined, then: (outcome: RequestOutcome) => void }>
  /** Violated invariants, in the order in which they were found. */
  violations: string[]
  moves: number
  /** Backend servers that have not registered again since the store was restored. */
  unregistered: Set<string>
  /** Backend server that each fencing token was granted to. */
  fenceOwners: Map<number, string>
  /** Share of grants and releases that are applied late and not answered. */
  lateGrantShare: number
  /** Extra delay of the answers to grants, in milliseconds. */
  grantAnswerDelayMs: number
  /** Share of the calls that change the store that are applied late and not answered. */
  lateStoreCallShare: number
  /** Whether backend servers report their load with answers, and whether a figure contains the request that is answered. */
  loadReports: 'none' | 'with-answered' | 'without-answered'
  /** Draws the service time of a request, in milliseconds. */
  workMs: () => number
  /** Applies an effect of a host's reducer; replaced by scenarios that observe or alter effects. */
  interpret: (world: GatewayWorld, host: VirtualHost, effect: GatewayEffect) => void
}

export function isStoreReachable (world: GatewayWorld, host: VirtualHost): boolean {
  return !world.store.isDown && !host.isCutFromStore
}

/** Posts to a host that an answer of the store shows a restore, if it does not know that one. */
export function postRestore (world: GatewayWorld, host: VirtualHost): void {
  if (host.knownRestores >= world.store.restores) return
  host.knownRestores = world.store.restores
  post(world, host, { kind: 'store-restored', now: 0, restores: world.store.restores })
}

/** Reads everything from the store, as a host does when it starts, becomes the granting host or has lost the store; retries while the store is unreachable. */
export function readStore (world: GatewayWorld, host: VirtualHost): void {
  const incarnation = host.incarnation
  const startedAt = world.queue.now
  scheduleIn(world.queue, storeDelayMs, () => {
    if (host.incarnation !== incarnation) return
    if (!isStoreReachable(world, host)) {
      postLater(world, host, 0, { kind: 'store-lost', now: 0, reachableAt: startedAt })
      return scheduleIn(world.queue, 150, () => { if (host.incarnation === incarnation) readStore(world, host) })
    }
    postRestore(world, host)
    post(world, host, { kind: 'store-synced', now: 0, startedAt: -Infinity, revision: 0 })
    post(world, host, { kind: 'configuration-read', now: 0, configuration: world.configuration, revision: mergeRevision(world.store.restores, 1) })
    for (const backend of world.backends.values()) {
      const { id } = backend.registration
      if (world.unregistered.has(id)) post(world, host, { kind: 'backend-gone', now: 0, id, graceMs: undefined })
      else if (backend.state === 'up') post(world, host, { kind: 'backend-read', now: 0, backend: backend.registration })
    }
    postStoredValue(world, host, placementKey)
    postStoredValue(world, host, grantingHostKey)
    postStoredValue(world, host, lastGrantingHostKey)
    post(world, host, { kind: 'store-synced', now: 0, startedAt, revision: 0 })
  })
}

/** Posts the value of a key to the hosts that watch the store and reach it. */
export function notifyHosts (world: GatewayWorld, key: string): void {
  for (const host of world.hosts) scheduleIn(world.queue, storeDelayMs, () => { if (isStoreReachable(world, host) && host.state.storeSource === 'watched') postWatched(world, host, key) })
}

/** Posts a watched change; a watch that began before a restore of the store is answered by a complete read. */
function postWatched (world: GatewayWorld, host: VirtualHost, key: string): void {
  if (host.knownRestores < world.store.restores) return readStore(world, host)
  postStoredValue(world, host, key)
}

function postStoredValue (world: GatewayWorld, host: VirtualHost, key: string): void {
  const { restores, items } = world.store
  const item = items.get(key)
  if (key === grantingHostKey) {
    const granting = item?.value as GrantingHost | undefined
    post(world, host, { kind: 'granting-host-read', now: 0, granting, revision: mergeRevision(restores, item?.revision ?? world.store.revision) })
  }
  if (key === lastGrantingHostKey && item !== undefined) {
    post(world, host, { kind: 'last-granting-host-read', now: 0, record: item.value as GrantingRecord, revision: mergeRevision(restores, item.revision) })
  }
  if (key === placementKey && item !== undefined) {
    post(world, host, { kind: 'placement-read', now: 0, placement: item.value as Placement, revision: mergeRevision(restores, item.revision) })
  }
}

/** Posts an event to a host after the delay of the store, if the host reaches the store then. */
export function postFromStore (world: GatewayWorld, host: VirtualHost, event: GatewayEvent): void {
  scheduleIn(world.queue, storeDelayMs, () => { if (isStoreReachable(world, host)) post(world, host, event) })
}

/** Posts an event to a host after a delay, unless its process has ended meanwhile. */
export function postLater (world: GatewayWorld, host: VirtualHost, delayMs: number, event: GatewayEvent): void {
  const incarnation = host.incarnation
  scheduleIn(world.queue, delayMs, () => { if (host.incarnation === incarnation) post(world, host, event) })
}

/** Posts an event to a host's reducer and applies the resulting effects; a paused host defers the event. */
export function post (world: GatewayWorld, host: VirtualHost, event: GatewayEvent): void {
  if (!host.isUp) return
  if (host.isPaused) {
    host.deferredEvents.push(event)
    return
  }
  const step = reduceGateway(host.state, { ...event, now: world.queue.now }, world.rules)
  host.state = step.state
  for (const effect of step.effects) world.interpret(world, host, effect)
}

export function endRequest (world: GatewayWorld, id: string, status: number, retryAfterMs: number | undefined): void {
  const pending = world.pending.get(id)
  if (pending === undefined) return
  world.pending.delete(id)
  const outcome = { at: pending.at, endedAt: world.queue.now, status, service: pending.service, key: pending.key, retryAfterMs }
  pending.then(outcome)
}
