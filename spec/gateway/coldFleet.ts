import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { BackendRegistration, Configuration } from '../../src/core/gateway/model.js'
import type { GatewayRules } from '../../src/core/gateway/rules.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import type { EventQueue } from '../eventQueue.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { gatewayTickMs } from '../../src/core/gateway/limits.js'
import { buildLoadAnswer } from '../../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../../src/core/gateway/reduceGateway.js'
import { buildGatewayState } from '../../src/core/gateway/state.js'
import { createEventQueue, scheduleIn } from '../eventQueue.js'

/** Difference between the wall clock and the monotonic clock of a host that was never suspended, in milliseconds. */
const wallOffsetMs = 1_000_000
/** Time without an answer to a report after which a host ends the exchange, in milliseconds. */
const reportTimeoutMs = 800
/** Time by which a request may arrive at the server later than another, in milliseconds. */
const arrivalSpreadMs = 100

/** A host whose monotonic clock stops while it is suspended, as that of a machine does. */
export type ColdHost = {
  name: string
  zone: string
  state: GatewayState
  incarnation: number
  isUp: boolean
  isCut: boolean
  suspendedMs: number
  suspendedSince: number | undefined
  deferred: Array<() => void>
  exchange: { address: string, unanswered: number }
}

/** Hosts with real reducers that send all requests to one cold backend server, with a lease for the granting host, in virtual time. */
export type ColdFleet = {
  queue: EventQueue
  random: RandomGenerator
  rules: GatewayRules
  configuration: Configuration
  backend: BackendRegistration
  hosts: ColdHost[]
  /** Times at which requests arrived at the server. */
  arrivals: number[]
  lostAnswerShare: number
  isStoreDown: boolean
  lease: { id: number, host: string, until: number, revision: number } | undefined
  revision: number
  requests: number
}

/** Options of a fleet of cold servers; `requestsPerSecond` arrive at each host. */
export type ColdFleetOptions = { seed: number, hosts: number, zones: number, requestsPerSecond: number, configuration: Configuration, backend: BackendRegistration, rules: GatewayRules }

/** Creates the fleet and starts its hosts and their callers. */
export function createColdFleet (options: ColdFleetOptions): ColdFleet {
  const { seed, configuration, backend, rules, requestsPerSecond } = options
  const fleet: ColdFleet = { queue: createEventQueue(), random: xoroshiro128plus(seed), rules, configuration, backend, hosts: [], arrivals: [], lostAnswerShare: 0, isStoreDown: false, lease: undefined, revision: 1, requests: 0 }
  for (let index = 0; index < options.hosts; index++) {
    const host: ColdHost = { name: `host-${index}`, zone: `zone-${index % options.zones + 1}`, state: buildState(`host-${index}`, '', 0, 0), incarnation: 0, isUp: false, isCut: false, suspendedMs: 0, suspendedSince: undefined, deferred: [], exchange: { address: '', unanswered: 0 } }
    fleet.hosts.push(host)
    startColdHost(fleet, host)
    const sendNext = () => {
      sendRequest(fleet, host)
      scheduleIn(fleet.queue, -Math.log(1 - uniformFloat64(fleet.random)) * 1000 / requestsPerSecond, sendNext)
    }
    sendNext()
  }
  const checkLease = () => {
    if (fleet.lease !== undefined && fleet.queue.now >= fleet.lease.until && !fleet.isStoreDown) {
      fleet.lease = undefined
      fleet.revision += 1
      for (const host of fleet.hosts) postGrantingHost(fleet, host)
    }
    scheduleIn(fleet.queue, 25, checkLease)
  }
  checkLease()
  return fleet
}

function buildState (name: string, zone: string, seed: number, now: number): GatewayState {
  return buildGatewayState({ host: name, zone, region: 'region-1', regionOf: new Map(), address: name, processorShare: 1, coldRequestsFactor: 1.5, coldRequestsExtra: 8 }, seed, now)
}

/** Announces for how much longer the server is cold to all hosts, after the delay of the store. */
export function announceColdness (fleet: ColdFleet, slowForMs: number): void {
  fleet.backend = { ...fleet.backend, slowForMs, report: (fleet.backend.report ?? 0) + 1 }
  for (const host of fleet.hosts) postLater(fleet, host, 10, () => post(fleet, host, { kind: 'backend-read', now: 0, backend: fleet.backend }))
}

/** Starts a host with empty memory. */
export function startColdHost (fleet: ColdFleet, host: ColdHost): void {
  host.isUp = true
  host.incarnation += 1
  host.exchange = { address: '', unanswered: 0 }
  host.deferred = []
  host.state = buildState(host.name, host.zone, Math.floor(uniformFloat64(fleet.random) * 1e9), readClock(fleet, host))
  readStore(fleet, host)
  const { incarnation } = host
  const tick = () => {
    if (host.incarnation !== incarnation) return
    if (host.suspendedSince === undefined) post(fleet, host, { kind: 'tick', now: 0, wall: fleet.queue.now + wallOffsetMs })
    scheduleIn(fleet.queue, gatewayTickMs, tick)
  }
  tick()
}

/** Ends the process of a host. */
export function killColdHost (host: ColdHost): void {
  host.isUp = false
  host.incarnation += 1
}

/** Suspends the machine of a host: its monotonic clock stops, and what arrives meanwhile is handled after it resumes, in any order with ticks. */
export function pauseColdHost (fleet: ColdFleet, host: ColdHost, forMs: number): void {
  if (host.suspendedSince !== undefined) return
  host.suspendedSince = fleet.queue.now
  scheduleIn(fleet.queue, forMs, () => {
    host.suspendedMs += forMs
    host.suspendedSince = undefined
    for (const run of host.deferred.splice(0)) run()
  })
}

function readClock (fleet: ColdFleet, host: ColdHost): number {
  return (host.suspendedSince ?? fleet.queue.now) - host.suspendedMs
}

function isStoreReachable (fleet: ColdFleet, host: ColdHost): boolean {
  return !fleet.isStoreDown && !host.isCut
}

function readStore (fleet: ColdFleet, host: ColdHost): void {
  if (!isStoreReachable(fleet, host)) return postLater(fleet, host, 200, () => readStore(fleet, host))
  const startedAt = readClock(fleet, host)
  post(fleet, host, { kind: 'configuration-read', now: 0, configuration: fleet.configuration, revision: 1 })
  post(fleet, host, { kind: 'backend-read', now: 0, backend: fleet.backend })
  postGrantingHost(fleet, host)
  post(fleet, host, { kind: 'store-synced', now: 0, startedAt, revision: 0 })
}

function postGrantingHost (fleet: ColdFleet, host: ColdHost): void {
  postLater(fleet, host, 10, () => {
    const { lease, revision } = fleet
    if (!isStoreReachable(fleet, host)) return
    post(fleet, host, { kind: 'granting-host-read', now: 0, granting: lease === undefined ? undefined : { host: lease.host, address: lease.host }, revision: lease?.revision ?? revision })
  })
}

/** Runs a callback for a host after a delay, unless its process has ended by then; while the host is suspended, the callback waits. */
function postLater (fleet: ColdFleet, host: ColdHost, delayMs: number, run: () => void): void {
  const { incarnation } = host
  scheduleIn(fleet.queue, delayMs, () => {
    if (host.incarnation !== incarnation) return
    if (host.suspendedSince === undefined) run()
    else host.deferred.push(() => { if (host.incarnation === incarnation) run() })
  })
}

function post (fleet: ColdFleet, host: ColdHost, event: GatewayEvent): void {
  if (!host.isUp) return
  const now = readClock(fleet, host)
  const step = reduceGateway(host.state, { ...event, now }, fleet.rules, now, fleet.queue.now + wallOffsetMs)
  host.state = step.state
  for (const effect of step.effects) interpret(fleet, host, effect)
}

function sendRequest (fleet: ColdFleet, host: ColdHost): void {
  fleet.requests += 1
  const id = `${fleet.requests}`
  postLater(fleet, host, 0, () => post(fleet, host, { kind: 'request-arrived', now: 0, id, head: { requestId: id, host: 'shop.test', path: '/orders/1', key: undefined, timeoutMs: 3000, bodyBytes: 0, replayable: true } }))
}

function interpret (fleet: ColdFleet, host: ColdHost, effect: GatewayEffect): void {
  const { queue, random } = fleet
  switch (effect.kind) {
    case 'send': {
      const arrivesInMs = uniformFloat64(random) * arrivalSpreadMs
      scheduleIn(queue, arrivesInMs, () => { fleet.arrivals.push(queue.now) })
      return postLater(fleet, host, arrivesInMs + 20, () => post(fleet, host, { kind: 'answer-whole', now: 0, id: effect.id, attempt: effect.attempt, status: 200, firstByteAt: 0 }))
    }
    case 'claim-leadership': return postLater(fleet, host, 15, () => {
      if (!isStoreReachable(fleet, host)) return post(fleet, host, { kind: 'leadership-claimed', now: 0, outcome: 'unknown', lease: 0, revision: 0 })
      if (fleet.lease !== undefined) return post(fleet, host, { kind: 'leadership-claimed', now: 0, outcome: 'conflict', lease: 0, revision: 0 })
      fleet.revision += 1
      fleet.lease = { id: fleet.revision, host: host.name, until: queue.now + effect.ttlMs, revision: fleet.revision }
      const { id, revision } = fleet.lease
      for (const other of fleet.hosts) postGrantingHost(fleet, other)
      postLater(fleet, host, 10, () => post(fleet, host, { kind: 'leadership-claimed', now: 0, outcome: 'written', lease: id, revision }))
    })
    case 'renew-lease': {
      const sentAt = readClock(fleet, host)
      return postLater(fleet, host, 15, () => {
        const { lease } = fleet
        if (!isStoreReachable(fleet, host)) return post(fleet, host, { kind: 'lease-renewed', now: 0, sentAt, outcome: 'unknown' })
        const isValid = lease?.id === effect.lease && lease.until > queue.now
        if (isValid) lease.until = queue.now + 1500
        post(fleet, host, { kind: 'lease-renewed', now: 0, sentAt, outcome: isValid ? 'renewed' : 'ended' })
      })
    }
    case 'report-load': return sendReport(fleet, host, effect)
    case 'read-store': return readStore(fleet, host)
  }
}

function sendReport (fleet: ColdFleet, host: ColdHost, effect: Extract<GatewayEffect, { kind: 'report-load' }>): void {
  const { queue, random } = fleet
  const target = fleet.hosts.find(other => other.name === effect.address)
  if (host.exchange.address !== effect.address) host.exchange = { address: effect.address, unanswered: 0 }
  const { exchange } = host
  exchange.unanswered += 1
  const end = () => {
    if (host.exchange !== exchange) return
    host.exchange = { address: '', unanswered: 0 }
    post(fleet, host, { kind: 'exchange-ended', now: 0, address: effect.address })
  }
  const reportedAt = readClock(fleet, host)
  let isAnswered = false
  postLater(fleet, host, reportTimeoutMs, () => { if (!isAnswered) end() })
  const chooseDelayMs = () => 1 + uniformFloat64(random) * 60
  if (target === undefined) return
  postLater(fleet, target, chooseDelayMs(), () => {
    if (!target.isUp || host.isCut || target.isCut) return
    const load = buildLoadAnswer(target.state, host.name, { now: readClock(fleet, target), wall: queue.now + wallOffsetMs })
    if (load !== undefined) post(fleet, target, { kind: 'load-reported', now: 0, report: effect.report })
    if (uniformFloat64(random) < fleet.lostAnswerShare) return
    postLater(fleet, host, chooseDelayMs(), () => {
      isAnswered = true
      if (load === undefined) return end()
      post(fleet, host, { kind: 'fleet-load-read', now: 0, load, reported: effect.inFlight, reportedAt })
    })
  })
}

/** Counts the most requests that arrived within any second. */
export function countBusiestSecond (times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b)
  let first = 0
  let most = 0
  sorted.forEach((at, index) => {
    while (at - (sorted[first] ?? at) >= 1000) first += 1
    most = Math.max(most, index - first + 1)
  })
  return most
}
