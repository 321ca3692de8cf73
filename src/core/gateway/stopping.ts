import type { EndReason } from './effects.js'
import type { GatewayRequest, GatewayWork } from './state.js'
import { computeStopTimes } from '../policy/stopPolicy.js'
import { advanceResignation, startResignation } from './leadership.js'
import { failRequest, refuseRequest } from './refusals.js'

/** Starts a graceful shutdown that ends the process within `graceMs` milliseconds. */
export function startStop (work: GatewayWork, graceMs: number): void {
  const { state } = work
  if (state.stop.phase !== 'serving') return
  state.stop = { phase: 'leaving', requestedAt: state.now, ...computeStopTimes(state.now, graceMs) }
  work.effects.push({ kind: 'log', event: 'gatewayStopping', fields: { requests: state.requests.size, graceMs } })
  work.effects.push({ kind: 'end-keep-alive' })
  startResignation(work)
}

/** Advances a graceful shutdown: the load balancer stops sending, requests end, connections close, the process ends. */
export function advanceStop (work: GatewayWork): void {
  const { state } = work
  const { stop } = state
  if (stop.phase === 'serving' || stop.phase === 'stopped') return
  if (state.now >= stop.endAt) return stopAtTimeout(work)
  advanceResignation(work)
  if (stop.phase === 'leaving' && state.now >= stop.acceptAllUntil) {
    stop.phase = 'finishing'
    work.effects.push({ kind: 'close-idle-callers' })
  }
  // A host that still leads must keep renewing its grants until another host takes over.
  if (stop.phase !== 'finishing' || state.requests.size > 0 || state.granting.role === 'leading') return
  stop.phase = 'closing'
  work.effects.push({ kind: 'close-callers' })
}

/** Ends the process once the last caller has its answer. */
export function handleCallersClosed (work: GatewayWork): void {
  if (work.state.stop.phase !== 'closing') return
  endProcess(work, 'drained')
}

/** Refuses or fails the remaining requests when the shutdown's time is over, and ends the process. */
function stopAtTimeout (work: GatewayWork): void {
  for (const request of [...work.state.requests.values()]) abortRequest(work, request)
  endProcess(work, 'out-of-time')
}

function abortRequest (work: GatewayWork, request: GatewayRequest): void {
  if (request.phase === 'waiting') return refuseRequest(work, request, 'draining', 0)
  work.effects.push({ kind: 'cancel', id: request.id })
  failRequest(work, request, 'draining', 504)
}

function endProcess (work: GatewayWork, reason: EndReason): void {
  const { state } = work
  state.stop.phase = 'stopped'
  work.effects.push({ kind: 'end-program', reason, afterMs: state.now - state.stop.requestedAt })
}
