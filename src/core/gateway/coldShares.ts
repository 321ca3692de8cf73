import type { ColdShare, FleetLoad } from './events.js'
import type { Backend, GatewayState, GatewayWork } from './state.js'
import type { Clocks } from './storeFreshness.js'
import { coldWindowMs, computeColdAllowance, isLimitedByCold } from './coldAdmission.js'
import { clockDrift, leadershipTtlMs, movingLeaseShare } from './limits.js'
import { computeRenewerTimeoutMs } from './renewerAssignment.js'
import { computeSuspendedMs } from './storeFreshness.js'

/** Time for which a share is valid after the report that was answered with it, in milliseconds: two of the longest intervals between reports, one of them a collector's, and their delays. */
export const coldShareValidMs = 2400
/** Time between two rounds of dealing, in milliseconds. */
const dealMs = 200
/** Maximum number of servers of which one round deals shares: with 2,600 hosts, each takes some tenths of a millisecond. */
const maxDealtServers = 32
/** Smallest share worth dealing to a host that chooses among servers: with smaller ones, chance decides whether its requests fit. */
const minChosenShare = 4
/** Smallest share for a service divided by keys: a request for a key can't be sent to another server, so that as many hosts as possible need a share. */
const minKeyedShare = 1
/** Time for which the granting host deals without a confirmation of its lease, in milliseconds. */
const dealingLeaseMs = leadershipTtlMs * movingLeaseShare
/** Time from an answer until the last request of its share has left the window, in milliseconds; a host's clock may run slower. */
const shareEndMs = coldShareValidMs * clockDrift + coldWindowMs
/** Time for which a new granting host deals nothing, in milliseconds: a predecessor may deal until its own lease has run out, also where a restored store has lost that lease. */
export const firstDealMs = dealingLeaseMs + shareEndMs

/** State of the dealing at the granting host. */
export type ColdDealing = {
  /** Requests in any second of each host, by backend server. */
  shares: Map<string, Map<string, number>>
  /** Shares that are no longer dealt, but that their hosts may still use until a time, by backend server. */
  withdrawn: Map<string, Array<{ host: string, requests: number, until: number }>>
  dealAt: number
  /** When the process was last known to have been suspended: what was confirmed before is older than the monotonic clock says. */
  suspendedAt: number
}

/** A cold backend server: the requests that it may get in any second, and the smallest share worth dealing. */
export type ColdServer = { zone: string, allowance: number, minShare: number }
/** A host that may get shares; `shares`: number of servers in which it has one. */
export type ShareHost = { host: string, zone: string, shares: number }

/** Builds the state of a host that has dealt nothing. */
export function buildColdDealing (now: number): ColdDealing {
  return { shares: new Map(), withdrawn: new Map(), dealAt: now, suspendedAt: -Infinity }
}

/**
 * Plans further shares of a cold server, so that the sum of the `current` shares, of the `withheld` requests and of the
 * new shares stays within its allowance. Hosts of its zone come first, then those of its region; of these, those with
 * the fewest shares. All shares are equal; what remains of the allowance is not dealt.
 */
export function planColdShares (server: ColdServer, current: ReadonlyMap<string, number>, withheld: number, hosts: readonly ShareHost[], regionOf: ReadonlyMap<string, string>): Array<{ host: string, requests: number }> {
  const { allowance, minShare, zone } = server
  const wanted = Math.min(hosts.length, Math.floor(allowance / Math.min(minShare, Math.max(1, allowance))))
  if (wanted <= current.size) return []
  const requests = Math.floor(allowance / wanted)
  let free = allowance - withheld
  for (const dealt of current.values()) free -= dealt
  const count = Math.min(wanted - current.size, Math.floor(free / requests))
  if (count <= 0) return []
  const region = regionOf.get(zone)
  const computeCost = (host: ShareHost) => (host.zone === zone ? 0 : region !== undefined && regionOf.get(host.zone) === region ? 1 : 2) * 1e6 + host.shares
  return hosts
    .filter(({ host }) => !current.has(host))
    .map(host => ({ host: host.host, cost: computeCost(host) }))
    .sort((a, b) => a.cost - b.cost)
    .slice(0, count)
    .map(({ host }) => ({ host, requests }))
}

/** Deals the allowances of the cold servers at the granting host, and withdraws the shares of hosts that no longer report and of servers that are no longer cold. */
export function advanceColdShares (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  const { coldDealing } = granting
  if (granting.role !== 'leading' || now < coldDealing.dealAt) return
  coldDealing.dealAt = now + dealMs
  dropEndedShares(coldDealing, state.reducedAt)
  const coldBackends = [...state.backends.values()].filter(backend => isLimitedByCold(state, backend))
  if (coldBackends.length === 0 && coldDealing.shares.size === 0) return
  const hosts = listShareHosts(state)
  dropUnusableShares(work, new Set(hosts.map(({ host }) => host)))
  if (now < granting.leaderSince + firstDealMs || !isAllowedToDeal(state, { now: state.reducedAt, wall: state.wall })) return
  let dealt = 0
  for (const backend of coldBackends) {
    if (dealt === maxDealtServers) return
    if (!backend.leaving && addColdShares(work, backend, hosts)) dealt += 1
  }
}

/** Deals further shares of a cold server, if its allowance and the hosts permit; returns whether it did. */
function addColdShares ({ state, effects }: GatewayWork, backend: Backend, hosts: readonly ShareHost[]): boolean {
  const { shares, withdrawn } = state.granting.coldDealing
  const { id, service, zone } = backend
  const allowance = computeColdAllowance(state, service) ?? 0
  if (allowance === 0) return false
  const isKeyed = state.configuration?.services.get(service)?.sharded === true
  const current = shares.get(id) ?? new Map<string, number>()
  renewWithdrawnShares(state.granting.coldDealing, id, current, allowance, hosts)
  if (current.size > 0) shares.set(id, current)
  const withheld = (withdrawn.get(id) ?? []).reduce((sum, { requests }) => sum + requests, 0)
  const added = planColdShares({ zone, allowance, minShare: isKeyed ? minKeyedShare : minChosenShare }, current, withheld, hosts, state.identity.regionOf)
  if (added.length === 0) return false
  const byName = new Map(added.map(({ host, requests }) => [host, requests]))
  for (const host of hosts) {
    const requests = byName.get(host.host)
    if (requests === undefined) continue
    current.set(host.host, requests)
    host.shares += 1
  }
  shares.set(id, current)
  effects.push({ kind: 'log', event: 'coldSharesDealt', fields: { backend: id, allowance, withheld, hosts: current.size, requests: added[0]?.requests } })
  return true
}

/** Deals withdrawn shares anew to their holders, which may use them anyway: the sum stays the same. */
function renewWithdrawnShares ({ withdrawn }: ColdDealing, id: string, current: Map<string, number>, allowance: number, hosts: readonly ShareHost[]): void {
  const earlier = withdrawn.get(id) ?? []
  const sum = [...current.values(), ...earlier.map(({ requests }) => requests)].reduce((total, requests) => total + requests, 0)
  if (earlier.length === 0 || sum > allowance) return
  const reporting = new Set(hosts.map(({ host }) => host))
  const left = earlier.filter(({ host, requests }) => {
    if (current.has(host) || !reporting.has(host)) return true
    current.set(host, requests)
    return false
  })
  withdrawn.set(id, left)
}

function dropEndedShares ({ withdrawn }: ColdDealing, at: number): void {
  for (const [id, shares] of withdrawn) {
    const left = shares.filter(({ until }) => until > at)
    if (left.length === 0) withdrawn.delete(id)
    else withdrawn.set(id, left)
  }
}

/** Lists the hosts that report and are not stopping, this one included. */
function listShareHosts (state: GatewayState): ShareHost[] {
  const { granting, identity, now } = state
  const counts = new Map<string, number>()
  for (const shares of granting.coldDealing.shares.values()) {
    for (const host of shares.keys()) counts.set(host, (counts.get(host) ?? 0) + 1)
  }
  const timeoutMs = computeRenewerTimeoutMs(state)
  const hosts = state.stop.phase === 'serving' ? [{ host: identity.host, zone: identity.zone, shares: counts.get(identity.host) ?? 0 }] : []
  for (const [host, { zone, address, reportedAt }] of granting.renewers) {
    if (address !== '' && now - reportedAt <= timeoutMs) hosts.push({ host, zone, shares: counts.get(host) ?? 0 })
  }
  return hosts
}

/** Withdraws shares; they count until their holders can't use them any more. */
function dropUnusableShares (work: GatewayWork, reporting: ReadonlySet<string>): void {
  const { state } = work
  const { shares, withdrawn } = state.granting.coldDealing
  for (const [id, byHost] of shares) {
    const backend = state.backends.get(id)
    const allowance = backend === undefined || !isLimitedByCold(state, backend) ? 0 : computeColdAllowance(state, backend.service) ?? 0
    const isExcessive = [...byHost.values()].reduce((sum, requests) => sum + requests, 0) > allowance
    for (const [host, requests] of byHost) {
      if (!isExcessive && reporting.has(host)) continue
      byHost.delete(host)
      withdrawn.set(id, [...withdrawn.get(id) ?? [], { host, requests, until: state.reducedAt + shareEndMs }])
    }
    if (byHost.size === 0) shares.delete(id)
  }
}

/** Whether this host leads by a lease that the store has confirmed recently; `clocks`: time of the answer that carries shares. */
function isAllowedToDeal ({ granting, clocks: last }: GatewayState, clocks: Clocks): boolean {
  if (granting.role !== 'leading' || granting.isLeadershipUncertain || granting.confirmedAt < granting.coldDealing.suspendedAt) return false
  return clocks.now - granting.confirmedAt + computeSuspendedMs(last, clocks) < dealingLeaseMs
}

/** Builds the granting host's answer to one host on cold servers: its own shares, and those of the hosts that report to it. */
export function buildColdAnswer (state: GatewayState, host: string, clocks: Clocks): Pick<FleetLoad, 'coldShares' | 'memberColdShares'> {
  const { granting, backends } = state
  if (granting.coldDealing.shares.size === 0 || !isAllowedToDeal(state, clocks)) return {}
  const coldShares: ColdShare[] = []
  const byMember = new Map<string, ColdShare[]>()
  for (const [id, byHost] of granting.coldDealing.shares) {
    const backend = backends.get(id)
    if (backend === undefined) continue
    for (const [holder, requests] of byHost) {
      const share = { id, startedAt: backend.startedAt, requests, validMs: coldShareValidMs }
      if (holder === host) coldShares.push(share)
      else if (granting.renewers.get(holder)?.collector === host) byMember.set(holder, [...byMember.get(holder) ?? [], share])
    }
  }
  return {
    ...(coldShares.length === 0 ? {} : { coldShares }),
    ...(byMember.size === 0 ? {} : { memberColdShares: [...byMember].map(([member, shares]) => ({ host: member, shares })) })
  }
}

/** Keeps the shares of the hosts of the zone at their collector; `askedAt` is when the report that the granting host answered was sent. */
export function keepMemberColdShares ({ collecting, cold }: GatewayState, load: FleetLoad, askedAt: number): void {
  if (collecting.role !== 'collecting' || askedAt < cold.ignoreReportsBefore) return
  collecting.coldShares = new Map((load.memberColdShares ?? []).map(({ host, shares }) => [host, { shares, askedAt }]))
}

/** Lists the shares that a collector passes on to a host of its zone, with what is left of their validity. */
export function listMemberColdShares ({ collecting, clocks: last }: GatewayState, host: string, clocks: Clocks): ColdShare[] {
  const known = collecting.coldShares.get(host)
  if (known === undefined) return []
  const ageMs = clocks.now - known.askedAt + computeSuspendedMs(last, clocks)
  return known.shares.map(share => ({ ...share, validMs: share.validMs - ageMs })).filter(({ validMs }) => validMs > 0)
}
