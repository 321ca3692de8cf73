import type { EndReason } from './effects.js'
import type { GatewayRequest, GatewayWork } from './state.js'
import { computeStopTimes } from '../policy/stopPolicy.js'
import { advanceResignation, startResignation } from './leadership.js'
import { failRequest, refuseRequest } from './refusals.js'

/** Starts an orderly stop that ends the process before `graceMs` are over. */
export function startStop (work: GatewayWork, graceMs: number): void {
  const { state } = work
  if (state.stop.phase !== 'serving') return
  state.stop = { phase: 'leaving', askedAt: state.now, ...computeStopTimes(state.now, graceMs) }
  work.effects.push({ kind: 'log', event: 'gatewayStopping', fields: { requests: state.requests.size, graceMs } })
  work.effects.push({ kind: 'end-keep-alive' })
  startResignation(work)
}

/** Moves an orderly stop on: the balancer leaves, requests end, connections close, the process ends. */
export function advanceStop (work: GatewayWork): void {
  const { state } = work
  const { stop } = state
  if (stop.phase === 'serving' || stop.phase === 'stopped') return
  if (state.now >= stop.endAt) return endOutOfTime(work)
  advanceResignation(work)
  if (stop.phase === 'leaving' && state.now >= stop.noticeEndsAt) {
    stop.phase = 'finishing'
    work.effects.push({ kind: 'close-idle-callers' })
  }
  // Grants that nobody else can renew are work in progress too.
  if (stop.phase !== 'finishing' || state.requests.size > 0 || state.granting.role === 'leading') return
  stop.phase = 'closing'
  work.effects.push({ kind: 'close-callers' })
}

/** Ends the process once the last caller has its answer. */
export function handleCallersClosed (work: GatewayWork): void {
  if (work.state.stop.phase !== 'closing') return
  endProgram(work, 'drained')
}

/** Answers what is left when the time of a stop is up. */
function endOutOfTime (work: GatewayWork): void {
  for (const request of [...work.state.requests.values()]) cutRequest(work, request)
  endProgram(work, 'out-of-time')
}

function cutRequest (work: GatewayWork, request: GatewayRequest): void {
  if (request.phase === 'waiting') return refuseRequest(work, request, 'draining', 0)
  work.effects.push({ kind: 'cancel', id: request.id })
  failRequest(work, request, 'draining', 504)
}

function endProgram (work: GatewayWork, reason: EndReason): void {
  const { state } = work
  state.stop.phase = 'stopped'
  work.effects.push({ kind: 'end-program', reason, afterMs: state.now - state.stop.askedAt })
}
