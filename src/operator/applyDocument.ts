import type { ApplyEffect, ApplyEvent, ApplyOutcome, ApplyState, CurrentDocument } from '../core/operator/applyReducer.js'
import type { StoreClient } from '../runtime/storeClient.js'
import type { TimerService } from '../runtime/timerService.js'
import { randomBytes } from 'node:crypto'
import { buildApplyState, reduceApply } from '../core/operator/applyReducer.js'
import { decodeStoredDocument, documentPrefix, encodeDocument } from '../protocol/storeRecords.js'
import { startProgram } from '../runtime/program.js'

/** Delay before a failed read of the store is retried, in milliseconds. */
const readRetryDelayMs = 100

/** A change to a team's document; with `baseRevision` undefined it applies to the current revision. */
export type DocumentChange = { team: string, text: string, baseRevision: number | undefined, author: string }

/** Result of reading a team's stored document. */
export type ReadDocumentOutcome =
  | { kind: 'read', current: CurrentDocument | undefined }
  | { kind: 'unavailable', detail: string }

/** Reads a team's stored document. */
export async function readDocument (store: StoreClient, team: string): Promise<ReadDocumentOutcome> {
  const key = documentPrefix + team
  const outcome = await store.read(key)
  if (outcome.kind === 'unavailable') return outcome
  const value = outcome.values.find(entry => entry.key === key)
  if (value === undefined) return { kind: 'read', current: undefined }
  const stored = decodeStoredDocument(value.value)
  if (stored === undefined) return { kind: 'unavailable', detail: `the record ${key} is malformed; delete it or restore it` }
  const { revision, operation, earlier, text } = stored
  return { kind: 'read', current: { revision, operation, earlier, text, modRevision: value.modRevision } }
}

/** Applies a change to a team's document by compare-and-swap. */
export function applyDocument (store: StoreClient, change: DocumentChange, timers: TimerService): Promise<ApplyOutcome> {
  const key = documentPrefix + change.team
  const operation = `${change.author}:${randomBytes(8).toString('hex')}`
  return new Promise(resolve => {
    const read = async (): Promise<void> => {
      const outcome = await readDocument(store, change.team)
      if (outcome.kind === 'read') {
        program.post(outcome)
        return
      }
      timers.schedule(readRetryDelayMs, () => { program.post({ kind: 'read-failed', detail: outcome.detail }) })
    }
    const write = async (effect: Extract<ApplyEffect, { kind: 'write' }>): Promise<void> => {
      const { revision, earlier, text } = effect
      const value = encodeDocument({ revision, operation, earlier, author: change.author, text })
      const result = await store.compareAndSwap(key, effect.expected, value)
      program.post({ kind: 'write-ended', result })
    }
    const interpret = (effect: ApplyEffect): void => {
      switch (effect.kind) {
        case 'read': {
          read()
          return
        }
        case 'write': {
          write(effect)
          return
        }
        case 'finish': {
          program.stop()
          resolve(effect.outcome)
        }
      }
    }
    const program = startProgram<ApplyState, ApplyEvent, ApplyEffect>({
      state: buildApplyState(change.text, change.baseRevision, operation),
      reduce: reduceApply,
      interpret
    })
    program.post({ kind: 'started' })
  })
}
