import type { GrantOutcome } from '../../src/core/gateway/events.js'
import type { BackendRegistration } from '../../src/core/gateway/model.js'
import type { EventQueue } from '../eventQueue.js'
import { scheduleIn } from '../eventQueue.js'

type HeldGrant = { from: number, to: number, fence: number, expiresAt: number }
type Work = { key: number | undefined, ms: number, done: (status: 'ran' | 'not-run' | 'fenced') => void, isCanceled: boolean }

/** Whether a backend server answers: silent ones never do, refusing ones refuse connections. */
export type VirtualBackendState = 'up' | 'silent' | 'refusing'

/** A backend server in virtual time, with slots, a queue and grants with fencing tokens. */
export type VirtualBackend = {
  registration: BackendRegistration
  state: VirtualBackendState
  /** Number of its process, which a restart in place changes. */
  process: number
  /** Factor on the service time. */
  slowness: number
  /** Factor on the service time at this moment, in addition; 1 without noise on its machine. */
  noise: number
  /** Share of requests that it sheds although it could run them. */
  shedShare: number
  grants: HeldGrant[]
  seenFences: Array<{ from: number, to: number, fence: number }>
  running: Work[]
  queued: Work[]
  busyMs: number
  startedCount: number
}

/** Number of requests that may wait at a backend server; further ones get no answer. */
const maxQueueLength = 16

/** Builds a backend server without grants. */
export function buildVirtualBackend (registration: BackendRegistration, slowness: number): VirtualBackend {
  return { registration, state: 'up', process: 1, slowness, noise: 1, shedShare: 0, grants: [], seenFences: [], running: [], queued: [], busyMs: 0, startedCount: 0 }
}

/** Restarts a backend server in place: it forgets its grants, fencing tokens and work. */
export function restartInPlace (backend: VirtualBackend): void {
  Object.assign(backend, { process: backend.process + 1, grants: [], seenFences: [], running: [], queued: [] })
}

/** Whether the backend server holds an unexpired grant for a key. */
export function hasGrant (backend: VirtualBackend, key: number, now: number): boolean {
  return backend.grants.some(grant => grant.from <= key && key <= grant.to && grant.expiresAt > now)
}

/** Accepts a grant, unless a higher fencing token was seen for one of its keys. */
export function acceptGrant (backend: VirtualBackend, from: number, to: number, fence: number, expiresAt: number): GrantOutcome {
  if (findHighestFence(backend, from, to) > fence) return { kind: 'fenced' }
  backend.seenFences.push({ from, to, fence })
  removeGrants(backend, from, to)
  backend.grants.push({ from, to, fence, expiresAt })
  return { kind: 'granted' }
}

/** Records the fencing token of a release and removes the grants of its keys; calls `then` when no work on these keys runs any more. */
export function releaseGrant (queue: EventQueue, backend: VirtualBackend, from: number, to: number, fence: number, then: () => void): void {
  backend.seenFences.push({ from, to, fence })
  removeGrants(backend, from, to)
  const check = () => {
    if (backend.running.some(work => work.key !== undefined && from <= work.key && work.key <= to)) scheduleIn(queue, 5, check)
    else then()
  }
  check()
}

function findHighestFence (backend: VirtualBackend, from: number, to: number): number {
  let fence = 0
  for (const seen of backend.seenFences) {
    if (seen.from <= to && from <= seen.to) fence = Math.max(fence, seen.fence)
  }
  return fence
}

function removeGrants (backend: VirtualBackend, from: number, to: number): void {
  backend.grants = backend.grants.flatMap(grant => {
    if (grant.to < from || grant.from > to) return [grant]
    const rest: HeldGrant[] = []
    if (grant.from < from) rest.push({ ...grant, to: from - 1 })
    if (grant.to > to) rest.push({ ...grant, from: to + 1 })
    return rest
  })
}

/** Runs, queues or fences a request; when the queue is full, the request gets no answer. */
export function acceptWork (queue: EventQueue, backend: VirtualBackend, work: Work, isSharded: boolean, onStart: (key: number) => void): void {
  if (isSharded && (work.key === undefined || !hasGrant(backend, work.key, queue.now))) return work.done('fenced')
  if (backend.running.length < backend.registration.slots) return startWork(queue, backend, work, isSharded, onStart)
  if (backend.queued.length < maxQueueLength) backend.queued.push(work)
}

function startWork (queue: EventQueue, backend: VirtualBackend, work: Work, isSharded: boolean, onStart: (key: number) => void): void {
  if (isSharded && (work.key === undefined || !hasGrant(backend, work.key, queue.now))) {
    work.done('fenced')
    return startNext(queue, backend, isSharded, onStart)
  }
  if (work.key !== undefined) onStart(work.key)
  backend.running.push(work)
  backend.startedCount += 1
  const ms = work.ms * backend.slowness * backend.noise
  backend.busyMs += ms
  scheduleIn(queue, ms, () => {
    backend.running = backend.running.filter(other => other !== work)
    if (backend.state === 'up' && !work.isCanceled) work.done('ran')
    startNext(queue, backend, isSharded, onStart)
  })
}

function startNext (queue: EventQueue, backend: VirtualBackend, isSharded: boolean, onStart: (key: number) => void): void {
  while (backend.queued[0]?.isCanceled === true) backend.queued.shift()
  const next = backend.queued.shift()
  if (next !== undefined) startWork(queue, backend, next, isSharded, onStart)
}
