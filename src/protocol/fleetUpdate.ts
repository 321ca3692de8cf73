import type { AgedLoad, BackendMark, ColdShare, FleetLoad, LoadReport, MemberReport } from '../core/gateway/events.js'
import type { KeyOwner, KeyRange, PlacementChange, PlacementVersion } from '../core/gateway/model.js'
import type { RelayedChanges } from '../core/gateway/storeView.js'
import type { BackendMark as WireMark, ChangedRange, ColdShare as WireColdShare, FleetLoadView, KeyHolder, PlacementChange as WireChange, StoreChanges, KnownGrantingHost as WireGrantingHost, LoadReport as WireReport, MemberReport as WireMember, ReportedLoad as WireLoad } from './gen/peer.js'

/** Encodes a host's load report. */
export function encodeLoadReport (report: LoadReport): WireReport {
  return {
    host: report.host,
    backends: report.backends.map(entry => ({ backend: entry.id, inFlight: entry.inFlight, answered: entry.answered, serviceMsSum: entry.serviceMsSum, reported: encodeReportedLoad(entry.reported) })),
    keys: report.keys,
    placement: report.placement,
    wantsPlacement: report.wantsPlacement,
    storeRevision: report.storeRevision,
    granting: encodeGranting(report.granting),
    zone: report.zone,
    renewed: report.renewed,
    address: report.address ?? '',
    processorMillicores: encodeProcessorShare(report.processorShare),
    linkMbps: encodeLink(report.linkMbps),
    hosts: report.hosts ?? 0,
    isCollecting: report.isCollecting ?? false,
    members: (report.members ?? []).map(encodeMember),
    nextFence: report.nextFence ?? 0,
    marks: (report.marks ?? []).map(encodeMark)
  }
}

function encodeMark ({ id, startedAt, ageMs, isLeaving, coldMs }: BackendMark): WireMark {
  return { backend: id, startedAt, ageMs: Math.round(ageMs), isLeaving, coldMs: Math.ceil(coldMs) }
}

function decodeMark ({ backend, startedAt, ageMs, isLeaving, coldMs }: WireMark): BackendMark {
  return { id: backend, startedAt, ageMs, isLeaving, coldMs }
}

function encodeReportedLoad (load: AgedLoad | undefined): WireLoad | undefined {
  if (load === undefined) return undefined
  const { running, waiting, slots, slowdown, ageMs } = load
  return { running, waiting, slots, slowdownPercent: Math.round(slowdown * 100), ageMs: Math.round(ageMs) }
}

function decodeReportedLoad (load: WireLoad | undefined): AgedLoad | undefined {
  if (load === undefined) return undefined
  const { running, waiting, slots, slowdownPercent, ageMs } = load
  return { running, waiting, slots, slowdown: slowdownPercent / 100, ageMs }
}

function encodeColdShare ({ id, startedAt, requests, validMs }: ColdShare): WireColdShare {
  return { backend: id, startedAt, requests, validMs: Math.floor(validMs) }
}

function decodeColdShare ({ backend, startedAt, requests, validMs }: WireColdShare): ColdShare {
  return { id: backend, startedAt, requests, validMs }
}

function encodeMember (member: MemberReport): WireMember {
  const { host, zone, placement, granting, renewed, address = '', processorShare, linkMbps, ageMs } = member
  return { host, zone, placement, granting: encodeGranting(granting), renewed, address, processorMillicores: encodeProcessorShare(processorShare), linkMbps: encodeLink(linkMbps), ageMs }
}

function encodeProcessorShare (cores: number | undefined): number {
  return Math.round((cores ?? 0) * 1000)
}

function encodeLink (mbps: number | undefined): number {
  return mbps === undefined ? 0 : Math.max(1, Math.round(mbps))
}

function decodeLink (mbps: number): Pick<LoadReport, 'linkMbps'> {
  return mbps === 0 ? {} : { linkMbps: mbps }
}

function encodeGranting (granting: LoadReport['granting']): WireGrantingHost | undefined {
  return granting === undefined ? undefined : { ...granting.host, revision: granting.revision }
}

function decodeGranting (granting: WireGrantingHost | undefined): LoadReport['granting'] {
  return granting === undefined ? undefined : { host: { host: granting.host, address: granting.address }, revision: granting.revision }
}

/** Decodes a host's load report. */
export function decodeLoadReport (message: WireReport): LoadReport {
  return {
    host: message.host,
    backends: message.backends.map(entry => ({ id: entry.backend, inFlight: entry.inFlight, answered: entry.answered, serviceMsSum: entry.serviceMsSum, ...(entry.reported === undefined ? {} : { reported: decodeReportedLoad(entry.reported) }) })),
    keys: message.keys,
    placement: decodeVersion(message.placement),
    wantsPlacement: message.wantsPlacement,
    storeRevision: message.storeRevision,
    granting: decodeGranting(message.granting),
    zone: message.zone,
    renewed: message.renewed,
    address: message.address,
    processorShare: message.processorMillicores / 1000,
    ...decodeLink(message.linkMbps),
    hosts: Math.max(1, message.hosts),
    isCollecting: message.isCollecting,
    members: message.members.map(decodeMember),
    ...(message.nextFence === 0 ? {} : { nextFence: message.nextFence }),
    ...(message.marks.length === 0 ? {} : { marks: message.marks.map(decodeMark) })
  }
}

function decodeMember (message: WireMember): MemberReport {
  const { host, zone, renewed, address, processorMillicores, linkMbps, ageMs } = message
  return { host, zone, placement: decodeVersion(message.placement), granting: decodeGranting(message.granting), renewed, address, processorShare: processorMillicores / 1000, ...decodeLink(linkMbps), ageMs }
}

/** Load of one backend server in a view. */
type ViewEntry = FleetLoad['backends'][number]
/** Latest load of each backend server in the views sent over a stream, by id; each end keeps its own copy. */
export type ViewEntries = Map<string, ViewEntry>

/** Number of requests in flight up to which a change by one is not sent: so few are far from any limit. */
const maxIgnoredInFlight = 2
/** Relative change of a service time up to which it is not sent. */
const maxIgnoredServiceTimeChange = 0.06

/** Maximum `storeAgeMs` in a view, in milliseconds: one hour. */
const maxStoreAgeMs = 3_600_000

/** Encodes the fleet's load as changes since the previous view on the same stream; zeros mark a backend server as removed. */
export function encodeFleetLoad (load: FleetLoad, sentEntries: ViewEntries): FleetLoadView {
  const changed: ViewEntry[] = []
  const present = new Set<string>()
  for (const entry of load.backends) {
    present.add(entry.id)
    const before = sentEntries.get(entry.id)
    if (before !== undefined && isNegligibleChange(before, entry)) continue
    sentEntries.set(entry.id, entry)
    changed.push(entry)
  }
  for (const id of sentEntries.keys()) {
    if (present.has(id)) continue
    sentEntries.delete(id)
    changed.push({ id, inFlight: 0, serviceMs: 0, admitShare: 1 })
  }
  return {
    hosts: load.hosts,
    storeRevision: load.storeRevision,
    // The age is infinite until the sender has read the store; one hour exceeds every limit that receivers check.
    storeAgeMs: Math.min(maxStoreAgeMs, Math.ceil(load.storeAgeMs)),
    placement: load.placement,
    renewals: load.renewals,
    renewalsAgeMs: Math.ceil(load.renewalsAgeMs ?? 0),
    connectMs: load.connectMs === undefined ? undefined : Math.floor(load.connectMs),
    loadAgeMs: Math.ceil(load.loadAgeMs ?? 0),
    reporters: load.reporters ?? 0,
    collector: load.collector,
    memberRenewals: load.memberRenewals ?? [],
    marks: (load.marks ?? []).map(encodeMark),
    coldShares: (load.coldShares ?? []).map(encodeColdShare),
    memberColdShares: (load.memberColdShares ?? []).map(({ host, shares }) => ({ host, shares: shares.map(encodeColdShare) })),
    backends: changed.map(entry => ({
      backend: entry.id,
      inFlight: entry.inFlight,
      serviceMs: entry.serviceMs,
      admitPermille: entry.admitShare < 1 ? Math.max(1, Math.round(entry.admitShare * 1000)) : 0,
      reported: encodeReportedLoad(entry.reported)
    }))
  }
}

function isNegligibleChange (before: ViewEntry, entry: ViewEntry): boolean {
  if (before.admitShare !== entry.admitShare || isNewFigure(before.reported, entry.reported)) return false
  const isNegligibleInFlight = Math.max(before.inFlight, entry.inFlight) <= maxIgnoredInFlight && Math.abs(before.inFlight - entry.inFlight) <= 1
  if (before.inFlight !== entry.inFlight && !isNegligibleInFlight) return false
  return Math.abs(before.serviceMs - entry.serviceMs) <= before.serviceMs * maxIgnoredServiceTimeChange
}

/** Whether a figure tells the receiver more than the one sent before: an older one with the same values is the same one, or not worth sending. */
function isNewFigure (before: AgedLoad | undefined, next: AgedLoad | undefined): boolean {
  if (next === undefined) return false
  if (before === undefined || next.ageMs < before.ageMs) return true
  return next.running !== before.running || next.waiting !== before.waiting || next.slowdown !== before.slowdown
}

/** Applies the changes in a view to those received earlier on the stream and returns the fleet's complete load. */
export function decodeFleetLoad (view: FleetLoadView, receivedEntries: ViewEntries): FleetLoad {
  // A figure counts by its age in the view that it came with; it must not look fresh again with the next one.
  for (const [id, { reported, ...entry }] of receivedEntries) {
    if (reported !== undefined) receivedEntries.set(id, entry)
  }
  for (const entry of view.backends) {
    const admitShare = entry.admitPermille === 0 ? 1 : entry.admitPermille / 1000
    if (entry.inFlight === 0 && entry.serviceMs === 0) receivedEntries.delete(entry.backend)
    else receivedEntries.set(entry.backend, { id: entry.backend, inFlight: entry.inFlight, serviceMs: entry.serviceMs, admitShare, ...(entry.reported === undefined ? {} : { reported: decodeReportedLoad(entry.reported) }) })
  }
  return {
    hosts: view.hosts,
    storeRevision: view.storeRevision,
    storeAgeMs: view.storeAgeMs,
    placement: decodeVersion(view.placement),
    backends: [...receivedEntries.values()],
    byId: receivedEntries,
    renewals: view.renewals,
    renewalsAgeMs: view.renewalsAgeMs,
    connectMs: view.connectMs,
    loadAgeMs: view.loadAgeMs,
    reporters: view.reporters === 0 ? view.hosts : view.reporters,
    collector: view.collector,
    memberRenewals: view.memberRenewals,
    ...(view.marks.length === 0 ? {} : { marks: view.marks.map(decodeMark) }),
    ...(view.coldShares.length === 0 ? {} : { coldShares: view.coldShares.map(decodeColdShare) }),
    ...(view.memberColdShares.length === 0 ? {} : { memberColdShares: view.memberColdShares.map(({ host, shares }) => ({ host, shares: shares.map(decodeColdShare) })) })
  }
}

/** Encodes a placement change. */
export function encodePlacementChange (change: PlacementChange): WireChange {
  return {
    base: change.base,
    next: change.next,
    nextFence: change.nextFence,
    ranges: change.changes.map(({ service, range }) => ({
      service,
      from: range.from,
      to: range.to,
      owner: encodeOwner(range.owner),
      fence: range.fence,
      moving: range.phase === 'moving',
      previous: range.previous === undefined ? undefined : encodeOwner(range.previous)
    }))
  }
}

/** Decodes a placement change. */
export function decodePlacementChange (message: WireChange): PlacementChange {
  return {
    base: message.base,
    next: decodeVersion(message.next),
    nextFence: message.nextFence,
    changes: message.ranges.map(entry => ({ service: entry.service, range: decodeRange(entry) }))
  }
}

function decodeRange (entry: ChangedRange): KeyRange {
  return {
    from: entry.from,
    to: entry.to,
    owner: decodeOwner(entry.owner),
    fence: entry.fence,
    phase: entry.moving ? 'moving' : 'held',
    previous: entry.previous === undefined ? undefined : decodeOwner(entry.previous)
  }
}

function encodeOwner (owner: KeyOwner): KeyHolder {
  return { id: owner.id, startedAt: owner.startedAt, address: owner.address }
}

function decodeOwner (owner: KeyHolder | undefined): KeyOwner {
  return { id: owner?.id ?? '', startedAt: owner?.startedAt ?? 0, address: owner?.address ?? '' }
}

function decodeVersion (version: PlacementVersion | undefined): PlacementVersion {
  return version ?? { revision: 0, confirmations: 0 }
}

/** Encodes relayed changes of the store. */
export function encodeStoreChanges (relayed: RelayedChanges): StoreChanges {
  const { from, to, changes, edited, leftOut, present, graceMs } = relayed
  return { from, to, changes: [...changes], edited: edited.map(value => ({ ...value, edits: [...value.edits] })), leftOut: [...leftOut], present: [...present ?? []], isWhole: present !== undefined, graceMs: Math.round(graceMs) }
}

/** Decodes relayed changes of the store. */
export function decodeStoreChanges (message: StoreChanges): RelayedChanges {
  const { from, to, edited, leftOut, present, isWhole, graceMs } = message
  return { from, to, edited, leftOut, present: isWhole ? present : undefined, graceMs, changes: message.changes.map(change => ({ key: change.key, value: change.value, revision: change.revision })) }
}
