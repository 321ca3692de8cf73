import type { GatewayEvent, LoadReport } from './events.js'
import type { GrantingHost } from './model.js'
import type { GatewayState, GatewayWork } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ampleProcessorShare, askAgainMs, claimSpreadMs, leadershipRenewalMs, leadershipTtlMs, pauseMs, smallHostDelayMs, unconfirmedLimitMs } from './limits.js'
import { sendFarewell } from './loadExchange.js'
import { stopRenewing } from './renewing.js'
import { sendPlacementChange } from './publishing.js'
import { buildGranting } from './grantingState.js'

/** Time after which a claim without an answer is given up, in milliseconds: beyond the store's own delays. */
const claimTimeoutMs = 4000
/** Share of the lease for which a renewal lets keys move; the rest covers delays of calls in flight. */
const confirmedShare = 0.8
/** Most earlier granting hosts that are remembered: in the time for which one may go on unseen no more can have been elected. */
const mostUnsettled = Math.ceil(unconfirmedLimitMs / leadershipTtlMs) + 1

/** Notices a pause of this process: grants may have run out and another host may lead. */
export function checkPause (work: GatewayWork, now: number, wall: number): void {
  const { state } = work
  const passed = now - state.now
  const jumped = Math.abs(wall - state.wall - passed)
  if (passed < pauseMs && jumped < pauseMs) return
  stopRenewing(state, now)
  if (state.granting.role !== 'leading') return
  state.granting.doubted = true
  state.granting.renewAt = now
  work.effects.push({ kind: 'log', event: 'leadershipDoubted', fields: { passedMs: Math.round(passed), clockJumpMs: Math.round(jumped) } })
}

/** Claims, renews or gives up leadership. */
export function advanceLeadership (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  if (granting.role === 'leading') return advanceLease(work)
  if (granting.role === 'claiming') {
    if (now - granting.claimAskedAt > claimTimeoutMs) granting.role = 'follower'
    return
  }
  if (state.stop.phase !== 'serving' || !state.storeUp || !state.storeSynced || state.grantingHost !== undefined || !hasShardedService(work)) {
    granting.claimAt = undefined
    return
  }
  granting.claimAt ??= now + uniformFloat64(state.random) * claimSpreadMs + (state.identity.processorShare < ampleProcessorShare ? smallHostDelayMs : 0)
  if (now < granting.claimAt) return
  granting.claimAt = undefined
  granting.role = 'claiming'
  granting.claimAskedAt = now
  granting.unsettled = listUnsettled(state)
  // A placement without a record of who granted it was written by an earlier release.
  granting.mayBePreceded = granting.unsettled.length > 0 || (state.placementVersion.revision > 0 && state.lastGranting === undefined)
  const { host, address } = state.identity
  const record = { host, address, unsettled: granting.unsettled }
  work.effects.push({ kind: 'claim-leadership', ttlMs: leadershipTtlMs, record, lastRevision: state.lastGranting?.revision ?? 0 })
}

function hasShardedService (work: GatewayWork): boolean {
  for (const service of work.state.configuration?.services.values() ?? []) {
    if (service.sharded) return true
  }
  return false
}

function advanceLease (work: GatewayWork): void {
  const { granting, now } = work.state
  if (now - granting.confirmedAt > unconfirmedLimitMs) return endLeadership(work, 'store unreachable for too long')
  writeSettled(work)
  const isUnanswered = granting.renewAnsweredAt < granting.renewAskedAt && now - granting.renewAskedAt >= askAgainMs
  if (now < granting.renewAt && !isUnanswered) return
  granting.renewAt = now + leadershipRenewalMs
  granting.renewAskedAt = now
  work.effects.push({ kind: 'renew-lease', lease: granting.lease })
}

/** Tells the store once that all earlier granting hosts have stopped. */
function writeSettled (work: GatewayWork): void {
  const { granting, now } = work.state
  if (granting.isSettled || now < granting.predecessorUntil) return
  granting.isSettled = true
  work.effects.push({ kind: 'settle-granting', leaderRevision: granting.leaderRevision })
}

/** Takes the result of a claim. */
export function applyClaim (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'leadership-claimed' }>): void {
  const { state } = work
  const { granting } = state
  if (granting.role !== 'claiming') return
  if (event.outcome !== 'written') {
    granting.role = 'follower'
    if (event.outcome === 'unknown') work.effects.push({ kind: 'read-store' })
    return
  }
  const { unsettled, mayBePreceded } = granting
  state.granting = {
    ...buildGranting(event.now),
    role: 'leading',
    lease: event.lease,
    leaderRevision: event.revision,
    confirmedAt: granting.claimAskedAt,
    renewAt: event.now,
    ledSince: event.now,
    expectedHosts: state.hosts,
    // The others know what this host knows, or ask for it.
    published: state.placement === undefined ? undefined : { placement: state.placement, version: state.placementVersion },
    // A stream begins with all that its host does not know.
    relayedRevision: state.storeRevision,
    relayedAsOf: state.knownAsOf,
    unsettled,
    mayBePreceded,
    predecessorUntil: mayBePreceded ? event.now + unconfirmedLimitMs : event.now
  }
  work.effects.push({ kind: 'read-store' })
  work.effects.push({ kind: 'log', event: 'leadershipWon', fields: { lease: event.lease, revision: event.revision } })
}

/** Lists the hosts that granted before and may not have stopped. An earlier life of this host has, and so has an earlier lease of it. */
function listUnsettled (state: GatewayState): GrantingHost[] {
  const { lastGranting, identity } = state
  if (lastGranting === undefined) return []
  const { host, address, unsettled } = lastGranting.record
  return [{ host, address }, ...unsettled].filter(each => each.host !== identity.host || each.address !== identity.address).slice(0, mostUnsettled)
}

/** Takes the name of the host that granted last from the store. */
export function applyLastGrantingHost (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'last-granting-host-read' }>): void {
  const { state } = work
  if (event.revision <= (state.lastGranting?.revision ?? 0)) return
  state.lastGranting = { record: event.record, revision: event.revision }
}

/**
 * Takes what another host knows of the granting host. It may be news here when the store can't be
 * reached; and a predecessor that knows of this host's lease has stopped renewing its own grants.
 */
export function applyReportedGrantingHost (work: GatewayWork, report: LoadReport): void {
  const { state } = work
  if (report.granting === undefined) return
  if (report.granting.revision > state.grantingRevision) {
    applyGrantingHost(work, { kind: 'granting-host-read', now: state.now, granting: report.granting.host, revision: report.granting.revision })
  }
  const { granting } = state
  if (granting.role !== 'leading' || granting.unsettled.length === 0 || report.granting.revision < granting.leaderRevision) return
  granting.unsettled = granting.unsettled.filter(each => each.host !== report.host)
  if (granting.unsettled.length === 0) granting.predecessorUntil = Math.min(granting.predecessorUntil, state.now)
}

/** Takes the result of a renewal of the lease. */
export function applyLeaseRenewal (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'lease-renewed' }>): void {
  const { granting } = work.state
  if (granting.role !== 'leading') return
  granting.renewAnsweredAt = Math.max(granting.renewAnsweredAt, event.askedAt)
  if (event.outcome === 'ended') return endLeadership(work, 'lease ended')
  if (event.outcome === 'unknown') return
  granting.confirmedAt = Math.max(granting.confirmedAt, event.askedAt)
  if (event.askedAt >= work.state.now - leadershipTtlMs) granting.doubted = false
}

/** Takes the name of the granting host from the store. */
export function applyGrantingHost (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'granting-host-read' }>): void {
  const { state } = work
  if (event.revision < state.grantingRevision) return
  const isChange = event.granting?.host !== state.grantingHost?.host || event.granting?.address !== state.grantingHost?.address
  state.grantingRevision = event.revision
  state.grantingHost = event.granting
  if (isChange) state.reportAt = state.now
  if (isChange) sendFarewell(work)
  if (isChange) work.effects.push({ kind: 'log', event: 'grantingHostChanged', fields: { host: event.granting?.host, revision: event.revision } })
  const { granting } = state
  if (granting.role === 'leading' && event.revision > granting.leaderRevision) endLeadership(work, 'another host took over')
}

/** Stops granting; the grants given run out by themselves. */
export function endLeadership (work: GatewayWork, reason: string): void {
  const { state } = work
  if (state.granting.role !== 'leading') return
  // The next granting host numbers its confirmations from what it was told.
  sendPlacementChange(work)
  state.granting = buildGranting(state.now)
  work.effects.push({ kind: 'log', event: 'leadershipLost', fields: { reason } })
}

/** Asks the store at the start of an orderly stop whether it answers. */
export function startResignation (work: GatewayWork): void {
  work.state.granting.renewAt = work.state.now
  advanceLeadership(work)
}

/** Hands leadership over once the store has answered since the stop was asked for: while it is silent nobody else can grant. */
export function advanceResignation (work: GatewayWork): void {
  const { granting, stop } = work.state
  if (granting.role !== 'leading' || granting.confirmedAt < stop.askedAt) return
  work.effects.push({ kind: 'end-lease', lease: granting.lease })
  endLeadership(work, 'stopping')
}

/** Whether this host may renew grants now. */
export function isGranting (work: GatewayWork): boolean {
  const { granting, syncStartedAt } = work.state
  return granting.role === 'leading' && !granting.doubted && syncStartedAt >= granting.ledSince
}

/** Whether this host may also change owners: only while the store confirms that it leads. */
export function isPlacing (work: GatewayWork): boolean {
  return isGranting(work) && work.state.actedAt - work.state.granting.confirmedAt < leadershipTtlMs * confirmedShare
}
