import type { JournalEntry } from '../domain/assignment.js'
import type { RouterState } from './routerState.js'
import { maxJournalReportDelayMs } from '../limits.js'
import { applyJournal, isEntryStored } from './ownership.js'
import { updateHoldings } from './backends.js'

/**
 * Adds entries to the journal and schedules an early lease renewal and report.
 * Returns the journal revision that a guardian must acknowledge.
 */
export function addToJournal (state: RouterState, entries: readonly JournalEntry[]): number {
  const lease = state.lease
  for (const entry of entries) {
    if (lease.journal.some(existing => isSameEntry(existing, entry))) continue
    lease.journal.push(entry)
  }
  lease.journalRevision += 1
  lease.nextRenewAt = 0
  state.nextReportAt = Math.min(state.nextReportAt, state.now + maxJournalReportDelayMs)
  applyJournal(state)
  updateHoldings(state)
  return lease.journalRevision
}

/** Removes the entries that the records read from the store already include. */
export function dropStoredEntries (state: RouterState): void {
  const lease = state.lease
  const kept = lease.journal.filter(entry => !isEntryStored(state, entry))
  if (kept.length === lease.journal.length) return
  lease.journal = kept
  lease.journalRevision += 1
  applyJournal(state)
}

/** Returns whether two entries describe the same change. */
export function isSameEntry (left: JournalEntry, right: JournalEntry): boolean {
  if (left.kind !== right.kind || left.from !== right.from || left.to !== right.to) return false
  if (left.epoch !== right.epoch) return false
  if (left.kind === 'unit' && right.kind === 'unit') return left.service === right.service && left.unit === right.unit
  if (left.kind === 'holder' && right.kind === 'holder') {
    return left.service === right.service && left.backend === right.backend
  }
  return true
}
