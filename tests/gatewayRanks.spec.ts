import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { Configuration, GatewayRoute } from '../src/core/gateway/model.js'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

function buildRoute (name: string, priority: number): GatewayRoute {
  return { name, host: 'shop.test', pathPrefix: `/${name}/`, targets: [{ service: 'plain', weight: 1 }], idempotent: true, timeoutMs: 2000, targetMs: 500, maxAttempts: 2, priority }
}

const configuration: Configuration = {
  version: 1,
  routes: [buildRoute('urgent', 0), buildRoute('uploads', 2)],
  services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

/** Starts a host with one backend server of four slots. `ask` returns whether a request was forwarded; `finish` answers all requests but the first `remaining`. */
function startHost () {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  let asked = 0
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects
  }
  post({ kind: 'configuration-read', now: 1, configuration, revision: 1 })
  post({ kind: 'backend-read', now: 1, backend: { id: 'plain-1', startedAt: 1, service: 'plain', address: '127.0.0.1:9', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 0 } })
  post({ kind: 'store-synced', now: 1, startedAt: 0, revision: 5 })
  const ask = (route: string, now = 10): boolean => {
    const id = `r-${asked++}`
    return post({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path: `/${route}/1`, key: undefined, timeoutMs: 2000, bodyBytes: 0, replayable: true } }).some(effect => effect.kind === 'send')
  }
  const finish = (now: number, remaining: number): void => {
    for (const request of [...state.requests.values()].slice(remaining)) post({ kind: 'answer-whole', now, id: request.id, attempt: 1, status: 200, firstByteAt: now })
  }
  return { ask, finish }
}

test('while there is capacity for all, a less urgent rank may fill the slots and queue like any other', t => {
  const { ask } = startHost()
  t.deepEqual(['urgent', 'urgent', 'urgent', 'uploads', 'uploads'].map(route => ask(route)), [true, true, true, true, true])
})

test('after a request of a more urgent rank was refused for lack of capacity, slots are reserved for that rank for a while', t => {
  const { ask, finish } = startHost()
  while (ask('urgent')) continue
  finish(100, 3)
  t.false(ask('uploads', 110))
  t.true(ask('urgent', 120))
  finish(200, 3)
  t.false(ask('uploads', 1900))
  t.true(ask('uploads', 2200))
})
