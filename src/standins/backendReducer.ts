import type { GrantAnswer, GrantMessage } from '../protocol/grantWire.js'
import type { Step } from '../core/step.js'

/** A request that a simulated backend server executed; times are in milliseconds of the server's monotonic clock. */
export type RunRecord = {
  backend: string
  requestId: string
  /** Host header; identifies the service. */
  host: string
  key: string
  unit: string
  epoch: number
  startedAt: number
  committedAt: number
  bytes: number
}

/** A request as received by a simulated backend server. */
export type BackendRequest = {
  requestId: string
  host: string
  key: string
  unit: string
  epoch: number
  holderEpoch: number
  /** Unix time after which the request must not be started, in milliseconds; 0 for no deadline. */
  deadline: number
  workMs: number
}

/** Faults that can be injected into a simulated backend server. */
export type BackendFaults = {
  /** Whether all events are queued, as in a suspended process. */
  frozen: boolean
  /** Factor by which the execution time of requests is multiplied. */
  slowness: number
  /** Share of the slots that are used before requests are shed, 0 to 1. */
  capacity: number
}

/** State of a simulated backend server. */
export type BackendState = {
  name: string
  boot: string
  checksGrants: boolean
  slots: number
  holderEpoch: number
  set: number
  units: Map<string, number>
  excludes: Set<string>
  notAfter: number
  running: Map<string, { request: BackendRequest, startedAt: number, bytes: number }>
  highestEpochs: Map<string, number>
  records: RunRecord[]
  refused: { shed: number, fenced: number, late: number }
  canceled: number
  faults: BackendFaults
  queuedEvents: BackendEvent[]
}

/** Events of a simulated backend server. `now` is its monotonic clock and `wall` the Unix time, in milliseconds; `id` identifies the caller to answer. */
export type BackendEvent =
  | { kind: 'request', now: number, wall: number, id: string, request: BackendRequest }
  | { kind: 'work-done', now: number, id: string, bytes: number }
  | { kind: 'canceled', now: number, id: string }
  | { kind: 'grant', now: number, id: string, message: GrantMessage }
  | { kind: 'health', now: number, id: string }
  | { kind: 'faults', now: number, wall: number, faults: Partial<BackendFaults> }

/** Effects of a simulated backend server. */
export type BackendEffect =
  | { kind: 'start-work', id: string, workMs: number }
  | { kind: 'reply', id: string, epoch: number }
  | { kind: 'refuse', id: string, reason: 'shed' | 'fenced' | 'late' }
  | { kind: 'reply-grant', id: string, answer: GrantAnswer }
  | { kind: 'reply-health', id: string }

/** Builds the state of a simulated backend server that has just started; `boot` differs for each start. */
export function buildBackendState (name: string, boot: string, checksGrants: boolean, slots: number): BackendState {
  return {
    name,
    boot,
    checksGrants,
    slots,
    holderEpoch: -1,
    set: -1,
    units: new Map(),
    excludes: new Set(),
    notAfter: 0,
    running: new Map(),
    highestEpochs: new Map(),
    records: [],
    refused: { shed: 0, fenced: 0, late: 0 },
    canceled: 0,
    faults: { frozen: false, slowness: 1, capacity: 1 },
    queuedEvents: []
  }
}

/** Applies one event to a simulated backend server. */
export function reduceBackend (state: BackendState, event: BackendEvent): Step<BackendState, BackendEffect> {
  if (event.kind === 'faults') return { state, effects: setFaults(state, event) }
  if (state.faults.frozen) {
    state.queuedEvents.push(event)
    return { state, effects: [] }
  }
  return { state, effects: applyEvent(state, event) }
}

function applyEvent (state: BackendState, event: BackendEvent): BackendEffect[] {
  switch (event.kind) {
    case 'request': return startRequest(state, event)
    case 'work-done': return endWork(state, event)
    case 'canceled': {
      if (state.running.delete(event.id)) state.canceled += 1
      return []
    }
    case 'grant': return [{ kind: 'reply-grant', id: event.id, answer: applyGrant(state, event) }]
    case 'health': return [{ kind: 'reply-health', id: event.id }]
    case 'faults': return []
  }
}

/** When `frozen` is cleared, the queued events are applied with the current time, as in a process that resumes. */
function setFaults (state: BackendState, event: Extract<BackendEvent, { kind: 'faults' }>): BackendEffect[] {
  Object.assign(state.faults, event.faults)
  if (state.faults.frozen) return []
  const events = state.queuedEvents
  state.queuedEvents = []
  return events.flatMap(each => applyEvent(state, { ...each, now: event.now, ...('wall' in each ? { wall: event.wall } : {}) }))
}

function startRequest (state: BackendState, event: Extract<BackendEvent, { kind: 'request' }>): BackendEffect[] {
  const { request } = event
  if (request.deadline > 0 && event.wall > request.deadline) return refuse(state, event.id, 'late')
  if (state.checksGrants && !isGranted(state, request, event.now)) return refuse(state, event.id, 'fenced')
  if (state.running.size >= state.slots * state.faults.capacity) return refuse(state, event.id, 'shed')
  state.running.set(event.id, { request, startedAt: event.now, bytes: 0 })
  return [{ kind: 'start-work', id: event.id, workMs: request.workMs * state.faults.slowness }]
}

function refuse (state: BackendState, id: string, reason: 'shed' | 'fenced' | 'late'): BackendEffect[] {
  state.refused[reason] += 1
  return [{ kind: 'refuse', id, reason }]
}

/** Returns whether an unexpired grant, by the server's own clock, covers the request's unit and key at the request's epoch. `excludes` applies only to hash ranges, whose names begin with `r`. */
function isGranted (state: BackendState, request: BackendRequest, now: number): boolean {
  if (now > state.notAfter) return false
  if (request.holderEpoch < state.holderEpoch) return false
  if (state.units.get(request.unit) !== request.epoch) return false
  return !request.unit.startsWith('r') || !state.excludes.has(request.key)
}

/** Records the request as executed only if the grant still covers it when the work is done. */
function endWork (state: BackendState, event: Extract<BackendEvent, { kind: 'work-done' }>): BackendEffect[] {
  const running = state.running.get(event.id)
  if (running === undefined) return []
  state.running.delete(event.id)
  const { request } = running
  if (state.checksGrants && !isGranted(state, request, event.now)) return refuse(state, event.id, 'fenced')
  state.records.push({
    backend: state.name,
    requestId: request.requestId,
    host: request.host,
    key: request.key,
    unit: request.unit,
    epoch: request.epoch,
    startedAt: running.startedAt,
    committedAt: event.now,
    bytes: event.bytes
  })
  return [{ kind: 'reply', id: event.id, epoch: request.epoch }]
}

function applyGrant (state: BackendState, event: Extract<BackendEvent, { kind: 'grant' }>): GrantAnswer {
  const { message } = event
  const answer = (result: GrantAnswer['result']): GrantAnswer => ({ result, boot: state.boot, clock: event.now, set: state.set })
  if (message.boot !== state.boot || message.notAfter === 0) return answer('unknown-set')
  if (message.holderEpoch < state.holderEpoch) return answer('superseded')
  const isSameHolder = message.holderEpoch === state.holderEpoch
  if (isSameHolder && message.set < state.set) return answer('superseded')
  if (message.units !== undefined) applyUnits(state, message)
  else if (!isSameHolder || message.set !== state.set) return answer('unknown-set')
  state.notAfter = Math.max(state.notAfter, message.notAfter)
  return answer('accepted')
}

/** Replaces the granted units; a unit is left out if a higher epoch of it was granted before. */
function applyUnits (state: BackendState, message: GrantMessage): void {
  state.holderEpoch = message.holderEpoch
  state.set = message.set
  state.units = new Map()
  state.excludes = new Set(message.excludes ?? [])
  for (const [unit, epoch] of message.units ?? []) {
    if (epoch < (state.highestEpochs.get(unit) ?? 0)) continue
    state.highestEpochs.set(unit, epoch)
    state.units.set(unit, epoch)
  }
}
