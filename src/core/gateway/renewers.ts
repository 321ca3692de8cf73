import type { LoadReport } from './events.js'
import type { RenewerHost } from './renewalState.js'
import type { Granting, KeptGrant } from './grantingState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { noteHeard, noteMissed } from './ownerContact.js'
import {
  chooseRenewersMs, computeReportMs, maxRenewedOwners, renewalMs, renewalValidityMs, renewerReports, renewerUnevenness, shortestRenewerSilenceMs, suspectRenewalMs, unrenewedMs
} from './limits.js'

/** Lists the owners whose grants a host is asked to renew. */
export function listRenewals (state: GatewayState, host: string): string[] {
  return [...state.granting.renewers.get(host)?.owners ?? []]
}

/** Takes from a host's report what it goes by, and which grants it has renewed. */
export function applyRenewerReport (work: GatewayWork, report: LoadReport): void {
  const { granting, identity, actedAt } = work.state
  if (granting.role !== 'leading' || report.host === identity.host) return
  const known = granting.renewers.get(report.host)
  const renewer: RenewerHost = known ?? { zone: report.zone, reportedAt: actedAt, placement: report.placement, owners: new Set() }
  granting.renewers.set(report.host, renewer)
  Object.assign(renewer, { zone: report.zone, reportedAt: actedAt, placement: report.placement })
  // The answer to this report names them.
  for (const owner of renewer.owners) noteRenewable(work.state, owner, report.host)
  if (report.renewed.length > 0) applyRenewed(work, report.renewed)
}

/** Notes that a host may be told now to renew the grants of an owner. */
function noteRenewable (state: GatewayState, owner: string, host: string): void {
  const { renewableUntil } = state.granting
  const hosts = renewableUntil.get(owner) ?? new Map<string, number>()
  renewableUntil.set(owner, hosts)
  hosts.set(host, state.actedAt + renewalValidityMs)
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
    noteHeard(granting, id, sentAt)
    grant.nextAt = Math.max(grant.nextAt, computeRenewAt(work.state, grant, sentAt))
  }
  if (now - sentAt <= suspectRenewalMs) return
  // Renewals are missing: this host looks for itself whether the owner can be reached.
  noteMissed(granting, id, sentAt + renewalMs)
  grant.nextAt = Math.min(grant.nextAt, now)
}

/** Computes when this host renews a grant itself, unless its renewer has by then. */
export function computeRenewAt (state: GatewayState, grant: KeptGrant, sentAt: number): number {
  return sentAt + (state.granting.renewerOf.has(grant.range.owner.id) ? unrenewedMs : renewalMs)
}

/** Whether a host may go on renewing a grant to an owner that is to lose it. */
export function isStillRenewed (state: GatewayState, owner: string, grant: KeptGrant): boolean {
  const { granting, now } = state
  for (const [host, until] of granting.renewableUntil.get(owner) ?? []) {
    // It goes by a placement in which the keys are on their way to another owner.
    const isTold = grant.writtenIn !== undefined && (granting.renewers.get(host)?.placement.revision ?? 0) >= grant.writtenIn
    if (now < until && !isTold) return true
  }
  return false
}

/** Chooses who renews the grants of each owner: hosts near it, each a bounded number of owners. */
export function chooseRenewers (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.assignAt) return
  granting.assignAt = now + chooseRenewersMs
  const owners = new Set(granting.grants.map(grant => grant.range.owner.id))
  dropExpired(granting, now)
  const present = listPresent(state, owners)
  const fairShare = Math.min(maxRenewedOwners, Math.ceil(renewerUnevenness * owners.size / Math.max(1, present.length)))
  for (const [host, renewer] of present) {
    for (const owner of [...renewer.owners].slice(fairShare)) dropRenewal(state, host, owner)
  }
  for (const owner of owners) {
    if (granting.renewerOf.has(owner)) continue
    const host = findRenewer(state, owner, present, fairShare)
    if (host === undefined) continue
    granting.renewerOf.set(owner, host)
    granting.renewers.get(host)?.owners.add(owner)
    noteRenewable(state, owner, host)
  }
}

/** Lists the hosts that report, and takes from the others, and from all for owners that are no more, what they renew. */
function listPresent (state: GatewayState, owners: ReadonlySet<string>): Array<[string, RenewerHost]> {
  const { granting, now, hosts } = state
  const silenceMs = Math.max(shortestRenewerSilenceMs, computeReportMs(hosts) * renewerReports)
  const present: Array<[string, RenewerHost]> = []
  for (const [host, renewer] of granting.renewers) {
    const isSilent = now - renewer.reportedAt > silenceMs
    for (const owner of renewer.owners) {
      if (isSilent || !owners.has(owner)) dropRenewal(state, host, owner)
    }
    if (!isSilent) present.push([host, renewer])
    else if (now - renewer.reportedAt > silenceMs + renewalValidityMs) granting.renewers.delete(host)
  }
  return present
}

/** Takes an owner from its renewer, which may have been told of it up to now. */
function dropRenewal (state: GatewayState, host: string, owner: string): void {
  noteRenewable(state, owner, host)
  state.granting.renewers.get(host)?.owners.delete(owner)
  state.granting.renewerOf.delete(owner)
}

function dropExpired (granting: Granting, now: number): void {
  for (const [owner, hosts] of granting.renewableUntil) {
    for (const [host, until] of hosts) if (until <= now) hosts.delete(host)
    if (hosts.size === 0) granting.renewableUntil.delete(owner)
  }
}

/** Finds the host with the fewest owners, in the owner's zone if there is room, else in its region, else anywhere. */
function findRenewer (state: GatewayState, owner: string, present: ReadonlyArray<[string, RenewerHost]>, fairShare: number): string | undefined {
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
