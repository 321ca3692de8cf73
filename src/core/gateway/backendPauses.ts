import type { Ineligibility } from './backendEligibility.js'
import type { Backend, GatewayRequest, GatewayState, GatewayWork } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Longest pause that a backend server can ask a host for, in milliseconds: a wrong value must not take it out of service for longer. */
export const maxPauseMs = 10_000
/** Share of the rest of a pause over which the retries of refused callers are spread after its end. */
const retrySpreadShare = 0.25
/** Shortest time over which they are spread, in milliseconds: a fraction of the time that work takes. */
const minRetrySpreadMs = 80

/** Pauses the requests of this host to a backend server, which asked for it when it refused one. A shorter pause does not end a longer one. */
export function applyPause (work: GatewayWork, backend: Backend, pauseMs: number): void {
  const { now } = work.state
  const isNew = backend.pausedUntil <= now
  backend.pausedUntil = Math.max(backend.pausedUntil, now + Math.min(maxPauseMs, pauseMs))
  if (isNew) work.effects.push({ kind: 'log', event: 'backendPaused', fields: { backend: backend.id, service: backend.service, forMs: Math.round(backend.pausedUntil - now) } })
}

/** Finds the pause of a backend server that is in force. */
export function findPause (state: GatewayState, backend: Backend): Ineligibility | undefined {
  const waitMs = backend.pausedUntil - state.now
  return waitMs > 0 ? { kind: 'ineligible', reason: 'backend-paused', waitMs } : undefined
}

/** Finds the pause that an owner asked for when it refused a request for one of its keys: no other backend server can run the request. */
export function findOwnerPause (state: GatewayState, request: GatewayRequest, backend: Backend | undefined): Ineligibility | undefined {
  const isOwner = request.key !== undefined && state.configuration?.services.get(request.service)?.sharded === true
  return isOwner && backend !== undefined ? findPause(state, backend) : undefined
}

/** Computes a random time after which the caller of a request refused for a pause may retry, in milliseconds: after the pause, since an earlier retry would be refused as well. */
export function computePauseRetryMs (state: GatewayState, waitMs: number): number {
  return Math.ceil(waitMs + uniformFloat64(state.random) * Math.max(minRetrySpreadMs, waitMs * retrySpreadShare))
}

/** Counts the backend servers that asked this host for a pause. */
export function countPauses (state: GatewayState): number {
  return [...state.backends.values()].filter(backend => backend.pausedUntil > state.now).length
}
