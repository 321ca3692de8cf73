import type { Backend, GatewayRequest, GatewayState } from './state.js'

/** Factor by which the cost of refusing a request falls with each step of its priority: the operators' ranks say that one request of a rank matters more than one of the next. */
const priorityFactor = 0.5
/** Cost of refusing a request that can only be answered after its target, relative to one that can be answered within it: callers mostly have given up on its use. */
const lateFactor = 0.3
/** One of so many requests of each route is admitted by capacity alone, so that no kind of request stops being served in a long shortage. */
const exemptionInterval = 4
/** Time after a refusal for want of capacity for which less costly requests leave slots to such requests, in milliseconds: several times the slot time of usual work. */
const shortageMs = 2000
/** Weight of a new sample in the slot time of a route. */
const workSampleWeight = 0.05

/** The most costly recent refusal for want of capacity: `cost` as computed by `computeRefusalCost`, and the priority of the request. */
export type Shortage = { cost: number, priority: number, at: number }

/**
 * Computes what it costs callers to refuse a request now, for each millisecond of a slot that it needs: by its priority, by
 * whether it can still be answered within its target or its deadline, and by the work that its route usually needs.
 * 0 if its deadline can't be met. `earliestMs`: time of its answer if it got a slot at once.
 */
export function computeRefusalCost (state: GatewayState, request: GatewayRequest, earliestMs: number): number {
  const answeredAt = state.now + earliestMs
  if (answeredAt > request.deadlineAt) return 0
  const timeFactor = answeredAt <= request.targetAt ? 1 : lateFactor
  const workMs = Math.max(1, state.routeWorkMs.get(request.route.name) ?? earliestMs)
  return priorityFactor ** request.route.priority * timeFactor / workMs
}

/**
 * Computes up to how many requests in flight a backend server takes this request. Load answered: more requests than a server's
 * slots and queue can serve, of several priorities. While requests that cost callers more were refused here recently, those of
 * lower priority fill only a part of the slots, in proportion to their cost, but for the few that are exempt. Requests of the same
 * priority that are late get free slots only (`admitRequest`); slots kept free from them as well would stay unused between arrivals.
 */
export function computeSlotLimit (state: GatewayState, request: GatewayRequest, backend: Backend, earliestMs: number): number {
  const { shortage } = backend
  if (shortage === undefined || request.isExempt === true || state.now - shortage.at >= shortageMs) return Infinity
  if (request.route.priority <= shortage.priority) return Infinity
  const share = computeRefusalCost(state, request, earliestMs) / shortage.cost
  return share >= 1 ? Infinity : Math.max(1, backend.slots * share)
}

/** Takes a turn of a route's exemptions: whether its next request is admitted by capacity alone. */
export function takeExemption (state: GatewayState, route: string): boolean {
  const turn = ((state.exemptionTurns.get(route) ?? 0) + 1) % exemptionInterval
  state.exemptionTurns.set(route, turn)
  return turn === 0
}

/** Records that a backend server had no capacity for a request; a less costly refusal does not replace a recent one. */
export function recordShortage (state: GatewayState, request: GatewayRequest, backend: Backend, earliestMs: number): void {
  const cost = computeRefusalCost(state, request, earliestMs)
  const { shortage } = backend
  if (cost === 0) return
  if (shortage !== undefined && state.now - shortage.at < shortageMs && cost < shortage.cost * 0.9) return
  backend.shortage = { cost, priority: request.route.priority, at: state.now }
}

/** Records for how long a request occupied a slot, for the estimate of its route's work, in milliseconds. */
export function recordRouteWork (state: GatewayState, request: GatewayRequest, slotMs: number): void {
  const known = state.routeWorkMs.get(request.route.name)
  state.routeWorkMs.set(request.route.name, known === undefined ? slotMs : known + (slotMs - known) * workSampleWeight)
}

/** Lists requests that wait in the order in which they are placed: those that it costs most to refuse first, then those that arrived first. */
export function listByCost (state: GatewayState, requests: readonly GatewayRequest[]): GatewayRequest[] {
  const costs = new Map(requests.map(request => [request.id, computeRefusalCost(state, request, state.routeWorkMs.get(request.route.name) ?? 0)]))
  return [...requests].sort((a, b) => (costs.get(b.id) ?? 0) - (costs.get(a.id) ?? 0) || a.arrivedAt - b.arrivedAt)
}
