import type { FleetLoad, LoadReport, MemberReport } from './events.js'
import type { GatewayState, GatewayWork } from './state.js'
import type { Clocks } from './storeFreshness.js'
import { listMemberColdShares } from './coldShares.js'
import { buildCollectedLoad, buildCollectingState } from './collectingState.js'
import { listMarksToShare } from './leavingMarks.js'
import { addReport, countInFlight, countOwnInFlight } from './loadTotals.js'
import { buildPlacementChange, isLaterVersion } from './placementChange.js'
import { addFigureToShare } from './reportedLoad.js'
import { computeStoreAgeMs, computeSuspendedMs } from './storeFreshness.js'

/** Time without an answer of a granting host after which a collector no longer answers the hosts of its zone, in milliseconds: longer than an election, so that they need not all watch the store during one. */
const maxUnansweredMs = 3000
/** Time for which a host does not report to a collector whose exchange has ended, in milliseconds. */
const collectorAvoidanceMs = 3000

/** Applies the granting host's choice of a collector for this host's zone: this host, another one, or none. */
export function applyCollectorChoice (work: GatewayWork, load: FleetLoad): void {
  const { state } = work
  const { identity, collecting } = state
  const chosen = load.collector
  if (chosen === undefined || state.granting.role === 'leading') return
  if (chosen.address === identity.address) return startCollecting(work)
  if (collecting.role === 'collecting') stopCollecting(work, chosen.host)
  if (state.collector?.address === chosen.address || state.now < state.collectorAvoidedUntil) return
  state.collector = chosen
  // The exchange with the collector begins at once, so that what this host knows does not age meanwhile.
  state.reportAt = state.now
  work.effects.push({ kind: 'log', event: 'collectorChanged', fields: { collector: chosen.host, role: 'none' } })
}

function startCollecting (work: GatewayWork): void {
  const { state } = work
  state.collector = undefined
  if (state.collecting.role === 'collecting') return
  state.collecting = { ...buildCollectingState(state.now), role: 'collecting', relayedRevision: state.storeRevision, relayedAsOf: state.knownAsOf }
  work.effects.push({ kind: 'log', event: 'collectorChanged', fields: { collector: state.identity.host, role: 'collecting' } })
}

function stopCollecting (work: GatewayWork, successor: string): void {
  work.state.collecting = buildCollectingState(work.state.now)
  work.effects.push({ kind: 'log', event: 'collectorChanged', fields: { collector: successor, role: 'none' } })
}

/** Drops the collector whose exchange ended; this host reports to the granting host for a while. */
export function dropCollector (work: GatewayWork, address: string | undefined): void {
  const { state } = work
  if (state.collector === undefined || state.collector.address !== address) return
  work.effects.push({ kind: 'log', event: 'collectorChanged', fields: { collector: undefined, role: 'none' } })
  state.collector = undefined
  state.collectorAvoidedUntil = state.now + collectorAvoidanceMs
  state.reportAt = state.now
}

/** Chooses the address to which this host reports: the collector of its zone, or the granting host; undefined when it knows neither. */
export function chooseReportAddress ({ collector, granting, grantingHost, identity }: GatewayState): string | undefined {
  if (granting.role === 'leading') return identity.address
  return collector?.address ?? grantingHost?.address
}

/** Applies the report of a host of the zone at its collector. */
export function applyCollectedReport (work: GatewayWork, report: LoadReport): void {
  const { state } = work
  const { collecting, now } = state
  if (collecting.role !== 'collecting') return
  sendMissedPlacement(work, report)
  addReport(collecting, now, report.host, new Map(report.backends.map(backend => [backend.id, backend.inFlight])))
  const { answers, keyCounts, members } = collecting.collected
  for (const { id, answered, serviceMsSum } of report.backends) {
    if (answered === 0) continue
    const known = answers.get(id)
    answers.set(id, { answered: answered + (known?.answered ?? 0), serviceMsSum: serviceMsSum + (known?.serviceMsSum ?? 0) })
  }
  for (const { service, keys, counts } of report.keys) addKeyCounts(keyCounts, service, keys, counts)
  state.knownNextFence = Math.max(state.knownNextFence, report.nextFence ?? 0)
  const { host, zone, placement, granting, renewed, address, processorShare, linkMbps } = report
  members.set(host, { report: { host, zone, placement, granting, renewed, address, processorShare, linkMbps, ageMs: 0 }, receivedAt: now })
}

function addKeyCounts (keyCounts: Map<string, Map<number, number>>, service: string, keys: readonly number[], counts: readonly number[]): void {
  const known = keyCounts.get(service) ?? new Map<number, number>()
  keyCounts.set(service, known)
  keys.forEach((key, index) => known.set(key, (known.get(key) ?? 0) + (counts[index] ?? 0)))
}

/** Sends the whole placement to a host of the zone that missed a change. */
function sendMissedPlacement (work: GatewayWork, report: LoadReport): void {
  const { placement, placementVersion } = work.state
  if (placement === undefined || !report.wantsPlacement || !isLaterVersion(placementVersion, report.placement)) return
  work.effects.push({ kind: 'publish-placement', change: buildPlacementChange(undefined, { placement, version: placementVersion }), host: report.host })
}

/** Merges what the hosts of the zone reported since this host's last report into its own report. */
export function addCollectedLoad (state: GatewayState, report: LoadReport): LoadReport {
  const { collecting, now } = state
  if (collecting.role !== 'collecting') return report
  const { answers, members } = collecting.collected
  collecting.collected = buildCollectedLoad()
  const own = new Map(report.backends.map(backend => [backend.id, backend]))
  const ids = new Set([...own.keys(), ...collecting.inFlight.keys(), ...answers.keys()])
  const backends = [...ids].map(id => ({
    id,
    inFlight: (own.get(id)?.inFlight ?? 0) + countInFlight(collecting, id),
    answered: (own.get(id)?.answered ?? 0) + (answers.get(id)?.answered ?? 0),
    serviceMsSum: (own.get(id)?.serviceMsSum ?? 0) + (answers.get(id)?.serviceMsSum ?? 0),
    ...(own.get(id)?.reported === undefined ? {} : { reported: own.get(id)?.reported })
  }))
  const reports = [...members.values()].map(({ report: member, receivedAt }) => addReportAge(member, Math.max(0, Math.round(now - receivedAt))))
  return { ...report, backends, hosts: collecting.hostCount + 1, isCollecting: true, members: reports }
}

function addReportAge (report: MemberReport, ageMs: number): MemberReport {
  return { ...report, ageMs, renewed: report.renewed.map(renewed => ({ ...renewed, ageMs: renewed.ageMs + ageMs })) }
}

/** Keeps which owners' grants the hosts of the zone are asked to renew; `askedAt` is when the report that the granting host answered was sent. */
export function keepMemberRenewals (state: GatewayState, load: FleetLoad, askedAt: number): void {
  if (state.collecting.role !== 'collecting') return
  state.collecting.renewals = new Map((load.memberRenewals ?? []).map(({ host, owners }) => [host, { owners, askedAt, connectMs: load.connectMs }]))
}

/** Builds a collector's answer to the report of a host of its zone; undefined when that host should report to the granting host. */
export function buildCollectorAnswer (state: GatewayState, host: string, clocks: Clocks): FleetLoad | undefined {
  const { collecting, identity } = state
  const unansweredMs = clocks.now - state.loadReadAt
  if (collecting.role !== 'collecting' || state.stop.phase !== 'serving' || unansweredMs > maxUnansweredMs) return undefined
  const backends: FleetLoad['backends'] = []
  for (const backend of state.backends.values()) {
    const inFlight = backend.othersInFlight + backend.inFlight + countInFlight(collecting, backend.id, host)
    const { id, fleetServiceMs, admitShare } = backend
    if (inFlight > 0 || fleetServiceMs > 0) backends.push(addFigureToShare(backend, { id, inFlight, serviceMs: fleetServiceMs, admitShare }, inFlight + countOwnInFlight(collecting, backend.id, host), clocks.now))
  }
  const renewals = collecting.renewals.get(host)
  const coldShares = listMemberColdShares(state, host, clocks)
  return {
    hosts: state.hosts,
    reporters: collecting.reports.size,
    collector: { host: identity.host, address: identity.address },
    backends,
    placement: state.placementVersion,
    storeRevision: collecting.relayedRevision,
    storeAgeMs: computeStoreAgeMs(state, clocks),
    renewals: [...renewals?.owners ?? []],
    connectMs: renewals?.connectMs,
    renewalsAgeMs: renewals === undefined ? 0 : clocks.now - renewals.askedAt + computeSuspendedMs(state.clocks, clocks),
    loadAgeMs: Math.max(0, unansweredMs),
    ...(coldShares.length === 0 ? {} : { coldShares }),
    marks: listMarksToShare(state, clocks.now)
  }
}
