import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { KeyRange } from '../src/core/gateway/model.js'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { applyChange, buildStoreView, replaceLargeValues, listChangesSince } from '../src/core/gateway/storeView.js'
import { encodePlacementChange, encodeStoreChanges } from '../src/protocol/fleetUpdate.js'
import { createSharedUpdates } from '../src/runtime/gateway/sharedUpdates.js'

const hosts = 75
const owners = 218
const backends = 270
const confirmations = 100
const reportRounds = 20
const relayedChanges = 20
const relayRounds = 20

/** Measures what the hosts of a large fleet cost the granting host. */
export function measureFleetSlopes (): Array<Record<string, string | number>> {
  return [measureConfirmations(), measureReports(), measureRelay()]
}

function buildHolder (index: number) {
  return { id: `i-${index}`, startedAt: 1_790_000_000_000 + index, address: `10.1.${index >> 8}.${index & 255}:8080` }
}

/** Builds one range for each owner; the first `moving` ones are moving to their owners. */
function buildRanges (moving: number): KeyRange[] {
  const width = Math.floor(65_536 / owners)
  return Array.from({ length: owners }, (_, index) => ({
    from: index * width,
    to: index === owners - 1 ? 65_535 : (index + 1) * width - 1,
    owner: buildHolder(index),
    fence: index + 1,
    phase: index < moving ? 'moving' as const : 'held' as const,
    previous: index < moving ? buildHolder(index + 1) : undefined
  }))
}

/** Starts a granting host for the ranges. The caller answers the grants and releases that it sends to owners. */
function startGrantingHost (ranges: KeyRange[]) {
  const rules = { ...buildGatewayRules(), planMoves: () => [] }
  let state = buildGatewayState({ host: 'host-0', zone: 'z', region: 'r', regionOf: new Map(), address: 'host-0', processorShare: 1 }, 1, 0)
  let now = 0
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, { ...event, now }, rules)
    state = step.state
    return step.effects
  }
  const route = { name: 'a', host: 'a.test', pathPrefix: '/', targets: [{ service: 's', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }
  const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
  post({ kind: 'configuration-read', now, configuration: { version: 1, routes: [route], services: new Map([['s', { name: 's', sharded: true, warmupMs: 0 }]]), limits }, revision: 1 })
  for (let index = 0; index < backends; index++) post({ kind: 'backend-read', now, backend: { ...buildHolder(index), service: 's', zone: 'z', slots: 4, leaving: false, slowForMs: 0 } })
  post({ kind: 'placement-read', now, placement: { nextFence: owners + 1, services: new Map([['s', ranges]]), memory: { hosts, serviceMs: new Map() } }, revision: 2 })
  post({ kind: 'store-synced', now, startedAt: 0, revision: 2 })
  const runFor = (ms: number): GatewayEffect[] => {
    const effects: GatewayEffect[] = []
    for (const end = now + ms; now < end;) {
      now += 20
      for (const effect of post({ kind: 'tick', now, wall: now })) {
        effects.push(effect)
        if (effect.kind === 'claim-leadership') effects.push(...post({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: 3 }))
        if (effect.kind === 'renew-lease') effects.push(...post({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' }))
      }
      if (state.granting.role === 'leading' && state.syncStartedAt < state.granting.leaderSince) effects.push(...post({ kind: 'store-synced', now, startedAt: now, revision: 3 }))
    }
    return effects
  }
  return { post, runFor, getState: () => state }
}

/** Measures how long the granting host takes to apply confirmations that arrive together and to encode them for all hosts. */
function measureConfirmations (): Record<string, string | number> {
  const grantingHost = startGrantingHost(buildRanges(confirmations))
  const releases = grantingHost.runFor(400).filter(effect => effect.kind === 'release')
  const grants = new Map<number, Extract<GatewayEffect, { kind: 'grant' }>>()
  for (const { service, from, to, fence } of releases) {
    const effects = grantingHost.post({ kind: 'release-ended', now: 0, service, from, to, fence, outcome: { kind: 'released', handover: 'token' } })
    for (const effect of effects) if (effect.kind === 'grant' && effect.handover !== undefined) grants.set(effect.fence, effect)
  }
  let messages = 0
  const startedAt = performance.now()
  const encodePublished = (effects: GatewayEffect[]) => {
    for (const effect of effects) if (effect.kind === 'publish-placement') messages += encodeForHosts(effect.change)
  }
  for (const { service, from, to, fence } of grants.values()) {
    encodePublished(grantingHost.post({ kind: 'grant-ended', now: 0, sentAt: grantingHost.getState().now, service, from, to, fence, outcome: { kind: 'granted' } }))
  }
  const laterEffects = grantingHost.runFor(100)
  encodePublished(laterEffects)
  return { slope: `telling ${hosts - 1} hosts of confirmations that come in together, ms`, confirmations: grants.size, messages, figure: Math.round((performance.now() - startedAt) * 10) / 10 }
}

/** Encodes a change of owners for all other hosts; returns the number of messages. */
function encodeForHosts (change: Parameters<typeof encodePlacementChange>[0]): number {
  return encodeForStreams({ $case: 'placement', placement: encodePlacementChange(change) })
}

/** Measures the time of applying one load report and building the fleet load that answers it, in microseconds. */
function measureReports (): Record<string, string | number> {
  const grantingHost = startGrantingHost(buildRanges(0))
  grantingHost.runFor(400)
  const report = (host: number) => {
    const loads = Array.from({ length: backends }, (_, index) => ({ id: `i-${index}`, inFlight: (index + host) % 4, answered: 2, serviceMsSum: 150 }))
    const { placementVersion, storeRevision } = grantingHost.getState()
    grantingHost.post({ kind: 'load-reported', now: 0, report: { host: `host-${host}`, backends: loads, keys: [], placement: placementVersion, wantsPlacement: false, storeRevision, granting: undefined, zone: 'zone-1', renewed: [] } })
    return buildFleetLoad(grantingHost.getState(), `host-${host}`)
  }
  for (let host = 1; host < hosts; host++) report(host)
  const startedAt = performance.now()
  for (let round = 0; round < reportRounds; round++) for (let host = 1; host < hosts; host++) report(host)
  const us = (performance.now() - startedAt) * 1000 / reportRounds / (hosts - 1)
  return { slope: 'taking a report and building the view that answers it, us', hosts, backends, figure: Math.round(us) }
}

/** Measures how long it takes to list and encode store changes for hosts that are at the same revision, in milliseconds. */
function measureRelay (): Record<string, string | number> {
  const view = buildStoreView()
  const writeAll = (count: number) => {
    for (let index = 0; index < count; index++) {
      const revision = (view.revision ?? 0) + 1
      applyChange(view, { key: `servers/i-${index}`, value: JSON.stringify({ ...buildHolder(index), service: 's', zone: 'z', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: revision }), revision })
      view.revision = revision
    }
  }
  writeAll(backends)
  let ms = 0
  for (let round = 0; round < relayRounds; round++) {
    const from = view.revision ?? 0
    writeAll(relayedChanges)
    const startedAt = performance.now()
    const changes = listChangesSince(view, from)
    if (changes !== undefined) encodeForStreams({ $case: 'changes', changes: encodeStoreChanges(replaceLargeValues({ ...changes, graceMs: 0 }, hosts - 1)) })
    ms += performance.now() - startedAt
  }
  return { slope: `relaying changes of the store to ${hosts - 1} hosts, ms`, changes: relayedChanges, figure: Math.round(ms / relayRounds * 100) / 100 }
}

/** Encodes an update as each stream requests it; returns the number of messages. */
function encodeForStreams (update: Parameters<ReturnType<typeof createSharedUpdates>['share']>[0]): number {
  const { service, share } = createSharedUpdates()
  const message = share(update)
  for (let host = 1; host < hosts; host++) service.follow.responseSerialize(message)
  return hosts - 1
}
