import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration, GrantingRecord, Holder, KeyRange } from '../src/core/gateway/model.js'
import type { PlannedMove, PlannerInput } from '../src/core/gateway/planner.js'
import test from 'ava'
import { holdMs, renewalMs } from '../src/core/gateway/limits.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

type Grant = Extract<GatewayEffect, { kind: 'grant' }>

const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'reads', host: 'shop.test', pathPrefix: '/reads/', targets: [{ service: 'shards', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }],
  services: new Map([['shards', { name: 'shards', sharded: true, warmupMs: 2000 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}
const holders = ['shard-0', 'shard-1', 'shard-2'].map((id, index): Holder => ({ id, startedAt: 1, address: `127.0.0.1:${index + 10}` }))
const [first, second, third] = holders as [Holder, Holder, Holder]

function buildRegistration (holder: Holder, leaving = false): BackendRegistration {
  return { ...holder, service: 'shards', zone: 'zone-1', slots: 4, leaving, slowForMs: 0 }
}

function buildRange (from: number, to: number, owner: Holder, fence: number, previous?: Holder): KeyRange {
  return { from, to, owner, fence, phase: previous === undefined ? 'held' : 'moving', previous }
}

/** Report of a host without load. */
const report = { host: '', zone: 'zone-1', renewed: [], backends: [], keys: [], placement: { revision: 5, confirmations: 0 }, wantsPlacement: false, storeRevision: 5, granting: undefined }

/** A host that leads over the ranges given, in virtual time; the test answers what it asks of the store, and the planner plans what the test says. */
function startLeader (ranges: KeyRange[], former?: GrantingRecord) {
  let planMoves = (_input: PlannerInput): PlannedMove[] => []
  const rules = { ...buildGatewayRules(), planMoves: (input: PlannerInput) => planMoves(input) }
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  const grants: Array<Grant & { at: number }> = []
  const releases: Array<Extract<GatewayEffect, { kind: 'release' }>> = []
  const reports: Array<Extract<GatewayEffect, { kind: 'report-load' }>> = []
  const settled: number[] = []
  let revision = 5
  let storeAnswers = true
  let now = 0
  const post = (event: GatewayEvent): void => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    for (const effect of step.effects) handle(effect)
  }
  const answers: GatewayEvent[] = []
  const handle = (effect: GatewayEffect) => {
    if (effect.kind === 'grant') {
      grants.push({ ...effect, at: now })
      answers.push({ kind: 'grant-ended', now, sentAt: now, service: effect.service, from: effect.from, to: effect.to, fence: effect.fence, outcome: { kind: 'granted' } })
    }
    if (effect.kind === 'release') {
      releases.push(effect)
      answers.push({ kind: 'release-ended', now, service: effect.service, from: effect.from, to: effect.to, fence: effect.fence, outcome: { kind: 'released', handover: 'token' } })
    }
    if (effect.kind === 'report-load') reports.push(effect)
    if (effect.kind === 'settle-granting') settled.push(effect.leaderRevision)
    if (!storeAnswers) return
    if (effect.kind === 'claim-leadership') answers.push({ kind: 'leadership-claimed', now, outcome: 'written', lease: 1, revision: ++revision })
    if (effect.kind === 'renew-lease') answers.push({ kind: 'lease-renewed', now, askedAt: now, outcome: 'renewed' })
    if (effect.kind === 'read-store') answers.push({ kind: 'store-synced', now, startedAt: now, revision })
    if (effect.kind === 'write-placement') answers.push({ kind: 'placement-written', now, outcome: 'written', revision: ++revision, write: effect.write })
  }
  const runFor = (ms: number): void => {
    for (const end = now + ms; now < end;) {
      now += 20
      for (const answer of answers.splice(0)) post({ ...answer, now })
      post({ kind: 'tick', now, wall: 1_000_000 + now })
    }
  }
  post({ kind: 'configuration-read', now, configuration, revision: 1 })
  for (const holder of holders) post({ kind: 'backend-read', now, backend: buildRegistration(holder) })
  const nextFence = Math.max(...ranges.map(range => range.fence)) + 1
  post({ kind: 'placement-read', now, placement: { nextFence, services: new Map([['shards', ranges]]), memory: { hosts: 1, serviceMs: new Map() } }, revision })
  if (former !== undefined) post({ kind: 'last-granting-host-read', now, record: former, revision: 4 })
  post({ kind: 'store-synced', now, startedAt: 0, revision })
  return {
    post,
    runFor,
    grants,
    releases,
    reports,
    settled,
    plan: (plan: typeof planMoves) => { planMoves = plan },
    stopStore: () => { storeAnswers = false },
    getState: () => state,
    getNow: () => now
  }
}

/** Whether a range that begins at a key is planned for as held by an owner. */
function isHeld (input: PlannerInput, from: number, owner: Holder): boolean {
  return input.ranges.some(range => range.from === from && range.phase === 'held' && range.owner.id === owner.id)
}

/** Longest time for which a key went without a grant to its owner, since a moment. */
function computeLongestGap (grants: Array<Grant & { at: number }>, key: number, owner: Holder, since: number, until: number): number {
  const times = grants.filter(grant => grant.from <= key && key <= grant.to && grant.backend === owner.id && grant.at >= since).map(grant => grant.at)
  const all = [since, ...times, until]
  return Math.max(...all.slice(1).map((at, index) => at - (all[index] ?? at)))
}

test('keys whose change of owner could not be written down stay with their owner, however long the store is silent', t => {
  const leader = startLeader([buildRange(0, 32_767, first, 1), buildRange(32_768, 65_535, second, 2)])
  leader.runFor(1000)
  t.is(leader.getState().granting.role, 'leading')
  leader.stopStore()
  const since = leader.getNow()
  leader.plan(input => isHeld(input, 0, first) ? [{ from: 0, to: 251, owner: second }] : [])
  leader.runFor(6000)
  t.deepEqual(leader.releases, [])
  for (const key of [0, 251]) t.true(computeLongestGap(leader.grants, key, first, since, leader.getNow()) <= renewalMs + 60, `key ${key}`)
  for (const key of [252, 32_767]) t.true(computeLongestGap(leader.grants, key, first, since, leader.getNow()) <= renewalMs + 60, `key ${key}`)
})

test('neighbouring ranges that were joined, and could not be written down, are renewed as they were', t => {
  const leader = startLeader([buildRange(0, 9999, first, 1), buildRange(10_000, 32_767, second, 2), buildRange(32_768, 65_535, first, 3)])
  leader.runFor(1000)
  leader.plan(input => isHeld(input, 10_000, second) ? [{ from: 10_000, to: 32_767, owner: first }] : [])
  // The move itself is written and confirmed; the next round of planning joins the three ranges.
  leader.runFor(240)
  leader.stopStore()
  const since = leader.getNow()
  leader.runFor(6000)
  t.is(leader.getState().granting.grants.length, 1)
  for (const key of [0, 20_000, 40_000]) t.true(computeLongestGap(leader.grants, key, first, since, leader.getNow()) <= renewalMs + 60, `key ${key}`)
  t.true(leader.grants.filter(grant => grant.at > since).every(grant => grant.fence < leader.getState().placement!.nextFence))
})

test('a next owner that the former granting host may have granted is asked to let go before another gets the keys', t => {
  const leader = startLeader([buildRange(0, 32_767, third, 4, first), buildRange(32_768, 65_535, second, 2)])
  // The next owner begins to leave just as this host takes over: it may hold the keys, and the former owner too.
  leader.post({ kind: 'backend-read', now: 1, backend: buildRegistration(third, true) })
  leader.plan(input => isHeld(input, 0, third) ? [{ from: 0, to: 32_767, owner: second }] : [])
  leader.runFor(2000)
  const granted = leader.grants.find(grant => grant.from === 0 && grant.backend === second.id)
  t.truthy(granted, 'the keys go on')
  t.deepEqual([...new Set(leader.releases.map(release => release.backend))].sort(), [first.id, third.id])
  t.true(leader.getNow() < holdMs, 'without waiting for a grant to run out')
})

test('keys of an owner that is out of reach go on soon after a take-over when the former granting host is known to have stopped', t => {
  const former = { host: 'host-0', address: 'host-0', unsettled: [] }
  const leader = startLeader([buildRange(0, 32_767, first, 1), buildRange(32_768, 65_535, second, 2)], former)
  leader.runFor(400)
  const { granting } = leader.getState()
  t.is(granting.role, 'leading')
  t.true(granting.predecessorsActiveUntil > leader.getNow() + 8000, 'it may go on without the store')
  leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host: 'host-0', granting: { host: { host: 'host-1', address: 'host-1' }, revision: granting.leaderRevision } } })
  t.true(leader.getState().granting.predecessorsActiveUntil <= leader.getNow())
})

test('a host that granted before the last one may go on as well, unless the store says that it has stopped', t => {
  const named = (host: string) => ({ host, address: host })
  const ranges = [buildRange(0, 65_535, first, 1)]
  const leader = startLeader(ranges, { ...named('host-0'), unsettled: [named('host-2')] })
  leader.runFor(400)
  const tell = (host: string) => leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host, granting: { host: named('host-1'), revision: leader.getState().granting.leaderRevision } } })
  tell('host-0')
  tell('host-3')
  t.true(leader.getState().granting.predecessorsActiveUntil > leader.getNow() + 8000)
  tell('host-2')
  t.true(leader.getState().granting.predecessorsActiveUntil <= leader.getNow())
  leader.runFor(100)
  t.deepEqual(leader.settled, [leader.getState().granting.leaderRevision])
})

test('a granting host that can not reach the store stops when another host tells it of the next one', t => {
  const leader = startLeader([buildRange(0, 32_767, first, 1), buildRange(32_768, 65_535, second, 2)])
  leader.runFor(400)
  leader.stopStore()
  leader.runFor(2000)
  t.is(leader.getState().granting.role, 'leading', 'renewals go on without the store')
  const next = { host: { host: 'host-2', address: 'host-2' }, revision: leader.getState().granting.leaderRevision + 5 }
  leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host: 'host-3', granting: next } })
  t.is(leader.getState().granting.role, 'follower')
  t.deepEqual(leader.getState().grantingHost, next.host)
  const sent = leader.grants.length
  leader.runFor(1000)
  t.is(leader.grants.length, sent)
})

test('a host that learns of the next granting host tells the former one', t => {
  const follower = startLeader([buildRange(0, 65_535, first, 1)])
  const told = (host: string, revision: number) => follower.post({ kind: 'granting-host-read', now: follower.getNow(), granting: { host, address: host }, revision })
  told('host-0', 6)
  follower.runFor(300)
  told('host-2', 9)
  follower.runFor(100)
  const last = follower.reports.filter(effect => effect.address === 'host-0').at(-1)
  t.deepEqual(last?.report.granting, { host: { host: 'host-2', address: 'host-2' }, revision: 9 })
})
