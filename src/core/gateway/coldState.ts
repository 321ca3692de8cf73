import type { BackendMark } from './events.js'
import type { BackendRegistration } from './model.js'
import type { Backend, GatewayState, GatewayWork } from './state.js'
import { isLimitedByCold } from './coldAdmission.js'

/** Time for which a registration may be older than what answers of the server said, in milliseconds: two heartbeats of 0.87 s, and the relay. */
const registrationAgeMs = 2200

/** Applies for how much longer a known instance is slow, by a later registration: it may have become cold again, or be warm sooner. */
export function applyStatedSlowness (work: GatewayWork, known: Backend, { slowForMs, report }: Pick<BackendRegistration, 'slowForMs' | 'report'>): void {
  const { state } = work
  // The same report, read once more, would extend the time by its own age.
  if (report !== undefined && report === known.report) return
  const wasCold = isLimitedByCold(state, known)
  const statedUntil = state.now + slowForMs
  known.slowUntil = state.now < known.slowAtLeastUntil ? Math.max(known.slowUntil, statedUntil) : statedUntil
  if (!wasCold) recordColdStart(work, known)
}

/** Applies what answers to other hosts said on cold servers. */
export function applyColdMarks (work: GatewayWork, marks: readonly BackendMark[] | undefined): void {
  for (const { id, startedAt, ageMs, coldMs } of marks ?? []) {
    const backend = work.state.backends.get(id)
    if (backend !== undefined && backend.startedAt === startedAt && coldMs > ageMs) addSlowness(work, backend, coldMs - ageMs)
  }
}

/** Treats the servers of an availability zone whose evacuation has ended as cold: they may have restarted meanwhile. A registration ends this once it must have been written after the return. */
export function applyZoneReturn (work: GatewayWork, zone: string): void {
  const { state } = work
  for (const backend of state.backends.values()) {
    const service = state.configuration?.services.get(backend.service)
    if (backend.zone !== zone || service?.coldRequestsPerSecond === undefined) continue
    addSlowness(work, backend, Math.max(registrationAgeMs, service.coldStartMs ?? 0))
  }
}

function addSlowness (work: GatewayWork, backend: Backend, forMs: number): void {
  const { state } = work
  const wasCold = isLimitedByCold(state, backend)
  backend.slowUntil = Math.max(backend.slowUntil, state.now + forMs)
  backend.slowAtLeastUntil = Math.max(backend.slowAtLeastUntil, state.now + Math.min(forMs, registrationAgeMs))
  if (!wasCold) recordColdStart(work, backend)
}

/** Logs that a server is cold, if its service limits the requests that it may get. */
export function recordColdStart ({ state, effects }: GatewayWork, backend: Backend): void {
  if (!isLimitedByCold(state, backend)) return
  effects.push({ kind: 'log', event: 'backendCold', fields: { backend: backend.id, service: backend.service, forMs: Math.round(computeSlowForMs(state, backend)) } })
}

function computeSlowForMs (state: GatewayState, backend: Backend): number {
  return Math.max(0, backend.slowUntil - state.now)
}
