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
import { buildVirtualStore, endExpiredLeases } from './virtualStore.js'
import { readStore, notifyHosts, postFromStore, post, endRequest, wallOffsetMs } from './virtualWorld.js'
import { interpret } from './virtualEffects.js'

/** Time between two checks for expired leases, in milliseconds. */
const leaseCheckMs = 25

/** Builds a world whose hosts start with empty memory; they are spread evenly over `zones` availability zones. */
export function createGatewayWorld (options: { seed: number, hosts: number, zones?: number | undefined, configuration: Configuration, rules: GatewayRules }): GatewayWorld {
  const world: GatewayWorld = {
    queue: createEventQueue(),
    random: xoroshiro128plus(options.seed),
    rules: options.rules,
    configuration: options.configuration,
    store: buildVirtualStore(),
    hosts: [],
    backends: new Map(),
    outcomes: [],
    pending: new Map(),
    violations: [],
    moves: 0,
    unregistered: new Set(),
    fenceOwners: new Map(),
    lateGrantShare: 0,
    grantAnswerDelayMs: 0,
    lateStoreCallShare: 0,
    loadReports: 'none',
    workMs: () => 75,
    interpret
  }
  for (let index = 0; index < options.hosts; index++) {
    const zone = `zone-${index % (options.zones ?? 1) + 1}`
    world.hosts.push({ name: `host-${index}`, zone, state: buildState(`host-${index}`, zone, options.seed + index, 0), isUp: true, isPaused: false, isCutFromStore: false, isCutFromHosts: false, knownRestores: 0, unreachableBackends: new Set(), grantConnections: new Map(), incarnation: 1, exchange: { address: '', unanswered: [] }, deferredEvents: [], clockOffset: 0 })
  }
  world.hosts.forEach((host, index) => scheduleIn(world.queue, index, () => startHost(world, host)))
  const checkLeases = () => {
    if (!world.store.isDown || world.store.hasExpiryWhileDown) for (const key of endExpiredLeases(world.store, world.queue.now)) notifyHosts(world, key)
    scheduleIn(world.queue, leaseCheckMs, checkLeases)
  }
  checkLeases()
  return world
}

function buildState (name: string, zone: string, seed: number, now: number): GatewayState {
  return buildGatewayState({ host: name, zone, region: 'region-1', regionOf: new Map(), address: name, processorShare: 1 }, seed, now)
}

/** Adds a backend server and announces it to the hosts. */
export function addBackend (world: GatewayWorld, registration: BackendRegistration, slowness = 1): VirtualBackend {
  const backend = buildVirtualBackend(registration, slowness)
  world.backends.set(registration.id, backend)
  for (const host of world.hosts) postFromStore(world, host, { kind: 'backend-read', now: 0, backend: registration })
  return backend
}

/** Announces a changed registration, or its removal when it is undefined, to the hosts that reach the store. */
export function announceBackend (world: GatewayWorld, id: string, registration: BackendRegistration | undefined): void {
  for (const host of world.hosts) {
    postFromStore(world, host, registration === undefined ? { kind: 'backend-gone', now: 0, id, graceMs: undefined } : { kind: 'backend-read', now: 0, backend: registration })
  }
}

function startHost (world: GatewayWorld, host: VirtualHost): void {
  readStore(world, host)
  const incarnation = host.incarnation
  const tick = () => {
    if (host.incarnation !== incarnation) return
    if (!host.isPaused) post(world, host, { kind: 'tick', now: 0, wall: world.queue.now + wallOffsetMs })
    scheduleIn(world.queue, gatewayTickMs, tick)
  }
  tick()
}

/** Kills a host; its requests end without an answer. */
export function killHost (world: GatewayWorld, host: VirtualHost): void {
  host.isUp = false
  host.incarnation += 1
  for (const id of host.state.requests.keys()) endRequest(world, id, 0, undefined)
}

/** Restarts a host that is down, with empty memory. */
export function restartHost (world: GatewayWorld, host: VirtualHost): void {
  host.isUp = true
  host.isPaused = false
  host.exchange = { address: '', unanswered: [] }
  host.knownRestores = 0
  host.grantConnections = new Map()
  host.state = buildState(host.name, host.zone, Math.floor(uniformFloat64(world.random) * 1e9), world.queue.now)
  startHost(world, host)
}

/** Resumes a paused host and posts the events that were deferred. */
export function resumeHost (world: GatewayWorld, host: VirtualHost): void {
  host.isPaused = false
  const deferredEvents = host.deferredEvents
  host.deferredEvents = []
  for (const event of deferredEvents) post(world, host, event)
}

let requestCount = 0

/** Sends a caller's request to a host, and calls `then` with its outcome. */
export function callHost (world: GatewayWorld, host: VirtualHost, request: { path: string, service: string, key: number | undefined, timeoutMs: number }, then: (outcome: RequestOutcome) => void): void {
  requestCount += 1
  const id = `${requestCount}`
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
