import type { FleetLoad, LoadReport } from './events.js'
import type { FleetEstimates, GrantingHost } from './model.js'
import type { PlannerInput, Candidate } from './planner.js'
import type { DecayingSum, ManagedGrant } from './grantingState.js'
import type { Backend, GatewayState, GatewayWork } from './state.js'
import type { Clocks } from './storeFreshness.js'
import { buildPlacementChange, isLaterVersion } from './placementChange.js'
import { computeKeyRates } from './keyRates.js'
import { applyColdShares } from './coldAdmission.js'
import { listColdKeyRates } from './coldKeys.js'
import { buildColdAnswer } from './coldShares.js'
import { addCollectedLoad, buildCollectorAnswer, chooseReportAddress } from './collecting.js'
import { addReport, countInFlight, dropReport } from './loadTotals.js'
import { isEvacuated } from './evacuation.js'
import { listMarksToReport, listMarksToShare } from './leavingMarks.js'
import { addFigureToReport, addFigureToShare } from './reportedLoad.js'
import { computeStoreAgeMs } from './storeFreshness.js'
import { computeConnectMs } from './grantConnections.js'
import { listMemberRenewals, listOwnersToRenew } from './renewerAssignment.js'
import { listConfirmedRenewals } from './delegatedRenewals.js'
import { findRange } from './routing.js'
import { isRecovering } from './storeRestores.js'
import {
  assumedServiceMs, computeReportMs, earlyReportGrowth, earlyReportMs, minHotKeyStayMs, maxReportMs, maxReportedKeys, mildLoadShare, rateTimeConstantMs, reportMsPerHost, burstTimeConstantMs, urgentLoadShare
} from './limits.js'

/** Interval between updates of the admit shares, in milliseconds. */
const admitUpdateMs = 150
/** Highest load admitted to an owner, as a multiple of its slots; the limit on its queue refuses any excess. */
const admittedLoad = 1.2
/** Smallest admit share of an owner, so that its service time can still be measured. */
const minAdmitShare = 0.05
/** Time within which all hosts have reported to a new granting host, in milliseconds: the longest interval between reports. */
const allReportedMs = maxReportMs
/** Weight of the fleet's service time when a host updates its own estimate. */
const fleetWeight = 0.5

/** Reports this host's load to the granting host when a report is due. */
export function advanceReport (work: GatewayWork): void {
  const { state } = work
  if (state.now < state.reportAt) return
  state.reportAt = state.now + computeReportMs(state.reporters, countRelatedHosts(state))
  state.reportedAt = state.now
  const address = chooseReportAddress(state)
  if (address === undefined) return
  const own = buildReport(state)
  const inFlight = listInFlight(own)
  const report = addCollectedLoad(state, own)
  state.reportedTo = address
  if (state.granting.role === 'leading') {
    applyReport(work, report)
    const load = buildFleetLoad(state, state.identity.host)
    applyFleetLoad(work, load, inFlight)
    applyColdShares(state, load.coldShares, state.now)
    return
  }
  work.effects.push({ kind: 'report-load', address, report, inFlight })
}

/** Counts the hosts by which this host's interval between reports goes: only the reporters for a collector, since what its hosts know is as old as what it knows itself. */
export function countRelatedHosts ({ collecting, reporters, hosts }: GatewayState): number {
  return collecting.role === 'collecting' ? reporters : hosts
}

/** Notifies the previous granting host of its successor: without the store, it continues to renew grants until it learns that it was replaced. */
export function notifyFormerGrantingHost (work: GatewayWork): void {
  const { state } = work
  const former = state.reportedTo
  if (former === undefined || state.grantingHost === undefined || former === state.grantingHost.address || former === state.identity.address) return
  // A collector reports to the former granting host itself.
  if (former === state.collector?.address) return
  work.effects.push({ kind: 'report-load', address: former, report: buildNotice(state), inFlight: new Map() })
}

/** Builds a report without load, which tells another host who grants keys. */
export function buildNotice (state: GatewayState): LoadReport {
  return { ...buildReportHead(state), backends: [], keys: [], renewed: [] }
}

/** Schedules the next report earlier when requests in flight at a backend server grow fast. */
export function scheduleEarlyReport (state: GatewayState, backend: Backend): void {
  if (backend.inFlight - backend.inFlightAtReport < earlyReportGrowth) return
  const spacingMs = Math.max(earlyReportMs, state.reporters * reportMsPerHost / 3)
  state.reportAt = Math.min(state.reportAt, state.reportedAt + spacingMs)
}

function buildReport (state: GatewayState): LoadReport {
  const backends: LoadReport['backends'] = []
  for (const backend of state.backends.values()) {
    const entry = addFigureToReport(state, backend, { id: backend.id, inFlight: backend.inFlight, answered: backend.answeredSinceReport, serviceMsSum: Math.round(backend.serviceMsSinceReport) })
    if (backend.inFlight === 0 && backend.answeredSinceReport === 0 && entry.reported === undefined) continue
    backends.push(entry)
    backend.answeredSinceReport = 0
    backend.serviceMsSinceReport = 0
  }
  for (const [service, counts] of state.collecting.collected.keyCounts) addKeyCounts(state.keyCounts, service, counts)
  const keys = [...state.keyCounts].map(([service, counts]) => {
    const bounded = boundKeys(counts)
    return { service, keys: [...bounded.keys()], counts: [...bounded.values()] }
  })
  state.keyCounts.clear()
  return { ...buildReportHead(state), backends, keys, renewed: listConfirmedRenewals(state), marks: listMarksToReport(state) }
}

function buildReportHead (state: GatewayState): Omit<LoadReport, 'backends' | 'keys' | 'renewed'> {
  const granting = state.grantingHost === undefined ? undefined : { host: state.grantingHost, revision: state.grantingRevision }
  return {
    host: state.identity.host,
    zone: state.identity.zone,
    // A host that is stopping can't be a collector.
    address: state.stop.phase === 'serving' ? state.identity.address : '',
    processorShare: state.identity.processorShare,
    linkMbps: state.identity.linkMbps,
    placement: state.placementVersion,
    wantsPlacement: state.wantsPlacement,
    storeRevision: state.storeRevision,
    granting,
    ...(state.knownNextFence > 0 ? { nextFence: state.knownNextFence } : {})
  }
}

function addKeyCounts (keyCounts: GatewayState['keyCounts'], service: string, counts: ReadonlyMap<number, number>): void {
  const known = keyCounts.get(service) ?? new Map<number, number>()
  keyCounts.set(service, known)
  for (const [key, count] of counts) known.set(key, (known.get(key) ?? 0) + count)
}

/** Bounds the keys of a report: beyond the limit, the least requested keys are summed into buckets of adjacent keys. */
function boundKeys (counts: Map<number, number>): Map<number, number> {
  if (counts.size <= maxReportedKeys) return counts
  const byCount = [...counts].sort((a, b) => b[1] - a[1])
  const bounded = new Map(byCount.slice(0, maxReportedKeys / 2))
  const bucketKeys = 65_536 / (maxReportedKeys / 2)
  for (const [key, count] of byCount.slice(maxReportedKeys / 2)) {
    const bucket = Math.floor(key / bucketKeys) * bucketKeys + bucketKeys / 2
    bounded.set(bucket, (bounded.get(bucket) ?? 0) + count)
  }
  return bounded
}

/** Lists the requests in flight of a report, by backend server. */
export function listInFlight (report: LoadReport): Map<string, number> {
  return new Map(report.backends.map(backend => [backend.id, backend.inFlight]))
}

/** Applies a host's report at the granting host. */
export function applyReport (work: GatewayWork, report: LoadReport): void {
  const { granting, now } = work.state
  if (granting.role !== 'leading') return
  sendMissedPlacement(work, report)
  addReport(granting, now, report.host, listInFlight(report), report.hosts)
  // What these hosts reported before they had a collector is part of its report now.
  for (const member of report.members ?? []) dropReport(granting, member.host)
  for (const backend of report.backends) {
    if (backend.answered === 0) continue
    const known = granting.serviceTimes.get(backend.id) ?? { sum: 0, count: 0, at: now }
    const decay = Math.exp((known.at - now) / (rateTimeConstantMs * 2))
    granting.serviceTimes.set(backend.id, { sum: known.sum * decay + backend.serviceMsSum, count: known.count * decay + backend.answered, at: now })
  }
  for (const { service, keys, counts } of report.keys) {
    const rates = granting.rates.get(service) ?? new Map<number, DecayingSum>()
    granting.rates.set(service, rates)
    if (keys.length > 0 && !granting.countedSince.has(service)) granting.countedSince.set(service, now)
    keys.forEach((key, index) => addCount(rates, key, counts[index] ?? 0, now))
  }
}

/** Sends the whole published placement to a host that missed a change. */
function sendMissedPlacement (work: GatewayWork, report: LoadReport): void {
  const { published } = work.state.granting
  if (published === undefined || !report.wantsPlacement || !isLaterVersion(published.version, report.placement)) return
  // The next published change is based on this version, not on a newer one in force here.
  work.effects.push({ kind: 'publish-placement', change: buildPlacementChange(undefined, published), host: report.host })
}

function addCount (rates: Map<number, DecayingSum>, key: number, count: number, now: number): void {
  const known = rates.get(key)
  if (known === undefined) {
    rates.set(key, { value: count, burst: count, at: now })
    return
  }
  known.value = known.value * Math.exp((known.at - now) / rateTimeConstantMs) + count
  known.burst = known.burst * Math.exp((known.at - now) / burstTimeConstantMs) + count
  known.at = now
}

/**
 * Builds what the granting host sends to one host about the load of the others. A new granting host has not
 * received reports from all hosts yet. It estimates the missing ones from the last load sent by its predecessor or
 * from the reports that it has: if they counted as idle, hosts would overload the backend servers.
 * `clocks`: time of sending, which differs from the state's time if events were queued.
 */
export function buildFleetLoad (state: GatewayState, host: string, clocks: Clocks = { now: state.now, wall: state.wall }): FleetLoad {
  const { granting } = state
  const hosts = granting.hostCount
  const expected = state.now - granting.leaderSince < allReportedMs ? Math.max(hosts, granting.expectedHosts) : hosts
  const missingHosts = expected - hosts
  const backends: FleetLoad['backends'] = []
  for (const [id, backend] of state.backends) {
    const reported = countInFlight(granting, id, host)
    const perHost = Math.max((backend.inFlight + backend.othersInFlight) / expected, reported / Math.max(1, hosts))
    const others = reported + Math.round(perHost * missingHosts)
    const serviceMs = Math.round(computeServiceMs(state, id) ?? 0)
    if (others > 0 || serviceMs > 0) backends.push(addFigureToShare(backend, { id, inFlight: others, serviceMs, admitShare: granting.admitShares.get(id) ?? 1 }, countInFlight(granting, id), clocks.now))
  }
  return { hosts: expected, backends, placement: granting.published?.version ?? (isRecovering(state) ? { revision: 0, confirmations: 0 } : state.placementVersion), storeRevision: granting.relayedRevision, storeAgeMs: computeStoreAgeMs(state, clocks), renewals: listOwnersToRenew(state, host), connectMs: computeConnectMs(state), reporters: countReportingHosts(state), collector: findCollector(state, host), memberRenewals: listMemberRenewals(state, host), marks: listMarksToShare(state, clocks.now), ...buildColdAnswer(state, host, clocks) }
}

/** Builds the answer to a host's report; undefined when hosts should not report to this one. */
export function buildLoadAnswer (state: GatewayState, host: string, clocks: Clocks): FleetLoad | undefined {
  return state.granting.role === 'leading' ? buildFleetLoad(state, host, clocks) : buildCollectorAnswer(state, host, clocks)
}

/** Counts the hosts that report to this one directly, itself included while it is the granting host. */
export function countReportingHosts ({ granting, collecting }: GatewayState): number {
  return granting.role === 'leading' ? granting.reports.size : collecting.reports.size
}

/** Finds the collector of a host's zone. */
function findCollector ({ granting }: GatewayState, host: string): GrantingHost | undefined {
  const zone = granting.renewers.get(host)?.zone
  return zone === undefined ? undefined : granting.collectors.get(zone)
}

/** Builds the load figures that hosts use after their start until they have measured their own. */
export function buildFleetEstimates (state: GatewayState): FleetEstimates {
  const serviceMs = new Map<string, number>()
  for (const id of state.granting.serviceTimes.keys()) {
    const ms = computeServiceMs(state, id)
    if (ms !== undefined && state.backends.has(id)) serviceMs.set(id, Math.round(ms))
  }
  return { hosts: state.hosts, serviceMs }
}

/** Applies the fleet's stored load figures until this host has received current ones. */
export function applyFleetEstimates (state: GatewayState, estimates: FleetEstimates): void {
  if (state.loadReadAt !== -Infinity) return
  state.hosts = Math.max(state.hosts, estimates.hosts)
  for (const [id, ms] of estimates.serviceMs) {
    const backend = state.backends.get(id)
    if (backend !== undefined && backend.sampleCount === 0) backend.serviceMs = ms
  }
}

/** Computes the mean time that a request takes in a slot of a backend server, over the fleet, in milliseconds; undefined without recent answers. */
function computeServiceMs (state: GatewayState, id: string): number | undefined {
  const known = state.granting.serviceTimes.get(id)
  return known === undefined || known.count < 1 ? undefined : known.sum / known.count
}

/** Applies the load of the other hosts, received from the granting host. */
export function applyFleetLoad (work: GatewayWork, load: FleetLoad, reported: Map<string, number>): void {
  const { state } = work
  state.hosts = Math.max(1, load.hosts)
  state.reporters = Math.max(1, load.reporters ?? load.hosts)
  state.loadReadAt = state.now - (load.loadAgeMs ?? 0)
  const known = load.byId ?? new Map(load.backends.map(backend => [backend.id, backend]))
  for (const backend of state.backends.values()) {
    const fleetView = known.get(backend.id)
    backend.othersInFlight = fleetView?.inFlight ?? 0
    backend.admitShare = fleetView?.admitShare ?? 1
    backend.inFlightAtReport = reported.get(backend.id) ?? 0
    backend.fleetServiceMs = fleetView?.serviceMs ?? 0
    if (fleetView !== undefined && fleetView.serviceMs > 0) backend.serviceMs += (fleetView.serviceMs - backend.serviceMs) * fleetWeight
  }
}

/**
 * Computes for each owner the share of the requests for its keys that it can accept.
 * This handles hot keys, which can't be split: all hosts refuse the same share at
 * once, so that the owner's queue stays short enough for answers in time.
 */
export function updateAdmitShares (work: GatewayWork): void {
  const { granting, now } = work.state
  if (now < granting.admitAt) return
  granting.admitAt = now + admitUpdateMs
  const offered = new Map<string, number>()
  for (const service of work.state.configuration?.services.values() ?? []) {
    if (!service.sharded) continue
    const ranges = work.state.placement?.services.get(service.name) ?? []
    const rates = computeKeyRates(granting, service.name, now)
    for (const [key, rate] of rates) {
      const owner = findRange(ranges, key)?.owner.id
      if (owner !== undefined) offered.set(owner, (offered.get(owner) ?? 0) + rate)
    }
  }
  granting.admitShares.clear()
  for (const [id, rate] of offered) {
    const backend = work.state.backends.get(id)
    if (backend === undefined) continue
    const serviceMs = computeServiceMs(work.state, id) ?? backend.serviceMs
    const share = backend.slots * 1000 / serviceMs * admittedLoad / rate
    if (share >= 1) continue
    // Free slots show that the computed share is too low, so it is raised in proportion to them.
    const free = Math.max(0, 1 - countInFlight(granting, id) / backend.slots)
    granting.admitShares.set(id, Math.max(minAdmitShare, share + (1 - share) * free))
  }
}

/** Lists the backend servers of a service that may own keys. */
export function listCandidates (work: GatewayWork, service: string): Candidate[] {
  const { state } = work
  const candidates: Candidate[] = []
  const coldKeyRates = listColdKeyRates(state, service)
  const hasColdLimit = state.configuration?.services.get(service)?.coldRequestsPerSecond !== undefined
  for (const id of state.backendsByService.get(service) ?? []) {
    const backend = state.backends.get(id)
    if (backend === undefined || backend.leaving || isEvacuated(state, backend) || state.expiredRegistrations.has(id)) continue
    if ((state.granting.unreachableUntil.get(id) ?? 0) > state.now) continue
    candidates.push({
      id,
      startedAt: backend.startedAt,
      address: backend.address,
      slots: backend.slots,
      serviceMs: computeServiceMs(state, id) ?? (backend.serviceMs || assumedServiceMs),
      isWarmingUp: backend.slowUntil > state.now,
      ...(hasColdLimit ? { hasColdLimit, maxKeyRate: coldKeyRates.get(id) } : {})
    })
  }
  return candidates
}

/** Builds the planner's input for a service. */
export function buildPlannerInput (work: GatewayWork, service: string, grants: readonly ManagedGrant[]): PlannerInput {
  const { granting, now } = work.state
  const rates = computeKeyRates(granting, service, now)
  const movedAt = new Map(grants.map(grant => [grant.range.from, grant.moveStartedAt]))
  const ranges = grants.map(grant => grant.range).sort((a, b) => a.from - b.from)
  return { ranges, candidates: listCandidates(work, service), rates, isConsolidationDue: now >= granting.consolidateAt, overloadThreshold: now >= granting.mildRebalanceAt ? mildLoadShare : urgentLoadShare, isHotKeyMovable: from => now - (movedAt.get(from) ?? -Infinity) > minHotKeyStayMs }
}
