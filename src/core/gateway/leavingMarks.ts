import type { BackendMark } from './events.js'
import type { BackendRegistration } from './model.js'
import type { Backend, GatewayState } from './state.js'
import { computeKnownAsOf } from './storeFreshness.js'

/**
 * Time from a mark until a registration that says `ready` ends it if it was written later, in milliseconds: three
 * heartbeats of 0.87 s. The first registration that says `leaving` is written within one heartbeat of the answer, and a write may be one late.
 */
export const markEndMs = 2610
/** Share of a service's backend servers up to which marks of other hosts are believed and passed on: more servers rarely leave at once, and the others can take their load. */
export const maxMarkedShare = 0.25
/** Maximum number of marks in one report: far more than servers leave at once. */
const maxReportedMarks = 64
/** Time after which the mark of a backend server that is no longer listed is dropped, in milliseconds: registrations that lapsed in a store outage have come back by then. */
const unlistedMarkMs = 60_000

/** What is known from answers of an instance of a backend server that is leaving. */
export type LeavingMark = {
  startedAt: number
  /** When the latest such answer was read. */
  at: number
  /** When the first known one was read. */
  since: number
  /** Whether this host read such an answer itself. */
  isOwn: boolean
}

/** Finds the mark of a backend server's instance. */
export function findMark (state: GatewayState, { id, startedAt }: Pick<Backend, 'id' | 'startedAt'>): LeavingMark | undefined {
  const mark = state.leavingMarks.get(id)
  return mark?.startedAt === startedAt ? mark : undefined
}

/** Records a mark; returns it, or undefined when a later registration has already shown that the instance is ready. */
export function recordMark (state: GatewayState, backend: Backend, { at, isOwn }: Pick<LeavingMark, 'at' | 'isOwn'>): LeavingMark | undefined {
  if (at + markEndMs <= backend.readyAsOf) return undefined
  const known = findMark(state, backend)
  const mark = { startedAt: backend.startedAt, at: Math.max(at, known?.at ?? at), since: Math.min(at, known?.since ?? at), isOwn: isOwn || known?.isOwn === true }
  state.leavingMarks.set(backend.id, mark)
  dropOldMarks(state)
  return mark
}

function dropOldMarks (state: GatewayState): void {
  for (const [id, mark] of state.leavingMarks) {
    if (!state.backends.has(id) && state.now - mark.at > unlistedMarkMs) state.leavingMarks.delete(id)
  }
}

/**
 * Applies the mark of an instance to a registration of it that was just read: the instance goes on counting as leaving
 * until a registration says `ready` that was certainly written later than the mark and a few heartbeats.
 */
export function applyMark (state: GatewayState, registration: BackendRegistration): BackendRegistration {
  const { id, startedAt, leaving } = registration
  const mark = state.leavingMarks.get(id)
  if (mark === undefined || mark.startedAt > startedAt || leaving) return registration
  if (mark.startedAt === startedAt && mark.at + markEndMs > computeWrittenAfter(state)) return { ...registration, leaving: true }
  state.leavingMarks.delete(id)
  return registration
}

/** Computes the time after which a registration that is read now was written: it was not known when the store was last known. */
export function computeWrittenAfter (state: GatewayState): number {
  return computeKnownAsOf(state, 'leaving')
}

/** Lists the marks that this host reports: its own, and as a collector those of its hosts. */
export function listMarksToReport (state: GatewayState): BackendMark[] {
  const marks: BackendMark[] = []
  for (const [id, mark] of state.leavingMarks) {
    if (!mark.isOwn && state.collecting.role !== 'collecting') continue
    if (state.backends.get(id)?.startedAt === mark.startedAt) marks.push(buildMark(id, mark, state.now))
  }
  return marks.sort((a, b) => a.ageMs - b.ageMs).slice(0, maxReportedMarks)
}

/** Lists the marks that this host passes on to others at time `now`: in each service the earliest ones, up to the share that is believed. */
export function listMarksToShare (state: GatewayState, now: number): BackendMark[] {
  const byService = new Map<string, Array<[id: string, mark: LeavingMark]>>()
  for (const [id, mark] of state.leavingMarks) {
    const backend = state.backends.get(id)
    if (backend === undefined || backend.startedAt !== mark.startedAt) continue
    const marks = byService.get(backend.service) ?? []
    byService.set(backend.service, marks)
    marks.push([id, mark])
  }
  return [...byService].flatMap(([service, marks]) => {
    marks.sort((a, b) => a[1].since - b[1].since)
    return marks.slice(0, computeMarkLimit(state, service)).map(([id, mark]) => buildMark(id, mark, now))
  })
}

function buildMark (id: string, { startedAt, at }: LeavingMark, now: number): BackendMark {
  return { id, startedAt, ageMs: Math.max(0, now - at), isLeaving: true, coldMs: 0 }
}

/** Whether the mark of another host is believed: with it, no more than the stated share of the service's backend servers is marked. */
export function isWithinMarkLimit (state: GatewayState, backend: Backend): boolean {
  let marked = 1
  for (const id of state.backendsByService.get(backend.service) ?? []) {
    const other = state.backends.get(id)
    if (other !== undefined && id !== backend.id && findMark(state, other) !== undefined) marked += 1
  }
  return marked <= computeMarkLimit(state, backend.service)
}

/** Computes how many marks of other hosts are believed for a service: a share of its backend servers, at least one, and never all. */
function computeMarkLimit (state: GatewayState, service: string): number {
  let serving = 0
  for (const id of state.backendsByService.get(service) ?? []) {
    const backend = state.backends.get(id)
    if (backend !== undefined && (!backend.leaving || findMark(state, backend) !== undefined)) serving += 1
  }
  return Math.max(0, Math.min(serving - 1, Math.max(1, Math.floor(serving * maxMarkedShare))))
}

/** Counts the marks of listed instances of backend servers. */
export function countMarks (state: GatewayState): number {
  return [...state.backends.values()].filter(backend => findMark(state, backend) !== undefined).length
}
