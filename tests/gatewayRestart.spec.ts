import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { BackendRegistration, Configuration } from '../src/core/gateway/model.js'
import test from 'ava'
import { buildFleetLoad } from '../src/core/gateway/loadExchange.js'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const rules = buildGatewayRules()
const owner: BackendRegistration = { id: 'shard-1', startedAt: 1, service: 'shards', address: '127.0.0.1:9', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0 }
const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'reads', host: 'shop.test', pathPrefix: '/reads/', targets: [{ service: 'shards', weight: 1 }], idempotent: true, timeoutMs: 1000, targetMs: 250, maxAttempts: 2, priority: 0 }],
  services: new Map([['shards', { name: 'shards', sharded: true, warmupMs: 2000 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}
const held = { from: 0, to: 65_535, owner: { id: owner.id, startedAt: 1, address: owner.address }, fence: 1, phase: 'held' as const, previous: undefined }

/** Starts a host that has just read the store, and collects the effects of its events. */
function startHost (hosts: number) {
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  const effects: GatewayEffect[] = []
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    effects.push(...step.effects)
  }
  post({ kind: 'placement-read', now: 1, placement: { nextFence: 2, services: new Map([['shards', [held]]]), memory: { hosts, serviceMs: new Map([[owner.id, 60]]) } }, revision: 5 })
  post({ kind: 'configuration-read', now: 1, configuration, revision: 1 })
  post({ kind: 'backend-read', now: 1, backend: owner })
  post({ kind: 'store-synced', now: 1, startedAt: 0, revision: 5 })
  const ask = (now: number, id: string) => {
    post({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path: '/reads/1', key: 7, timeoutMs: 1000, bodyBytes: 0, replayable: true } })
  }
  return { post, ask, effects, getState: () => state }
}

test('a host that starts takes service times and the number of hosts from the placement', t => {
  const { getState } = startHost(12)
  t.is(getState().hosts, 12)
  t.is(getState().backends.get(owner.id)?.serviceMs, 60)
})

test('before it knows the load of the other hosts, a host leaves capacity for them at each backend server', t => {
  const { ask, effects } = startHost(12)
  for (let index = 0; index < 10; index++) ask(10 + index, `r-${index}`)
  // If twelve hosts send three requests each at once, they fill the four slots nine times over: none may send more.
  t.true(effects.filter(effect => effect.kind === 'send').length <= 3)
  t.true(effects.filter(effect => effect.kind === 'refuse').length >= 7)
})

test('an answer that waited in a queue of unknown length does not change the service time of the backend server', t => {
  const { ask, post, getState } = startHost(12)
  ask(10, 'r-1')
  post({ kind: 'answer-whole', now: 500, id: 'r-1', attempt: 1, status: 200, firstByteAt: 500 })
  t.is(getState().backends.get(owner.id)?.serviceMs, 60)
})

test('a host that has lost the store refuses a request at once, with a short Retry-After, when an owner no longer holds its key', t => {
  const { ask, post, effects } = startHost(2)
  post({ kind: 'store-lost', now: 100, reachableAt: 100 })
  ask(200, 'r-1')
  post({ kind: 'not-run-answered', now: 204, id: 'r-1', attempt: 1, status: 421 })
  const refusal = effects.find(effect => effect.kind === 'refuse')
  t.is(refusal?.kind === 'refuse' ? refusal.status : undefined, 503)
  t.true(refusal?.kind === 'refuse' && (refusal.retryAfterMs ?? 1000) <= 80)
})

test('a new granting host accounts for the hosts that have not reported to it yet', t => {
  const { post, getState } = startHost(12)
  const backends = [{ id: owner.id, inFlight: 11, serviceMs: 60, admitShare: 1 }]
  post({ kind: 'fleet-load-read', now: 50, load: { hosts: 12, storeAgeMs: 0, placement: { revision: 5, confirmations: 0 }, storeRevision: 5, backends, renewals: [] }, reported: new Map(), reportedAt: 0 })
  for (let now = 100; now <= 300; now += 20) post({ kind: 'tick', now, wall: now })
  post({ kind: 'leadership-claimed', now: 310, outcome: 'written', lease: 1, revision: 9 })
  post({ kind: 'store-synced', now: 320, startedAt: 315, revision: 9 })
  post({ kind: 'load-reported', now: 330, report: { host: 'host-2', backends: [{ id: owner.id, inFlight: 1, answered: 0, serviceMsSum: 0 }], keys: [], placement: { revision: 5, confirmations: 0 }, wantsPlacement: false, storeRevision: 5, granting: undefined, zone: 'zone-1', renewed: [] } })
  const early = buildFleetLoad(getState(), 'host-2')
  t.is(early.hosts, 12)
  t.true((early.backends.find(backend => backend.id === owner.id)?.inFlight ?? 0) >= 9, JSON.stringify(early.backends))
  for (let now = 340; now <= 1500; now += 20) post({ kind: 'tick', now, wall: now })
  t.true(buildFleetLoad(getState(), 'host-2').hosts <= 2)
})

test('a host that becomes the granting host right after its start assumes that hosts without a report are as busy as those that reported', t => {
  const { post, getState } = startHost(12)
  for (let now = 100; now <= 300; now += 20) post({ kind: 'tick', now, wall: now })
  post({ kind: 'leadership-claimed', now: 310, outcome: 'written', lease: 1, revision: 9 })
  post({ kind: 'store-synced', now: 320, startedAt: 315, revision: 9 })
  for (const host of ['host-2', 'host-3']) {
    post({ kind: 'load-reported', now: 330, report: { host, backends: [{ id: owner.id, inFlight: 2, answered: 0, serviceMsSum: 0 }], keys: [], placement: { revision: 5, confirmations: 0 }, wantsPlacement: false, storeRevision: 5, granting: undefined, zone: 'zone-1', renewed: [] } })
  }
  // Host 3 has two requests in flight, and some of the nine hosts that have not reported are assumed to have as many.
  t.true((buildFleetLoad(getState(), 'host-2').backends.find(backend => backend.id === owner.id)?.inFlight ?? 0) >= 8)
})
