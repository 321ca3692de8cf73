import type { GatewayEffect } from '../src/core/gateway/effects.js'
import type { GatewayEvent } from '../src/core/gateway/events.js'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'

test('a host that wins the lease after it was asked to stop ends that lease', t => {
  const rules = buildGatewayRules()
  let state = buildGatewayState({ host: 'host-1', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-1', processorShare: 1 }, 1, 0)
  const effects: GatewayEffect[] = []
  const post = (event: GatewayEvent) => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    effects.push(...step.effects)
  }
  post({
    kind: 'configuration-read',
    now: 0,
    revision: 1,
    configuration: {
      version: 1,
      routes: [],
      services: new Map([['shards', { name: 'shards', sharded: true, warmupMs: 0 }]]),
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    }
  })
  post({ kind: 'store-synced', now: 0, startedAt: 0, revision: 1 })
  for (let now = 20; !effects.some(effect => effect.kind === 'claim-leadership'); now += 20) post({ kind: 'tick', now, wall: now })
  post({ kind: 'stop-asked', now: 1000, graceMs: 6000 })
  post({ kind: 'leadership-claimed', now: 1010, outcome: 'written', lease: 7, revision: 2 })
  post({ kind: 'tick', now: 1020, wall: 1020 })
  t.true(effects.some(effect => effect.kind === 'renew-lease'))
  post({ kind: 'lease-renewed', now: 1040, sentAt: 1020, outcome: 'renewed' })
  post({ kind: 'tick', now: 1060, wall: 1060 })
  t.true(effects.some(effect => effect.kind === 'end-lease' && effect.lease === 7))
  t.not(state.granting.role, 'leading')
})
