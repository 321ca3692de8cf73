import type { GatewayEvent } from './events.js'
import type { Holder } from './model.js'
import type { KeptGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { computeAskAgainMs, noteAnswerTime } from './answerTimes.js'
import { buildGrantEffect, isReborn, retryMs } from './grantCalls.js'
import { takeFence } from './grantChanges.js'
import { findGrant } from './grantSearch.js'
import { isPlacing } from './leadership.js'
import { avoidanceMs, confirmationDelayMs, longestHoldMs, releaseAgainMs, renewalMs, renewalValidityMs } from './limits.js'
import { isWritten, sendConfirmation } from './placementWriting.js'
import { isOutOfReach, noteHeard, noteMissed } from './ownerContact.js'
import { computeRenewAt, isStillRenewed } from './renewers.js'

/**
 * Whether a former owner can't hold the keys any more, so that they need not be taken back.
 * A newer life at the same address may have taken renewals that were meant for the one before it:
 * it is asked like any other owner, unless it is the next owner itself.
 */
function isRelieved (work: GatewayWork, previous: Holder, next: Holder): boolean {
  if (!isReborn(work.state, previous)) return false
  const life = work.state.backends.get(previous.id)
  return life === undefined || life.startedAt <= previous.startedAt || life.address !== previous.address || next.id === previous.id
}

/** Does the next step of a grant that is due: takes keys back, grants or renews. */
export function advanceGrant (work: GatewayWork, grant: KeptGrant): void {
  const { now } = work.state
  const { range } = grant
  if (!isWritten(work, range)) return renewStanding(work, grant)
  grant.standing = []
  grant.writtenIn ??= work.state.placementVersion.revision
  if (grant.step === 'release' || grant.step === 'releasing') {
    if (range.previous === undefined || isReleaseOver(work, grant)) return startGrant(work, grant)
    if (now >= grant.nextAt) sendRelease(work, grant, range.previous)
    return
  }
  if (now < grant.nextAt) return
  if (grant.step === 'grant' && !isPlacing(work)) return
  if (grant.step === 'keep' && isReborn(work.state, range.owner)) return
  sendGrant(work, grant)
}

/** Whether the former owner of moving keys can't hold them any more. */
export function isReleaseOver (work: GatewayWork, grant: KeptGrant): boolean {
  const { previous, owner } = grant.range
  return previous === undefined || isRelieved(work, previous, owner) || hasRunOut(work, grant)
}

/**
 * Renews the ranges that a change follows until the change is written down: the store may be
 * silent for longer than a grant holds, and requests go to the owner in force until then.
 */
function renewStanding (work: GatewayWork, grant: KeptGrant): void {
  const { now } = work.state
  if (now < grant.standingAt) return
  grant.standingAt = now + computeAskAgainMs(work.state)
  for (const range of grant.standing) {
    if (isReborn(work.state, range.owner)) continue
    grant.arrivedBy = work.state.actedAt
    work.effects.push(buildGrantEffect(grant.service, range, undefined))
  }
}

/** Whether no grant to the former owner can be in force any more. */
function hasRunOut (work: GatewayWork, grant: KeptGrant): boolean {
  const { state } = work
  const { granting, now } = state
  // Hosts that a predecessor, or this host under an earlier lease, asked to renew its grants may go on for a while.
  const formerUntil = Math.max(granting.predecessorUntil, granting.ledSince) + renewalValidityMs
  return now > Math.max(grant.arrivedBy, formerUntil) + longestHoldMs
}

/** Notes that a former owner's grant may have been renewed until now; `wasAway` when this host could not look for a while. */
export function updateArrival (work: GatewayWork, grant: KeptGrant, wasAway: boolean): void {
  const { previous } = grant.range
  if (previous === undefined || grant.step === 'grant') return
  const isRenewed = isStillRenewed(work.state, previous.id, grant)
  if (wasAway || isRenewed || grant.wasRenewed) grant.arrivedBy = work.state.actedAt
  grant.wasRenewed = isRenewed
}

function startGrant (work: GatewayWork, grant: KeptGrant): void {
  grant.step = 'grant'
  grant.askedAt = undefined
  grant.nextAt = work.state.now
  grant.confirmedAt = work.state.now
  if (isPlacing(work)) sendGrant(work, grant)
}

function sendGrant (work: GatewayWork, grant: KeptGrant): void {
  const { range } = grant
  grant.nextAt = work.state.now + computeAskAgainMs(work.state)
  // An unanswered grant may hold all the same, for a next owner as for one that is renewed.
  grant.arrivedBy = work.state.actedAt
  if (grant.step === 'grant') {
    grant.targetArrivedBy = work.state.actedAt
    grant.askedAt ??= work.state.now
  }
  work.effects.push(buildGrantEffect(grant.service, range, grant.step === 'grant' ? grant.handover : undefined))
}

function sendRelease (work: GatewayWork, grant: KeptGrant, previous: Holder): void {
  const { from, to, fence } = grant.range
  grant.step = 'releasing'
  grant.askedAt ??= work.state.now
  grant.nextAt = work.state.now + computeReleaseAgainMs(work, grant, releaseAgainMs)
  work.effects.push({ kind: 'release', service: grant.service, backend: previous.id, address: previous.address, from, to, fence })
}

/** Computes the time to the next release, in milliseconds: a former owner that stays silent is asked less and less. */
function computeReleaseAgainMs (work: GatewayWork, grant: KeptGrant, leastMs: number): number {
  return Math.max(leastMs, work.state.now - (grant.askedAt ?? work.state.now))
}

/** Takes the result of a grant or renewal. */
export function applyGrantResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  noteAnswerTime(work.state, event)
  const grant = findGrant(work.state.granting, event)
  if (grant === undefined) return applyStandingResult(work, event)
  const { granting, now } = work.state
  switch (event.outcome.kind) {
    case 'granted': return confirmGrant(work, grant, event.sentAt)
    case 'fenced': return raiseFence(work, grant)
    default:
  }
  // A later call was answered: one that got lost says nothing any more.
  if (event.sentAt <= grant.confirmedAt) return
  grant.nextAt = Math.min(grant.nextAt, now + retryMs)
  const { owner } = grant.range
  const heardAt = Math.max(grant.confirmedAt, granting.heardAt.get(owner.id) ?? -Infinity)
  noteMissed(granting, owner.id, event.sentAt)
  if (!isOutOfReach(granting, owner.id, heardAt, now)) return
  if ((granting.unreachableUntil.get(owner.id) ?? 0) > now) return
  granting.unreachableUntil.set(owner.id, now + avoidanceMs)
  granting.balanceAt = now
  work.effects.push({
    kind: 'log',
    event: 'ownerUnreachable',
    fields: { backend: owner.id, service: grant.service, from: event.from, to: event.to, outcome: event.outcome.kind, silentMs: Math.round(now - heardAt) }
  })
}

/** Takes the result of renewing a range that a change follows. */
function applyStandingResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  for (const grant of work.state.granting.grants) {
    if (grant.service !== event.service) continue
    if (!grant.standing.some(range => range.from === event.from && range.to === event.to && range.fence === event.fence)) continue
    if (event.outcome.kind !== 'granted') continue
    grant.confirmedAt = Math.max(grant.confirmedAt, event.sentAt)
    grant.standingAt = grant.confirmedAt + renewalMs
  }
}

function confirmGrant (work: GatewayWork, grant: KeptGrant, sentAt: number): void {
  if (sentAt < grant.confirmedAt) return
  noteHeard(work.state.granting, grant.range.owner.id, sentAt)
  grant.confirmedAt = sentAt
  grant.nextAt = computeRenewAt(work.state, grant, sentAt)
  grant.handover = undefined
  if (grant.step !== 'grant') return
  grant.step = 'keep'
  grant.arrivedBy = work.state.actedAt
  grant.range.phase = 'held'
  grant.range.previous = undefined
  const { granting, now } = work.state
  if (!granting.dirty) granting.writeAt = now + confirmationDelayMs
  granting.dirty = true
  sendConfirmation(work, grant)
  work.effects.push({
    kind: 'log',
    event: 'moveFinished',
    fields: { service: grant.service, from: grant.range.from, to: grant.range.to, owner: grant.range.owner.id, fence: grant.range.fence, ms: Math.round(work.state.now - grant.movedAt) }
  })
}

/** Grants again with a higher fencing token after the owner has seen one that this host does not know. */
function raiseFence (work: GatewayWork, grant: KeptGrant): void {
  const { granting, now } = work.state
  work.effects.push({ kind: 'log', event: 'grantFenced', fields: { service: grant.service, from: grant.range.from, to: grant.range.to, owner: grant.range.owner.id, fence: grant.range.fence } })
  grant.range.fence = takeFence(work)
  grant.range.phase = 'moving'
  grant.writtenIn = undefined
  grant.step = 'release'
  grant.askedAt = undefined
  grant.nextAt = now + retryMs
  granting.dirty = true
}

/** Takes the result of taking keys back. */
export function applyReleaseResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'release-ended' }>): void {
  const grant = findGrant(work.state.granting, event)
  if (grant === undefined || (grant.step !== 'release' && grant.step !== 'releasing')) return
  if (event.outcome.kind === 'released') {
    grant.handover = event.outcome.handover
    startGrant(work, grant)
    return
  }
  grant.step = 'release'
  grant.nextAt = Math.min(grant.nextAt, work.state.now + computeReleaseAgainMs(work, grant, retryMs))
}
