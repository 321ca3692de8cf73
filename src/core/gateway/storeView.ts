import type { ValueEdit } from './valueEdits.js'
import { applyEdits, buildEdits, computeEditBytes } from './valueEdits.js'

/** One change of a key in the store; a deletion has no value. */
export type StoreItemChange = { key: string, value: string | undefined, revision: number }

/** Delta that brings a host's view of the store from revision `from` to revision `to`. */
export type RelayedChanges = {
  from: number
  to: number
  /** The newest change of each key since `from`, except those in `edited` and `leftOut`. */
  changes: readonly StoreItemChange[]
  /** Values too large to be sent to every host, as edits of the values at `from`. */
  edited: readonly EditedValue[]
  /** Keys with large values for which there are no sufficiently small edits: each host reads them from the store. */
  leftOut: ReadonlyArray<Pick<StoreItemChange, 'key' | 'revision'>>
  /** All existing keys, when `changes` does not contain all deletions since `from`; undefined otherwise. */
  present: readonly string[] | undefined
  /** Time within which registrations deleted by these changes may still be renewed, in milliseconds; above 0 after a store outage. */
  graceMs: number
}

/** New value of a key, as edits of its value at an earlier revision. */
export type EditedValue = { key: string, revision: number, baseRevision: number, edits: readonly ValueEdit[] }

/** Length from which earlier values of a key are kept, in characters: smaller values are sent whole in fleets of some hundred hosts. */
const minKeptLength = 4096
/** Number of earlier values kept for each such key: more than the changes of a key in the seconds by which a host may lag. */
const maxEarlierValues = 8

/** Maximum total size of the copies of one value for all hosts, in bytes: 60 ms of a 140 Mbit/s link, the slowest link of the larger hosts. */
const maxCopiedBytes = 1024 * 1024

/** Maximum number of deletions that are kept individually. */
const maxKeptDeletions = 2000

/** One host's view of the store: the newest known change of every key. */
export type StoreView = {
  entries: Map<string, StoreItemChange>
  /** Revision up to which all changes are known; undefined before the first complete read. */
  revision: number | undefined
  /** Revision after which `entries` contains all deletions. */
  deletionsCompleteFrom: number
  deletionCount: number
  /** Earlier values of keys whose values are large, the oldest first. */
  earlierValues: Map<string, StoreItemChange[]>
}

/** Builds an empty view. */
export function buildStoreView (): StoreView {
  return { entries: new Map(), revision: undefined, deletionsCompleteFrom: 0, deletionCount: 0, earlierValues: new Map() }
}

/** Applies a change; changes may come in any order. Returns false when this change of the key or a newer one is already known. */
export function applyChange (view: StoreView, change: StoreItemChange): boolean {
  const known = view.entries.get(change.key)
  if (known !== undefined && known.revision >= change.revision) return false
  if (known !== undefined && known.value === undefined) view.deletionCount -= 1
  if (known !== undefined) keepEarlierValue(view, known)
  if (change.value === undefined) view.deletionCount += 1
  view.entries.set(change.key, change)
  if (view.deletionCount > maxKeptDeletions) dropOldDeletions(view)
  return true
}

function keepEarlierValue (view: StoreView, replaced: StoreItemChange): void {
  if ((replaced.value?.length ?? 0) < minKeptLength) return
  const earlier = [...view.earlierValues.get(replaced.key) ?? [], replaced]
  view.earlierValues.set(replaced.key, earlier.slice(-maxEarlierValues))
}

/** Finds the value that a key had at a revision; undefined unless it was large and is still kept. */
export function findEarlierValue (view: StoreView, key: string, revision: number): StoreItemChange | undefined {
  return view.earlierValues.get(key)?.filter(change => change.revision <= revision).at(-1)
}

/** Applies edits to the value that they were built from; undefined when the known value has another revision or the edits don't fit it. */
export function applyEditedValue (view: StoreView, edited: EditedValue): StoreItemChange | undefined {
  const known = view.entries.get(edited.key)
  if (known?.value === undefined || known.revision !== edited.baseRevision) return undefined
  const value = applyEdits(known.value, edited.edits)
  return value === undefined ? undefined : { key: edited.key, value, revision: edited.revision }
}

/** Removes the older half of the kept deletions. */
function dropOldDeletions (view: StoreView): void {
  const deletions = [...view.entries.values()].filter(entry => entry.value === undefined).sort((a, b) => a.revision - b.revision)
  for (const deletion of deletions.slice(0, maxKeptDeletions / 2)) {
    view.entries.delete(deletion.key)
    view.deletionsCompleteFrom = Math.max(view.deletionsCompleteFrom, deletion.revision)
  }
  view.deletionCount = deletions.length - maxKeptDeletions / 2
}

/** Lists as deletions the known keys that are missing from a list of all keys at a revision. */
export function listImpliedDeletions (view: StoreView, presentKeys: readonly string[], revision: number): StoreItemChange[] {
  const listed = new Set(presentKeys)
  const deletions: StoreItemChange[] = []
  for (const entry of view.entries.values()) {
    // A key written at a later revision may exist without being in the list.
    if (entry.value !== undefined && entry.revision < revision && !listed.has(entry.key)) deletions.push({ key: entry.key, value: undefined, revision })
  }
  return deletions
}

/** Sets the revision of a complete read whose entries have been applied. Keys that were created and deleted since the previous read are not known, so deletions are complete only from here on. */
export function setSnapshotRevision (view: StoreView, revision: number): void {
  if (view.revision !== undefined && revision <= view.revision) return
  view.revision = revision
  view.deletionsCompleteFrom = revision
}

/** Changes that one host can send to another, without the grace period for expired registrations. */
export type ChangesSince = Omit<RelayedChanges, 'graceMs'>

/** Lists the changes needed by a host that knows all changes up to a revision; undefined before the first complete read. */
export function listChangesSince (view: StoreView, revision: number): ChangesSince | undefined {
  if (view.revision === undefined) return undefined
  const changes = [...view.entries.values()].filter(entry => entry.revision > revision).sort((a, b) => a.revision - b.revision)
  const present = revision < view.deletionsCompleteFrom ? listPresent(view) : undefined
  return { from: revision, to: Math.max(view.revision, revision), changes, edited: [], leftOut: [], present }
}

/** Finds the value that a key had at a revision. */
export type FindEarlierValue = (key: string, revision: number) => StoreItemChange | undefined

/** Replaces values whose copies for all hosts would saturate the sender's link: by edits if these are small enough, else they are left out. */
export function replaceLargeValues (relayed: RelayedChanges, hosts: number, findBase: FindEarlierValue = () => undefined): RelayedChanges {
  const isLarge = (change: StoreItemChange) => (change.value?.length ?? 0) * hosts > maxCopiedBytes
  const large = relayed.changes.filter(isLarge)
  if (large.length === 0) return relayed
  const edited: EditedValue[] = []
  const leftOut: Array<Pick<StoreItemChange, 'key' | 'revision'>> = []
  for (const change of large) {
    const found = buildEditedValue(change, findBase(change.key, relayed.from))
    if (found !== undefined && computeEditBytes(found.edits) * hosts <= maxCopiedBytes) edited.push(found)
    else leftOut.push({ key: change.key, revision: change.revision })
  }
  return { ...relayed, changes: relayed.changes.filter(change => !isLarge(change)), edited, leftOut }
}

function buildEditedValue ({ key, value, revision }: StoreItemChange, base: StoreItemChange | undefined): EditedValue | undefined {
  if (base?.value === undefined || value === undefined) return undefined
  const edits = buildEdits(base.value, value)
  return edits === undefined ? undefined : { key, revision, baseRevision: base.revision, edits }
}

function listPresent (view: StoreView): string[] {
  return [...view.entries.values()].filter(entry => entry.value !== undefined).map(entry => entry.key)
}
