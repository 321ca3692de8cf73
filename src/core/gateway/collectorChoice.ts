import type { GrantingHost } from './model.js'
import { hasLargeLink } from './controlCapacity.js'

/** A host that reports its load, as a candidate for the collector of its availability zone. */
export type CollectorCandidate = GrantingHost & {
  zone: string
  /** Processor time available to it, in cores. */
  processorShare: number
  /** Bandwidth of its link, in Mbit/s; not a limit if undefined. */
  linkMbps?: number | undefined
  /** Whether hosts of its zone report to it already. */
  isCollecting: boolean
}

/** Chooses the collector of each availability zone; zones without one report to the granting host. */
export type ChooseCollectors = (candidates: readonly CollectorCandidate[], self: GrantingHost & { zone: string }, current: ReadonlyMap<string, GrantingHost>) => Map<string, GrantingHost>

/** `maxDirectHosts`: number of hosts in the fleet up to which all of them report to the granting host; `minZoneHosts`: number of hosts of a zone from which it has a collector. */
export type CollectorLimits = { maxDirectHosts: number, minZoneHosts: number }

/** Limits used in production: smaller fleets need no collectors, and smaller zones gain nothing from one. */
export const collectorLimits: CollectorLimits = { maxDirectHosts: 24, minZoneHosts: 3 }

/** Builds the choice of collectors under the given limits. */
export function buildCollectorChoice (limits: CollectorLimits): ChooseCollectors {
  return (candidates, self, current) => chooseCollectors(limits, candidates, self, current)
}

/**
 * Chooses the collector of each availability zone: the host to which the others of its zone report, and which speaks for them
 * to the granting host. This bounds the work of the granting host, the traffic between zones and the age of load
 * figures in fleets of hundreds of hosts. A collector stays while it reports; the hosts of the granting host's own zone report to that host.
 */
function chooseCollectors (limits: CollectorLimits, ...[candidates, self, current]: Parameters<ChooseCollectors>): Map<string, GrantingHost> {
  const chosen = new Map<string, GrantingHost>()
  if (candidates.length < limits.maxDirectHosts) return chosen
  const byZone = new Map<string, CollectorCandidate[]>()
  for (const candidate of candidates) byZone.set(candidate.zone, [...byZone.get(candidate.zone) ?? [], candidate])
  for (const [zone, hosts] of byZone) {
    if (zone === self.zone || hosts.length < limits.minZoneHosts) continue
    const best = findBest(hosts, current.get(zone)?.host)
    if (best !== undefined) chosen.set(zone, { host: best.host, address: best.address })
  }
  chosen.set(self.zone, { host: self.host, address: self.address })
  return chosen
}

function findBest (hosts: readonly CollectorCandidate[], current: string | undefined): CollectorCandidate | undefined {
  let best: CollectorCandidate | undefined
  for (const host of hosts) {
    if (host.address === '') continue
    if (host.host === current) return host
    if (best === undefined || isBetter(host, best)) best = host
  }
  return best
}

function isBetter (host: CollectorCandidate, than: CollectorCandidate): boolean {
  if (host.isCollecting !== than.isCollecting) return host.isCollecting
  if (hasLargeLink(host) !== hasLargeLink(than)) return hasLargeLink(host)
  if (host.processorShare !== than.processorShare) return host.processorShare > than.processorShare
  return host.host < than.host
}
