import type { Admission } from './admission.js'
import type { Ineligibility } from './backendEligibility.js'
import type { Backend, GatewayRequest, GatewayState } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { estimateInFlight } from './admission.js'
import { checkEligibility } from './backendEligibility.js'
import { listHeldBackZones } from './evacuation.js'
import { computeJoiningDiscountMs } from './coldAdmission.js'

/** Cost of a backend server in another availability zone, as milliseconds of waiting: traffic between zones is billed by volume. */
const crossZoneMs = 50
/** Cost of a backend server in another region, as milliseconds of waiting: the round trip and the billed traffic. */
const crossRegionMs = 130
/** Additional cost for each 10 kB of request body sent to another zone, in milliseconds. */
const crossBytesMs = 40
/** Share of the time to a request's target within which a faster answer hardly matters. */
const earlyShare = 0.6
/** Weight of the expected time within that share. */
const earlyWeight = 0.25
/** Weight of the expected time beyond that share. */
const lateWeight = 2
/** Weight of the occupancy of a backend server's slots: servers slow down as they fill up. */
const occupancyWeight = 0.5
/** Random part of the cost, in milliseconds; keeps hosts from all choosing the same backend server between two load exchanges. */
const jitterMs = 8

/** Number of hosts in the fleet from which each one chooses among samples. With the figures of a large fleet, all hosts would choose the same few backend servers at once. */
const sampledFromHosts = 25
/** Number of backend servers sampled in the own availability zone, in the rest of the region, and elsewhere. */
const samplesPerDistance = 3

/** Decides whether a request may be sent to a backend server. */
export type AdmitRequest = (state: GatewayState, request: GatewayRequest, backend: Backend) => Admission

/** The backend server for a request, or why there is none. `excluded`: why the request must not be sent to those that could be reached. */
export type BackendChoice = { kind: 'chosen', backend: Backend } | { kind: 'full', refusing: Backend[], waitMs: number } | { kind: 'none', excluded?: Ineligibility | undefined }

/** Chooses among backend servers that can all serve the request: the one with the lowest cost in expected time and distance. Avoided servers are used only when there are no others. */
export function chooseBackend (state: GatewayState, request: GatewayRequest, admit: AdmitRequest): BackendChoice {
  const usable: Backend[] = []
  const avoided: Backend[] = []
  let excluded: Ineligibility | undefined
  const heldBackZones = listHeldBackZones(state, request)
  for (const id of state.backendsByService.get(request.service) ?? []) {
    const backend = state.backends.get(id)
    if (backend === undefined || !isUsable(backend) || request.tried.includes(id)) continue
    const eligibility = checkEligibility(state, request, backend)
    if (eligibility.kind === 'ineligible') {
      if (excluded === undefined || eligibility.waitMs < excluded.waitMs) excluded = eligibility
      continue
    }
    const list = backend.avoidUntil > state.now || heldBackZones.has(backend.zone) ? avoided : usable
    list.push(backend)
  }
  if (state.hosts >= sampledFromHosts) {
    const choice = chooseLowestCost(state, request, listSamples(state, usable), admit)
    if (choice.kind === 'chosen') return choice
  }
  const choice = chooseLowestCost(state, request, usable, admit)
  if (choice.kind !== 'none') return choice
  const lastResort = chooseLowestCost(state, request, avoided, admit)
  return lastResort.kind === 'none' ? { kind: 'none', excluded } : lastResort
}

function chooseLowestCost (state: GatewayState, request: GatewayRequest, backends: readonly Backend[], admit: AdmitRequest): BackendChoice {
  let best: Backend | undefined
  let bestCost = Infinity
  let shortestWaitMs = Infinity
  const refusing: Backend[] = []
  for (const backend of backends) {
    const admission = admit(state, request, backend)
    if (admission.kind === 'refuse') {
      shortestWaitMs = Math.min(shortestWaitMs, admission.waitMs)
      refusing.push(backend)
      continue
    }
    const cost = computeTimeCost(state, request, backend, admission.expectedMs) + computeDistanceMs(state, request, backend) + uniformFloat64(state.random) * jitterMs - computeColdDiscountMs(state, request, backend, admission.expectedMs)
    if (cost >= bestCost) continue
    best = backend
    bestCost = cost
  }
  if (best !== undefined) return { kind: 'chosen', backend: best }
  return shortestWaitMs < Infinity ? { kind: 'full', refusing, waitMs: shortestWaitMs } : { kind: 'none' }
}

/** Samples backend servers at each distance, each with the same probability. */
function listSamples (state: GatewayState, backends: readonly Backend[]): Backend[] {
  const samples: Backend[][] = [[], [], []]
  const seen = [0, 0, 0]
  for (const backend of backends) {
    const distance = computeDistance(state, backend)
    const sample = samples[distance] ?? []
    const count = (seen[distance] ?? 0) + 1
    seen[distance] = count
    if (sample.length < samplesPerDistance) {
      sample.push(backend)
      continue
    }
    const index = Math.floor(uniformFloat64(state.random) * count)
    if (index < samplesPerDistance) sample[index] = backend
  }
  return samples.flat()
}

/** Computes the distance of a backend server: 0 in the own availability zone, 1 in the rest of the region, 2 elsewhere. */
function computeDistance ({ identity }: GatewayState, backend: Backend): 0 | 1 | 2 {
  if (backend.zone === identity.zone) return 0
  return identity.regionOf.get(backend.zone) === identity.region ? 1 : 2
}

/** Whether a backend server may be chosen for requests that any server of its service can run. */
export function isUsable (backend: Backend): boolean {
  return !backend.leaving
}

/** Computes the cost of the expected time: low while the answer comes well before the target, high close to the target and beyond it. */
function computeTimeCost (state: GatewayState, request: GatewayRequest, backend: Backend, expectedMs: number): number {
  const occupancyFactor = 1 + occupancyWeight * estimateInFlight(state, backend) / backend.slots
  const costMs = expectedMs * occupancyFactor
  const earlyMs = Math.max(0, request.targetAt - state.now) * earlyShare
  return Math.min(costMs, earlyMs) * earlyWeight + Math.max(0, costMs - earlyMs) * lateWeight
}

/** Computes by how much the cost of a cold server nearby is reduced if it can answer within the target, in milliseconds of waiting. */
function computeColdDiscountMs (state: GatewayState, request: GatewayRequest, backend: Backend, expectedMs: number): number {
  if (computeDistance(state, backend) === 2 || state.now + expectedMs > request.targetAt) return 0
  return computeJoiningDiscountMs(state, backend)
}

function computeDistanceMs (state: GatewayState, request: GatewayRequest, backend: Backend): number {
  const distance = computeDistance(state, backend)
  if (distance === 0) return 0
  const bytesMs = request.bodyBytes / 10_000 * crossBytesMs
  return (distance === 1 ? crossZoneMs : crossRegionMs) + bytesMs
}
