import type { Unit } from '../domain/assignment.js'
import type { InFlightRequest } from '../domain/control.js'
import type { BackendServer, Service, TeamDocument } from '../domain/document.js'
import type { BackendState, EgressRequest, RouterState } from './routerState.js'
import { listUnits } from '../domain/assignment.js'
import { buildByRank, ranks } from '../domain/rank.js'
import { grantMarginMs, grantTtlMs, wallClockSkewMs } from '../limits.js'
import { findUnit, formatBackendId, isUnmovedOverride, resolveHolder } from './ownership.js'

/** Unit name for requests in flight whose units are not known. */
export const anyUnit = '*'

/** Mean slot time assumed for a rank before any of its requests has ended, in milliseconds. */
const initialMeanBusyMs = 5

/** Epoch of the first holder of a backend server, before which no router sent it requests. */
const firstHolderEpoch = 1

/** Computes the longest deadline over the ranks of a team, in milliseconds. */
export function computeLongestDeadline (team: TeamDocument): number {
  return Math.max(...ranks.map(rank => team.ranks[rank].deadlineMs))
}

/**
 * Builds the state of a backend server that this router starts to hold. A grant of an earlier
 * holder may still be valid and its requests may still run, so both are assumed.
 */
export function buildBackendState (
  state: RouterState,
  service: Service,
  team: TeamDocument,
  server: BackendServer
): BackendState {
  return {
    service: service.name,
    server,
    checksGrants: service.checksGrants,
    isHeld: false,
    holderEpoch: 0,
    status: 'unknown',
    lastReplyAt: state.now,
    consecutiveRefusals: 0,
    isSuspected: false,
    nextGrantAt: 0,
    nextMoveAt: 0,
    readySince: 0,
    grant: {
      boot: undefined,
      clock: 0,
      sentAt: 0,
      repliedAt: 0,
      set: 0,
      ackedSet: -1,
      units: new Map(),
      excludes: [],
      ackedUnits: new Map(),
      usableUntil: 0,
      fenceUntil: state.now + grantTtlMs + grantMarginMs,
      isStale: true
    },
    limit: server.slots,
    shedLimit: server.slots,
    queues: buildByRank(() => []),
    pending: [],
    isRecheckDue: false,
    inFlight: new Map(),
    inFlightByRank: buildByRank(() => 0),
    dispatchedAtSum: buildByRank(() => 0),
    inheritedRequests: [],
    inheritedUnknownUntil: state.now + computeLongestDeadline(team) + wallClockSkewMs,
    busyMs: buildByRank(() => 0),
    meanBusyMs: buildByRank(() => initialMeanBusyMs),
    lastArrivalAt: buildByRank(() => -Infinity),
    busyDecayedAt: state.now
  }
}

/** Records the requests that an earlier holder left in flight. */
export function addInheritedRequests (state: RouterState, backend: BackendState, entries: readonly InFlightRequest[]): void {
  backend.inheritedUnknownUntil = state.now
  for (const entry of entries) {
    const until = state.now + entry.deadlineMs + wallClockSkewMs
    if (entry.unit === anyUnit) {
      backend.inheritedUnknownUntil = Math.max(backend.inheritedUnknownUntil, until)
      continue
    }
    backend.inheritedRequests.push({ unit: entry.unit, key: entry.key, until })
  }
}

/** Lists the requests that may still run at a backend server, for its next holder. */
export function listInFlight (state: RouterState, backend: BackendState): InFlightRequest[] {
  const entries: InFlightRequest[] = []
  for (const request of backend.inFlight.values()) {
    entries.push(buildInFlightRequest(backend, request.unit, request.key, request.deadlineAt - state.now))
  }
  for (const inherited of backend.inheritedRequests) {
    entries.push(buildInFlightRequest(backend, inherited.unit, inherited.key, inherited.until - state.now))
  }
  if (backend.inheritedUnknownUntil > state.now) {
    entries.push(buildInFlightRequest(backend, anyUnit, '', backend.inheritedUnknownUntil - state.now))
  }
  return entries
}

function buildInFlightRequest (backend: BackendState, unit: Unit, key: string, deadlineMs: number): InFlightRequest {
  const id = formatBackendId(backend.service, backend.server.name)
  return { backend: id, unit, key, deadlineMs: Math.max(0, Math.ceil(deadlineMs)) }
}

/** Lists the units that a backend server owns according to this router's records and journal, with their epochs. */
export function listOwnedUnits (state: RouterState, service: string, backend: string): Array<[Unit, number]> {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return []
  const owned: Array<[Unit, number]> = []
  for (const [unit] of listUnits(assignment)) {
    const entry = findUnit(state, assignment, unit, false)
    if (entry === undefined || entry.owner !== backend) continue
    if (unit.startsWith('k') && isUnmovedOverride(entry)) continue
    owned.push([unit, entry.epoch])
  }
  return owned
}

/** Lists the single keys that have moved to other backend servers, so that a grant of their range excludes them. */
export function listExcludedKeys (state: RouterState, service: string, backend: string): string[] {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return []
  const keys: string[] = []
  for (const key of assignment.keys.keys()) {
    const entry = findUnit(state, assignment, `k${key}`, false)
    if (entry === undefined || entry.owner === backend || isUnmovedOverride(entry)) continue
    keys.push(key)
  }
  return keys
}

/** Recomputes which backend servers this router holds, after a change of the records, the journal or the lease. */
export function updateHoldings (state: RouterState): void {
  for (const { service, team } of state.services.values()) {
    for (const server of service.backends) updateHolding(state, service, team, server)
  }
}

function updateHolding (state: RouterState, service: Service, team: TeamDocument, server: BackendServer): void {
  const id = formatBackendId(service.name, server.name)
  const holder = resolveHolder(state, service.name, server.name)
  const existing = state.backends.get(id)
  if (holder === undefined || holder.router !== state.self) {
    if (existing !== undefined) existing.isHeld = false
    return
  }
  const backend = existing?.isHeld === true ? existing : buildBackendState(state, service, team, server)
  if (existing === undefined && holder.epoch === firstHolderEpoch) backend.inheritedUnknownUntil = state.now
  if (existing !== undefined && backend !== existing) keepRequests(backend, existing)
  backend.server = server
  backend.checksGrants = service.checksGrants
  backend.isHeld = true
  backend.grant.isStale = true
  backend.holderEpoch = holder.epoch
  state.backends.set(id, backend)
}

/** Keeps the requests of a backend server that this router holds again before they have ended. */
function keepRequests (backend: BackendState, earlier: BackendState): void {
  backend.inFlight = earlier.inFlight
  backend.inFlightByRank = earlier.inFlightByRank
  backend.dispatchedAtSum = earlier.dispatchedAtSum
  backend.pending = earlier.pending
  backend.queues = earlier.queues
}

/** Returns whether a request belongs to a unit, directly or through its key. */
export function isForUnit (request: { unit: Unit, key: string }, unit: Unit): boolean {
  if (request.unit === unit) return true
  return unit === `k${request.key}`
}

/** Lists the pending and queued requests of a backend server. */
export function listWaiting (backend: BackendState): EgressRequest[] {
  return [...backend.pending, ...ranks.flatMap(rank => backend.queues[rank])]
}
