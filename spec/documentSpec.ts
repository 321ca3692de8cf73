import type { ApplyEffect, ApplyEvent, ApplyState, CurrentDocument } from '../src/core/operator/applyReducer.js'
import type { Specification } from './explore.js'
import { buildApplyState, reduceApply } from '../src/core/operator/applyReducer.js'

/**
 * Specification of changes to a team's document, with the production reducer:
 * two operators race, store replies are lost after the write, store calls fail,
 * and a router reads old and new revisions in any order.
 */
export type DocumentState = {
  operators: Operator[]
  stored: CurrentDocument | null
  /** Stored texts, indexed by revision. */
  history: string[]
  routerRevision: number
  highestReadRevision: number
  faults: number
}

type Operator = { apply: ApplyState, pending: ApplyEffect | null, outcome: string }

/** Events of the specification. */
export type DocumentEvent =
  | { type: 'answer', operator: number }
  | { type: 'lose-reply', operator: number }
  | { type: 'fail', operator: number }
  | { type: 'router-reads', revision: number }

/** Protocol decisions that mutants override. */
export type DocumentRules = {
  reduceApply: (state: ApplyState, event: ApplyEvent) => { state: ApplyState, effects: ApplyEffect[] }
  mayAcceptRevision: (current: number, offered: number) => boolean
  isExpected: (actual: number, expected: number) => boolean
}

/** The correct protocol. */
export const documentRules: DocumentRules = {
  reduceApply,
  mayAcceptRevision: (current, offered) => offered > current,
  isExpected: (actual, expected) => actual === expected
}

/** Maximum number of faults in one run. */
const maxFaults = 3

function buildOperator (name: string, rules: DocumentRules): Operator {
  const step = rules.reduceApply(buildApplyState(`text of ${name}`, 1, name), { kind: 'started' })
  return { apply: step.state, pending: step.effects[0] ?? null, outcome: '' }
}

/** Builds the specification with the given rules. */
export function buildDocumentSpecification (rules: DocumentRules): Specification<DocumentState, DocumentEvent> {
  return {
    name: 'a team\'s document, two operators and a router',
    start: {
      operators: [buildOperator('one', rules), buildOperator('two', rules)],
      stored: { revision: 1, modRevision: 1, operation: 'first', earlier: [], text: 'first text' },
      history: ['', 'first text'],
      routerRevision: 0,
      highestReadRevision: 0,
      faults: 0
    },
    listEvents,
    reduce: (state, event) => reduceDocument(structuredClone(state), event, rules),
    invariants: {
      'an accepted change is in the history': state => state.operators.every(operator => {
        return operator.outcome !== 'accepted' || state.history.includes(operator.apply.text)
      }),
      'at most one of two racing changes is accepted': state => {
        return state.operators.filter(operator => operator.outcome === 'accepted').length <= 1
      },
      'a change that conflicts is not in the history': state => state.operators.every(operator => {
        return operator.outcome !== 'conflict' || !state.history.includes(operator.apply.text)
      }),
      'a router never goes back': state => state.routerRevision >= state.highestReadRevision
    },
    isServed: state => state.operators.every(operator => operator.outcome !== ''),
    isFault: event => event.type === 'lose-reply' || event.type === 'fail',
    serialize: state => JSON.stringify(state)
  }
}

function listEvents (state: DocumentState): DocumentEvent[] {
  const events: DocumentEvent[] = []
  state.operators.forEach((operator, index) => {
    if (operator.pending === null) return
    events.push({ type: 'answer', operator: index })
    if (state.faults >= maxFaults) return
    events.push({ type: 'fail', operator: index })
    if (operator.pending.kind === 'write') events.push({ type: 'lose-reply', operator: index })
  })
  for (let revision = 1; revision < state.history.length; revision++) events.push({ type: 'router-reads', revision })
  return events
}

function reduceDocument (state: DocumentState, event: DocumentEvent, rules: DocumentRules): DocumentState {
  if (event.type === 'router-reads') {
    if (rules.mayAcceptRevision(state.routerRevision, event.revision)) state.routerRevision = event.revision
    state.highestReadRevision = Math.max(state.highestReadRevision, event.revision)
    return state
  }
  const operator = state.operators[event.operator]
  if (operator === undefined || operator.pending === null) return state
  const effect = operator.pending
  if (event.type !== 'answer') state.faults += 1
  if (effect.kind === 'read') return applyStep(state, operator, readStore(state, event.type === 'answer'), rules)
  if (effect.kind !== 'write') return state
  if (event.type === 'fail') return applyStep(state, operator, { kind: 'write-ended', result: 'unknown' }, rules)
  const written = writeStore(state, effect, rules)
  if (event.type === 'lose-reply') return applyStep(state, operator, { kind: 'write-ended', result: 'unknown' }, rules)
  return applyStep(state, operator, { kind: 'write-ended', result: written ? 'written' : 'conflict' }, rules)
}

function readStore (state: DocumentState, answered: boolean): ApplyEvent {
  if (!answered) return { kind: 'read-failed', detail: 'down' }
  return { kind: 'read', current: state.stored === null ? undefined : structuredClone(state.stored) }
}

function writeStore (state: DocumentState, effect: Extract<ApplyEffect, { kind: 'write' }>, rules: DocumentRules): boolean {
  const modRevision = state.stored?.modRevision ?? 0
  if (!rules.isExpected(modRevision, effect.expected)) return false
  const { revision, operation, earlier, text } = effect
  state.stored = { revision, operation, earlier, text, modRevision: modRevision + 1 }
  state.history.push(text)
  return true
}

function applyStep (state: DocumentState, operator: Operator, event: ApplyEvent, rules: DocumentRules): DocumentState {
  const next = rules.reduceApply(operator.apply, event)
  operator.apply = next.state
  const effect = next.effects[0]
  operator.pending = effect === undefined || effect.kind === 'finish' ? null : effect
  if (effect?.kind === 'finish') operator.outcome = effect.outcome.kind
  return state
}
