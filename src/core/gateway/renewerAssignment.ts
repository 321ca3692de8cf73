import type { LoadReport, MemberReport } from './events.js'
import type { RenewerHost } from './renewalState.js'
import type { GrantingState, ManagedGrant } from './grantingState.js'
import type { GatewayState, GatewayWork } from './state.js'
import { recordOwnerConfirmation, recordOwnerFailure } from './ownerReachability.js'
import {
  chooseRenewersMs, computeReportMs, forgottenHostMs, maxRenewedOwners, renewalMs, renewalValidityMs, renewerTimeoutReports, renewerShareFactor, minRenewerTimeoutMs, reportedRenewalTakeoverMs, renewalTakeoverMs
} from './limits.js'

/** Lists the owners whose grants a host is asked to renew. */
export function listOwnersToRenew (state: GatewayState, host: string): string[] {
  return [...state.granting.renewers.get(host)?.owners ?? []]
}

/** Applies a host's report: the placement that it uses, and the grants that it has renewed. */
export function applyRenewerReport (work: GatewayWork, report: LoadReport): void {
  const { granting, identity } = work.state
  if (granting.role !== 'leading' || report.host === identity.host) return
  applyRenewer(work, { ...report, ageMs: 0 }, undefined)
  granting.renewers.get(report.host)!.isCollecting = report.isCollecting === true
  for (const member of report.members ?? []) applyRenewer(work, member, report.host)
  // The answer to this report asks these hosts to renew the grants of their owners.
  for (const [host, renewer] of granting.renewers) {
    if (host !== report.host && renewer.collector !== report.host) continue
    for (const owner of renewer.owners) recordPossibleRenewer(work.state, owner, host)
  }
}

function applyRenewer (work: GatewayWork, report: MemberReport, collector: string | undefined): void {
  const { granting, reducedAt, identity } = work.state
  if (report.host === identity.host) return
  const reportedAt = reducedAt - report.ageMs
  const { zone, placement, address = '', processorShare = 0, linkMbps } = report
  const known = granting.renewers.get(report.host)
  granting.hostReportedAt.set(report.host, Math.max(reportedAt, granting.hostReportedAt.get(report.host) ?? -Infinity))
  // A host that has changed its collector may be named by the former one for a moment.
  if (known !== undefined && reportedAt < known.reportedAt) return
  const renewer: RenewerHost = known ?? { zone, address, processorShare, linkMbps, isCollecting: false, collector, reportedAt, placement, owners: new Set() }
  granting.renewers.set(report.host, renewer)
  Object.assign(renewer, { zone, address, processorShare, linkMbps, collector, reportedAt, placement })
  if (report.renewed.length > 0) applyConfirmedRenewals(work, report.renewed)
}

/** Lists the owners whose grants the hosts that report to a collector are asked to renew. */
export function listMemberRenewals ({ granting }: GatewayState, collector: string): Array<{ host: string, owners: string[] }> {
  const members: Array<{ host: string, owners: string[] }> = []
  for (const [host, renewer] of granting.renewers) {
    if (renewer.collector === collector && renewer.owners.size > 0) members.push({ host, owners: [...renewer.owners] })
  }
  return members
}

/** Records that a host may receive a request now to renew the grants of an owner. */
function recordPossibleRenewer (state: GatewayState, owner: string, host: string): void {
  const { renewableUntil } = state.granting
  const hosts = renewableUntil.get(owner) ?? new Map<string, number>()
  renewableUntil.set(owner, hosts)
  hosts.set(host, state.reducedAt + renewalValidityMs)
}

function applyConfirmedRenewals (work: GatewayWork, renewed: LoadReport['renewed']): void {
  const { granting, now } = work.state
  const byFence = new Map(renewed.map(entry => [entry.fence, entry]))
  for (const grant of granting.grants) {
    const entry = byFence.get(grant.range.fence)
    if (entry === undefined || grant.step !== 'renew') continue
    // The parts of a split range share its fencing token.
    const renewal = isCovering(entry, grant) ? entry : renewed.find(other => other.fence === grant.range.fence && isCovering(other, grant))
    if (renewal !== undefined) confirmRenewal(work, grant, now - renewal.ageMs)
  }
}

function isCovering (entry: LoadReport['renewed'][number], grant: ManagedGrant): boolean {
  return entry.from <= grant.range.from && entry.to >= grant.range.to
}

function confirmRenewal (work: GatewayWork, grant: ManagedGrant, sentAt: number): void {
  const { granting, now } = work.state
  const { id } = grant.range.owner
  if (sentAt > grant.confirmedAt) {
    grant.confirmedAt = sentAt
    recordOwnerConfirmation(granting, id, sentAt)
    grant.nextAt = Math.max(grant.nextAt, computeRenewAt(work.state, grant, sentAt))
  }
  if (now - sentAt <= reportedRenewalTakeoverMs) return
  // Renewals are overdue, so this host renews the grant itself to check whether the owner is reachable.
  recordOwnerFailure(granting, id, sentAt + renewalMs)
  grant.nextAt = Math.min(grant.nextAt, now)
}

/** Computes when this host renews a grant itself, unless the assigned renewer has done so by then. */
export function computeRenewAt (state: GatewayState, grant: ManagedGrant, sentAt: number): number {
  return sentAt + (state.granting.renewerByOwner.has(grant.range.owner.id) ? renewalTakeoverMs : renewalMs)
}

/** Whether any host may still renew a grant to an owner that is to lose it. */
export function isStillRenewable (state: GatewayState, owner: string, grant: ManagedGrant): boolean {
  const { granting, now } = state
  for (const [host, until] of granting.renewableUntil.get(owner) ?? []) {
    // A host that has reported this placement or a later one knows that the keys are moving, and does not renew the grant.
    const isInformed = grant.writtenRevision !== undefined && (granting.renewers.get(host)?.placement.revision ?? 0) >= grant.writtenRevision
    if (now < until && !isInformed) return true
  }
  return false
}

/** Assigns each owner a nearby host that renews its grants; each host gets a bounded number of owners. */
export function chooseRenewers (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  if (now < granting.chooseRenewersAt) return
  granting.chooseRenewersAt = now + chooseRenewersMs
  const owners = new Set(granting.grants.map(grant => grant.range.owner.id))
  dropExpiredRenewers(granting, now)
  const reporting = listReportingRenewers(state, owners)
  const maxOwnersPerHost = Math.min(maxRenewedOwners, Math.ceil(renewerShareFactor * owners.size / Math.max(1, reporting.length)))
  for (const [host, renewer] of reporting) {
    for (const owner of [...renewer.owners].slice(maxOwnersPerHost)) dropRenewer(state, host, owner)
  }
  for (const owner of owners) {
    if (granting.renewerByOwner.has(owner)) continue
    const host = findRenewer(state, owner, reporting, maxOwnersPerHost)
    if (host === undefined) continue
    granting.renewerByOwner.set(owner, host)
    granting.renewers.get(host)?.owners.add(owner)
    recordPossibleRenewer(state, owner, host)
  }
}

/** Lists the hosts that still report. Drops the assignments of the others, and those for owners without grants. */
function listReportingRenewers (state: GatewayState, owners: ReadonlySet<string>): Array<[string, RenewerHost]> {
  const { granting, now } = state
  const timeoutMs = computeRenewerTimeoutMs(state)
  const reporting: Array<[string, RenewerHost]> = []
  for (const [host, renewer] of granting.renewers) {
    const hasTimedOut = now - renewer.reportedAt > timeoutMs
    for (const owner of renewer.owners) {
      if (hasTimedOut || !owners.has(owner)) dropRenewer(state, host, owner)
    }
    if (!hasTimedOut) reporting.push([host, renewer])
    else if (now - renewer.reportedAt > timeoutMs + renewalValidityMs) granting.renewers.delete(host)
  }
  return reporting
}

/** Computes the time without a report after which a host is no longer relied on, in milliseconds. */
export function computeRenewerTimeoutMs (state: GatewayState): number {
  return Math.max(minRenewerTimeoutMs, computeReportMs(state.hosts) * renewerTimeoutReports)
}

/** Drops the renewer of an owner; until now, it may have received requests to renew the grants of this owner. */
function dropRenewer (state: GatewayState, host: string, owner: string): void {
  recordPossibleRenewer(state, owner, host)
  state.granting.renewers.get(host)?.owners.delete(owner)
  state.granting.renewerByOwner.delete(owner)
}

function dropExpiredRenewers (granting: GrantingState, now: number): void {
  for (const [owner, hosts] of granting.renewableUntil) {
    for (const [host, until] of hosts) if (until <= now) hosts.delete(host)
    if (hosts.size === 0) granting.renewableUntil.delete(owner)
  }
  for (const [host, at] of granting.hostReportedAt) if (now - at > forgottenHostMs) granting.hostReportedAt.delete(host)
}

/** Finds the host with the fewest owners, in the owner's zone if one has capacity there, else in its region, else anywhere. */
function findRenewer (state: GatewayState, owner: string, reporting: ReadonlyArray<[string, RenewerHost]>, maxOwnersPerHost: number): string | undefined {
  const { regionOf } = state.identity
  const zone = state.backends.get(owner)?.zone ?? ''
  let best: string | undefined
  let lowestCost = Infinity
  for (const [host, renewer] of reporting) {
    if (renewer.owners.size >= maxOwnersPerHost) continue
    const distance = renewer.zone === zone ? 0 : regionOf.get(renewer.zone) === regionOf.get(zone) ? 1 : 2
    const cost = distance * maxRenewedOwners + renewer.owners.size
    if (cost >= lowestCost) continue
    best = host
    lowestCost = cost
  }
  return best
}
