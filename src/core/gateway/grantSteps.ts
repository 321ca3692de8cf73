import type { GatewayEvent } from './events.js'
import type { KeyOwner } from './model.js'
import type { ManagedGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { computeResendMs, recordAnswerTime } from './grantAnswerTimes.js'
import { buildGrantEffect, hasInstanceEnded, failedCallRetryMs } from './grantCalls.js'
import { takeFence } from './grantChanges.js'
import { chooseGrantConnection } from './grantConnections.js'
import { findGrant } from './grantSearch.js'
import { isAllowedToMoveKeys } from './leadership.js'
import { unreachableOwnerAvoidanceMs, confirmationDelayMs, maxHoldMs, releaseResendMs, renewalMs, renewalValidityMs } from './limits.js'
import { isWritten, sendConfirmation } from './placementWriting.js'
import { isOwnerUnreachable, recordOwnerConfirmation, recordOwnerFailure } from './ownerReachability.js'
import { computeRenewAt, isStillRenewable } from './renewerAssignment.js'

/**
 * Whether a former owner has ended and can't hold the keys any more, so that no release is needed.
 * A newer instance at the same address may have accepted renewals meant for the previous one:
 * it is asked to release the keys like any other owner, unless it is the next owner itself.
 */
function hasFormerOwnerEnded (work: GatewayWork, previous: KeyOwner, next: KeyOwner): boolean {
  if (!hasInstanceEnded(work.state, previous)) return false
  const current = work.state.backends.get(previous.id)
  return current === undefined || current.startedAt <= previous.startedAt || current.address !== previous.address || next.id === previous.id
}

/** Makes the next call of a grant that is due: a release, a grant or a renewal. */
export function advanceGrant (work: GatewayWork, grant: ManagedGrant): void {
  const { now } = work.state
  const { range } = grant
  if (!isWritten(work, range)) return renewSupersededRanges(work, grant)
  grant.supersededRanges = []
  grant.writtenRevision ??= work.state.placementVersion.revision
  if (grant.step === 'release' || grant.step === 'releasing') {
    if (range.previous === undefined || isReleaseUnnecessary(work, grant)) return startGrant(work, grant)
    if (now >= grant.nextAt) sendRelease(work, grant, range.previous)
    return
  }
  if (now < grant.nextAt) return
  if (grant.step === 'grant' && !isAllowedToMoveKeys(work)) return
  if (grant.step === 'renew' && hasInstanceEnded(work.state, range.owner)) return
  sendGrant(work, grant)
}

/** Whether moving keys need no release: there is no former owner, or it can't hold them any more. */
export function isReleaseUnnecessary (work: GatewayWork, grant: ManagedGrant): boolean {
  const { previous, owner } = grant.range
  return previous === undefined || hasFormerOwnerEnded(work, previous, owner) || hasFormerGrantExpired(work, grant)
}

/**
 * Renews the ranges that a change supersedes until the change is stored: the store may stay
 * unreachable for longer than a grant is valid, and until then requests go to the current owner.
 */
function renewSupersededRanges (work: GatewayWork, grant: ManagedGrant): void {
  const { now } = work.state
  if (now < grant.supersededRenewAt) return
  grant.supersededRenewAt = now + computeResendMs(work.state)
  for (const range of grant.supersededRanges) {
    if (hasInstanceEnded(work.state, range.owner)) continue
    grant.latestArrivalAt = work.state.reducedAt
    work.effects.push(buildGrantEffect(grant.service, range, undefined, chooseGrantConnection(work.state)))
  }
}

/** Whether every grant to the former owner has expired. */
function hasFormerGrantExpired (work: GatewayWork, grant: ManagedGrant): boolean {
  const { state } = work
  const { granting, now } = state
  // Hosts that a predecessor, or this host under an earlier lease, asked to renew grants may continue until that request expires.
  const formerUntil = Math.max(granting.predecessorsActiveUntil, granting.leaderSince) + renewalValidityMs
  return now > Math.max(grant.latestArrivalAt, formerUntil) + maxHoldMs
}

/**
 * Advances the latest time at which a grant may have arrived at the former owner, if another host may have renewed
 * that grant since the last check or the checks had a gap (`hasGap`).
 */
export function updateLatestArrival (work: GatewayWork, grant: ManagedGrant, hasGap: boolean): void {
  const { previous } = grant.range
  if (previous === undefined || grant.step === 'grant') return
  const isRenewable = isStillRenewable(work.state, previous.id, grant)
  if (hasGap || isRenewable || grant.wasRenewable) grant.latestArrivalAt = work.state.reducedAt
  grant.wasRenewable = isRenewable
}

function startGrant (work: GatewayWork, grant: ManagedGrant): void {
  grant.step = 'grant'
  grant.stepCalledAt = undefined
  grant.nextAt = work.state.now
  grant.confirmedAt = work.state.now
  if (isAllowedToMoveKeys(work)) sendGrant(work, grant)
}

function sendGrant (work: GatewayWork, grant: ManagedGrant): void {
  const { range } = grant
  grant.nextAt = work.state.now + computeResendMs(work.state)
  // Even an unanswered grant may have taken effect, whether it was new or a renewal.
  grant.latestArrivalAt = work.state.reducedAt
  if (grant.step === 'grant') {
    grant.targetLatestArrivalAt = work.state.reducedAt
    grant.stepCalledAt ??= work.state.now
  }
  work.effects.push(buildGrantEffect(grant.service, range, grant.step === 'grant' ? grant.handover : undefined, chooseGrantConnection(work.state)))
}

function sendRelease (work: GatewayWork, grant: ManagedGrant, previous: KeyOwner): void {
  const { from, to, fence } = grant.range
  grant.step = 'releasing'
  grant.stepCalledAt ??= work.state.now
  grant.nextAt = work.state.now + computeReleaseRetryMs(work, grant, releaseResendMs)
  work.effects.push({ kind: 'release', service: grant.service, backend: previous.id, address: previous.address, from, to, fence })
}

/** Computes the time to the next release call, in milliseconds: the interval grows while a former owner does not answer. */
function computeReleaseRetryMs (work: GatewayWork, grant: ManagedGrant, minMs: number): number {
  return Math.max(minMs, work.state.now - (grant.stepCalledAt ?? work.state.now))
}

/** Applies the result of a grant or renewal. */
export function applyGrantResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  recordAnswerTime(work.state, event)
  const grant = findGrant(work.state.granting, event)
  if (grant === undefined) return applySupersededResult(work, event)
  const { granting, now } = work.state
  switch (event.outcome.kind) {
    case 'granted': return confirmGrant(work, grant, event.sentAt)
    case 'fenced': return raiseFence(work, grant)
    default:
  }
  // A later call has been confirmed, so the failure of this one is irrelevant.
  if (event.sentAt <= grant.confirmedAt) return
  grant.nextAt = Math.min(grant.nextAt, now + failedCallRetryMs)
  if (event.outcome.kind === 'not-sent') return
  const { owner } = grant.range
  const confirmedAt = Math.max(grant.confirmedAt, granting.ownerConfirmedAt.get(owner.id) ?? -Infinity)
  recordOwnerFailure(granting, owner.id, event.sentAt)
  if (!isOwnerUnreachable(granting, owner.id, confirmedAt, now)) return
  if ((granting.unreachableUntil.get(owner.id) ?? 0) > now) return
  granting.unreachableUntil.set(owner.id, now + unreachableOwnerAvoidanceMs)
  granting.balanceAt = now
  work.effects.push({
    kind: 'log',
    event: 'ownerUnreachable',
    fields: { backend: owner.id, service: grant.service, from: event.from, to: event.to, outcome: event.outcome.kind, silentMs: Math.round(now - confirmedAt) }
  })
}

/** Applies the result of renewing a range that a change supersedes. */
function applySupersededResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  for (const grant of work.state.granting.grants) {
    if (grant.service !== event.service) continue
    if (!grant.supersededRanges.some(range => range.from === event.from && range.to === event.to && range.fence === event.fence)) continue
    if (event.outcome.kind !== 'granted') continue
    grant.confirmedAt = Math.max(grant.confirmedAt, event.sentAt)
    grant.supersededRenewAt = grant.confirmedAt + renewalMs
  }
}

function confirmGrant (work: GatewayWork, grant: ManagedGrant, sentAt: number): void {
  if (sentAt < grant.confirmedAt) return
  recordOwnerConfirmation(work.state.granting, grant.range.owner.id, sentAt)
  grant.confirmedAt = sentAt
  grant.nextAt = computeRenewAt(work.state, grant, sentAt)
  grant.handover = undefined
  if (grant.step !== 'grant') return
  grant.step = 'renew'
  grant.latestArrivalAt = work.state.reducedAt
  grant.range.phase = 'held'
  grant.range.previous = undefined
  const { granting, now } = work.state
  if (!granting.isDirty) granting.writeAt = now + confirmationDelayMs
  granting.isDirty = true
  sendConfirmation(work, grant)
  work.effects.push({
    kind: 'log',
    event: 'moveFinished',
    fields: { service: grant.service, from: grant.range.from, to: grant.range.to, owner: grant.range.owner.id, fence: grant.range.fence, ms: Math.round(work.state.now - grant.moveStartedAt) }
  })
}

/** Restarts a grant with a higher fencing token after the owner has reported a higher one that this host does not know. */
function raiseFence (work: GatewayWork, grant: ManagedGrant): void {
  const { granting, now } = work.state
  work.effects.push({ kind: 'log', event: 'grantFenced', fields: { service: grant.service, from: grant.range.from, to: grant.range.to, owner: grant.range.owner.id, fence: grant.range.fence } })
  grant.range.fence = takeFence(work)
  grant.range.phase = 'moving'
  grant.writtenRevision = undefined
  grant.step = 'release'
  grant.stepCalledAt = undefined
  grant.nextAt = now + failedCallRetryMs
  granting.isDirty = true
}

/** Applies the result of a release. */
export function applyReleaseResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'release-ended' }>): void {
  const grant = findGrant(work.state.granting, event)
  if (grant === undefined || (grant.step !== 'release' && grant.step !== 'releasing')) return
  if (event.outcome.kind === 'released') {
    grant.handover = event.outcome.handover
    startGrant(work, grant)
    return
  }
  grant.step = 'release'
  grant.nextAt = Math.min(grant.nextAt, work.state.now + computeReleaseRetryMs(work, grant, failedCallRetryMs))
}
