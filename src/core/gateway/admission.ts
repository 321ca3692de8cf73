import type { Backend, GatewayRequest, GatewayState } from './state.js'
import { loadMaxAgeMs, queueAllowance, targetShare } from './limits.js'
import { countInFlight } from './loadTotals.js'
import { computeSlowdownFactor, mergeFigure } from './reportedLoad.js'

/** Growth of this host's requests in flight since the last load exchange that is ignored; growth beyond it is taken as growth at other hosts too. */
const ignoredGrowth = 1
/** Share of the other hosts that are assumed to see the same growth: a hot key reaches most hosts, but not all. */
const growthSpread = 0.4
/** Upper bound of the requests at all other hosts that one more request here stands for. In a large fleet a host sees so few of a server's requests that a second one is mostly chance. */
const maxInferredGrowth = 4.5
/** Upper bound of the requests at all other hosts that each request here stands for while their load is unknown. */
const maxInferredInFlight = 5.5
/** Share of the slots that lower-priority requests may fill while higher-priority ones are short of capacity. */
const lowerPriorityShare = 0.75
/** Time after a refusal for which its priority counts as short of capacity, in milliseconds. */
const shortageWindowMs = 2000
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
 * stays short enough for answers within the target time, and lower-priority requests leave
 * slots to higher-priority ones. A request past its target time is given free slots only.
 */
export function admitRequest (state: GatewayState, request: GatewayRequest, backend: Backend): Admission {
  const inFlight = estimateInFlight(state, backend)
  const serviceMs = estimateServiceMs(state, backend)
  const waitMs = estimateWaitMs(state, backend)
  const expectedMs = waitMs + serviceMs
  const refuse: Admission = { kind: 'refuse', waitMs }
  if (inFlight + 1 > backend.slots + queueAllowance) return refuse
  if (state.now + expectedMs > request.deadlineAt) return waitMs === 0 && backend.inFlight === 0 ? { kind: 'admit', expectedMs } : refuse
  const hasFreeSlot = inFlight + 1 <= backend.slots
  if (isLimitedByPriority(state, request, backend) && inFlight + 1 > backend.slots * lowerPriorityShare) return refuse
  if (hasFreeSlot) return { kind: 'admit', expectedMs }
  const toTargetMs = (request.targetAt - state.now) * targetShare
  return expectedMs <= toTargetMs ? { kind: 'admit', expectedMs } : refuse
}

/** Whether a higher-priority request was recently refused here; while there is capacity for all requests, priorities are ignored. */
function isLimitedByPriority (state: GatewayState, request: GatewayRequest, backend: Backend): boolean {
  for (const [priority, at] of backend.lastRefusedAt) {
    if (priority < request.route.priority && state.now - at < shortageWindowMs) return true
  }
  return false
}

/** Records that a backend server had no capacity for a request. */
export function recordShortage (state: GatewayState, request: GatewayRequest, backend: Backend): void {
  backend.lastRefusedAt.set(request.route.priority, state.now)
}
