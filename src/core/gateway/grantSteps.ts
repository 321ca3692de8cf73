import type { GatewayEffect } from './effects.js'
import type { GatewayEvent } from './events.js'
import type { Holder, KeyRange } from './model.js'
import type { GatewayWork, KeptGrant } from './state.js'
import { takeFence } from './grantChanges.js'
import { findGrant } from './grantSearch.js'
import { isPlacing } from './leadership.js'
import { askAgainMs, avoidanceMs, confirmationDelayMs, holdMs, longestHoldMs, releaseAgainMs, renewalMs, unreachableAfterMs } from './limits.js'
import { isWritten, sendConfirmation } from './placementWriting.js'

/** Time after which a grant or release that failed is tried again, in milliseconds. */
const retryMs = 150

/** Whether a newer life of a backend server, or another one at its address, proves that this life has ended. */
function isReborn (work: GatewayWork, holder: Holder): boolean {
  const { backends, backendsByAddress, configuration } = work.state
  const backend = backends.get(holder.id)
  if (backend !== undefined && backend.startedAt > holder.startedAt) return true
  for (const id of backendsByAddress.get(holder.address) ?? []) {
    const other = backends.get(id)
    // A registration of an unknown service may come from anybody, and proves nothing.
    if (other !== undefined && other.startedAt > holder.startedAt && configuration?.services.has(other.service) === true) return true
  }
  return false
}

/**
 * Whether a former owner can't hold the keys any more, so that they need not be taken back.
 * A newer life at the same address may have taken renewals that were meant for the one before it:
 * it is asked like any other owner, unless it is the next owner itself.
 */
function isRelieved (work: GatewayWork, previous: Holder, next: Holder): boolean {
  if (!isReborn(work, previous)) return false
  const life = work.state.backends.get(previous.id)
  return life === undefined || life.startedAt <= previous.startedAt || life.address !== previous.address || next.id === previous.id
}

/** Does the next step of a grant that is due: takes keys back, grants or renews. */
export function advanceGrant (work: GatewayWork, grant: KeptGrant): void {
  const { now } = work.state
  const { range } = grant
  if (!isWritten(work, range)) return renewStanding(work, grant)
  grant.standing = []
  if (grant.step === 'release' || grant.step === 'releasing') {
    if (range.previous === undefined || isReleaseOver(work, grant)) return startGrant(work, grant)
    if (now >= grant.nextAt) sendRelease(work, grant, range.previous)
    return
  }
  if (now < grant.nextAt) return
  if (grant.step === 'grant' && !isPlacing(work)) return
  if (grant.step === 'keep' && isReborn(work, range.owner)) return
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
  grant.standingAt = now + askAgainMs
  for (const range of grant.standing) {
    if (isReborn(work, range.owner)) continue
    grant.arrivedBy = now
    work.effects.push(buildGrantEffect(grant.service, range, undefined))
  }
}

/** Whether no grant to the former owner can be in force any more. */
function hasRunOut (work: GatewayWork, grant: KeptGrant): boolean {
  const since = Math.max(grant.arrivedBy, work.state.granting.predecessorUntil)
  return work.state.now > since + longestHoldMs
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
  grant.nextAt = work.state.now + askAgainMs
  // An unanswered grant may hold all the same, for a next owner as for one that is renewed.
  grant.arrivedBy = work.state.now
  if (grant.step === 'grant') {
    grant.targetArrivedBy = work.state.now
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

function buildGrantEffect (service: string, range: KeyRange, handover: string | undefined): GatewayEffect {
  const { owner, from, to, fence } = range
  return { kind: 'grant', service, backend: owner.id, address: owner.address, from, to, fence, holdMs, handover }
}

/** Takes the result of a grant or renewal. */
export function applyGrantResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
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
  if (now - heardAt < unreachableAfterMs) return
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
  const { heardAt } = work.state.granting
  heardAt.set(grant.range.owner.id, Math.max(sentAt, heardAt.get(grant.range.owner.id) ?? -Infinity))
  grant.confirmedAt = sentAt
  grant.nextAt = sentAt + renewalMs
  grant.handover = undefined
  if (grant.step !== 'grant') return
  grant.step = 'keep'
  grant.arrivedBy = work.state.now
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
