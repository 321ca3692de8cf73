import type { KeyOwner, KeyRange } from './model.js'
import type { PlannedMove } from './planner.js'
import type { ManagedGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { isUnavailableOrLeaving } from './ownerAvailability.js'
import { maxMergesPerRound, maxHoldMs, renewalMs } from './limits.js'
import { isWritten } from './placementWriting.js'

/** Builds the entry of a range that this host grants from now on. */
export function buildManagedGrant (service: string, range: KeyRange, step: ManagedGrant['step'], now: number): ManagedGrant {
  return { service, range, supersededRanges: [], supersededRenewAt: now, latestArrivalAt: now, targetLatestArrivalAt: -Infinity, confirmedAt: now, nextAt: now, step, handover: undefined, moveStartedAt: now, rate: 0, stepCalledAt: undefined, writtenRevision: undefined, wasRenewable: false }
}

/** Lists the parts between two keys of the ranges in force for a grant: its own range once that is stored, until then the ranges that it supersedes. */
function listRangesInForce (work: GatewayWork, grant: ManagedGrant, from = grant.range.from, to = grant.range.to): KeyRange[] {
  const ranges = isWritten(work, grant.range) ? [grant.range] : grant.supersededRanges
  return ranges.flatMap(range => range.to < from || range.from > to ? [] : [{ ...range, from: Math.max(range.from, from), to: Math.min(range.to, to) }])
}

/** Merges neighbouring ranges of one owner under a higher fencing token, without affecting requests. */
export function mergeNeighbours (work: GatewayWork, service: string): void {
  const { granting, now } = work.state
  const sorted = granting.grants.filter(grant => grant.service === service).sort((a, b) => a.range.from - b.range.from)
  let merges = 0
  for (let index = 0; index + 1 < sorted.length && merges < maxMergesPerRound; index++) {
    const left = sorted[index]
    const right = sorted[index + 1]
    if (left === undefined || right === undefined || left.step !== 'renew' || right.step !== 'renew') continue
    if (left.range.owner.id !== right.range.owner.id || left.range.owner.startedAt !== right.range.owner.startedAt) continue
    const merged: ManagedGrant = {
      ...left,
      range: { ...left.range, to: right.range.to, fence: takeFence(work) },
      supersededRanges: [...listRangesInForce(work, left), ...listRangesInForce(work, right)],
      supersededRenewAt: Math.min(left.confirmedAt, right.confirmedAt) + renewalMs,
      latestArrivalAt: Math.max(left.latestArrivalAt, right.latestArrivalAt),
      confirmedAt: Math.min(left.confirmedAt, right.confirmedAt),
      nextAt: now,
      writtenRevision: undefined
    }
    granting.grants = granting.grants.filter(grant => grant !== left && grant !== right)
    granting.grants.push(merged)
    granting.isDirty = true
    sorted.splice(index, 2, merged)
    merges += 1
  }
}

/** Assigns keys without an owner to their first owner. */
export function addFirstGrant (work: GatewayWork, service: string, move: PlannedMove): void {
  const { granting, now } = work.state
  const range: KeyRange = { from: move.from, to: move.to, owner: move.owner, fence: takeFence(work), phase: 'moving', previous: undefined }
  granting.grants.push(buildManagedGrant(service, range, 'release', now))
  granting.isDirty = true
}

/** Takes the next fencing token. */
export function takeFence (work: GatewayWork): number {
  const { granting } = work.state
  granting.nextFence += 1
  return granting.nextFence - 1
}

/** Starts a move of keys to another owner, and splits their range if only a part of it moves. */
export function startMove (work: GatewayWork, service: string, move: PlannedMove): void {
  const { granting, now } = work.state
  const index = granting.grants.findIndex(grant => grant.service === service && grant.range.from <= move.from && grant.range.to >= move.to)
  const grant = granting.grants[index]
  if (grant === undefined || grant.step !== 'renew') return
  const { range } = grant
  const parts: ManagedGrant[] = []
  if (range.from < move.from) parts.push({ ...grant, range: { ...range, to: move.from - 1 }, supersededRanges: listRangesInForce(work, grant, range.from, move.from - 1) })
  parts.push({
    ...grant,
    range: { from: move.from, to: move.to, owner: move.owner, fence: takeFence(work), phase: 'moving', previous: range.owner },
    supersededRanges: listRangesInForce(work, grant, move.from, move.to),
    supersededRenewAt: grant.confirmedAt + renewalMs,
    // Another host may have sent the latest renewal.
    latestArrivalAt: work.state.reducedAt,
    targetLatestArrivalAt: -Infinity,
    step: 'release',
    handover: undefined,
    nextAt: now,
    moveStartedAt: now,
    rate: move.rate ?? 0,
    stepCalledAt: undefined,
    writtenRevision: undefined
  })
  if (range.to > move.to) parts.push({ ...grant, range: { ...range, from: move.to + 1 }, supersededRanges: listRangesInForce(work, grant, move.to + 1, range.to) })
  granting.grants.splice(index, 1, ...parts)
  granting.isDirty = true
  granting.writeAt = now
  work.effects.push({
    kind: 'log',
    event: 'moveStarted',
    fields: { service, from: move.from, to: move.to, owner: move.owner.id, previous: range.owner.id, fence: granting.nextFence - 1 }
  })
}

/** Whether the next owner of moving keys became unavailable or began to leave before it confirmed its grant, so that another one can be chosen. */
export function isTargetReplaceable (work: GatewayWork, grant: ManagedGrant): boolean {
  if (grant.range.phase !== 'moving' || !isUnavailableOrLeaving(work, grant.range.owner) || grant.step === 'releasing') return false
  // While the former owner and this next owner may both hold the keys, the former owner has to release them first.
  return grant.step !== 'release' || !isTargetGrantInForce(work, grant)
}

function isTargetGrantInForce (work: GatewayWork, grant: ManagedGrant): boolean {
  return work.state.now <= grant.targetLatestArrivalAt + maxHoldMs
}

/** Replaces the next owner of moving keys. */
export function replaceTarget (work: GatewayWork, grant: ManagedGrant, owner: KeyOwner): void {
  const { range } = grant
  range.previous = isTargetGrantInForce(work, grant) ? range.owner : range.previous
  range.owner = owner
  range.fence = takeFence(work)
  grant.step = 'release'
  grant.writtenRevision = undefined
  grant.stepCalledAt = undefined
  grant.targetLatestArrivalAt = -Infinity
  grant.nextAt = work.state.now
  work.state.granting.isDirty = true
}
