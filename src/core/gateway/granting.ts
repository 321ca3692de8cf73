import type { GatewayRules } from './rules.js'
import type { GatewayWork } from './state.js'
import { addFirstGrant, buildKeptGrant, isTargetLost, joinNeighbours, replaceTarget, startMove } from './grantChanges.js'
import { advanceGrant } from './grantSteps.js'
import { balanceMs, crowdedRoundMs, longestSettleMs, mildRoundMs, renewalsPerTick, settleMs, tidyMs } from './limits.js'
import { isGranting, isPlacing } from './leadership.js'
import { buildPlannerInput, listCandidates, updateAdmitShares } from './loadExchange.js'
import { chooseMoves, countMovesLeft, advanceMoves } from './moves.js'
import { writePlacement } from './placementWriting.js'
import { planInitial } from './planner.js'
import { chooseRenewers } from './renewers.js'
import { findRange } from './routing.js'

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
  advanceMoves(work)
  chooseRenewers(work)
  advanceRenewals(work)
}

/** Renews the grants that are due; bounded, since hundreds may be due at the same moment. */
function advanceRenewals (work: GatewayWork): void {
  const { granting, now } = work.state
  const due = granting.grants.filter(grant => grant.step === 'keep' && (now >= grant.nextAt || grant.standing.length > 0))
  if (due.length > renewalsPerTick) due.sort((a, b) => a.nextAt - b.nextAt)
  let renewals = 0
  for (const grant of due) {
    // What a change that is not written down follows is renewed whatever else is due.
    if (renewals >= renewalsPerTick && grant.standing.length === 0) continue
    const sent = work.effects.length
    advanceGrant(work, grant)
    if (work.effects.length > sent) renewals += 1
  }
}

/** Does what a written placement allows: the next write, and the calls of the moves that it holds. */
export function advanceWritten (work: GatewayWork): void {
  if (!isGranting(work)) return
  if (isPlacing(work)) writePlacement(work)
  advanceMoves(work)
}

function planPlacement (work: GatewayWork, rules: GatewayRules): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.balanceAt) return
  granting.balanceAt = now + balanceMs
  const isCrowded = countMovesLeft(work) === 0
  for (const service of state.configuration?.services.values() ?? []) {
    if (!service.sharded) continue
    const grants = granting.grants.filter(grant => grant.service === service.name)
    if (grants.length === 0) {
      if (!isSettled(work, service.name)) continue
      for (const move of planInitial(listCandidates(work, service.name))) addFirstGrant(work, service.name, move)
      continue
    }
    if (!isCrowded) joinNeighbours(work, service.name)
    planService(work, service.name, isCrowded, rules)
  }
  if (isCrowded) return
  if (now >= granting.tidyAt) granting.tidyAt = now + tidyMs
  if (now >= granting.mildAt) granting.mildAt = now + mildRoundMs
}

/** Begins the moves of a service that are due and for which there is room; what is left is planned again soon. */
function planService (work: GatewayWork, service: string, isCrowded: boolean, rules: GatewayRules): void {
  const { granting, now } = work.state
  const grants = granting.grants.filter(grant => grant.service === service)
  const replaced = new Map(grants.filter(grant => isTargetLost(work, grant)).map(grant => [grant.range.from, grant]))
  const input = buildPlannerInput(work, service, grants.map(grant => replaced.has(grant.range.from) ? { ...grant, range: { ...grant.range, phase: 'held' as const } } : grant))
  // With too many moves in progress none begins for the sake of balance.
  const planned = rules.planMoves(isCrowded ? { ...input, mayTidy: false, relievedLoad: Infinity } : input)
  const targets = planned.filter(move => replaced.has(move.from))
  const others = planned.filter(move => findRange(input.ranges, move.from)?.phase === 'held' && !targets.includes(move))
  for (const move of targets) replaceTarget(work, replaced.get(move.from)!, move.owner)
  const begun = chooseMoves(work, others, move => findRange(input.ranges, move.from)?.owner)
  for (const move of begun) startMove(work, service, move)
  if (isCrowded || begun.length < others.length) granting.balanceAt = now + crowdedRoundMs
}

/** Whether the backend servers of a service have stopped arriving. */
function isSettled (work: GatewayWork, service: string): boolean {
  const { state } = work
  return state.now - (state.listedAt.get(service) ?? state.now) > settleMs || state.now - state.granting.ledSince > longestSettleMs
}
