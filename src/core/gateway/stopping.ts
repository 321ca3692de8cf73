import type { EndReason } from './effects.js'
import type { GatewayRequest, GatewayWork } from './state.js'
import { advanceResignation, startResignation } from './leadership.js'
import { failRequest, refuseRequest } from './refusals.js'

/** Time for which a stopping host takes all requests, in milliseconds: the balancer leaves it after two probes, a second apart. */
const leaveNoticeMs = 2600
/** Part of the time until the end that this notice may take, where the grace is short. */
const leaveNoticeShare = 0.5
/** Time before the end of the grace at which the process ends, in milliseconds: closing its ports and the exit itself. */
const endBeforeGraceMs = 400
/** Starts an orderly stop that ends the process before `graceMs` are over. */
export function startStop (work: GatewayWork, graceMs: number): void {
  const { state } = work
  if (state.stop.phase !== 'serving') return
  const availableMs = Math.max(0, graceMs - endBeforeGraceMs)
  state.stop = {
    phase: 'leaving',
    askedAt: state.now,
    noticeEndsAt: state.now + Math.min(leaveNoticeMs, availableMs * leaveNoticeShare),
    endAt: state.now + availableMs
  }
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
