import type { LoadReport } from './events.js'
import type { PlacementChange } from './model.js'
import type { GatewayState, GatewayWork } from './state.js'
import { endLeadership } from './leadership.js'
import { leadershipTtlMs, maxHoldMs, movingLeaseShare, predecessorNoticeMs, renewalValidityMs } from './limits.js'
import { buildNotice } from './loadExchange.js'
import { applyPlacementChange, buildPlacementChange } from './placementChange.js'
import { countRestores, isRecovering } from './storeRestores.js'

/**
 * Applies that the store was restored from an older copy `restores` times. Leases are gone with a restore, so a granting
 * host stops leading, and registrations may merely have been lost with the copy.
 */
export function applyRestores (work: GatewayWork, restores: number): void {
  const { state } = work
  if (restores <= state.restores) return
  state.restores = restores
  work.effects.push({ kind: 'log', event: 'storeRestored', fields: { restores, first: !state.storeSynced } })
  if (!state.storeSynced) return
  state.storeRegainedAt = state.now
  state.disruptedAt = state.now
  const { granting } = state
  if (granting.role !== 'leading' || countRestores(granting.leaderRevision) >= restores) return
  const { activePredecessors, predecessorsActiveUntil } = granting
  // While its lease was in force, no other host can have become the granting host before the restore.
  const isCertain = state.reducedAt < granting.confirmedAt + leadershipTtlMs * movingLeaseShare
  const isKnowing = granting.isLoaded && !granting.isLeadershipUncertain
  state.ledUntilRestore = isKnowing ? { restores, at: state.now, isCertain, activePredecessors, predecessorsActiveUntil } : undefined
  endLeadership(work, 'store restored')
}

/** Applies a host's report at a granting host that does not grant yet after a restore of the store. */
export function applyRecoveryReport (work: GatewayWork, report: LoadReport): void {
  const { state } = work
  const { granting, identity } = state
  if (!isRecovering(state)) return
  for (const { host, granting: known } of [report, ...report.members ?? []]) {
    // A host that knows this granting host has itself stopped granting, and asks no other host for renewals.
    if (host !== identity.host && known !== undefined && known.revision >= granting.leaderRevision) granting.awareHosts.add(host)
  }
  // Another host that granted keys after this one has stored a placement with further fencing tokens, and knows it.
  if ((report.nextFence ?? 0) > state.knownNextFence) granting.isContinuing = false
  if ((report.nextFence ?? 0) > (state.placement?.nextFence ?? 0)) sendPlacementRequest(work, report)
  state.knownNextFence = Math.max(state.knownNextFence, report.nextFence ?? 0)
}

/** Whether every host that may have been the granting host before the restore has reported that it knows this one. */
function hasHeardFromAll ({ granting, identity }: GatewayState): boolean {
  const { hostsToHearFrom, awareHosts, activePredecessors } = granting
  if (hostsToHearFrom === undefined || awareHosts.size + 1 < hostsToHearFrom.count || activePredecessors.length > 0) return false
  const { last } = hostsToHearFrom
  return last === undefined || last.host === identity.host || awareHosts.has(last.host)
}

/** Requests the placement of a host that knows a newer one than the restored store. */
function sendPlacementRequest (work: GatewayWork, { address }: LoadReport): void {
  const { state } = work
  const { granting, identity, now } = state
  if (address === undefined || address === '' || now < granting.requestPlacementAt) return
  granting.requestPlacementAt = now + predecessorNoticeMs
  const host = { host: identity.host, address: identity.address }
  const report = { ...buildNotice(state), granting: { host, revision: granting.leaderRevision }, wantsPlacement: true, nextFence: state.placement?.nextFence ?? 0 }
  work.effects.push({ kind: 'request-placement', address, report })
}

/** Builds the whole placement for a granting host that requests it and knows an older one; undefined for any other report. */
export function buildNewerPlacement (state: GatewayState, report: LoadReport): PlacementChange | undefined {
  const { placement, placementVersion } = state
  if (state.granting.role === 'leading' || placement === undefined) return undefined
  if (!report.wantsPlacement || report.granting?.host.host !== report.host || placement.nextFence <= (report.nextFence ?? 0)) return undefined
  return buildPlacementChange(undefined, { placement, version: placementVersion })
}

/** Takes over the placement of another host, which is newer than the one that was restored with the store. */
export function applyFoundPlacement (work: GatewayWork, change: PlacementChange): void {
  const { state } = work
  if (!isRecovering(state) || change.base !== undefined || change.nextFence <= (state.placement?.nextFence ?? 0)) return
  const found = applyPlacementChange(undefined, change)
  const before = state.placement
  // The fewer restores the placement has seen, the further the fencing tokens jump.
  const restores = Math.min(before?.restores ?? 0, found.restores ?? 0)
  state.placement = { ...found, memory: before?.memory ?? found.memory, restores }
  state.knownNextFence = Math.max(state.knownNextFence, change.nextFence)
  work.effects.push({ kind: 'log', event: 'placementTakenOver', fields: { revision: change.next.revision, nextFence: change.nextFence, storedNextFence: before?.nextFence } })
}

/** Shortens the wait of a granting host after a restore once all hosts have reported, and logs the wait once. */
export function advanceRecovery (work: GatewayWork): void {
  const { granting, reducedAt, restores } = work.state
  if (hasHeardFromAll(work.state)) granting.recoverUntil = Math.min(granting.recoverUntil, reducedAt + (granting.isContinuing ? 0 : renewalValidityMs + maxHoldMs))
  if (granting.isRecoveryLogged) return
  granting.isRecoveryLogged = true
  work.effects.push({ kind: 'log', event: 'grantingDelayed', fields: { restores, waitMs: Math.round(granting.recoverUntil - reducedAt) } })
}
