import type { AnswerLoad, BackendMark, FleetLoad, GatewayEvent, LoadReport } from './events.js'
import type { LeavingMark } from './leavingMarks.js'
import type { Backend, GatewayWork } from './state.js'
import { applyPause } from './backendPauses.js'
import { applyLeaving } from './backends.js'
import { applyColdMarks } from './coldState.js'
import { findMark, isWithinMarkLimit, recordMark } from './leavingMarks.js'
import { earlyReportMs } from './limits.js'
import { mergeReportedLoads, recordReportedLoad } from './reportedLoad.js'

/** Time between two log lines on marks of other hosts that were not believed, for each service, in milliseconds: they are repeated with every report. */
const ignoredMarkLogMs = 5000

/** Handles what a backend server said about itself with an answer. An answer of an earlier instance says nothing about the current one. */
export function handleSignals (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'signals-read' }>): void {
  const { state } = work
  const { signals } = event
  const backend = state.backends.get(event.backend)
  if (backend === undefined || (event.startedAt !== undefined && event.startedAt !== backend.startedAt)) return
  if (signals.load !== undefined) recordReportedLoad(state, backend, signals.load)
  if (signals.pauseMs !== undefined) applyPause(work, backend, signals.pauseMs)
  if (signals.coldMs !== undefined) applyColdMarks(work, [{ id: backend.id, startedAt: backend.startedAt, ageMs: 0, isLeaving: false, coldMs: signals.coldMs }])
  if (signals.isLeaving) addMark(work, backend, { at: state.now, isOwn: true })
}

/** Applies the load that a backend server reported with an answer, before the answer itself. */
export function applyAnswerLoad ({ state }: GatewayWork, reported: AnswerLoad | undefined): void {
  if (reported === undefined) return
  const backend = state.backends.get(reported.backend)
  if (backend === undefined || (reported.startedAt !== undefined && reported.startedAt !== backend.startedAt)) return
  recordReportedLoad(state, backend, reported.load)
}

/** Applies what a host reported about backend servers, at the granting host or at the collector of its zone. */
export function applyReportedSignals (work: GatewayWork, report: LoadReport): void {
  const { state } = work
  if (state.granting.role !== 'leading' && state.collecting.role !== 'collecting') return
  mergeReportedLoads(state, report.backends, state.now)
  applyMarks(work, report.marks ?? [], state.now)
}

/** Applies what other hosts learned about backend servers, as shared by the granting host or the collector; ages are counted back from the time at which the report that was answered was sent. */
export function applySharedSignals (work: GatewayWork, load: FleetLoad, reportedAt: number): void {
  mergeReportedLoads(work.state, load.backends, reportedAt)
  applyMarks(work, load.marks ?? [], reportedAt)
}

function applyMarks (work: GatewayWork, marks: readonly BackendMark[], receivedAt: number): void {
  const { state } = work
  for (const { id, startedAt, ageMs, isLeaving } of marks) {
    const backend = state.backends.get(id)
    if (!isLeaving || backend?.startedAt !== startedAt) continue
    const at = Math.min(state.now, receivedAt - ageMs)
    if (findMark(state, backend) === undefined && !isWithinMarkLimit(state, backend)) recordIgnoredMark(work, backend)
    else addMark(work, backend, { at, isOwn: false })
  }
}

function addMark (work: GatewayWork, backend: Backend, read: Pick<LeavingMark, 'at' | 'isOwn'>): void {
  const { state } = work
  const known = findMark(state, backend)
  const mark = recordMark(state, backend, read)
  if (mark === undefined) return
  if (known === undefined) {
    work.effects.push({ kind: 'log', event: 'backendMarked', fields: { backend: backend.id, service: backend.service, how: read.isOwn ? 'answer' : 'relayed', ageMs: Math.round(state.now - read.at) } })
  }
  // The other hosts learn of a new mark as soon as of growing load.
  if (known === undefined && (read.isOwn || state.collecting.role === 'collecting')) state.reportAt = Math.min(state.reportAt, state.reportedAt + earlyReportMs)
  applyLeaving(work, backend, mark.since)
}

function recordIgnoredMark (work: GatewayWork, backend: Backend): void {
  const { state } = work
  if (state.now - (state.marksIgnoredAt.get(backend.service) ?? -Infinity) < ignoredMarkLogMs) return
  state.marksIgnoredAt.set(backend.service, state.now)
  work.effects.push({ kind: 'log', event: 'backendMarkIgnored', fields: { backend: backend.id, service: backend.service } })
}
