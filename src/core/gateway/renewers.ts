import type { LoadReport } from './events.js'
import type { RenewerHost } from './renewalState.js'
import type { KeptGrant } from './grantingState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { computeReportMs, maxRenewedOwners, renewalValidityMs, renewerReports, shortestRenewerSilenceMs, suspectRenewalMs, unrenewedMs, renewalMs } from './limits.js'

/** Lists the owners whose grants a host is asked to renew. */
export function listRenewals (state: GatewayState, host: string): string[] {
  return [...state.granting.renewers.get(host)?.owners ?? []]
}

/** Takes from a host's report what it goes by, and which grants it has renewed. */
export function applyRenewerReport (work: GatewayWork, report: LoadReport): void {
  const { granting, identity, actedAt: now } = work.state
  if (granting.role !== 'leading' || report.host === identity.host) return
  const known = granting.renewers.get(report.host)
  const renewer: RenewerHost = known ?? { zone: report.zone, reportedAt: now, placement: report.placement, owners: new Set(), told: new Map() }
  granting.renewers.set(report.host, renewer)
  Object.assign(renewer, { zone: report.zone, reportedAt: now, placement: report.placement })
  // The answer to this report names them.
  for (const owner of renewer.owners) renewer.told.set(owner, now)
  for (const [owner, toldAt] of renewer.told) {
    if (now - toldAt >= renewalValidityMs) renewer.told.delete(owner)
  }
  if (report.renewed.length > 0) applyRenewed(work, report.renewed)
}

function applyRenewed (work: GatewayWork, renewed: LoadReport['renewed']): void {
  const { granting, now } = work.state
  const byFence = new Map(renewed.map(entry => [entry.fence, entry]))
  for (const grant of granting.grants) {
    const entry = byFence.get(grant.range.fence)
    if (entry === undefined || grant.step !== 'keep') continue
    // The parts of a range that was divided keep its fencing token.
    const seen = isCovering(entry, grant) ? entry : renewed.find(other => other.fence === grant.range.fence && isCovering(other, grant))
    if (seen !== undefined) confirmRenewal(work, grant, now - seen.ageMs)
  }
}

function isCovering (entry: LoadReport['renewed'][number], grant: KeptGrant): boolean {
  return entry.from <= grant.range.from && entry.to >= grant.range.to
}

function confirmRenewal (work: GatewayWork, grant: KeptGrant, sentAt: number): void {
  const { granting, now } = work.state
  const { id } = grant.range.owner
  if (sentAt > grant.confirmedAt) {
    grant.confirmedAt = sentAt
    granting.heardAt.set(id, Math.max(sentAt, granting.heardAt.get(id) ?? -Infinity))
    grant.nextAt = Math.max(grant.nextAt, computeRenewAt(work.state, grant, sentAt))
  }
  // A renewal is missing: this host looks for itself whether the owner can be reached.
  if (now - sentAt > suspectRenewalMs) grant.nextAt = Math.min(grant.nextAt, now)
}

/** Computes when this host renews a grant itself, unless its renewer has by then. */
export function computeRenewAt (state: GatewayState, grant: KeptGrant, sentAt: number): number {
  return sentAt + (state.granting.renewerOf.has(grant.range.owner.id) ? unrenewedMs : renewalMs)
}

/** Whether a host may go on renewing a grant to an owner that is to lose it. */
export function isStillRenewed (state: GatewayState, owner: string, grant: KeptGrant): boolean {
  const { granting, now } = state
  for (const renewer of granting.renewers.values()) {
    const toldAt = renewer.owners.has(owner) ? renewer.reportedAt : renewer.told.get(owner)
    if (toldAt === undefined || now - toldAt >= renewalValidityMs) continue
    // It goes by a placement in which the keys are on their way to another owner.
    if (grant.writtenIn !== undefined && renewer.placement.revision >= grant.writtenIn) continue
    return true
  }
  return false
}

/** Chooses who renews the grants of each owner: hosts near it, each a bounded number of owners. */
export function chooseRenewers (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.assignAt) return
  granting.assignAt = now + assignMs
  const silenceMs = Math.max(shortestRenewerSilenceMs, computeReportMs(state.hosts) * renewerReports)
  const owners = new Set(granting.grants.map(grant => grant.range.owner.id))
  for (const [host, renewer] of granting.renewers) {
    const isSilent = now - renewer.reportedAt > silenceMs
    for (const owner of renewer.owners) {
      if (isSilent || !owners.has(owner)) dropRenewal(state, host, owner, renewer.reportedAt)
    }
    if (isSilent && now - renewer.reportedAt > renewalValidityMs) granting.renewers.delete(host)
  }
  const present = [...granting.renewers].filter(([, renewer]) => now - renewer.reportedAt <= silenceMs)
  const fairShare = Math.min(maxRenewedOwners, Math.ceil(unevenness * owners.size / Math.max(1, present.length)))
  for (const [host, renewer] of present) {
    const surplus = [...renewer.owners].slice(fairShare)
    for (const owner of surplus) dropRenewal(state, host, owner, now)
  }
  for (const owner of owners) {
    if (granting.renewerOf.has(owner)) continue
    const host = chooseRenewer(state, owner, present, fairShare)
    if (host === undefined) continue
    granting.renewerOf.set(owner, host)
    granting.renewers.get(host)?.owners.add(owner)
  }
}

/** Time between two rounds in which renewers are chosen, in milliseconds. */
const assignMs = 200
/** How many times the mean number of owners one host may get: zones differ in their hosts and owners. */
const unevenness = 2

/** Takes an owner from its renewer, which may have been told of it until `toldAt`. */
function dropRenewal (state: GatewayState, host: string, owner: string, toldAt: number): void {
  const { granting } = state
  const renewer = granting.renewers.get(host)
  renewer?.owners.delete(owner)
  renewer?.told.set(owner, Math.max(toldAt, renewer.told.get(owner) ?? -Infinity))
  granting.renewerOf.delete(owner)
}

/** Chooses the host with the fewest owners, in the owner's zone if there is room, else in its region, else anywhere. */
function chooseRenewer (state: GatewayState, owner: string, present: ReadonlyArray<[string, RenewerHost]>, fairShare: number): string | undefined {
  const { regionOf } = state.identity
  const zone = state.backends.get(owner)?.zone ?? ''
  let best: string | undefined
  let bestRank = Infinity
  for (const [host, renewer] of present) {
    if (renewer.owners.size >= fairShare) continue
    const distance = renewer.zone === zone ? 0 : regionOf.get(renewer.zone) === regionOf.get(zone) ? 1 : 2
    const rank = distance * maxRenewedOwners + renewer.owners.size
    if (rank >= bestRank) continue
    best = host
    bestRank = rank
  }
  return best
}
