import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration, GrantingRecord, KeyOwner, KeyRange } from '../src/core/gateway/model.js'
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
const holders = ['shard-0', 'shard-1', 'shard-2'].map((id, index): KeyOwner => ({ id, startedAt: 1, address: `127.0.0.1:${index + 10}` }))
const [first, second, third] = holders as [KeyOwner, KeyOwner, KeyOwner]

function buildRegistration (holder: KeyOwner, leaving = false): BackendRegistration {
  return { ...holder, service: 'shards', zone: 'zone-1', slots: 4, leaving, slowForMs: 0 }
}

function buildRange (from: number, to: number, owner: KeyOwner, fence: number, previous?: KeyOwner): KeyRange {
  return { from, to, owner, fence, phase: previous === undefined ? 'held' : 'moving', previous }
}

/** Load report of an idle host. */
const report = { host: '', zone: 'zone-1', renewed: [], backends: [], keys: [], placement: { revision: 5, confirmations: 0 }, wantsPlacement: false, storeRevision: 5, granting: undefined }

/** Starts the granting host of the given ranges, in virtual time. Its store calls are answered until `stopStore`; `plan` sets what its planner returns. */
function startLeader (ranges: KeyRange[], previousHost?: GrantingRecord) {
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
    if (effect.kind === 'renew-lease') answers.push({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' })
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
  if (previousHost !== undefined) post({ kind: 'last-granting-host-read', now, record: previousHost, revision: 4 })
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

/** Whether the planner's input has a range that begins at `from` and that `owner` holds. */
function isHeld (input: PlannerInput, from: number, owner: KeyOwner): boolean {
  return input.ranges.some(range => range.from === from && range.phase === 'held' && range.owner.id === owner.id)
}

/** Computes the longest time between grants of a key to its owner from `since` to `until`, in milliseconds. */
function computeLongestGap (grants: Array<Grant & { at: number }>, key: number, owner: KeyOwner, since: number, until: number): number {
  const times = grants.filter(grant => grant.from <= key && key <= grant.to && grant.backend === owner.id && grant.at >= since).map(grant => grant.at)
  const all = [since, ...times, until]
  return Math.max(...all.slice(1).map((at, index) => at - (all[index] ?? at)))
}

test('keys whose change of owner could not be written to the store keep their owner, however long the store is unavailable', t => {
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

test('adjacent ranges whose merge could not be written to the store are renewed as they were', t => {
  const leader = startLeader([buildRange(0, 9999, first, 1), buildRange(10_000, 32_767, second, 2), buildRange(32_768, 65_535, first, 3)])
  leader.runFor(1000)
  leader.plan(input => isHeld(input, 10_000, second) ? [{ from: 10_000, to: 32_767, owner: first }] : [])
  // The move itself is written and confirmed; the next round of planning merges the three ranges.
  leader.runFor(240)
  leader.stopStore()
  const since = leader.getNow()
  leader.runFor(6000)
  t.is(leader.getState().granting.grants.length, 1)
  for (const key of [0, 20_000, 40_000]) t.true(computeLongestGap(leader.grants, key, first, since, leader.getNow()) <= renewalMs + 60, `key ${key}`)
  t.true(leader.grants.filter(grant => grant.at > since).every(grant => grant.fence < leader.getState().placement!.nextFence))
})

test('a next owner to which the previous granting host may have granted keys is asked to release them before another owner gets them', t => {
  const leader = startLeader([buildRange(0, 32_767, third, 4, first), buildRange(32_768, 65_535, second, 2)])
  // The next owner starts to leave just as this host takes over. It may hold the keys, and so may the previous owner.
  leader.post({ kind: 'backend-read', now: 1, backend: buildRegistration(third, true) })
  leader.plan(input => isHeld(input, 0, third) ? [{ from: 0, to: 32_767, owner: second }] : [])
  leader.runFor(2000)
  const granted = leader.grants.find(grant => grant.from === 0 && grant.backend === second.id)
  t.truthy(granted, 'the keys get another owner')
  t.deepEqual([...new Set(leader.releases.map(release => release.backend))].sort(), [first.id, third.id])
  t.true(leader.getNow() < holdMs, 'without waiting for a grant to expire')
})

test('keys of an unreachable owner can move soon after another host takes over granting when the previous granting host is known to have stopped', t => {
  const previousHost = { host: 'host-0', address: 'host-0', unsettled: [] }
  const leader = startLeader([buildRange(0, 32_767, first, 1), buildRange(32_768, 65_535, second, 2)], previousHost)
  leader.runFor(400)
  const { granting } = leader.getState()
  t.is(granting.role, 'leading')
  t.true(granting.predecessorsActiveUntil > leader.getNow() + 8000, 'it may continue without the store')
  leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host: 'host-0', granting: { host: { host: 'host-1', address: 'host-1' }, revision: granting.leaderRevision } } })
  t.true(leader.getState().granting.predecessorsActiveUntil <= leader.getNow())
})

test('a granting host before the previous one may still be granting too, unless the store records that it has stopped', t => {
  const named = (host: string) => ({ host, address: host })
  const ranges = [buildRange(0, 65_535, first, 1)]
  const leader = startLeader(ranges, { ...named('host-0'), unsettled: [named('host-2')] })
  leader.runFor(400)
  const reportFrom = (host: string) => leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host, granting: { host: named('host-1'), revision: leader.getState().granting.leaderRevision } } })
  reportFrom('host-0')
  reportFrom('host-3')
  t.true(leader.getState().granting.predecessorsActiveUntil > leader.getNow() + 8000)
  reportFrom('host-2')
  t.true(leader.getState().granting.predecessorsActiveUntil <= leader.getNow())
  leader.runFor(100)
  t.deepEqual(leader.settled, [leader.getState().granting.leaderRevision])
})

test('a granting host that cannot reach the store stops granting when another host reports its successor', t => {
  const leader = startLeader([buildRange(0, 32_767, first, 1), buildRange(32_768, 65_535, second, 2)])
  leader.runFor(400)
  leader.stopStore()
  leader.runFor(2000)
  t.is(leader.getState().granting.role, 'leading', 'renewals continue without the store')
  const next = { host: { host: 'host-2', address: 'host-2' }, revision: leader.getState().granting.leaderRevision + 5 }
  leader.post({ kind: 'load-reported', now: leader.getNow(), report: { ...report, host: 'host-3', granting: next } })
  t.is(leader.getState().granting.role, 'follower')
  t.deepEqual(leader.getState().grantingHost, next.host)
  const sentBefore = leader.grants.length
  leader.runFor(1000)
  t.is(leader.grants.length, sentBefore)
})

test('a host that learns of a new granting host notifies the previous one', t => {
  const follower = startLeader([buildRange(0, 65_535, first, 1)])
  const readGrantingHost = (host: string, revision: number) => follower.post({ kind: 'granting-host-read', now: follower.getNow(), granting: { host, address: host }, revision })
  readGrantingHost('host-0', 6)
  follower.runFor(300)
  readGrantingHost('host-2', 9)
  follower.runFor(100)
  const last = follower.reports.filter(effect => effect.address === 'host-0').at(-1)
  t.deepEqual(last?.report.granting, { host: { host: 'host-2', address: 'host-2' }, revision: 9 })
})
