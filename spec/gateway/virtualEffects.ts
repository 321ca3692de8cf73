import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { GatewayEvent } from '../../src/core/gateway/events.js'
import type { VirtualBackend } from './virtualBackend.js'
import type { VirtualHost, GatewayWorld } from './virtualWorld.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { grantTimeoutMs, releaseTimeoutMs } from '../../src/core/gateway/limits.js'
import { buildFleetLoad, listInFlight } from '../../src/core/gateway/loadExchange.js'
import { scheduleIn } from '../eventQueue.js'
import { acceptWork, isHolding, takeBack, takeGrant } from './virtualBackend.js'
import { createLease, renewLease, writeStore } from './virtualStore.js'
import { linkMs, storeMs, placementKey, grantingKey, lastGrantingKey, isStoreReachable, readStore, tellHosts, postLater, post, endRequest } from './virtualWorld.js'

/** Time after which a call of the store without an answer counts as unknown, in milliseconds. */
const storeTimeoutMs = 1000

export function interpret (world: GatewayWorld, host: VirtualHost, effect: GatewayEffect): void {
  const { queue, store } = world
  switch (effect.kind) {
    case 'send': return sendWork(world, host, effect)
    case 'cancel': {
      const pending = world.pending.get(effect.id)
      if (pending?.work !== undefined) pending.work.canceled = true
      return
    }
    case 'deliver': return endRequest(world, effect.id, 200, undefined)
    case 'refuse': {
      if (effect.reason === 'draining' && effect.status === 504) world.broken.push(`${host.name} cut request ${effect.id} when it stopped`)
      return endRequest(world, effect.id, effect.status, effect.retryAfterMs)
    }
    case 'claim-leadership': return scheduleIn(queue, storeMs * 2, () => {
      // Two calls: a lease, and the record under it. A record that is written late finds its lease ended.
      if (!isStoreReachable(world, host) || isLateCall(world) || isLateCall(world)) return postLater(world, host, storeTimeoutMs, { kind: 'leadership-claimed', now: 0, outcome: 'unknown', lease: 0, revision: 0 })
      const lease = createLease(store, effect.ttlMs, queue.now)
      const value = { host: host.name, address: host.name }
      const conditions = [{ key: grantingKey, revision: 0 }, { key: lastGrantingKey, revision: effect.lastRevision }]
      const written = writeStore(store, conditions, [{ key: grantingKey, value, lease }, { key: lastGrantingKey, value: effect.record, lease: 0 }])
      tellHosts(world, grantingKey)
      tellHosts(world, lastGrantingKey)
      postLater(world, host, storeMs, { kind: 'leadership-claimed', now: 0, outcome: written.outcome, lease, revision: written.revision })
    })
    case 'settle-granting': {
      const settle = () => {
        const value = { host: host.name, address: host.name, unsettled: [] }
        const written = writeStore(store, [{ key: grantingKey, revision: effect.leaderRevision }], [{ key: lastGrantingKey, value, lease: 0 }])
        if (written.outcome === 'written') tellHosts(world, lastGrantingKey)
      }
      return scheduleIn(queue, isLateCall(world) ? chooseLateMs(world) : storeMs, () => { if (isStoreReachable(world, host)) settle() })
    }
    case 'renew-lease': {
      const askedAt = queue.now
      return callStore(world, host, {
        onTime: () => postLater(world, host, storeMs, { kind: 'lease-renewed', now: 0, sentAt: askedAt, outcome: renewLease(store, effect.lease, queue.now) ? 'renewed' : 'ended' }),
        late: () => { renewLease(store, effect.lease, queue.now) },
        unanswered: { kind: 'lease-renewed', now: 0, sentAt: askedAt, outcome: 'unknown' }
      })
    }
    case 'end-lease': return scheduleIn(queue, storeMs, () => {
      const lease = store.leases.get(effect.lease)
      if (lease !== undefined && isStoreReachable(world, host)) lease.until = 0
    })
    case 'write-placement': {
      const write = () => {
        const conditions = [{ key: placementKey, revision: effect.revision }, { key: grantingKey, revision: effect.leaderRevision }]
        const written = writeStore(store, conditions, [{ key: placementKey, value: effect.placement, lease: 0 }])
        if (written.outcome === 'written') tellHosts(world, placementKey)
        return written
      }
      return callStore(world, host, {
        onTime: () => postLater(world, host, storeMs, { kind: 'placement-written', now: 0, ...write(), write: effect.write }),
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
      return scheduleIn(queue, linkMs, () => {
        if (target.isPaused || host.isCutFromHosts || target.isCutFromHosts) return
        if (!target.isUp || target.state.granting.role !== 'leading') return postLater(world, host, linkMs, { kind: 'exchange-ended', now: 0 })
        post(world, target, { kind: 'load-reported', now: 0, report: effect.report })
        postLater(world, host, linkMs, { kind: 'fleet-load-read', now: 0, load: buildFleetLoad(target.state, host.name), reported: listInFlight(effect.report), reportedAt })
      })
    }
    case 'publish-placement': {
      for (const target of world.hosts) {
        if (target === host || host.isCutFromHosts || target.isCutFromHosts || (effect.host !== undefined && effect.host !== target.name)) continue
        const life = target.life
        scheduleIn(queue, linkMs, () => { if (target.life === life) post(world, target, { kind: 'placement-changed', now: 0, change: effect.change }) })
      }
      return
    }
    case 'watch-store': {
      if (effect.isOn) readStore(world, host)
      return
    }
    case 'close-callers': return postLater(world, host, linkMs, { kind: 'callers-closed', now: 0 })
    case 'end-program': return endHost(world, host)
    case 'log': {
      if (effect.event === 'moveStarted') world.moves += 1
    }
  }
}

/** Ends a host that was asked to stop; nothing that it took may be in flight then. */
function endHost (world: GatewayWorld, host: VirtualHost): void {
  for (const id of host.state.requests.keys()) world.broken.push(`${host.name} ended with request ${id} in flight`)
  host.isUp = false
  host.life += 1
}

function isLateCall (world: GatewayWorld): boolean {
  return world.lateStoreCalls > 0 && uniformFloat64(world.random) < world.lateStoreCalls
}

/** Calls the store, which may be away, or carry the call out late and without an answer. */
function callStore (world: GatewayWorld, host: VirtualHost, call: { onTime: () => void, late: () => void, unanswered: GatewayEvent }): void {
  const { queue } = world
  scheduleIn(queue, storeMs, () => {
    if (!isStoreReachable(world, host)) return postLater(world, host, storeTimeoutMs, call.unanswered)
    if (!isLateCall(world)) return call.onTime()
    postLater(world, host, storeTimeoutMs, call.unanswered)
    scheduleIn(queue, chooseLateMs(world), call.late)
  })
}

function chooseLateMs (world: GatewayWorld): number {
  return 2000 + uniformFloat64(world.random) * 8000
}

function findBackend (world: GatewayWorld, host: VirtualHost, address: string): VirtualBackend | undefined {
  const backend = [...world.backends.values()].find(other => other.registration.address === address)
  return backend === undefined || host.unreachable.has(backend.registration.id) ? undefined : backend
}

function sendGrant (world: GatewayWorld, host: VirtualHost, effect: Extract<GatewayEffect, { kind: 'grant' }>): void {
  const { queue } = world
  const sentAt = queue.now
  const { service, from, to, fence } = effect
  const end = (delayMs: number, outcome: Extract<GatewayEvent, { kind: 'grant-ended' }>['outcome']) => {
    postLater(world, host, delayMs + world.grantAnswerDelayMs, { kind: 'grant-ended', now: 0, sentAt, service, from, to, fence, outcome })
  }
  const backend = findBackend(world, host, effect.address)
  if (backend === undefined || backend.state === 'silent') return end(grantTimeoutMs, { kind: 'failed' })
  if (backend.state === 'refusing') return end(linkMs * 2, { kind: 'connection-refused' })
  const isLate = uniformFloat64(world.random) < world.lateGrants
  const delayMs = isLate ? chooseLateMs(world) : linkMs
  const until = queue.now + linkMs + effect.holdMs
  scheduleIn(queue, delayMs, () => {
    if (backend.state !== 'up') return
    const outcome = takeGrant(backend, from, to, fence, until)
    if (outcome.kind === 'granted' && until > queue.now) checkOverlap(world, backend, from, to)
    if (!isLate) end(linkMs, outcome)
  })
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
  if (backend.state === 'refusing') return end(linkMs * 2, { kind: 'connection-refused' })
  const isLate = uniformFloat64(world.random) < world.lateGrants
  scheduleIn(queue, isLate ? chooseLateMs(world) : linkMs, () => takeBack(queue, backend, from, to, fence, () => {
    if (!isLate) end(linkMs, { kind: 'released', handover: 'token' })
  }))
  if (isLate) end(releaseTimeoutMs, { kind: 'failed' })
}

/** Checks that no other backend server that is up holds any of the keys. */
function checkOverlap (world: GatewayWorld, backend: VirtualBackend, from: number, to: number): void {
  for (const other of world.backends.values()) {
    if (other === backend || other.state !== 'up' || other.registration.service !== backend.registration.service) continue
    const shared = other.holds.find(hold => hold.from <= to && from <= hold.to && hold.until > world.queue.now)
    if (shared !== undefined) {
      world.broken.push(`${Math.round(world.queue.now)} ms: keys ${from}-${to} granted to ${backend.registration.id} while ${other.registration.id} holds ${shared.from}-${shared.to}`)
    }
  }
}

function sendWork (world: GatewayWorld, host: VirtualHost, effect: Extract<GatewayEffect, { kind: 'send' }>): void {
  const pending = world.pending.get(effect.id)
  const backend = findBackend(world, host, effect.address)
  if (pending === undefined) return
  const fail = (delayMs: number, failure: 'connection-refused' | 'connect-failed') => {
    postLater(world, host, delayMs, { kind: 'send-failed', now: 0, id: effect.id, attempt: effect.attempt, failure })
  }
  if (backend === undefined || backend.state === 'silent') return fail(400, 'connect-failed')
  if (backend.state === 'refusing') return fail(linkMs * 2, 'connection-refused')
  const isSharded = world.configuration.services.get(backend.registration.service)?.sharded === true
  const onStart = (key: number) => {
    for (const other of world.backends.values()) {
      if (other !== backend && other.state === 'up' && isSharded && isHolding(other, key, world.queue.now) && other.registration.service === backend.registration.service) {
        world.broken.push(`${Math.round(world.queue.now)} ms: key ${key} runs at ${backend.registration.id} while ${other.registration.id} holds it`)
      }
    }
  }
  const common = { now: 0, id: effect.id, attempt: effect.attempt }
  const work = {
    key: pending.key,
    ms: world.workMs(),
    canceled: false,
    done: (status: 'ran' | 'not-run' | 'fenced') => {
      postLater(world, host, linkMs, status === 'ran'
        ? { kind: 'answer-whole', ...common, status: 200, firstByteAt: world.queue.now }
        : { kind: 'not-run-answered', ...common, status: status === 'fenced' ? 421 : 503 })
    }
  }
  pending.work = work
  scheduleIn(world.queue, linkMs, () => {
    if (work.canceled || backend.state !== 'up') return
    if (uniformFloat64(world.random) < backend.shedShare) return work.done('not-run')
    acceptWork(world.queue, backend, work, isSharded, onStart)
  })
}
