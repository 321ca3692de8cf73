import type { EndReason, GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { GatewayIdentity } from '../../core/gateway/state.js'
import type { Clock } from '../clock.js'
import type { LogEvent } from '../log.js'
import type { BackendSender } from './backendSender.js'
import type { CallerServer } from './callerServer.js'
import type { GatewayExchanges } from './exchanges.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GrantClient } from './grantClient.js'
import type { FleetExchange } from './fleetExchange.js'
import type { GatewayWire, MetadataStore } from './ports.js'
import type { GatewayFollower } from './storeFollower.js'
import { gatewayEventNumbers } from '../../core/gateway/effects.js'
import { grantTimeoutMs, releaseTimeoutMs } from '../../core/gateway/limits.js'
import { runDetached } from '../runDetached.js'
import { encodeGrantingHost, encodeGrantingRecord, encodePlacement, grantingHostKey, lastGrantingHostKey, placementKey } from '../../protocol/placementRecord.js'

/** Dependencies of the effect interpreter. */
export type GatewayInterpreterParts = {
  identity: GatewayIdentity
  clock: Clock
  exchanges: GatewayExchanges
  callerServer: CallerServer
  sender: BackendSender
  grantClient: GrantClient
  fleetExchange: FleetExchange
  store: MetadataStore
  wire: GatewayWire
  storeFollower: GatewayFollower
  metrics: GatewayMetrics
  post: (event: GatewayEvent) => boolean
  log: LogEvent
  /** Ends the process. */
  end: (reason: EndReason, afterMs: number) => void
}

/** Runs one effect of the reducer. */
export function interpretGatewayEffect (effect: GatewayEffect, parts: GatewayInterpreterParts): void {
  switch (effect.kind) {
    case 'send': return runForExchange(parts, effect.id, exchange => parts.sender.send(exchange, effect))
    case 'cancel': return runForExchange(parts, effect.id, exchange => exchange.sendAttempt?.cancel())
    case 'deliver': return runForExchange(parts, effect.id, exchange => parts.callerServer.deliver(exchange))
    case 'refuse': return runForExchange(parts, effect.id, exchange => parts.callerServer.refuse(exchange, effect))
    case 'close-backend': return parts.sender.closeBackend(effect.backend)
    case 'bound-opening': return parts.sender.boundPendingConnects(effect.backend, effect.withinMs, effect.id)
    case 'claim-leadership': return runDetached(claimLeadership(effect, parts))
    case 'settle-granting': return runDetached(writeSettledRecord(effect.leaderRevision, parts))
    case 'renew-lease': return runDetached(renewLease(effect.lease, parts))
    case 'end-lease': return runDetached(parts.store.endLease(effect.lease))
    case 'write-placement': return runDetached(writePlacement(effect, parts))
    case 'read-store': return parts.storeFollower.refresh()
    case 'grant': return sendGrant(effect, parts)
    case 'release': return sendRelease(effect, parts)
    case 'report-load': return parts.fleetExchange.report(effect.address, effect.report, effect.inFlight)
    case 'request-placement':
    case 'notify-predecessor': return parts.fleetExchange.notify(effect.address, effect.report)
    case 'publish-placement': return parts.fleetExchange.publish(effect.change, effect.host)
    case 'watch-store': return parts.storeFollower.setWatching(effect.isOn)
    case 'relay-changes': return parts.fleetExchange.relay()
    case 'set-caller-limits': return parts.callerServer.setLimits(effect.limits)
    case 'end-keep-alive': return parts.callerServer.endKeepAlive()
    case 'close-idle-callers': return parts.callerServer.closeIdle()
    case 'close-callers': return parts.callerServer.close(() => { parts.post({ kind: 'callers-closed', now: parts.clock.now() }) })
    case 'end-program': return parts.end(effect.reason, effect.afterMs)
    case 'count-refusal': return parts.metrics.countRefusal(effect.reason, effect.outcome)
    case 'count-retry': return parts.metrics.countRetry(effect.reason)
    case 'observe-answer': return parts.metrics.observeAnswer(effect.service, effect.ms)
    case 'observe-change': return parts.metrics.observeChange(effect.change, effect.ms)
    case 'log': return parts.log(gatewayEventNumbers[effect.event], effect.event, effect.fields)
  }
}

function runForExchange (parts: GatewayInterpreterParts, id: string, run: (exchange: Parameters<CallerServer['deliver']>[0]) => void): void {
  const exchange = parts.exchanges.get(id)
  if (exchange !== undefined && !exchange.isAnswered) run(exchange)
}

async function claimLeadership (effect: Extract<GatewayEffect, { kind: 'claim-leadership' }>, parts: GatewayInterpreterParts): Promise<void> {
  const { store, clock, identity } = parts
  const created = await store.createLease(effect.ttlMs)
  if (created.kind === 'failed') {
    parts.post({ kind: 'leadership-claimed', now: clock.now(), outcome: 'unknown', lease: 0, revision: 0 })
    return
  }
  const { lease } = created
  const value = encodeGrantingHost({ host: identity.host, address: identity.address })
  const result = await store.write({
    preconditions: [{ key: grantingHostKey, revision: 0 }, { key: lastGrantingHostKey, revision: effect.lastRevision }],
    writes: [{ key: grantingHostKey, value, lease }, { key: lastGrantingHostKey, value: encodeGrantingRecord(effect.record), lease: 0 }]
  })
  if (result.outcome !== 'written') await store.endLease(lease)
  parts.post({ kind: 'leadership-claimed', now: clock.now(), outcome: result.outcome, lease, revision: result.revision })
}

/** Records in the store that all earlier granting hosts have stopped granting. If this write fails, the next granting host only waits longer than necessary. */
async function writeSettledRecord (leaderRevision: number, parts: GatewayInterpreterParts): Promise<void> {
  const { store, identity } = parts
  const value = encodeGrantingRecord({ host: identity.host, address: identity.address, unsettled: [] })
  await store.write({ preconditions: [{ key: grantingHostKey, revision: leaderRevision }], writes: [{ key: lastGrantingHostKey, value, lease: 0 }] })
}

async function renewLease (lease: number, parts: GatewayInterpreterParts): Promise<void> {
  const sentAt = parts.clock.now()
  const outcome = await parts.store.renewLease(lease)
  parts.post({ kind: 'lease-renewed', now: parts.clock.now(), sentAt, outcome })
}

async function writePlacement (effect: Extract<GatewayEffect, { kind: 'write-placement' }>, parts: GatewayInterpreterParts): Promise<void> {
  const result = await parts.store.write({
    preconditions: [{ key: placementKey, revision: effect.revision }, { key: grantingHostKey, revision: effect.leaderRevision }],
    writes: [{ key: placementKey, value: encodePlacement(effect.placement), lease: 0 }]
  })
  parts.post({ kind: 'placement-written', now: parts.clock.now(), outcome: result.outcome, revision: result.revision, write: effect.write })
}

function sendGrant (effect: Extract<GatewayEffect, { kind: 'grant' }>, parts: GatewayInterpreterParts): void {
  const sentAt = parts.clock.now()
  const { service, from, to, fence } = effect
  parts.grantClient.call('grant', effect, parts.wire.encodeGrant(effect), { timeoutMs: grantTimeoutMs, connection: effect.connection }, outcome => {
    parts.post({ kind: 'grant-ended', now: parts.clock.now(), sentAt, service, from, to, fence, outcome })
  })
}

function sendRelease (effect: Extract<GatewayEffect, { kind: 'release' }>, parts: GatewayInterpreterParts): void {
  const { service, from, to, fence } = effect
  parts.grantClient.call('release', effect, parts.wire.encodeRelease(effect), { timeoutMs: releaseTimeoutMs, connection: 'any' }, outcome => {
    parts.post({ kind: 'release-ended', now: parts.clock.now(), service, from, to, fence, outcome })
  })
}
