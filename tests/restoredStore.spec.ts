import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import type { Configuration, KeyRange, Placement } from '../src/core/gateway/model.js'
import test from 'ava'
import { maxHoldMs, maxStoreOutageMs, renewalValidityMs } from '../src/core/gateway/limits.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildNewerPlacement } from '../src/core/gateway/restoredStore.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { fencesPerRestore, revisionsPerRestore } from '../src/core/gateway/storeRestores.js'
import { decodePlacement, encodePlacement } from '../src/protocol/placementRecord.js'

const rules = buildGatewayRules()
const owner = { id: 'a', startedAt: 1000, address: 'a:80' }
const other = { id: 'b', startedAt: 1000, address: 'b:80' }
const maxWaitMs = maxStoreOutageMs + renewalValidityMs + maxHoldMs

function buildConfiguration (version: number): Configuration {
  return {
    version,
    routes: [],
    services: new Map([['shards', { name: 'shards', sharded: true, warmupMs: 0 }]]),
    limits: { maxHeaderBytes: 1, maxBodyBytes: version, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

function buildPlacement (nextFence: number, holder = owner, restores?: number): Placement {
  const range: KeyRange = { from: 0, to: 65_535, owner: holder, fence: nextFence - 1, phase: 'held', previous: undefined }
  return { nextFence, services: new Map([['shards', [range]]]), memory: { hosts: 1, serviceMs: new Map() }, ...(restores === undefined ? {} : { restores }) }
}

/** Creates a host that has read the store, with a store that answers at once; revisions are joined with `restores`. */
function createHost (placement: Placement, options: { restores?: number, hosts?: number, backend?: typeof owner } = {}) {
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1:1', processorShare: 1 }, 1, 0)
  const effects: GatewayEffect[] = []
  let answers: GatewayEvent[] = []
  let now = 0
  let restores = options.restores ?? 0
  let raw = 10
  let isRenewing = true
  const joined = () => restores * revisionsPerRestore + raw
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, { ...event, now }, rules)
    state = step.state
    for (const effect of step.effects) answer(effect)
    effects.push(...step.effects)
  }
  const answer = (effect: GatewayEffect) => {
    if (effect.kind === 'claim-leadership') {
      raw += 1
      answers.push({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: joined() })
    }
    if (effect.kind === 'renew-lease' && isRenewing) answers.push({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' })
    if (effect.kind === 'read-store') answers.push({ kind: 'store-synced', now, startedAt: now, revision: joined() })
    if (effect.kind === 'grant') answers.push({ kind: 'grant-ended', now, sentAt: now, service: effect.service, from: effect.from, to: effect.to, fence: effect.fence, outcome: { kind: 'granted' } })
    if (effect.kind !== 'write-placement') return
    raw += 1
    answers.push({ kind: 'placement-written', now, outcome: 'written', revision: joined(), write: effect.write })
  }
  const runFor = (ms: number) => {
    for (const end = now + ms; now < end;) {
      now += 20
      const due = answers
      answers = []
      for (const event of due) post(event)
      post({ kind: 'tick', now, wall: now })
    }
  }
  const readPlacement = (read: Placement) => post({ kind: 'placement-read', now, placement: read, revision: joined() })
  if (restores > 0) post({ kind: 'store-restored', now, restores })
  post({ kind: 'configuration-read', now, configuration: buildConfiguration(1), revision: joined() })
  post({ kind: 'backend-read', now, backend: { ...options.backend ?? owner, service: 'shards', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0 } })
  readPlacement(placement)
  post({ kind: 'store-synced', now, startedAt: 0, revision: joined() })
  if (options.hosts !== undefined) {
    post({ kind: 'fleet-load-read', now, load: { hosts: options.hosts, placement: state.placementVersion, storeRevision: 0, storeAgeMs: 0, backends: [], renewals: [] }, reported: new Map(), reportedAt: now })
  }
  return {
    post,
    runFor,
    readPlacement,
    /** Renewals of the lease are not answered until the store is restored. */
    stopRenewals: () => { isRenewing = false },
    /** Restores the store from a copy in which the last revisions are missing. */
    restore: () => {
      isRenewing = true
      restores += 1
      raw -= 1
      post({ kind: 'store-restored', now, restores })
      post({ kind: 'granting-host-read', now, granting: undefined, revision: joined() })
    },
    getState: () => state,
    takeEffects: () => effects.splice(0)
  }
}

function buildReport (host: string, revision: number, fields: Partial<LoadReport> = {}): LoadReport {
  const granting = { host: { host: 'host-1', address: 'host-1:1' }, revision }
  return { host, backends: [], keys: [], placement: { revision: 0, confirmations: 0 }, wantsPlacement: false, storeRevision: 0, zone: 'zone-1', renewed: [], granting, ...fields }
}

const listGrants = (effects: readonly GatewayEffect[]) => effects.filter(effect => effect.kind === 'grant')
const listWrites = (effects: readonly GatewayEffect[]) => effects.filter(effect => effect.kind === 'write-placement')

test('without a restore, a granting host renews the grants of the stored placement at once with their fencing tokens', t => {
  const host = createHost(buildPlacement(7))
  host.runFor(1000)
  const effects = host.takeEffects()
  t.is(listGrants(effects)[0]?.fence, 6)
  t.deepEqual(listWrites(effects), [])
  t.false(encodePlacement(buildPlacement(7)).includes('restores'))
})

test('a granting host that sees a restore stops at once; it goes on when it wins again, with tokens above the lost ones, and writes its placement again', t => {
  const host = createHost(buildPlacement(7))
  host.runFor(1000)
  host.takeEffects()
  host.restore()
  t.is(host.getState().granting.role, 'follower')
  host.readPlacement(buildPlacement(3, other))
  t.is(host.getState().placement?.nextFence, 7, 'the older placement does not replace the known one')
  host.runFor(1000)
  const effects = host.takeEffects()
  t.true(listGrants(effects).every(grant => grant.backend === 'a' && grant.fence === 6))
  const write = listWrites(effects)[0]
  t.is(write?.placement.nextFence, 7 + fencesPerRestore)
  t.is(write?.placement.restores, 1)
  t.is(write?.revision, revisionsPerRestore + 10, 'the write replaces the older record')
})

test('a granting host that only knows the restored placement grants nothing until unknown grants have expired, and then with new tokens', t => {
  const host = createHost(buildPlacement(7), { restores: 2 })
  host.runFor(maxWaitMs)
  t.is(host.getState().granting.role, 'leading')
  t.deepEqual(listGrants(host.takeEffects()), [])
  host.runFor(1000)
  const effects = host.takeEffects()
  t.true(listGrants(effects).length > 0)
  t.true(listGrants(effects).every(grant => grant.fence >= 7 + 2 * fencesPerRestore))
  t.is(host.getState().placement?.restores, 2)
})

test('a placement that was written after the last restore is granted without a wait', t => {
  const host = createHost(buildPlacement(7, owner, 2), { restores: 2 })
  host.runFor(1000)
  t.is(listGrants(host.takeEffects())[0]?.fence, 6)
})

test('the wait ends sooner when every host has reported that it knows the new granting host', t => {
  const host = createHost(buildPlacement(7), { restores: 1, hosts: 3 })
  host.runFor(1000)
  const { leaderRevision } = host.getState().granting
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-2', leaderRevision) })
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-3', 5) })
  host.runFor(renewalValidityMs + maxHoldMs + 1000)
  t.deepEqual(listGrants(host.takeEffects()), [], 'host-3 may be granting')
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-3', leaderRevision) })
  host.runFor(renewalValidityMs + maxHoldMs - 20)
  t.deepEqual(listGrants(host.takeEffects()), [])
  host.runFor(1000)
  t.true(listGrants(host.takeEffects()).length > 0)
})

/** Creates a granting host of a fleet of two hosts that wins again after a restore; its lease was not confirmed for 3 s before. */
function createContinuingHost () {
  const host = createHost(buildPlacement(7), { hosts: 2 })
  host.runFor(1000)
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-2', 1) })
  host.stopRenewals()
  host.runFor(3000)
  host.restore()
  host.takeEffects()
  host.runFor(1000)
  return host
}

test('after a long outage, the last granting host goes on when every host has reported and none knows further tokens', t => {
  const host = createContinuingHost()
  t.deepEqual(listGrants(host.takeEffects()), [], 'another host may have granted keys before the restore')
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-2', host.getState().granting.leaderRevision, { nextFence: 7 }) })
  host.runFor(100)
  t.is(listGrants(host.takeEffects())[0]?.fence, 6)
})

test('after a long outage, the last granting host waits like any other when a host knows further tokens', t => {
  const host = createContinuingHost()
  host.takeEffects()
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-2', host.getState().granting.leaderRevision, { nextFence: 9 }) })
  host.runFor(renewalValidityMs + maxHoldMs - 20)
  t.deepEqual(listGrants(host.takeEffects()), [])
  host.runFor(1000)
  const fences = listGrants(host.takeEffects()).map(grant => grant.fence)
  t.true(fences.length > 0 && fences.every(fence => fence >= 9 + fencesPerRestore))
})

test('the newest placement that a surviving host knows is requested and taken over', t => {
  const survivor = createHost(buildPlacement(40, other), { backend: other })
  const host = createHost(buildPlacement(7), { restores: 1, backend: other })
  host.runFor(1000)
  host.takeEffects()
  const { leaderRevision } = host.getState().granting
  host.post({ kind: 'load-reported', now: 0, report: buildReport('host-2', leaderRevision, { nextFence: 40, address: 'host-2:1' }) })
  const request = host.takeEffects().find(effect => effect.kind === 'request-placement')
  if (request === undefined) return t.fail('the placement must be requested')
  t.is(request.address, 'host-2:1')
  const change = buildNewerPlacement(survivor.getState(), request.report)
  if (change === undefined) return t.fail('the survivor must answer')
  t.is(buildNewerPlacement(survivor.getState(), { ...request.report, wantsPlacement: false }), undefined)
  host.post({ kind: 'placement-found', now: 0, change })
  t.is(buildNewerPlacement(survivor.getState(), { ...request.report, nextFence: 40 }), undefined)
  host.runFor(maxWaitMs + 1000)
  const grants = listGrants(host.takeEffects())
  t.true(grants.length > 0)
  t.true(grants.every(grant => grant.backend === 'b' && grant.fence >= 40 + fencesPerRestore))
})

test('a second restore to the same copy gives out other fencing tokens than the first', t => {
  const first = createHost(buildPlacement(7), { restores: 1 })
  const second = createHost(buildPlacement(7), { restores: 2 })
  for (const host of [first, second]) host.runFor(maxWaitMs + 1000)
  const fences = [first, second].map(host => new Set(listGrants(host.takeEffects()).map(grant => grant.fence)))
  t.true([...fences[0] ?? []].every(fence => fences[1]?.has(fence) === false))
})

test('the version of the configuration does not go back after a restore; revisions break ties', t => {
  const host = createHost(buildPlacement(7))
  host.post({ kind: 'configuration-read', now: 0, configuration: buildConfiguration(5), revision: 11 })
  host.restore()
  host.post({ kind: 'configuration-read', now: 0, configuration: buildConfiguration(4), revision: revisionsPerRestore + 2 })
  t.is(host.getState().configuration?.version, 5)
  const rewritten = buildConfiguration(5)
  host.post({ kind: 'configuration-read', now: 0, configuration: rewritten, revision: revisionsPerRestore + 3 })
  t.is(host.getState().configuration, rewritten)
  host.post({ kind: 'configuration-read', now: 0, configuration: buildConfiguration(6), revision: revisionsPerRestore + 4 })
  t.is(host.getState().configuration?.version, 6)
})

test('registrations that were lost with the store have a grace period; an older report of an instance stays ignored', t => {
  const host = createHost(buildPlacement(7))
  host.restore()
  host.post({ kind: 'backend-gone', now: 0, id: 'a', graceMs: undefined })
  t.true(host.getState().backends.has('a'))
  const registration = { ...owner, service: 'shards', zone: 'zone-1', slots: 4, slowForMs: 0 }
  host.post({ kind: 'backend-read', now: 0, backend: { ...registration, leaving: true, report: 5 } })
  host.post({ kind: 'backend-read', now: 0, backend: { ...registration, leaving: false, report: 4 } })
  t.true(host.getState().backends.get('a')?.leaving)
})

test('a placement record keeps the number of restores', t => {
  t.is(decodePlacement(encodePlacement(buildPlacement(7, owner, 3)))?.restores, 3)
})
