import type { GatewayEvent, LoadReport } from './events.js'
import type { RenewedGrant } from './renewalState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { computeAskAgainMs, noteAnswerTime } from './answerTimes.js'
import { buildGrantEffect, isReborn, retryMs } from './grantCalls.js'
import { renewalMs, renewalValidityMs } from './limits.js'
import { isSameVersion } from './placementChange.js'

/** Takes the owners whose grants the granting host wants renewed here; `reportedAt` is when the report that it answers was sent. */
export function applyRenewals (state: GatewayState, owners: readonly string[], reportedAt: number): void {
  const { renewing } = state
  if (reportedAt < renewing.notBefore) return
  renewing.until = Math.max(renewing.until, reportedAt + renewalValidityMs)
  if (owners.length === renewing.owners.size && owners.every(owner => renewing.owners.has(owner))) return
  renewing.owners = new Set(owners)
  renewing.listedFrom = undefined
}

/** Renews nothing any more until the granting host asks again: after a pause that ended at `now`, others may hold the keys. */
export function stopRenewing (state: GatewayState, now: number): void {
  const { renewing } = state
  renewing.notBefore = now
  renewing.until = -Infinity
}

/** Sends the renewals that are due. */
export function advanceRenewing (work: GatewayWork): void {
  const { state } = work
  const { renewing, now } = state
  if (renewing.owners.size === 0) return
  if (state.actedAt >= renewing.until || state.granting.role === 'leading') {
    renewing.owners = new Set()
    renewing.grants = []
    renewing.listedFrom = undefined
    return
  }
  listRenewedGrants(state)
  for (const grant of renewing.grants) {
    if (now < grant.nextAt || isReborn(state, grant.range.owner)) continue
    grant.nextAt = now + computeAskAgainMs(state)
    work.effects.push(buildGrantEffect(grant.service, grant.range, undefined))
  }
}

/** Lists the grants to renew when the placement or the owners have changed. */
function listRenewedGrants (state: GatewayState): void {
  const { renewing, placement, placementVersion } = state
  if (renewing.listedFrom !== undefined && isSameVersion(renewing.listedFrom, placementVersion)) return
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
  renewing.listedFrom = placementVersion
}

function formatGrant ({ service, range }: Pick<RenewedGrant, 'service' | 'range'>): string {
  return `${service} ${range.fence} ${range.from}-${range.to}`
}

/** Takes the result of a renewal that was sent for the granting host; one that is refused for its fencing token is the granting host's to judge. */
export function applyRenewalResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>): void {
  noteAnswerTime(work.state, event)
  const grant = work.state.renewing.grants.find(({ service, range }) => {
    return service === event.service && range.from === event.from && range.to === event.to && range.fence === event.fence
  })
  if (grant === undefined || event.sentAt <= grant.confirmedAt) return
  if (event.outcome.kind !== 'granted') {
    grant.nextAt = Math.min(grant.nextAt, work.state.now + retryMs)
    return
  }
  grant.confirmedAt = event.sentAt
  grant.nextAt = event.sentAt + renewalMs
}

/** Lists what this host's report says of the grants that it renews. */
export function listRenewed (state: GatewayState): LoadReport['renewed'] {
  return state.renewing.grants
    .filter(grant => grant.confirmedAt !== -Infinity)
    .map(({ range, confirmedAt }) => ({ fence: range.fence, from: range.from, to: range.to, ageMs: Math.max(0, Math.round(state.now - confirmedAt)) }))
}
