import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { VirtualBackend } from './virtualBackend.js'
import type { VirtualHost, GatewayWorld } from './virtualWorld.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { grantTimeoutMs, releaseTimeoutMs } from '../../src/core/gateway/limits.js'
import { buildLoadAnswer } from '../../src/core/gateway/loadExchange.js'
import { buildNewerPlacement } from '../../src/core/gateway/restoredStore.js'
import { scheduleIn } from '../eventQueue.js'
import { acceptWork, hasGrant, releaseGrant, acceptGrant } from './virtualBackend.js'
import { createLease, findLease, renewLease, writeStore } from './virtualStore.js'
import { linkDelayMs, storeDelayMs, placementKey, grantingHostKey, lastGrantingHostKey, isStoreReachable, readStore, notifyHosts, postLater, post, postRestore, endRequest, reportTimeoutMs, wallOffsetMs } from './virtualWorld.js'

/** Time after which the outcome of an unanswered store call counts as unknown, in milliseconds. */
const storeTimeoutMs = 1000

/** Applies an effect of a host's reducer to the simulated world. */
export function interpret (world: GatewayWorld, host: VirtualHost, effect: GatewayEffect): void {
  const { queue, store } = world
  switch (effect.kind) {
    case 'send': return sendWork(world, host, effect)
    case 'cancel': {
      const pending = world.pending.get(effect.id)
      if (pending?.work !== undefined) pending.work.isCanceled = true
      return
    }
    case 'deliver': return endRequest(world, effect.id, 200, undefined)
    case 'refuse': {
      if (effect.reason === 'draining' && effect.status === 504) world.violations.push(`${host.name} cut request ${effect.id} when it stopped`)
      return endRequest(world, effect.id, effect.status, effect.retryAfterMs)
    }
    case 'claim-leadership': return scheduleIn(queue, storeDelayMs * 2, () => {
      // A claim takes two store calls: the creation of a lease, and a write of the record under it. A late write finds its lease ended.
      if (!isStoreReachable(world, host) || isStoreCallLate(world) || isStoreCallLate(world)) return postLater(world, host, storeTimeoutMs, { kind: 'leadership-claimed', now: 0, outcome: 'unknown', lease: 0, revision: 0 })
      postRestore(world, host)
      const lease = createLease(store, effect.ttlMs, queue.now)
      const value = { host: host.name, address: host.name }
      const conditions = [{ key: grantingHostKey, revision: 0 }, { key: lastGrantingHostKey, revision: effect.lastRevision }]
      const written = writeStore(store, conditions, [{ key: grantingHostKey, value, lease }, { key: lastGrantingHostKey, value: effect.record, lease: 0 }])
      notifyHosts(world, grantingHostKey)
      notifyHosts(world, lastGrantingHostKey)
      postLater(world, host, storeDelayMs, { kind: 'leadership-claimed', now: 0, outcome: written.outcome, lease, revision: written.revision })
    })
    case 'settle-granting': {
      const settle = () => {
        const value = { host: host.name, address: host.name, unsettled: [] }
        const written = writeStore(store, [{ key: grantingHostKey, revision: effect.leaderRevision }], [{ key: lastGrantingHostKey, value, lease: 0 }])
        if (written.outcome === 'written') notifyHosts(world, lastGrantingHostKey)
      }
      return scheduleIn(queue, isStoreCallLate(world) ? chooseLateMs(world) : storeDelayMs, () => { if (isStoreReachable(world, host)) settle() })
    }
    case 'renew-lease': {
      const askedAt = queue.now
      return callStore(world, host, {
        onTime: () => postLater(world, host, storeDelayMs, { kind: 'lease-renewed', now: 0, sentAt: askedAt, outcome: renewLease(store, effect.lease, queue.now) ? 'renewed' : 'ended' }),
        late: () => { renewLease(store, effect.lease, queue.now) },
        unanswered: { kind: 'lease-renewed', now: 0, sentAt: askedAt, outcome: 'unknown' }
      })
    }
    case 'end-lease': return scheduleIn(queue, storeDelayMs, () => {
      const lease = findLease(store, effect.lease)
      if (lease !== undefined && isStoreReachable(world, host)) lease.until = 0
    })
    case 'write-placement': {
      const write = () => {
        const conditions = [{ key: placementKey, revision: effect.revision }, { key: grantingHostKey, revision: effect.leaderRevision }]
        const written = writeStore(store, conditions, [{ key: placementKey, value: effect.placement, lease: 0 }])
        if (written.outcome === 'written') notifyHosts(world, placementKey)
        return written
      }
      return callStore(world, host, {
        onTime: () => postLater(world, host, storeDelayMs, { kind: 'placement-written', now: 0, ...write(), write: effect.write }),
        late: write,
        unanswered: { kind: 'placement-written', now: 0, outcome: 'unknown', revision: 0, write: effect.write }
      })
    }
    case 'read-store': return readStore(world, host)
    case 'grant': return sendGrant(world, host, effect)
    case 'release': return sendRelease(world, host, effect)
    case 'report-load': {
      const target = world.hosts.find(other => other.name === effect.address)
      if (target === undefined) return
      const reportedAt = queue.now
      const { exchange } = host
      const isOverdue = exchange.address === effect.address && queue.now - (exchange.unanswered[0] ?? queue.now) > reportTimeoutMs
      if (isOverdue) postLater(world, host, 0, { kind: 'exchange-ended', now: 0, address: effect.address })
      if (isOverdue || exchange.address !== effect.address) host.exchange = { address: effect.address, unanswered: [] }
      host.exchange.unanswered.push(reportedAt)
      const opened = host.exchange
      return scheduleIn(queue, linkDelayMs, () => {
        if (target.isPaused || host.isCutFromHosts || target.isCutFromHosts) return
        const load = target.isUp ? buildLoadAnswer(target.state, host.name, { now: queue.now, wall: queue.now + wallOffsetMs }) : undefined
        if (load === undefined) {
          if (host.exchange === opened) host.exchange = { address: '', unanswered: [] }
          return postLater(world, host, linkDelayMs, { kind: 'exchange-ended', now: 0, address: effect.address })
        }
        post(world, target, { kind: 'load-reported', now: 0, report: effect.report })
        scheduleIn(queue, linkDelayMs, () => {
          if (host.exchange !== opened) return
          opened.unanswered.shift()
          postLater(world, host, 0, { kind: 'fleet-load-read', now: 0, load, reported: effect.inFlight, reportedAt })
        })
      })
    }
    case 'notify-predecessor': {
      const target = world.hosts.find(other => other.name === effect.address)
      return scheduleIn(queue, linkDelayMs, () => {
        if (target === undefined || target.isPaused || host.isCutFromHosts || target.isCutFromHosts || target.state.granting.role !== 'leading') return
        post(world, target, { kind: 'load-reported', now: 0, report: effect.report })
      })
    }
    case 'request-placement': {
      const target = world.hosts.find(other => other.name === effect.address)
      return scheduleIn(queue, linkDelayMs, () => {
        if (target === undefined || !target.isUp || target.isPaused || host.isCutFromHosts || target.isCutFromHosts) return
        const change = buildNewerPlacement(target.state, effect.report)
        if (change !== undefined) postLater(world, host, linkDelayMs, { kind: 'placement-found', now: 0, change })
      })
    }
    case 'publish-placement': {
      for (const target of world.hosts) {
        if (target === host || target.exchange.address !== host.name || host.isCutFromHosts || target.isCutFromHosts || (effect.host !== undefined && effect.host !== target.name)) continue
        const incarnation = target.incarnation
        scheduleIn(queue, linkDelayMs, () => { if (target.incarnation === incarnation) post(world, target, { kind: 'placement-changed', now: 0, change: effect.change }) })
      }
      return
    }
    case 'watch-store': {
      if (effect.isOn) readStore(world, host)
      return
    }
    case 'close-callers': return postLater(world, host, linkDelayMs, { kind: 'callers-closed', now: 0 })
    case 'end-program': return endHost(world, host)
    case 'log': {
      if (effect.event === 'moveStarted') world.moves += 1
    }
  }
}

/** Ends a host that was asked to stop; none of its requests may be in flight then. */
function endHost (world: GatewayWorld, host: VirtualHost): void {
  for (const id of host.state.requests.keys()) world.violations.push(`${host.name} ended with request ${id} in flight`)
  host.isUp = false
  host.incarnation += 1
}

function isStoreCallLate (world: GatewayWorld): boolean {
  return world.lateStoreCallShare > 0 && uniformFloat64(world.random) < world.lateStoreCallShare
}

/** Calls the store, which may be unreachable, or may apply the call late without answering it. */
function callStore (world: GatewayWorld, host: VirtualHost, call: { onTime: () => void, late: () => void, unanswered: GatewayEvent }): void {
  const { queue } = world
  scheduleIn(queue, storeDelayMs, () => {
    if (!isStoreReachable(world, host)) return postLater(world, host, storeTimeoutMs, call.unanswered)
    if (!isStoreCallLate(world)) {
      postRestore(world, host)
      return call.onTime()
    }
    postLater(world, host, storeTimeoutMs, call.unanswered)
    scheduleIn(queue, chooseLateMs(world), call.late)
  })
}

function chooseLateMs (world: GatewayWorld): number {
  return 2000 + uniformFloat64(world.random) * 8000
}

function findBackend (world: GatewayWorld, host: VirtualHost, address: string): VirtualBackend | undefined {
  const backend = [...world.backends.values()].find(other => other.registration.address === address)
  return backend === undefined || host.unreachableBackends.has(backend.registration.id) ? undefined : backend
}

function sendGrant (world: GatewayWorld, host: VirtualHost, effect: Extract<GatewayEffect, { kind: 'grant' }>): void {
  const { queue } = world
  const sentAt = queue.now
  const { service, from, to, fence } = effect
  const end = (delayMs: number, outcome: Extract<GatewayEvent, { kind: 'grant-ended' }>['outcome']) => {
    postLater(world, host, delayMs + world.grantAnswerDelayMs, { kind: 'grant-ended', now: 0, sentAt, service, from, to, fence, outcome })
  }
  const backend = findBackend(world, host, effect.address)
  const id = effect.backend
  const isKept = host.grantConnections.has(id)
  // A connection of an earlier process is reset by the server.
  if (isKept && backend !== undefined && host.grantConnections.get(id) !== backend.process) host.grantConnections.delete(id)
  if (effect.connection === 'kept' && !host.grantConnections.has(id)) return end(isKept ? linkDelayMs * 2 : 0, { kind: isKept ? 'failed' : 'not-sent' })
  const { process } = backend ?? { process: 0 }
  const incarnation = host.incarnation
  const closeConnection = () => { if (host.incarnation === incarnation) host.grantConnections.delete(id) }
  // The connection of a call without an answer is closed.
  if (backend === undefined || backend.state === 'silent') scheduleIn(queue, grantTimeoutMs, closeConnection)
  if (backend === undefined || backend.state === 'silent') return end(grantTimeoutMs, { kind: 'failed' })
  if (backend.state === 'refusing') return end(linkDelayMs * 2, { kind: 'connection-refused' })
  const isLate = uniformFloat64(world.random) < world.lateGrantShare
  const delayMs = isLate ? chooseLateMs(world) : linkDelayMs
  const expiresAt = queue.now + linkDelayMs + effect.holdMs
  scheduleIn(queue, delayMs, () => {
    if (backend.state !== 'up' || (effect.connection === 'kept' && backend.process !== process)) return
    const outcome = acceptGrant(backend, from, to, fence, expiresAt)
    if (outcome.kind === 'granted' && expiresAt > queue.now) checkOverlap(world, backend, from, to)
    if (outcome.kind === 'granted') checkFence(world, id, fence)
    if (!isLate) end(linkDelayMs, outcome)
    if (!isLate && outcome.kind === 'granted' && host.incarnation === incarnation) host.grantConnections.set(id, backend.process)
  })
  if (isLate) scheduleIn(queue, grantTimeoutMs, closeConnection)
  if (isLate) end(grantTimeoutMs, { kind: 'failed' })
}

function sendRelease (world: GatewayWorld, host: VirtualHost, effect: Extract<GatewayEffect, { kind: 'release' }>): void {
  const { queue } = world
  const { service, from, to, fence } = effect
  const end = (delayMs: number, outcome: Extract<GatewayEvent, { kind: 'release-ended' }>['outcome']) => {
    postLater(world, host, delayMs, { kind: 'release-ended', now: 0, service, from, to, fence, outcome })
  }
  const backend = findBackend(world, host, effect.address)
  if (backend === undefined || backend.state === 'silent') return end(releaseTimeoutMs, { kind: 'failed' })
  if (backend.state === 'refusing') return end(linkDelayMs * 2, { kind: 'connection-refused' })
  const isLate = uniformFloat64(world.random) < world.lateGrantShare
  scheduleIn(queue, isLate ? chooseLateMs(world) : linkDelayMs, () => releaseGrant(queue, backend, from, to, fence, () => {
    if (!isLate) end(linkDelayMs, { kind: 'released', handover: 'token' })
  }))
  if (isLate) end(releaseTimeoutMs, { kind: 'failed' })
}

/** Checks that no other running backend server holds a grant for any of the keys. */
function checkOverlap (world: GatewayWorld, backend: VirtualBackend, from: number, to: number): void {
  for (const other of world.backends.values()) {
    if (other === backend || other.state !== 'up' || other.registration.service !== backend.registration.service) continue
    const shared = other.grants.find(grant => grant.from <= to && from <= grant.to && grant.expiresAt > world.queue.now)
    if (shared !== undefined) {
      world.violations.push(`${Math.round(world.queue.now)} ms: keys ${from}-${to} granted to ${backend.registration.id} while ${other.registration.id} holds a grant for ${shared.from}-${shared.to}`)
    }
  }
}

/** Reports a backend server's load with an answer. */
function postLoad (world: GatewayWorld, host: VirtualHost, backend: VirtualBackend, hasRun: boolean): void {
  if (world.loadReports === 'none') return
  const { registration, running, queued, noise } = backend
  const answered = hasRun && world.loadReports === 'with-answered' ? 1 : 0
  const load = { running: running.length + answered, waiting: queued.length, slots: registration.slots, slowdown: noise }
  postLater(world, host, linkDelayMs, { kind: 'signals-read', now: 0, backend: registration.id, startedAt: registration.startedAt, signals: { isLeaving: false, pauseMs: undefined, coldMs: undefined, load } })
}

/** Checks that a fencing token is never granted to two backend servers. */
function checkFence (world: GatewayWorld, backend: string, fence: number): void {
  const owner = world.fenceOwners.get(fence) ?? backend
  world.fenceOwners.set(fence, owner)
  if (owner !== backend) world.violations.push(`${Math.round(world.queue.now)} ms: fencing token ${fence} granted to ${backend} after ${owner}`)
}

function sendWork (world: GatewayWorld, host: VirtualHost, effect: Extract<GatewayEffect, { kind: 'send' }>): void {
  const pending = world.pending.get(effect.id)
  const backend = findBackend(world, host, effect.address)
  if (pending === undefined) return
  const fail = (delayMs: number, failure: 'connection-refused' | 'connect-failed') => {
    postLater(world, host, delayMs, { kind: 'send-failed', now: 0, id: effect.id, attempt: effect.attempt, failure })
  }
  if (backend === undefined || backend.state === 'silent') return fail(400, 'connect-failed')
  if (backend.state === 'refusing') return fail(linkDelayMs * 2, 'connection-refused')
  const isSharded = world.configuration.services.get(backend.registration.service)?.sharded === true
  const onStart = (key: number) => {
    for (const other of world.backends.values()) {
      if (other !== backend && other.state === 'up' && isSharded && hasGrant(other, key, world.queue.now) && other.registration.service === backend.registration.service) {
        world.violations.push(`${Math.round(world.queue.now)} ms: a request for key ${key} runs at ${backend.registration.id} while ${other.registration.id} holds a grant for it`)
      }
    }
  }
  const common = { now: 0, id: effect.id, attempt: effect.attempt }
  const work = {
    key: pending.key,
    ms: world.workMs(),
    isCanceled: false,
    done: (status: 'ran' | 'not-run' | 'fenced') => {
      postLoad(world, host, backend, status === 'ran')
      postLater(world, host, linkDelayMs, status === 'ran'
        ? { kind: 'answer-whole', ...common, status: 200, firstByteAt: world.queue.now }
        : { kind: 'not-run-answered', ...common, status: status === 'fenced' ? 421 : 503 })
    }
  }
  pending.work = work
  scheduleIn(world.queue, linkDelayMs, () => {
    if (work.isCanceled || backend.state !== 'up') return
    if (uniformFloat64(world.random) < backend.shedShare) return work.done('not-run')
    acceptWork(world.queue, backend, work, isSharded, onStart)
  })
}
