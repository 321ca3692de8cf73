import type { Step } from '../step.js'
import type { WriteResult } from '../controller/controllerState.js'

/** The parts of a stored document that a change needs. */
export type CurrentDocument = { revision: number, modRevision: number, operation: string, earlier: string[], text: string }

/** Result of an operator's change to a team's document. */
export type ApplyOutcome =
  | { kind: 'accepted', revision: number }
  | { kind: 'unchanged', revision: number }
  | { kind: 'conflict', expected: number, current: CurrentDocument | undefined }
  | { kind: 'unavailable', detail: string }

/** Events of a change. */
export type ApplyEvent =
  | { kind: 'started' }
  | { kind: 'read', current: CurrentDocument | undefined }
  | { kind: 'read-failed', detail: string }
  | { kind: 'write-ended', result: WriteResult }

/** Effects that a change requests. */
export type ApplyEffect =
  | { kind: 'read' }
  | { kind: 'write', expected: number, revision: number, operation: string, earlier: string[], text: string }
  | { kind: 'finish', outcome: ApplyOutcome }

/** State of a change. */
export type ApplyState = {
  text: string
  /** Revision that the operator edited; when undefined, the change applies to the current revision. */
  baseRevision: number | undefined
  operation: string
  phase: 'reading' | 'writing' | 'verifying' | 'done'
  writtenRevision: number
  attempts: number
}

/** Maximum number of reads, and so of writes, of one change. */
const maxAttempts = 10
/** Maximum number of earlier operation ids in a document; they show that a change took effect even if others followed. */
const maxEarlierOperations = 16

/** Builds the state of a change; `operation` is unique to it. */
export function buildApplyState (text: string, baseRevision: number | undefined, operation: string): ApplyState {
  return { text, baseRevision, operation, phase: 'reading', writtenRevision: 0, attempts: 0 }
}

/** Applies one event to a change. Writes are compare-and-swap; after a lost reply the document is read back. */
export function reduceApply (state: ApplyState, event: ApplyEvent): Step<ApplyState, ApplyEffect> {
  return { state, effects: applyEvent(state, event) }
}

function applyEvent (state: ApplyState, event: ApplyEvent): ApplyEffect[] {
  if (state.phase === 'done') return []
  switch (event.kind) {
    case 'started': return retry(state, 'no attempts left')
    case 'read-failed': return retry(state, event.detail)
    case 'read': return state.phase === 'verifying' ? checkWriteResult(state, event.current) : startWrite(state, event.current)
    case 'write-ended': return endWrite(state, event.result)
  }
}

function retry (state: ApplyState, detail: string): ApplyEffect[] {
  state.attempts += 1
  if (state.attempts > maxAttempts) return finish(state, { kind: 'unavailable', detail })
  return [{ kind: 'read' }]
}

function finish (state: ApplyState, outcome: ApplyOutcome): ApplyEffect[] {
  state.phase = 'done'
  return [{ kind: 'finish', outcome }]
}

function startWrite (state: ApplyState, current: CurrentDocument | undefined): ApplyEffect[] {
  const revision = current?.revision ?? 0
  if (state.baseRevision !== undefined && state.baseRevision !== revision) {
    return finish(state, { kind: 'conflict', expected: state.baseRevision, current })
  }
  if (current?.text === state.text) return finish(state, { kind: 'unchanged', revision })
  // Retries of this change must not overwrite a change that someone else makes in between.
  state.baseRevision = revision
  state.phase = 'writing'
  state.writtenRevision = revision + 1
  const earlier = current === undefined ? [] : [current.operation, ...current.earlier].slice(0, maxEarlierOperations)
  const { operation, text } = state
  return [{ kind: 'write', expected: current?.modRevision ?? 0, revision: revision + 1, operation, earlier, text }]
}

function endWrite (state: ApplyState, result: WriteResult): ApplyEffect[] {
  if (result === 'written') return finish(state, { kind: 'accepted', revision: state.writtenRevision })
  state.phase = 'verifying'
  return retry(state, `write ended with result ${result}`)
}

/** Determines by the operation id whether a write without a reply took effect. */
function checkWriteResult (state: ApplyState, current: CurrentDocument | undefined): ApplyEffect[] {
  if (current?.operation === state.operation) return finish(state, { kind: 'accepted', revision: current.revision })
  if (current?.earlier.includes(state.operation) === true) return finish(state, { kind: 'accepted', revision: state.writtenRevision })
  state.phase = 'reading'
  return startWrite(state, current)
}
