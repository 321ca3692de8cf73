import type { BackendRegistration, Configuration } from '../../src/core/gateway/model.js'
import type { GatewayRules } from '../../src/core/gateway/rules.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import type { VirtualBackend } from './virtualBackend.js'
import type { VirtualHost, RequestOutcome, GatewayWorld } from './virtualWorld.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { gatewayTickMs } from '../../src/core/gateway/limits.js'
import { buildGatewayState } from '../../src/core/gateway/state.js'
import { createEventQueue, scheduleIn } from '../eventQueue.js'
import { buildVirtualBackend } from './virtualBackend.js'
import { buildVirtualStore, endLeases } from './virtualStore.js'
import { readStore, tellHosts, tellLater, post, endRequest } from './virtualWorld.js'
import { interpret } from './virtualEffects.js'

/** Time between two looks for leases that ran out, in milliseconds. */
const leaseCheckMs = 25

/** Builds a world with empty hosts. */
export function createGatewayWorld (parts: { seed: number, hosts: number, configuration: Configuration, rules: GatewayRules }): GatewayWorld {
  const world: GatewayWorld = {
    queue: createEventQueue(),
    random: xoroshiro128plus(parts.seed),
    rules: parts.rules,
    configuration: parts.configuration,
    store: buildVirtualStore(),
    hosts: [],
    backends: new Map(),
    outcomes: [],
    pending: new Map(),
    broken: [],
    moves: 0,
    lateGrants: 0,
    grantAnswerDelayMs: 0,
    lateStoreCalls: 0,
    workMs: () => 75,
    interpret
  }
  for (let index = 0; index < parts.hosts; index++) {
    world.hosts.push({ name: `host-${index}`, state: buildState(`host-${index}`, parts.seed + index, 0), isUp: true, isPaused: false, isCutFromStore: false, isCutFromHosts: false, unreachable: new Set(), life: 1, held: [], clockOffset: 0 })
  }
  world.hosts.forEach((host, index) => scheduleIn(world.queue, index, () => startHost(world, host)))
  const sweep = () => {
    if (!world.store.isDown || world.store.lapses) for (const key of endLeases(world.store, world.queue.now)) tellHosts(world, key)
    scheduleIn(world.queue, leaseCheckMs, sweep)
  }
  sweep()
  return world
}

function buildState (name: string, seed: number, now: number): GatewayState {
  return buildGatewayState({ host: name, zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: name, processorShare: 1 }, seed, now)
}

/** Adds a backend server and tells the hosts. */
export function addBackend (world: GatewayWorld, registration: BackendRegistration, slowness = 1): VirtualBackend {
  const backend = buildVirtualBackend(registration, slowness)
  world.backends.set(registration.id, backend)
  for (const host of world.hosts) tellLater(world, host, { kind: 'backend-read', now: 0, backend: registration })
  return backend
}

/** Changes or removes a registration, as the store tells it. */
export function announceBackend (world: GatewayWorld, id: string, registration: BackendRegistration | undefined): void {
  for (const host of world.hosts) {
    tellLater(world, host, registration === undefined ? { kind: 'backend-gone', now: 0, id, graceMs: undefined } : { kind: 'backend-read', now: 0, backend: registration })
  }
}

function startHost (world: GatewayWorld, host: VirtualHost): void {
  readStore(world, host)
  const life = host.life
  const tick = () => {
    if (host.life !== life) return
    if (!host.isPaused) post(world, host, { kind: 'tick', now: 0, wall: world.queue.now + 1_000_000 })
    scheduleIn(world.queue, gatewayTickMs, tick)
  }
  tick()
}

/** Kills a host; its requests break off. */
export function killHost (world: GatewayWorld, host: VirtualHost): void {
  host.isUp = false
  host.life += 1
  for (const id of host.state.requests.keys()) endRequest(world, id, 0, undefined)
}

/** Starts a killed host again with nothing in memory. */
export function restartHost (world: GatewayWorld, host: VirtualHost): void {
  host.isUp = true
  host.isPaused = false
  host.state = buildState(host.name, Math.floor(uniformFloat64(world.random) * 1e9), world.queue.now)
  startHost(world, host)
}

/** Lets a paused host go on; what it missed comes in at once. */
export function resumeHost (world: GatewayWorld, host: VirtualHost): void {
  host.isPaused = false
  const held = host.held
  host.held = []
  for (const event of held) post(world, host, event)
}

let nextRequest = 0

/** Sends a request of a caller to a host; `then` is told what became of it. */
export function callHost (world: GatewayWorld, host: VirtualHost, request: { path: string, service: string, key: number | undefined, timeoutMs: number }, then: (outcome: RequestOutcome) => void): void {
  nextRequest += 1
  const id = `${nextRequest}`
  const at = world.queue.now
  world.pending.set(id, { at, service: request.service, key: request.key, work: undefined, then })
  if (!host.isUp) return endRequest(world, id, 0, undefined)
  post(world, host, {
    kind: 'request-arrived',
    now: 0,
    id,
    head: { requestId: id, host: 'shop.test', path: request.path, key: request.key, timeoutMs: request.timeoutMs, bodyBytes: 0, replayable: true }
  })
  scheduleIn(world.queue, request.timeoutMs, () => {
    if (!world.pending.has(id)) return
    endRequest(world, id, 0, undefined)
    post(world, host, { kind: 'caller-gone', now: 0, id })
  })
}
