import type { GatewayEvent, LoadReport } from './events.js'
import type { RenewedGrant } from './renewalState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { computeResendMs, recordAnswerTime } from './grantAnswerTimes.js'
import { buildGrantEffect, hasInstanceEnded, failedCallRetryMs } from './grantCalls.js'
import { renewalMs, renewalValidityMs } from './limits.js'
import { isSameVersion } from './placementChange.js'

/**
 * Applies the granting host's request to renew the grants of these owners. `reportedAt` is when the report that it answers was sent;
 * for `connectMs` milliseconds from then, connections may be opened for the renewals.
 */
export function applyRenewalRequest (state: GatewayState, owners: readonly string[], reportedAt: number, connectMs = renewalValidityMs): void {
  const { renewing } = state
  if (reportedAt < renewing.ignoreReportsBefore) return
  renewing.validUntil = Math.max(renewing.validUntil, reportedAt + renewalValidityMs)
  renewing.connectUntil = Math.max(renewing.connectUntil, reportedAt + connectMs)
  if (owners.length === renewing.owners.size && owners.every(owner => renewing.owners.has(owner))) return
  renewing.owners = new Set(owners)
  renewing.listedVersion = undefined
}

/** Stops all renewals until the granting host asks again: after a pause that ended at `now`, other owners may hold the keys. */
export function stopRenewing (state: GatewayState, now: number): void {
  const { renewing } = state
  renewing.ignoreReportsBefore = now
  renewing.validUntil = -Infinity
  renewing.connectUntil = -Infinity
}

/** Sends the renewals that are due. */
export function advanceRenewing (work: GatewayWork): void {
  const { state } = work
  const { renewing, now } = state
  if (renewing.owners.size === 0) return
  if (state.reducedAt >= renewing.validUntil || state.granting.role === 'leading') {
    renewing.owners = new Set()
    renewing.grants = []
    renewing.listedVersion = undefined
    return
  }
  updateRenewedGrants(state)
  const connection = state.reducedAt < renewing.connectUntil ? 'any' : 'kept'
  for (const grant of renewing.grants) {
    if (now < grant.nextAt || hasInstanceEnded(state, grant.range.owner)) continue
    grant.nextAt = now + computeResendMs(state)
    work.effects.push(buildGrantEffect(grant.service, grant.range, undefined, connection))
  }
}

/** Lists the grants to renew when the placement or the owners have changed. */
function updateRenewedGrants (state: GatewayState): void {
  const { renewing, placement, placementVersion } = state
  if (renewing.listedVersion !== undefined && isSameVersion(renewing.listedVersion, placementVersion)) return
  const known = new Map(renewing.grants.map(grant => [formatGrant(grant), grant]))
  const grants: RenewedGrant[] = []
  for (const [service, ranges] of placement?.services ?? []) {
    for (const range of ranges) {
      if (range.phase !== 'held' || !renewing.owners.has(range.owner.id)) continue
      const grant = { service, range, confirmedAt: -Infinity, nextAt: state.now }
      grants.push(known.get(formatGrant(grant)) ?? grant)
    }
  }
  renewing.grants = grants
  renewing.listedVersion = placementVersion
}

function formatGrant ({ service, range }: Pick<RenewedGrant, 'service' | 'range'>): string {
  return `${service} ${range.fence} ${range.from}-${range.to}`
}

/** Applies the result of a renewal sent for the granting host; only the granting host raises the fencing token if the owner rejects it. */
export function applyRenewalResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  recordAnswerTime(work.state, event)
  const grant = work.state.renewing.grants.find(({ service, range }) => {
    return service === event.service && range.from === event.from && range.to === event.to && range.fence === event.fence
  })
  if (grant === undefined || event.sentAt <= grant.confirmedAt) return
  if (event.outcome.kind !== 'granted') {
    grant.nextAt = Math.min(grant.nextAt, work.state.now + failedCallRetryMs)
    return
  }
  grant.confirmedAt = event.sentAt
  grant.nextAt = event.sentAt + renewalMs
}

/** Lists the confirmed renewals for this host's report. */
export function listConfirmedRenewals (state: GatewayState): LoadReport['renewed'] {
  return state.renewing.grants
    .filter(grant => grant.confirmedAt !== -Infinity)
    .map(({ range, confirmedAt }) => ({ fence: range.fence, from: range.from, to: range.to, ageMs: Math.max(0, Math.round(state.now - confirmedAt)) }))
}
