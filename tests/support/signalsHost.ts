import type { GatewayEffect } from '../../src/core/gateway/effects.js'
import type { FleetLoad, GatewayEvent } from '../../src/core/gateway/events.js'
import type { BackendRegistration, BackendSignals } from '../../src/core/gateway/model.js'
import type { GatewayState } from '../../src/core/gateway/state.js'
import { reduceGateway } from '../../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../../src/core/gateway/rules.js'
import { buildGatewayState } from '../../src/core/gateway/state.js'

const rules = buildGatewayRules()
const route = { name: 'any', host: 'shop.test', pathPrefix: '/', targets: [{ service: 's', weight: 1 }], idempotent: true, timeoutMs: 2583, targetMs: 1033, maxAttempts: 2, priority: 0 }
const limits = { maxHeaderBytes: 1e4, maxBodyBytes: 1e6, headerTimeoutMs: 1e3, idleTimeoutMs: 1e4 }
export const silentSignals: BackendSignals = { isLeaving: false, pauseMs: undefined, coldMs: undefined, load: undefined }

/** Builds the registration of backend server `index` of the service `s`. */
export function buildRegistration (index: number, extra: Partial<BackendRegistration> = {}): BackendRegistration {
  return { id: `i-${index}`, startedAt: 1, service: 's', address: `i-${index}:80`, zone: 'z', slots: 4, leaving: false, slowForMs: 0, ...extra }
}

/** A host in virtual time that knows `servers` backend servers; if sharded, the first one owns all keys. */
export type SignalsHost = {
  state: () => GatewayState
  post: (event: GatewayEvent) => GatewayEffect[]
  advanceTime: (ms: number) => GatewayEffect[]
  /** Sends one request; returns the backend server to which it went, or why it was refused. */
  ask: (key?: number) => { backend: string | undefined, refusal: Extract<GatewayEffect, { kind: 'refuse' }> | undefined, id: string }
  answer: (id: string, signals?: Partial<BackendSignals>, status?: 200 | 503) => GatewayEffect[]
  now: () => number
}

/** Starts such a host at 10 s; it knows the store up to that time. */
export function startSignalsHost ({ servers = 8, sharded = false, zone = 'z' }: { servers?: number, sharded?: boolean, zone?: string } = {}): SignalsHost {
  let now = 10_000
  let asked = 0
  let state = buildGatewayState({ host: 'host-0', zone, region: 'r', regionOf: new Map([['z', 'r']]), address: 'host-0', processorShare: 1 }, 1, now)
  const post = (event: GatewayEvent): GatewayEffect[] => {
    const step = reduceGateway(state, event, rules)
    state = step.state
    return step.effects
  }
  post({ kind: 'tick', now, wall: now })
  const services = new Map([['s', { name: 's', sharded, warmupMs: 0 }]])
  post({ kind: 'configuration-read', now, configuration: { version: 1, routes: [route], services, limits }, revision: 1 })
  for (let index = 0; index < servers; index++) post({ kind: 'backend-read', now, backend: buildRegistration(index) })
  const ranges = [{ from: 0, to: 65_535, owner: buildRegistration(0), fence: 1, phase: 'held' as const, previous: undefined }]
  if (sharded) post({ kind: 'placement-read', now, placement: { nextFence: 2, services: new Map([['s', ranges]]), memory: { hosts: 1, serviceMs: new Map() } }, revision: 1 })
  post({ kind: 'store-known', now, asOf: now })
  return {
    state: () => state,
    post,
    now: () => now,
    advanceTime: ms => {
      const effects: GatewayEffect[] = []
      for (const end = now + ms; now < end;) {
        now = Math.min(end, now + 20)
        if (state.granting.role === 'leading') effects.push(...post({ kind: 'lease-renewed', now, sentAt: now, outcome: 'renewed' }))
        effects.push(...post({ kind: 'tick', now, wall: now }))
      }
      return effects
    },
    ask: key => {
      asked += 1
      const id = `r-${asked}`
      const effects = post({ kind: 'request-arrived', now, id, head: { requestId: id, host: 'shop.test', path: '/', key, timeoutMs: undefined, bodyBytes: 0, replayable: true } })
      return { id, backend: effects.find(effect => effect.kind === 'send')?.backend, refusal: effects.find(effect => effect.kind === 'refuse') }
    },
    answer: (id, signals, status = 200) => {
      const request = state.requests.get(id)
      const said = signals === undefined ? [] : post({ kind: 'signals-read', now, backend: request?.backend ?? '', startedAt: 1, signals: { ...silentSignals, ...signals } })
      const attempt = request?.attempt ?? 0
      return [...said, ...post(status === 200 ? { kind: 'answer-whole', now, id, attempt, status, firstByteAt: now } : { kind: 'not-run-answered', now, id, attempt, status })]
    }
  }
}

/** Lets a host that knows a sharded service grant its keys. */
export function startGranting (host: SignalsHost): void {
  host.post({ kind: 'last-granting-host-read', now: host.now(), record: { host: 'host-0', address: 'host-0', unsettled: [] }, revision: 1 })
  host.post({ kind: 'store-synced', now: host.now(), startedAt: host.now(), revision: 2 })
  host.advanceTime(400)
  host.post({ kind: 'leadership-claimed', now: host.now(), outcome: 'written', lease: 1, revision: 3 })
  host.post({ kind: 'store-synced', now: host.now(), startedAt: host.now(), revision: 3 })
  host.advanceTime(100)
}

/** Builds what the granting host answers to a report. */
export function buildSharedLoad (extra: Partial<FleetLoad>): FleetLoad {
  return { hosts: 2, placement: { revision: 0, confirmations: 0 }, storeRevision: 0, storeAgeMs: 0, backends: [], renewals: [], ...extra }
}
