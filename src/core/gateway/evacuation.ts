import type { GatewayEvent } from './events.js'
import type { KeyOwner } from './model.js'
import type { Backend, GatewayRequest, GatewayState, GatewayWork } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { recordChangeLag } from './changeLags.js'
import { applyZoneReturn } from './coldState.js'
import { computeKnownAsOf } from './storeFreshness.js'

/** Evacuation of an availability zone, as this host knows it. */
export type Evacuation = {
  /** Earliest time at which operators may have asked for it; `-Infinity` if they may have done so at any time before this host first read the store. */
  since: number
  /** When this host learned of it. */
  learnedAt: number
  /** Whether owners of keys in the zone no longer get requests. */
  isClosed: boolean
  /** Whether no key of the known placement is owned in the zone any more. */
  isComplete: boolean
  /** When it is next checked whether that is so. */
  checkAt: number
}

/** Evacuations that are in force, and the ends of recent ones, by availability zone. */
export type Evacuations = { zones: Map<string, Evacuation>, endedAt: Map<string, number> }

/** Time within which no request may reach an evacuated zone, unless the settings specify another, in milliseconds. */
const defaultEvacuationMs = 5000
/** Share of that time during which owners in the zone still get requests for their keys; the rest covers requests that wait for a connection, retransmissions, and the age of clocks and ticks. */
const ownerSendShare = 0.5
/** Time between two checks whether keys are still owned in an evacuated zone, in milliseconds: each check goes through all key ranges. */
const completionCheckMs = 200
/** Time after which a caller may retry when the servers that could serve its request are in evacuated zones, in milliseconds: a service that has other servers gets its keys moved in this time. */
export const evacuationRetryMs = 2000
/** Time in which the share of a zone that is no longer evacuated grows to the usual one, in milliseconds: its servers' caches fill with the first requests, and their answers become slower meanwhile. */
export const returnGrowthMs = 8000

const none: ReadonlySet<string> = new Set()

/** Builds the state of a host that knows of no evacuation. */
export function buildEvacuations (): Evacuations {
  return { zones: new Map(), endedAt: new Map() }
}

/** Whether a backend server is in an availability zone that operators evacuate. */
export function isEvacuated ({ evacuations }: GatewayState, backend: Pick<Backend, 'zone'> | undefined): boolean {
  return backend !== undefined && evacuations.zones.has(backend.zone)
}

/**
 * Whether an evacuation keeps a request from a backend server: at once if any server of the service can run the request, and
 * for the owner of its key once the part of the bound is over in which keys are moved away.
 */
export function isBarredByEvacuation (state: GatewayState, request: GatewayRequest, backend: Backend): boolean {
  const evacuation = state.evacuations.zones.get(backend.zone)
  if (evacuation === undefined) return false
  if (request.key === undefined || !isSharded(state, request.service)) return true
  return evacuation.isClosed || state.reducedAt > computeLastOwnerSendAt(state, evacuation)
}

/** Computes until when owners in an evacuated zone get requests for their keys. */
function computeLastOwnerSendAt ({ identity }: GatewayState, { since }: Evacuation): number {
  return since + (identity.evacuationMs ?? defaultEvacuationMs) * ownerSendShare
}

function isSharded ({ configuration }: GatewayState, service: string): boolean {
  return configuration?.services.get(service)?.sharded === true
}

function listBackends (state: GatewayState, zone: string): Backend[] {
  return [...state.backends.values()].filter(backend => backend.zone === zone)
}

/** Applies the begin or the end of an evacuation; what is known already changes nothing. */
export function applyEvacuation (work: GatewayWork, { zone, isRequested }: Extract<GatewayEvent, { kind: 'evacuation-read' }>): void {
  const known = work.state.evacuations.zones.get(zone)
  if (isRequested && known === undefined) startEvacuation(work, zone)
  if (!isRequested && known !== undefined) endEvacuation(work, zone, known)
}

function startEvacuation (work: GatewayWork, zone: string): void {
  const { state } = work
  const since = Math.min(state.now, computeKnownAsOf(state, 'evacuation'))
  const evacuation: Evacuation = { since, learnedAt: state.now, isClosed: false, isComplete: false, checkAt: state.now }
  state.evacuations.zones.set(zone, evacuation)
  state.evacuations.endedAt.delete(zone)
  const lagMs = recordChangeLag(work, 'evacuation', zone)
  const backends = listBackends(state, zone)
  const ownerMs = Math.max(0, computeLastOwnerSendAt(state, evacuation) - state.reducedAt)
  // Requests that were given to a server of the zone before may still wait for a connection to it.
  for (const backend of backends) work.effects.push({ kind: 'bound-opening', backend: backend.id, withinMs: isSharded(state, backend.service) ? ownerMs : 0 })
  // The keys of the zone are planned for in the next tick.
  state.granting.balanceAt = Math.min(state.granting.balanceAt, state.now)
  work.effects.push({ kind: 'log', event: 'evacuationStarted', fields: { zone, servers: backends.length, lagMs, ownersForMs: Math.round(ownerMs) } })
}

function endEvacuation (work: GatewayWork, zone: string, { learnedAt, isComplete }: Evacuation): void {
  const { state } = work
  state.evacuations.zones.delete(zone)
  state.evacuations.endedAt.set(zone, state.now)
  // Whether the servers are still warm is not known here, so each of them counts as cold.
  applyZoneReturn(work, zone)
  for (const backend of listBackends(state, zone)) {
    const service = state.configuration?.services.get(backend.service)
    if (service?.coldRequestsPerSecond === undefined) backend.slowUntil = Math.max(backend.slowUntil, state.now + (service?.coldStartMs ?? returnGrowthMs))
  }
  work.effects.push({ kind: 'log', event: 'evacuationEnded', fields: { zone, forMs: Math.round(state.now - learnedAt), isComplete } })
}

/** Advances the evacuations with time: closes owners, notices completed moves and drops the ends of earlier evacuations. */
export function advanceEvacuations (work: GatewayWork): void {
  const { state } = work
  for (const [zone, evacuation] of state.evacuations.zones) {
    closeOwners(work, zone, evacuation)
    checkCompletion(work, zone, evacuation)
  }
  for (const [zone, at] of state.evacuations.endedAt) {
    if (state.now - at >= returnGrowthMs) state.evacuations.endedAt.delete(zone)
  }
}

/** Ends the waits for connections to the owners in a zone once they get no more requests. */
function closeOwners (work: GatewayWork, zone: string, evacuation: Evacuation): void {
  const { state } = work
  if (evacuation.isClosed || state.reducedAt <= computeLastOwnerSendAt(state, evacuation)) return
  evacuation.isClosed = true
  for (const backend of listBackends(state, zone)) work.effects.push({ kind: 'bound-opening', backend: backend.id, withinMs: 0 })
}

function checkCompletion (work: GatewayWork, zone: string, evacuation: Evacuation): void {
  const { state } = work
  if (evacuation.isComplete || state.now < evacuation.checkAt) return
  evacuation.checkAt = state.now + completionCheckMs
  const isInZone = (owner: KeyOwner | undefined) => owner !== undefined && state.backends.get(owner.id)?.zone === zone
  for (const ranges of state.placement?.services.values() ?? []) {
    if (ranges.some(range => isInZone(range.owner) || isInZone(range.previous))) return
  }
  evacuation.isComplete = true
  work.effects.push({ kind: 'log', event: 'evacuationComplete', fields: { zone, ms: Math.round(state.now - evacuation.learnedAt), placement: state.placementVersion.revision } })
}

/** Computes the share of requests for which a zone is considered, from 0 when its evacuation ends to 1. It grows with the square of the time, since most requests may prefer the idle servers of the zone. */
export function computeReturnShare (sinceEndMs: number): number {
  return Math.min(1, Math.max(0, sinceEndMs / returnGrowthMs)) ** 2
}

/**
 * Draws the availability zones that this request uses only as a last resort, because their evacuation ended a short time ago.
 * Load answered: the requests of all hosts for servers that have just become the least loaded ones. One draw holds for all
 * servers of a zone, since with a draw for each server nearly every request would find one. Servers with a limit for the
 * time in which they are cold need no such growth.
 */
export function listHeldBackZones (state: GatewayState, request: GatewayRequest): ReadonlySet<string> {
  const { endedAt } = state.evacuations
  if (endedAt.size === 0 || state.configuration?.services.get(request.service)?.coldRequestsPerSecond !== undefined) return none
  const draw = uniformFloat64(state.random)
  return new Set([...endedAt].filter(([, at]) => draw >= computeReturnShare(state.now - at)).map(([zone]) => zone))
}
