import type { StoreItemChange } from '../../core/gateway/storeView.js'
import type { TimerService } from '../timerService.js'
import type { MetadataStore, StoreFailure } from './ports.js'

/** Interval between two reads, in milliseconds, so that values that change in quick succession are read less often than they are written. */
const readIntervalMs = 100

/** Dependencies of the reader. */
export type LeftOutValueReaderParts = {
  store: MetadataStore
  timers: TimerService
  applyItem: (item: StoreItemChange) => void
  /** Returns whether the value of a key is known at a revision or a later one. */
  isKnown: (key: string, revision: number) => boolean
  /** Called when a read failed; all pending reads are dropped. */
  onFailure: (startedAt: number, failure: StoreFailure) => void
  /** Called when all requested values have been read. */
  onFinish: () => void
}

/** Reads from the store the values that the granting host left out of the changes that it relayed. */
export type LeftOutValueReader = {
  /** Reads these keys, except those that become known meanwhile; `onFinish` or `onFailure` is called later. */
  read: (keys: ReadonlyArray<Pick<StoreItemChange, 'key' | 'revision'>>) => Promise<void>
  isPending: () => boolean
}

/** Creates a reader that reads one key at a time. */
export function createLeftOutValueReader (parts: LeftOutValueReaderParts): LeftOutValueReader {
  const { store, timers } = parts
  /** Latest requested revision of each key that has not been read yet. */
  const pendingRevisions = new Map<string, number>()
  let isReading = false
  const readPending = async (key: string, revision: number): Promise<void> => {
    const startedAt = timers.clock.now()
    const read = await store.readKey(key)
    if (read.kind === 'failed') {
      pendingRevisions.clear()
      parts.onFailure(startedAt, read)
      return
    }
    if (read.item !== undefined) parts.applyItem(read.item)
    // An absent key is done, unless a later revision of it was requested meanwhile. Other keys are done once their latest requested revision is known.
    if (read.item === undefined && pendingRevisions.get(key) === revision) pendingRevisions.delete(key)
    for (const [pendingKey, pendingRevision] of pendingRevisions) if (parts.isKnown(pendingKey, pendingRevision)) pendingRevisions.delete(pendingKey)
    if (pendingRevisions.size === 0) return parts.onFinish()
    await new Promise<void>(resolve => timers.schedule(readIntervalMs, () => resolve()))
  }
  return {
    read: async keys => {
      for (const { key, revision } of keys) pendingRevisions.set(key, revision)
      if (isReading) return
      isReading = true
      for (let next = [...pendingRevisions][0]; next !== undefined; next = [...pendingRevisions][0]) await readPending(...next)
      isReading = false
    },
    isPending: () => pendingRevisions.size > 0
  }
}
