import type { GatewayEvent, LoadReport, MemberReport } from './events.js'
import type { GrantingHost } from './model.js'
import type { GrantingState } from './grantingState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { resendMs, claimJitterMs, leadershipRenewalMs, leadershipTtlMs, pauseThresholdMs, maxHoldMs, maxStoreOutageMs, movingLeaseShare, predecessorNoticeMs, renewalValidityMs, restoredClaimDelayMs } from './limits.js'
import { computeClaimDelayMs } from './controlCapacity.js'
import { buildNotice, notifyFormerGrantingHost } from './loadExchange.js'
import { stopRenewing } from './delegatedRenewals.js'
import { sendPlacementChange } from './publishing.js'
import { dropColdShares } from './coldAdmission.js'
import { buildCollectingState } from './collectingState.js'
import { buildGrantingState } from './grantingState.js'
import { countRestores, isRecovering } from './storeRestores.js'

/** Timeout of an unanswered claim, in milliseconds: longer than the delays of the store. */
const claimTimeoutMs = 4000
/** Maximum number of previous granting hosts that are recorded: no more can have been elected in the time for which one may continue without the store. */
const maxPredecessors = Math.ceil(maxStoreOutageMs / leadershipTtlMs) + 1

/** Detects a pause of this process, during which grants may have expired and another host may have become the leader. */
export function checkPause (work: GatewayWork, now: number, wall: number): void {
  const { state } = work
  const passedMs = now - state.now
  const clockJumpMs = Math.abs(wall - state.wall - passedMs)
  if (passedMs < pauseThresholdMs && clockJumpMs < pauseThresholdMs) return
  stopRenewing(state, now)
  dropColdShares(state, now)
  if (state.granting.role !== 'leading') return
  state.granting.isLeadershipUncertain = true
  state.granting.renewAt = now
  work.effects.push({ kind: 'log', event: 'leadershipDoubted', fields: { passedMs: Math.round(passedMs), clockJumpMs: Math.round(clockJumpMs) } })
}

/** Claims, renews or ends leadership. */
export function advanceLeadership (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  if (granting.role === 'leading') return advanceLease(work)
  if (granting.role === 'claiming') {
    if (now - granting.claimSentAt > claimTimeoutMs) granting.role = 'follower'
    return
  }
  if (state.stop.phase !== 'serving' || !state.storeUp || !state.storeSynced || state.grantingHost !== undefined || !hasGrantedService(work)) {
    granting.claimAt = undefined
    return
  }
  granting.claimAt ??= now + uniformFloat64(state.random) * claimJitterMs + computeClaimDelayMs(state.identity) + computeRestoredDelayMs(state)
  if (now < granting.claimAt) return
  granting.claimAt = undefined
  granting.role = 'claiming'
  granting.claimSentAt = now
  granting.activePredecessors = listActivePredecessors(state)
  // An earlier release of the software wrote placements without a record of the granting host.
  granting.hasPossiblePredecessors = granting.activePredecessors.length > 0 || (state.placementVersion.revision > 0 && state.lastGranting === undefined)
  const { host, address } = state.identity
  const record = { host, address, unsettled: granting.activePredecessors }
  work.effects.push({ kind: 'claim-leadership', ttlMs: leadershipTtlMs, record, lastRevision: state.lastGranting?.revision ?? 0 })
}

/** Computes the additional delay of a claim after a restore of the store, in milliseconds: the last granting host, which knows all grants, claims first, then a host that knows how many there are. */
function computeRestoredDelayMs (state: GatewayState): number {
  if (!isPlacementLost(state, state.restores) || state.ledUntilRestore?.restores === state.restores) return 0
  return state.loadReadAt === -Infinity ? 2 * restoredClaimDelayMs : restoredClaimDelayMs
}

/** Whether a service needs a granting host: for its keys, or for the allowances of its cold servers. */
function hasGrantedService (work: GatewayWork): boolean {
  for (const service of work.state.configuration?.services.values() ?? []) {
    if (service.sharded || service.coldRequestsPerSecond !== undefined) return true
  }
  return false
}

function advanceLease (work: GatewayWork): void {
  const { granting, now } = work.state
  if (now - granting.confirmedAt > maxStoreOutageMs) return endLeadership(work, 'store unreachable for too long')
  notifyPredecessors(work)
  recordPredecessorsStopped(work)
  const isUnanswered = granting.renewAnsweredAt < granting.renewSentAt && now - granting.renewSentAt >= resendMs
  if (now < granting.renewAt && !isUnanswered) return
  granting.renewAt = now + leadershipRenewalMs
  granting.renewSentAt = now
  work.effects.push({ kind: 'renew-lease', lease: granting.lease })
}

/**
 * Notifies the previous granting hosts that may not have stopped: one that is cut off from the store learns only from other
 * hosts that it was replaced, and those that reported to it may have been lost.
 */
function notifyPredecessors (work: GatewayWork): void {
  const { granting, identity, now } = work.state
  if (granting.activePredecessors.length === 0 || now >= granting.predecessorsActiveUntil || now < granting.noticeAt) return
  granting.noticeAt = now + predecessorNoticeMs
  // This host may not have read its own record yet.
  const report = { ...buildNotice(work.state), granting: { host: { host: identity.host, address: identity.address }, revision: granting.leaderRevision } }
  for (const { address } of granting.activePredecessors) work.effects.push({ kind: 'notify-predecessor', address, report })
}

/** Records in the store, once, that all previous granting hosts have stopped. */
function recordPredecessorsStopped (work: GatewayWork): void {
  const { granting, now } = work.state
  if (granting.isPredecessorStopRecorded || now < granting.predecessorsActiveUntil) return
  granting.isPredecessorStopRecorded = true
  work.effects.push({ kind: 'settle-granting', leaderRevision: granting.leaderRevision })
}

/** Applies the result of a claim. */
export function applyClaimResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'leadership-claimed' }>): void {
  const { state } = work
  const { granting } = state
  if (granting.role !== 'claiming') return
  const restores = countRestores(event.revision)
  if (event.outcome !== 'written' || restores < state.restores) {
    granting.role = 'follower'
    if (event.outcome === 'unknown') work.effects.push({ kind: 'read-store' })
    return
  }
  state.restores = restores
  const continued = findContinued(state, event.now)
  const activePredecessors = continued?.activePredecessors ?? granting.activePredecessors
  const predecessorsActiveUntil = continued?.predecessorsActiveUntil ?? event.now + maxStoreOutageMs
  // The record of an earlier granting host may have been lost in a restore of the store.
  const hasPossiblePredecessors = continued === undefined ? granting.hasPossiblePredecessors || isPlacementLost(state, restores) : predecessorsActiveUntil > event.now
  state.granting = {
    ...buildGrantingState(event.now),
    role: 'leading',
    lease: event.lease,
    leaderRevision: event.revision,
    confirmedAt: granting.claimSentAt,
    renewAt: event.now,
    leaderSince: event.now,
    expectedHosts: state.hosts,
    // Hosts that do not have this placement ask for it.
    published: state.placement === undefined ? undefined : { placement: state.placement, version: state.placementVersion },
    // Each stream to a host starts with the changes that the host does not know.
    relayedRevision: state.storeRevision,
    relayedAsOf: state.knownAsOf,
    activePredecessors,
    hasPossiblePredecessors,
    predecessorsActiveUntil: hasPossiblePredecessors ? predecessorsActiveUntil : event.now,
    recoverUntil: continued?.isCertain !== true && restores > 0 ? event.now + maxStoreOutageMs + renewalValidityMs + maxHoldMs : -Infinity,
    isContinuing: continued !== undefined,
    hostsToHearFrom: findHostsToHearFrom(state)
  }
  // The other hosts take no placement that may be older than theirs.
  if (isRecovering(state)) state.granting.published = undefined
  // The hosts that reported to this one as a collector now report to it as the granting host.
  state.collecting = buildCollectingState(event.now)
  state.collector = undefined
  work.effects.push({ kind: 'read-store' })
  work.effects.push({ kind: 'log', event: 'leadershipWon', fields: { lease: event.lease, revision: event.revision } })
}

/** Finds what this host knew when the store was restored, if it was the granting host until then and no other one can have begun to grant since. */
function findContinued (state: GatewayState, now: number): GatewayState['ledUntilRestore'] {
  const { ledUntilRestore } = state
  // Any other host that won in between would still be waiting for unknown grants to expire.
  return ledUntilRestore?.restores === state.restores && now - ledUntilRestore.at < renewalValidityMs + maxHoldMs ? ledUntilRestore : undefined
}

/** Finds the hosts that may have been granting before a restore of the store: a process that has had no figures of the fleet relies on those of the stored placement. */
function findHostsToHearFrom (state: GatewayState): GrantingState['hostsToHearFrom'] {
  const storedCount = state.placement?.memory.hosts ?? 1
  if (state.loadReadAt !== -Infinity) return { count: Math.max(state.hosts, storedCount), last: state.formerGrantingHost }
  return storedCount > 1 ? { count: storedCount, last: state.formerGrantingHost } : undefined
}

/** Whether the store was restored since the known placement was written. */
function isPlacementLost ({ placement }: GatewayState, restores: number): boolean {
  return restores > (placement?.restores ?? 0)
}

/** Lists previous granting hosts that may not have stopped. This host is left out: its earlier processes and leases have ended. */
function listActivePredecessors (state: GatewayState): GrantingHost[] {
  const { lastGranting, identity } = state
  if (lastGranting === undefined) return []
  const { host, address, unsettled } = lastGranting.record
  return [{ host, address }, ...unsettled].filter(each => each.host !== identity.host || each.address !== identity.address).slice(0, maxPredecessors)
}

/** Applies the store's record of the last granting host. */
export function applyLastGrantingHost (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'last-granting-host-read' }>): void {
  const { state } = work
  if (event.revision <= (state.lastGranting?.revision ?? 0)) return
  state.lastGranting = { record: event.record, revision: event.revision }
}

/**
 * Applies what another host reports about the granting host. It can be newer than what this host knows while the
 * store is unreachable. A predecessor that reports this host's lease has stopped renewing its own grants.
 */
export function applyReportedGrantingHost (work: GatewayWork, report: LoadReport | MemberReport): void {
  const { state } = work
  if (report.granting === undefined) return
  if (report.granting.revision > state.grantingRevision) {
    applyGrantingHost(work, { kind: 'granting-host-read', now: state.now, granting: report.granting.host, revision: report.granting.revision })
  }
  const { granting } = state
  if (granting.role !== 'leading' || granting.activePredecessors.length === 0 || report.granting.revision < granting.leaderRevision) return
  if (!granting.activePredecessors.some(each => each.host === report.host)) return
  granting.activePredecessors = granting.activePredecessors.filter(each => each.host !== report.host)
  work.effects.push({ kind: 'log', event: 'predecessorStopped', fields: { host: report.host, left: granting.activePredecessors.length } })
  if (granting.activePredecessors.length === 0) granting.predecessorsActiveUntil = Math.min(granting.predecessorsActiveUntil, state.now)
}

/** Applies the result of a renewal of the lease. */
export function applyLeaseRenewal (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'lease-renewed' }>): void {
  const { granting } = work.state
  if (granting.role !== 'leading') return
  granting.renewAnsweredAt = Math.max(granting.renewAnsweredAt, event.sentAt)
  if (event.outcome === 'ended') return endLeadership(work, 'lease ended')
  if (event.outcome === 'unknown') return
  granting.confirmedAt = Math.max(granting.confirmedAt, event.sentAt)
  if (event.sentAt >= work.state.now - leadershipTtlMs) granting.isLeadershipUncertain = false
}

/** Applies the store's record of the current granting host. */
export function applyGrantingHost (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'granting-host-read' }>): void {
  const { state } = work
  if (event.revision < state.grantingRevision) return
  const isChange = event.granting?.host !== state.grantingHost?.host || event.granting?.address !== state.grantingHost?.address
  if (isChange && state.grantingHost !== undefined) state.formerGrantingHost = state.grantingHost
  state.grantingRevision = event.revision
  state.grantingHost = event.granting
  if (isChange) state.reportAt = state.now
  if (isChange) notifyFormerGrantingHost(work)
  if (isChange) work.effects.push({ kind: 'log', event: 'grantingHostChanged', fields: { host: event.granting?.host, revision: event.revision } })
  const { granting } = state
  if (granting.role === 'leading' && event.revision > granting.leaderRevision) endLeadership(work, 'another host took over')
}

/** Ends leadership; existing grants expire by themselves unless they are renewed. */
export function endLeadership (work: GatewayWork, reason: string): void {
  const { state } = work
  if (state.granting.role !== 'leading') return
  // The next granting host continues the confirmation numbers from the last version that it received.
  sendPlacementChange(work)
  state.granting = buildGrantingState(state.now)
  work.effects.push({ kind: 'log', event: 'leadershipLost', fields: { reason } })
}

/** Checks at the start of a graceful shutdown whether the store answers, by renewing the lease. */
export function startResignation (work: GatewayWork): void {
  work.state.granting.renewAt = work.state.now
  advanceLeadership(work)
}

/** Resigns once the store has confirmed a renewal sent after the stop was requested: while the store is unreachable, no other host could take over. */
export function advanceResignation (work: GatewayWork): void {
  const { granting, stop } = work.state
  if (granting.role !== 'leading' || granting.confirmedAt < stop.requestedAt) return
  work.effects.push({ kind: 'end-lease', lease: granting.lease })
  endLeadership(work, 'stopping')
}

/** Whether this host may renew grants now. */
export function isAllowedToRenew (work: GatewayWork): boolean {
  const { granting, syncStartedAt } = work.state
  return granting.role === 'leading' && !granting.isLeadershipUncertain && syncStartedAt >= granting.leaderSince
}

/** Whether this host may also change owners, which requires a recent confirmation of its lease by the store. */
export function isAllowedToMoveKeys (work: GatewayWork): boolean {
  return isAllowedToRenew(work) && work.state.reducedAt - work.state.granting.confirmedAt < leadershipTtlMs * movingLeaseShare
}
