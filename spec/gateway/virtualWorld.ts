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
import { scheduleIn } from '../eventQueue.js'

/** Delay of a message one way, in milliseconds. */
export const linkMs = 4

/** Delay of a call of the store, in milliseconds. */
export const storeMs = 12

export const placementKey = 'placement'

export const grantingKey = 'granting'

export const lastGrantingKey = 'last-granting'

/** One host of the emulator. */
export type VirtualHost = {
  name: string
  state: GatewayState
  isUp: boolean
  isPaused: boolean
  isCutFromStore: boolean
  /** Whether messages between it and other hosts are lost. */
  isCutFromHosts: boolean
  /** Backend servers that it can't reach. */
  unreachable: Set<string>
  life: number
  /** Events that came in while it was paused. */
  held: GatewayEvent[]
  clockOffset: number
}

/** What became of one request of a caller. */
export type RequestOutcome = { at: number, endedAt: number, status: number, service: string, key: number | undefined, retryAfterMs: number | undefined }

/** Hosts, store and backend servers in virtual time, driving the real reducer. */
export type GatewayWorld = {
  queue: EventQueue
  random: RandomGenerator
  rules: GatewayRules
  configuration: Configuration
  store: VirtualStore
  hosts: VirtualHost[]
  backends: Map<string, VirtualBackend>
  outcomes: RequestOutcome[]
  pending: Map<string, { at: number, service: string, key: number | undefined, work: { canceled: boolean } | undefined, then: (outcome: RequestOutcome) => void }>
  /** Broken promises, in the order found. */
  broken: string[]
  moves: number
  /** Share of grants and releases that get no answer and are carried out late. */
  lateGrants: number
  /** Time by which the answers to grants reach their host late, in milliseconds. */
  grantAnswerDelayMs: number
  /** The same share of the calls that change the store. */
  lateStoreCalls: number
  workMs: () => number
  /** Carries out what a host's reducer asks for. */
  interpret: (world: GatewayWorld, host: VirtualHost, effect: GatewayEffect) => void
}

export function isStoreReachable (world: GatewayWorld, host: VirtualHost): boolean {
  return !world.store.isDown && !host.isCutFromStore
}

/** Reads everything, as a host does when it starts, leads or has lost the store. */
export function readStore (world: GatewayWorld, host: VirtualHost): void {
  const life = host.life
  const startedAt = world.queue.now
  scheduleIn(world.queue, storeMs, () => {
    if (host.life !== life) return
    if (!isStoreReachable(world, host)) {
      postLater(world, host, 0, { kind: 'store-lost', now: 0, reachableAt: startedAt })
      return scheduleIn(world.queue, 150, () => { if (host.life === life) readStore(world, host) })
    }
    post(world, host, { kind: 'store-synced', now: 0, startedAt: -Infinity, revision: 0 })
    post(world, host, { kind: 'configuration-read', now: 0, configuration: world.configuration, revision: 1 })
    for (const backend of world.backends.values()) {
      if (backend.state === 'up') post(world, host, { kind: 'backend-read', now: 0, backend: backend.registration })
    }
    tellKey(world, host, placementKey)
    tellKey(world, host, grantingKey)
    tellKey(world, host, lastGrantingKey)
    post(world, host, { kind: 'store-synced', now: 0, startedAt, revision: 0 })
  })
}

export function tellHosts (world: GatewayWorld, key: string): void {
  for (const host of world.hosts) scheduleIn(world.queue, storeMs, () => { if (isStoreReachable(world, host) && host.state.storeSource === 'watched') tellKey(world, host, key) })
}

function tellKey (world: GatewayWorld, host: VirtualHost, key: string): void {
  const item = world.store.items.get(key)
  if (key === grantingKey) {
    const granting = item?.value as GrantingHost | undefined
    post(world, host, { kind: 'granting-host-read', now: 0, granting, revision: item?.revision ?? world.store.revision })
  }
  if (key === lastGrantingKey && item !== undefined) {
    post(world, host, { kind: 'last-granting-host-read', now: 0, record: item.value as GrantingRecord, revision: item.revision })
  }
  if (key === placementKey && item !== undefined) {
    post(world, host, { kind: 'placement-read', now: 0, placement: item.value as Placement, revision: item.revision })
  }
}

export function tellLater (world: GatewayWorld, host: VirtualHost, event: GatewayEvent): void {
  scheduleIn(world.queue, storeMs, () => { if (isStoreReachable(world, host)) post(world, host, event) })
}

export function postLater (world: GatewayWorld, host: VirtualHost, delayMs: number, event: GatewayEvent): void {
  const life = host.life
  scheduleIn(world.queue, delayMs, () => { if (host.life === life) post(world, host, event) })
}

/** Gives an event to a host's reducer and carries out its effects. */
export function post (world: GatewayWorld, host: VirtualHost, event: GatewayEvent): void {
  if (!host.isUp) return
  if (host.isPaused) {
    host.held.push(event)
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
