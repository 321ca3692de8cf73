import type { Outcome, Refusal, RefusalReason } from '../domain/outcome.js'
import type { RouterEffect } from './routerEffects.js'
import type { BackendState, EgressRequest, RouterState } from './routerState.js'
import { ranks } from '../domain/rank.js'
import { resolveHolder } from './ownership.js'

/**
 * Records the refusal of a request at its holder. The refusal is answered, or the request routed
 * again at its ingress, after the event has been applied, when the holder's state is consistent.
 */
function refuseRequest (state: RouterState, id: string, refusal: Refusal): RouterEffect[] {
  state.holderRefusals.push({ id, refusal })
  return []
}

/** Refuses a request for a backend server that this router does not hold, naming the holder if another is known. */
export function refuseAsNotHolder (state: RouterState, request: EgressRequest): RouterEffect[] {
  const holder = resolveHolder(state, request.service, request.owner)?.router
  const hint = holder === state.self ? undefined : holder
  const refusal = { outcome: 'not-run', reason: 'not-holder', holder: hint, mayHaveRun: request.mayHaveRun } as const
  return refuseRequest(state, request.id, refusal)
}

/** Refuses a request at its holder and removes it. */
export function refuseEgress (
  state: RouterState,
  request: EgressRequest,
  outcome: Outcome,
  reason: RefusalReason,
  hint?: { unit: string, owner: string, epoch: number }
): RouterEffect[] {
  state.egress.delete(request.id)
  const { mayHaveRun } = request
  const refusal = { outcome, reason, mayHaveRun, unit: hint?.unit, owner: hint?.owner, epoch: hint?.epoch }
  return refuseRequest(state, request.id, refusal)
}

/** Refuses all queued and pending requests of a backend server that this router no longer holds. */
export function refuseWaiting (state: RouterState, backend: BackendState): RouterEffect[] {
  const waiting = [...backend.pending, ...ranks.flatMap(rank => backend.queues[rank])]
  backend.pending = []
  for (const rank of ranks) backend.queues[rank] = []
  const effects: RouterEffect[] = []
  for (const request of waiting) {
    if (request.isCanceled) continue
    state.egress.delete(request.id)
    effects.push(...refuseAsNotHolder(state, request))
  }
  return effects
}
