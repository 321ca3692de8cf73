import type { Rank } from '../domain/rank.js'
import type { QueueView, RouterRules } from './rules.js'
import type { BackendState, RouterState } from './routerState.js'
import { buildByRank, ranks } from '../domain/rank.js'
import { slotUsageWindowMs } from '../limits.js'

/** Builds the input of the scheduling policy for a backend server. */
export function buildQueueView (state: RouterState, backend: BackendState): QueueView {
  const team = state.services.get(backend.service)?.team
  return {
    queued: buildByRank(rank => backend.queues[rank].length),
    inFlight: backend.inFlightByRank,
    limit: Math.max(1, Math.floor(backend.limit)),
    floors: buildByRank(rank => team?.ranks[rank].floor ?? 0),
    targetsMs: buildByRank(rank => team?.ranks[rank].targetMs ?? 0),
    busyMs: buildByRank(rank => backend.busyMs[rank] + computeRunningMs(state, backend, rank)),
    meanBusyMs: backend.meanBusyMs,
    sinceLastArrivalMs: buildByRank(rank => state.now - backend.lastArrivalAt[rank])
  }
}

function computeRunningMs (state: RouterState, backend: BackendState, rank: Rank): number {
  return backend.inFlightByRank[rank] * state.now - backend.dispatchedAtSum[rank]
}

export function computeInFlight (state: RouterState, backend: BackendState): number {
  if (backend.inheritedRequests.length > 0) backend.inheritedRequests = backend.inheritedRequests.filter(each => each.until > state.now)
  return backend.inFlight.size + backend.inheritedRequests.length
}

export function hasWaiting (backend: BackendState): boolean {
  return backend.pending.length > 0 || hasQueued(backend)
}

export function hasQueued (backend: BackendState): boolean {
  const { lookup, confirmation, upload } = backend.queues
  return lookup.length + confirmation.length + upload.length > 0
}

export function updateBusyTime (state: RouterState, backend: BackendState): void {
  const elapsed = state.now - backend.busyDecayedAt
  if (elapsed < slotUsageWindowMs / 20) return
  const factor = Math.exp(-elapsed / slotUsageWindowMs)
  for (const rank of ranks) backend.busyMs[rank] *= factor
  backend.busyDecayedAt = state.now
}

export function updateLimit (state: RouterState, backend: BackendState, rules: RouterRules): void {
  const warmUpMs = state.services.get(backend.service)?.service.warmUpMs ?? 0
  const slots = backend.server.slots
  const target = rules.computeLimit({ slots, warmUpMs, readyForMs: state.now - backend.readySince, current: backend.limit })
  backend.shedLimit = Math.min(slots, backend.shedLimit + limitRecoveryPerTick)
  backend.limit = Math.min(target, backend.shedLimit)
}

/** Slots by which the limit recovers per tick after a backend server has shed load. */
const limitRecoveryPerTick = 0.01
