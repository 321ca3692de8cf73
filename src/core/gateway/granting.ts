import type { GatewayRules } from './rules.js'
import type { GatewayWork } from './state.js'
import { updateGrantConnection } from './grantConnections.js'
import { addFirstGrant, buildManagedGrant, isTargetReplaceable, mergeNeighbours, replaceTarget, startMove, takeFence } from './grantChanges.js'
import { advanceGrant } from './grantSteps.js'
import { balanceMs, blockedRoundMs, maxSettleMs, mildRoundMs, maxRenewalsPerTick, settleMs, consolidationMs } from './limits.js'
import { isAllowedToRenew, isAllowedToMoveKeys } from './leadership.js'
import { buildPlannerInput, listCandidates, updateAdmitShares } from './loadExchange.js'
import { chooseMoves, countMovesLeft, advanceMoves } from './moves.js'
import { writePlacement } from './placementWriting.js'
import { planInitial } from './planner.js'
import { chooseRenewers } from './renewerAssignment.js'
import { advanceRecovery } from './restoredStore.js'
import { findRange } from './routing.js'
import { computeFirstFence, isPlacementOutdated, isRecovering } from './storeRestores.js'

/** Loads the grants from the stored placement after this host has become the leader. */
export function loadGrants (work: GatewayWork): void {
  const { granting, placement, now } = work.state
  if (granting.isLoaded || !isAllowedToRenew(work)) return
  granting.isLoaded = true
  granting.nextFence = computeFirstFence(work.state)
  const isRestored = isPlacementOutdated(work.state)
  if (isRestored) {
    granting.isDirty = true
    work.effects.push({ kind: 'log', event: 'grantingRecovered', fields: { restores: work.state.restores, continued: granting.isContinuing, nextFence: granting.nextFence } })
  }
  for (const [service, ranges] of placement?.services ?? []) {
    for (const range of ranges) {
      if (isRestored && !granting.isContinuing) {
        // All earlier grants have expired, but later ones than those of this placement may have been given out: the owners get new fencing tokens.
        granting.grants.push(buildManagedGrant(service, { ...range, fence: takeFence(work), phase: 'moving', previous: undefined }, 'release', now))
        continue
      }
      const grant = buildManagedGrant(service, { ...range }, range.phase === 'held' ? 'renew' : 'release', now)
      // The previous granting host may have granted the keys to their next owner and ended before it announced that.
      if (range.phase === 'moving') grant.targetLatestArrivalAt = now
      granting.grants.push(grant)
    }
  }
}

/** Advances all grants: plans moves, stores the placement, and sends the releases, grants and renewals that are due. */
export function advanceGranting (work: GatewayWork, rules: GatewayRules): void {
  if (!isAllowedToRenew(work)) return
  updateGrantConnection(work)
  if (isRecovering(work.state)) return advanceRecovery(work)
  loadGrants(work)
  updateAdmitShares(work)
  if (isAllowedToMoveKeys(work)) {
    planPlacement(work, rules)
    writePlacement(work)
  }
  advanceMoves(work)
  chooseRenewers(work)
  advanceRenewals(work)
}

/** Sends the renewals that are due, a bounded number per tick, since hundreds may be due at the same moment. */
function advanceRenewals (work: GatewayWork): void {
  const { granting, now } = work.state
  const due = granting.grants.filter(grant => grant.step === 'renew' && (now >= grant.nextAt || grant.supersededRanges.length > 0))
  if (due.length > maxRenewalsPerTick) due.sort((a, b) => a.nextAt - b.nextAt)
  let renewals = 0
  for (const grant of due) {
    // Ranges that a change supersedes before it is stored are renewed beyond the bound.
    if (renewals >= maxRenewalsPerTick && grant.supersededRanges.length === 0) continue
    const sent = work.effects.length
    advanceGrant(work, grant)
    if (work.effects.length > sent) renewals += 1
  }
}

/** Advances what a completed write of the placement allows: the next write, and the calls of the stored moves. */
export function advanceAfterWrite (work: GatewayWork): void {
  if (!isAllowedToRenew(work)) return
  if (isAllowedToMoveKeys(work)) writePlacement(work)
  advanceMoves(work)
}

function planPlacement (work: GatewayWork, rules: GatewayRules): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.balanceAt) return
  granting.balanceAt = now + balanceMs
  const isAtMoveLimit = countMovesLeft(work) === 0
  for (const service of state.configuration?.services.values() ?? []) {
    if (!service.sharded) continue
    const grants = granting.grants.filter(grant => grant.service === service.name)
    if (grants.length === 0) {
      if (!hasStableBackends(work, service.name)) continue
      for (const move of planInitial(listCandidates(work, service.name))) addFirstGrant(work, service.name, move)
      continue
    }
    if (!isAtMoveLimit) mergeNeighbours(work, service.name)
    planService(work, service.name, isAtMoveLimit, rules)
  }
  if (isAtMoveLimit) return
  if (now >= granting.consolidateAt) granting.consolidateAt = now + consolidationMs
  if (now >= granting.mildRebalanceAt) granting.mildRebalanceAt = now + mildRoundMs
}

/** Starts the moves of a service up to the limit on moves in progress; the others are planned again soon. */
function planService (work: GatewayWork, service: string, isAtMoveLimit: boolean, rules: GatewayRules): void {
  const { granting, now } = work.state
  const grants = granting.grants.filter(grant => grant.service === service)
  const replaceable = new Map(grants.filter(grant => isTargetReplaceable(work, grant)).map(grant => [grant.range.from, grant]))
  const input = buildPlannerInput(work, service, grants.map(grant => replaceable.has(grant.range.from) ? { ...grant, range: { ...grant.range, phase: 'held' as const } } : grant))
  // At the limit of moves in progress, no move starts just to balance load.
  const planned = rules.planMoves(isAtMoveLimit ? { ...input, isConsolidationDue: false, overloadThreshold: Infinity } : input)
  const targets = planned.filter(move => replaceable.has(move.from))
  const others = planned.filter(move => findRange(input.ranges, move.from)?.phase === 'held' && !targets.includes(move))
  for (const move of targets) replaceTarget(work, replaceable.get(move.from)!, move.owner)
  const started = chooseMoves(work, others, move => findRange(input.ranges, move.from)?.owner)
  for (const move of started) startMove(work, service, move)
  if (isAtMoveLimit || started.length < others.length) granting.balanceAt = now + blockedRoundMs
}

/** Whether no new backend server of a service was listed for a while, or the wait for that has reached its limit. */
function hasStableBackends (work: GatewayWork, service: string): boolean {
  const { state } = work
  return state.now - (state.listedAt.get(service) ?? state.now) > settleMs || state.now - state.granting.leaderSince > maxSettleMs
}
