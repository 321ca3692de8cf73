import type { GatewayRules } from './rules.js'
import type { GatewayWork } from './state.js'
import { addFirstGrant, buildKeptGrant, joinNeighbours, replaceLostTarget, startMove } from './grantChanges.js'
import { advanceGrant } from './grantSteps.js'
import { balanceMs, longestSettleMs, mildRoundMs, renewalsPerTick, settleMs, tidyMs } from './limits.js'
import { isGranting, isPlacing } from './leadership.js'
import { buildPlannerInput, listCandidates, updateAdmitShares } from './loadExchange.js'
import { writePlacement } from './placementWriting.js'
import { planInitial } from './planner.js'
import { assignRenewers } from './renewers.js'

/** Takes up the placement of the store when this host has begun to lead. */
export function loadGrants (work: GatewayWork): void {
  const { granting, placement, now } = work.state
  if (granting.loaded || !isGranting(work)) return
  granting.loaded = true
  granting.nextFence = placement?.nextFence ?? 1
  for (const [service, ranges] of placement?.services ?? []) {
    for (const range of ranges) {
      const grant = buildKeptGrant(service, { ...range }, range.phase === 'held' ? 'keep' : 'release', now)
      // The former granting host may have granted the keys to their next owner, and ended before it told.
      if (range.phase === 'moving') grant.targetArrivedBy = now
      granting.grants.push(grant)
    }
  }
}

/** Does what is due with the grants: plans, writes the plan down, takes keys back, grants and renews. */
export function advanceGranting (work: GatewayWork, rules: GatewayRules): void {
  if (!isGranting(work)) return
  loadGrants(work)
  updateAdmitShares(work)
  if (isPlacing(work)) {
    planPlacement(work, rules)
    writePlacement(work)
  }
  assignRenewers(work)
  advanceGrants(work)
}

/** Advances each grant; renewals are bounded, since hundreds may be due at the same moment. */
function advanceGrants (work: GatewayWork): void {
  let renewals = 0
  for (const grant of work.state.granting.grants) {
    const isRenewal = grant.step === 'keep' && grant.standing.length === 0
    if (isRenewal && renewals >= renewalsPerTick) continue
    const sent = work.effects.length
    advanceGrant(work, grant)
    if (isRenewal && work.effects.length > sent) renewals += 1
  }
}

function planPlacement (work: GatewayWork, rules: GatewayRules): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.balanceAt) return
  granting.balanceAt = now + balanceMs
  for (const service of state.configuration?.services.values() ?? []) {
    if (!service.sharded) continue
    const grants = granting.grants.filter(grant => grant.service === service.name)
    if (grants.length === 0) {
      if (!isSettled(work, service.name)) continue
      for (const move of planInitial(listCandidates(work, service.name))) addFirstGrant(work, service.name, move)
      continue
    }
    joinNeighbours(work, service.name)
    for (const move of rules.planMoves(buildPlannerInput(work, service.name, grants))) startMove(work, service.name, move)
    for (const grant of grants) replaceLostTarget(work, grant, rules)
  }
  if (now >= granting.tidyAt) granting.tidyAt = now + tidyMs
  if (now >= granting.mildAt) granting.mildAt = now + mildRoundMs
}

/** Whether the backend servers of a service have stopped arriving. */
function isSettled (work: GatewayWork, service: string): boolean {
  const { state } = work
  return state.now - (state.listedAt.get(service) ?? state.now) > settleMs || state.now - state.granting.ledSince > longestSettleMs
}
