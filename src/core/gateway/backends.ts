import type { BackendRegistration } from './model.js'
import type { Backend, GatewayState, GatewayWork } from './state.js'
import { applyStatedSlowness, recordColdStart } from './coldState.js'
import { recordChangeLag } from './changeLags.js'
import { resetReleaseBackoff } from './ownerAvailability.js'
import { applyMark, computeWrittenAfter, findMark } from './leavingMarks.js'
import { buildSignalState } from './signalState.js'
import { computeKnownAsOf } from './storeFreshness.js'
import { assumedServiceMs, defaultDrainMs, expiryGraceMs, maxRemovedReports, drainSendShare } from './limits.js'

/** Applies a registration of a backend server; a new instance of the server replaces the known one and starts without measurements. */
export function applyRegistration (work: GatewayWork, read: BackendRegistration): void {
  const { state } = work
  if (isOutdated(state, read)) {
    work.effects.push({ kind: 'log', event: 'backendReportIgnored', fields: { backend: read.id, startedAt: read.startedAt, report: read.report, leaving: read.leaving } })
    return
  }
  const registration = applyMark(state, read)
  recordLatestReport(state, registration)
  const known = state.backends.get(registration.id)
  const isSameInstance = known !== undefined && known.startedAt === registration.startedAt && known.address === registration.address
  if (!isSameInstance) {
    if (known !== undefined) removeBackend(work, registration.id)
    addBackend(work, registration)
    return
  }
  if (!registration.leaving && known.leaving) {
    const leftForMs = Math.round(state.now - (known.leavingSince ?? state.now))
    work.effects.push({ kind: 'log', event: 'backendReturned', fields: { backend: known.id, service: known.service, leftForMs } })
  }
  if (registration.leaving && !known.leaving) {
    const lagMs = recordChangeLag(work, 'leaving', known.id)
    boundConnectionWait(work, known, computeEarliestLeavingAt(state))
    work.effects.push({ kind: 'log', event: 'backendLeft', fields: { backend: known.id, service: known.service, how: 'leaving', lagMs } })
  }
  if (registration.service !== known.service) {
    state.backendsByService.get(known.service)?.delete(known.id)
    addToService(work, registration.service, known.id)
  }
  applyStatedSlowness(work, known, registration)
  Object.assign(known, registration)
  state.expiredRegistrations.delete(known.id)
  known.leavingSince = registration.leaving ? known.leavingSince ?? computeEarliestLeavingAt(state) : undefined
  if (!registration.leaving) known.readyAsOf = computeWrittenAfter(state)
}

/** Applies that a backend server said in an answer at time `since`, or before, that it is leaving, as if its registration said so. */
export function applyLeaving (work: GatewayWork, backend: Backend, since: number): void {
  const leavingSince = Math.min(since, backend.leavingSince ?? since)
  if (backend.leaving && backend.leavingSince === leavingSince) return
  backend.leaving = true
  backend.leavingSince = leavingSince
  boundConnectionWait(work, backend, leavingSince)
}

/** Computes the earliest time at which a backend server that this host now learns is leaving may have begun to leave: it was not leaving when the store was last known. */
function computeEarliestLeavingAt (state: GatewayState): number {
  const asOf = computeKnownAsOf(state, 'leaving')
  return asOf === -Infinity ? state.now : Math.min(state.now, asOf)
}

/** Computes until when a leaving owner is sent requests for its keys. */
export function computeLastSendAt (state: GatewayState, leavingSince: number): number {
  return leavingSince + (state.identity.drainMs ?? defaultDrainMs) * drainSendShare
}

/** Bounds how long requests may wait for a connection to a leaving backend server; an owner still gets requests for a while, as its keys may have no other owner yet. */
function boundConnectionWait (work: GatewayWork, { id, service }: Backend, leavingSince: number): void {
  const { state } = work
  const isOwner = state.configuration?.services.get(service)?.sharded === true
  const withinMs = isOwner ? Math.max(0, computeLastSendAt(state, leavingSince) - state.now) : 0
  work.effects.push({ kind: 'bound-opening', backend: id, withinMs })
}

/** Whether a later report of the same backend server is known: the store may carry out a write seconds after newer ones. */
function isOutdated (state: GatewayState, { id, startedAt, report }: BackendRegistration): boolean {
  const latest = state.latestReports.get(id)
  if (latest === undefined || startedAt > latest.startedAt) return false
  return startedAt < latest.startedAt || (report !== undefined && latest.report !== undefined && report < latest.report)
}

/** Records the latest report of each backend server; it is kept for a while after the server is removed. */
function recordLatestReport (state: GatewayState, { id, startedAt, report }: BackendRegistration): void {
  state.latestReports.delete(id)
  state.latestReports.set(id, { startedAt, report })
  if (state.latestReports.size <= state.backends.size + maxRemovedReports) return
  for (const oldest of state.latestReports.keys()) {
    if (state.backends.has(oldest)) continue
    state.latestReports.delete(oldest)
    return
  }
}

function addBackend (work: GatewayWork, registration: BackendRegistration): void {
  const { state } = work
  const backend: Backend = {
    ...registration,
    slowUntil: state.now + registration.slowForMs,
    slowAtLeastUntil: -Infinity,
    ...buildSignalState(),
    readyAsOf: registration.leaving ? -Infinity : computeWrittenAfter(state),
    leavingSince: registration.leaving ? findMark(state, registration)?.since ?? computeEarliestLeavingAt(state) : undefined,
    inFlight: 0,
    othersInFlight: 0,
    shortage: undefined,
    inFlightAtReport: 0,
    serviceMs: state.placement?.memory.serviceMs.get(registration.id) ?? computeMeanServiceMs(work, registration.service),
    sampleCount: 0,
    avoidUntil: 0,
    admitShare: 1,
    fleetServiceMs: 0,
    noReuseUntil: 0,
    answeredSinceReport: 0,
    serviceMsSinceReport: 0
  }
  state.backends.set(backend.id, backend)
  recordColdStart(work, backend)
  addToService(work, backend.service, backend.id)
  const atAddress = state.backendsByAddress.get(backend.address) ?? new Set<string>()
  state.backendsByAddress.set(backend.address, atAddress.add(backend.id))
  state.listedAt.set(backend.service, state.now)
  resetReleaseBackoff(state, backend.address)
  work.effects.push({
    kind: 'log',
    event: 'backendListed',
    fields: { backend: backend.id, service: backend.service, address: backend.address, zone: backend.zone, leaving: backend.leaving, startedAt: backend.startedAt }
  })
}

function addToService (work: GatewayWork, service: string, id: string): void {
  const ids = work.state.backendsByService.get(service) ?? new Set<string>()
  work.state.backendsByService.set(service, ids.add(id))
}

/** Computes the mean service time of a service's backend servers, as the estimate for a server without measurements. */
function computeMeanServiceMs (work: GatewayWork, service: string): number {
  let sum = 0
  let count = 0
  for (const id of work.state.backendsByService.get(service) ?? []) {
    const backend = work.state.backends.get(id)
    if (backend === undefined || backend.sampleCount === 0) continue
    sum += backend.serviceMs
    count += 1
  }
  return count === 0 ? assumedServiceMs : sum / count
}

/** Computes how much longer registrations that expired in a store outage may be renewed before their backend servers are removed, in milliseconds. */
export function computeExpiryGraceMs (state: GatewayState): number {
  return Math.max(0, state.storeRegainedAt + expiryGraceMs - state.now)
}

/** Applies the end of a registration: at once, or after a grace period when it may merely have expired in a store outage. */
export function applyDeregistration (work: GatewayWork, id: string, relayedGraceMs: number | undefined): void {
  const { state } = work
  const backend = state.backends.get(id)
  if (backend === undefined) return
  const graceEnd = state.now + (relayedGraceMs ?? computeExpiryGraceMs(state))
  if (state.now >= graceEnd || backend.leaving) return removeDeregistered(work, id)
  state.expiredRegistrations.set(id, graceEnd)
}

/** Removes the backend servers whose expired registrations were not renewed within the grace period. */
export function removeExpiredBackends (work: GatewayWork): void {
  for (const [id, at] of work.state.expiredRegistrations) {
    if (work.state.now < at) continue
    work.state.expiredRegistrations.delete(id)
    removeBackend(work, id)
  }
}

/** Removes a backend server whose registration ended without a grace period. */
function removeDeregistered (work: GatewayWork, id: string): void {
  const lagMs = recordChangeLag(work, 'gone', id)
  removeBackend(work, id, lagMs)
}

/** Removes a backend server; requests in flight there continue. */
export function removeBackend (work: GatewayWork, id: string, lagMs?: number): void {
  const { state } = work
  const backend = state.backends.get(id)
  if (backend === undefined) return
  state.backends.delete(id)
  state.expiredRegistrations.delete(id)
  state.backendsByService.get(backend.service)?.delete(id)
  removeFromAddress(state, backend)
  work.effects.push({ kind: 'close-backend', backend: id })
  work.effects.push({ kind: 'bound-opening', backend: id, withinMs: 0 })
  work.effects.push({ kind: 'log', event: 'backendLeft', fields: { backend: id, service: backend.service, how: 'gone', lagMs } })
}

function removeFromAddress (state: GatewayState, { id, address }: Backend): void {
  const atAddress = state.backendsByAddress.get(address)
  atAddress?.delete(id)
  if (atAddress?.size === 0) state.backendsByAddress.delete(address)
}
