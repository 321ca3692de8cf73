import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { CallerLimits, Configuration } from '../src/core/gateway/model.js'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

const graceMs = 6000
const limits: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }

function buildConfiguration (version: number, maxBodyBytes: number): Configuration {
  return {
    version,
    routes: [{ name: 'orders', host: 'shop.test', pathPrefix: '/orders/', targets: [{ service: 'plain', weight: 1 }], idempotent: false, timeoutMs: 30_000, targetMs: 250, maxAttempts: 2, priority: 0 }],
    services: new Map([['plain', { name: 'plain', sharded: false, warmupMs: 0 }]]),
    limits: { ...limits, maxBodyBytes }
  }
}

/** Starts a host with one backend server, in virtual time. */
function startHost () {
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  const effects: GatewayEffect[] = []
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, event, buildGatewayRules())
    state = step.state
    effects.push(...step.effects)
  }
  post({ kind: 'configuration-read', now: 0, revision: 1, configuration: buildConfiguration(1, 1000) })
  post({ kind: 'backend-read', now: 0, backend: { id: 'plain-1', startedAt: 1, address: '127.0.0.1:1', service: 'plain', zone: 'zone-1', slots: 100, leaving: false, slowForMs: 0 } })
  post({ kind: 'store-synced', now: 0, startedAt: 0, revision: 1 })
  const ask = (id: string, now: number, timeoutMs: number) => {
    post({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path: '/orders/1', key: undefined, timeoutMs, bodyBytes: 0, replayable: true } })
    return effects.some(effect => effect.kind === 'send' && effect.id === id)
  }
  const tick = (now: number) => post({ kind: 'tick', now, wall: now })
  return { effects, post, ask, tick, getState: () => state }
}

test('a stopping host accepts requests whose timeout ends before its own end, to the millisecond, and refuses the rest as not run', t => {
  const host = startHost()
  host.post({ kind: 'stop-asked', now: 1000, graceMs })
  t.true(host.ask('notice', 1100, 30_000))
  host.tick(3600)
  t.is(host.getState().stop.phase, 'finishing')
  const { endAt } = host.getState().stop
  t.is(endAt, 1000 + graceMs - 400)
  t.true(host.ask('fits', 4000, endAt - 200 - 4000))
  t.false(host.ask('too-long', 4000, endAt - 200 - 3999))
  t.deepEqual(host.effects.filter(effect => effect.kind === 'refuse').map(effect => [effect.id, effect.reason, effect.status]), [['too-long', 'draining', 503]])
})

test('a stop closes the connections of callers when the last request has its answer, and no request is accepted after that', t => {
  const host = startHost()
  t.true(host.ask('running', 900, 3500))
  host.post({ kind: 'stop-asked', now: 1000, graceMs })
  host.tick(3600)
  t.false(host.effects.some(effect => effect.kind === 'close-callers'))
  host.post({ kind: 'answer-whole', now: 3700, id: 'running', attempt: 1, status: 200, firstByteAt: 3700 })
  host.tick(3720)
  t.true(host.effects.some(effect => effect.kind === 'close-callers'))
  t.false(host.ask('late', 3730, 100))
  host.post({ kind: 'callers-closed', now: 3900 })
  t.deepEqual(host.effects.filter(effect => effect.kind === 'end-program'), [{ kind: 'end-program', reason: 'drained', afterMs: 2900 }])
})

test('a stop that runs out of time answers the requests that are left, and ends within its grace period', t => {
  const host = startHost()
  t.true(host.ask('long', 900, 30_000))
  host.post({ kind: 'stop-asked', now: 1000, graceMs })
  for (let now = 1000; now < 1000 + graceMs; now += 20) host.tick(now)
  t.deepEqual(host.effects.filter(effect => effect.kind === 'refuse').map(effect => [effect.id, effect.reason, effect.status]), [['long', 'draining', 504]])
  t.deepEqual(host.effects.filter(effect => effect.kind === 'end-program'), [{ kind: 'end-program', reason: 'out-of-time', afterMs: graceMs - 400 }])
})

test('the limits of a configuration that is ignored as outdated do not come into force', t => {
  const host = startHost()
  host.post({ kind: 'configuration-read', now: 10, revision: 3, configuration: buildConfiguration(3, 3000) })
  host.post({ kind: 'configuration-read', now: 20, revision: 2, configuration: buildConfiguration(2, 2000) })
  t.deepEqual(host.effects.filter(effect => effect.kind === 'set-caller-limits').map(effect => effect.limits.maxBodyBytes), [1000, 3000])
})
