import type { Backend, GatewayRequest, GatewayState } from './state.js'
import { loadMaxAgeMs, queueAllowance, targetShare } from './limits.js'
import { countInFlight } from './loadTotals.js'
import { computeSlowdownFactor, mergeFigure } from './reportedLoad.js'
import { computeSlotLimit } from './overloadPolicy.js'

/** Growth of this host's requests in flight since the last load exchange that is ignored; growth beyond it is taken as growth at other hosts too. */
const ignoredGrowth = 1
/** Share of the other hosts that are assumed to see the same growth: a hot key reaches most hosts, but not all. */
const growthSpread = 0.4
/** Upper bound of the requests at all other hosts that one more request here stands for. In a large fleet a host sees so few of a server's requests that a second one is mostly chance. */
const maxInferredGrowth = 4.5
/** Upper bound of the requests at all other hosts that each request here stands for while their load is unknown. */
const maxInferredInFlight = 5.5
/** Factor by which the service time of a backend server is multiplied just after its start. */
const coldStartSlowdown = 2

/** Decision on whether a request may be sent to a backend server now. */
export type Admission = { kind: 'admit', expectedMs: number } | { kind: 'refuse', waitMs: number }

/** Estimates the requests in flight at a backend server, from all hosts: by its own latest figure while that is recent. */
export function estimateInFlight (state: GatewayState, backend: Backend): number {
  return mergeFigure(state, backend, estimateWithoutFigure(state, backend))
}

/** Estimates the requests in flight at a backend server by what hosts report. */
function estimateWithoutFigure (state: GatewayState, backend: Backend): number {
  if (state.now - state.loadReadAt > loadMaxAgeMs) return backend.inFlight * (1 + Math.min(maxInferredInFlight, (state.hosts - 1) / 2))
  const growth = Math.max(0, backend.inFlight - backend.inFlightAtReport - ignoredGrowth)
  return backend.inFlight + backend.othersInFlight + countInFlight(state.collecting, backend.id) + growth * Math.min(maxInferredGrowth, (state.hosts - 1) * growthSpread)
}

/** Estimates the time for which one request occupies a slot of a backend server, in milliseconds. */
export function estimateServiceMs (state: GatewayState, backend: Backend): number {
  const serviceMs = backend.slowUntil > state.now ? backend.serviceMs * coldStartSlowdown : backend.serviceMs
  return serviceMs * computeSlowdownFactor(state, backend)
}

/** Estimates how long a request waits for a slot, in milliseconds. */
export function estimateWaitMs (state: GatewayState, backend: Backend): number {
  const ahead = estimateInFlight(state, backend) + 1 - backend.slots
  return Math.max(0, ahead) / backend.slots * estimateServiceMs(state, backend)
}

/**
 * Decides whether a request may be sent to a backend server now. Under overload, the queue
 * stays short enough for answers within the target time, and requests that cost callers less to lose leave
 * slots to those that cost more. A request past its target time is given free slots only.
 */
export function admitRequest (state: GatewayState, request: GatewayRequest, backend: Backend, computeLimit = computeSlotLimit): Admission {
  const inFlight = estimateInFlight(state, backend)
  const serviceMs = estimateServiceMs(state, backend)
  const waitMs = estimateWaitMs(state, backend)
  const expectedMs = waitMs + serviceMs
  const refuse: Admission = { kind: 'refuse', waitMs }
  if (inFlight + 1 > backend.slots + queueAllowance) return refuse
  if (state.now + expectedMs > request.deadlineAt) return waitMs === 0 && backend.inFlight === 0 ? { kind: 'admit', expectedMs } : refuse
  const hasFreeSlot = inFlight + 1 <= backend.slots
  if (inFlight + 1 > computeLimit(state, request, backend, serviceMs)) return refuse
  if (hasFreeSlot) return { kind: 'admit', expectedMs }
  const toTargetMs = (request.targetAt - state.now) * targetShare
  return expectedMs <= toTargetMs ? { kind: 'admit', expectedMs } : refuse
}
