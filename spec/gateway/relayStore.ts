import type { StoreItemChange } from '../../src/core/gateway/storeView.js'
import type { MetadataStore, StoreFailure, StoreItem, StoreWatch } from '../../src/runtime/gateway/ports.js'
import type { EventQueue } from '../eventQueue.js'
import { scheduleIn } from '../eventQueue.js'

/** Delay of a store call, in milliseconds. */
const callDelayMs = 4
/** Time after which an unanswered store call counts as failed, in milliseconds. */
const callTimeoutMs = 1200
/** Time after the end of a watch's wait after which an unanswered watch counts as failed, in milliseconds. */
const watchTimeoutMarginMs = 600

const noAnswer: StoreFailure = { kind: 'failed', problem: 'no answer', isCut: false }
const connectionCut: StoreFailure = { kind: 'failed', problem: 'cut', isCut: true }

type Watch = { after: number, resolve: (result: StoreWatch) => void }

/** A store in virtual time that can drop its history, withhold changes from watches, and leave some hosts without an answer. */
export type RelayStore = {
  queue: EventQueue
  history: StoreItemChange[]
  revision: number
  /** Number of routes in the configuration; with many of them, hosts receive it as edits or read it from the store. */
  routeCount: number
  /** Revision up to which the history is compacted. */
  compactedRevision: number
  /** Whether changes are withheld from watches. */
  isWatchSuppressed: boolean
  /** Hosts whose calls and watches get no answer. */
  silentTo: Set<string>
  /** Hosts whose watches get no answer, while their other calls are answered. */
  watchSilentTo: Set<string>
  watches: Set<Watch>
}

/** Builds an empty store. */
export function buildRelayStore (queue: EventQueue, routeCount = 1): RelayStore {
  return { queue, history: [], revision: 1, routeCount, compactedRevision: 0, isWatchSuppressed: false, silentTo: new Set(), watchSilentTo: new Set(), watches: new Set() }
}

/** Writes a key, or removes it when the value is undefined. */
export function writeKey (store: RelayStore, key: string, value: string | undefined): void {
  store.revision += 1
  store.history.push({ key, value, revision: store.revision })
  if (!store.isWatchSuppressed) notifyWatches(store)
}

/** Drops all history, and answers the pending watches. */
export function dropHistory (store: RelayStore): void {
  store.compactedRevision = store.revision
  store.isWatchSuppressed = false
  notifyWatches(store)
}

/** Cuts the connections of the pending watches. */
export function cutWatches (store: RelayStore): void {
  for (const watch of store.watches) watch.resolve(connectionCut)
  store.watches.clear()
}

/** Lists the current items. */
export function listItems (store: RelayStore): StoreItem[] {
  const items = new Map<string, StoreItem>()
  for (const { key, value, revision } of store.history) {
    if (value === undefined) items.delete(key)
    else items.set(key, { key, value, revision })
  }
  return [...items.values()]
}

/** Builds the store as one host sees it. */
export function buildHostStore (store: RelayStore, host: string): MetadataStore {
  const wait = async (ms: number) => { await new Promise<void>(resolve => scheduleIn(store.queue, ms, resolve)) }
  const isSilent = () => store.silentTo.has(host)
  const isWatchSilent = () => isSilent() || store.watchSilentTo.has(host)
  const ask = async <T>(answer: () => T): Promise<T | StoreFailure> => {
    await wait(callDelayMs)
    if (!isSilent()) return answer()
    await wait(callTimeoutMs)
    return noAnswer
  }
  return {
    readAll: async () => await ask(() => ({ kind: 'read' as const, items: listItems(store), revision: store.revision })),
    readKey: async key => await ask(() => ({ kind: 'read' as const, item: listItems(store).find(item => item.key === key) })),
    watch: async (_, after, waitMs) => {
      await wait(callDelayMs)
      // A request that arrives while the store does not answer is lost, even if the store recovers before its timeout.
      if (isWatchSilent()) {
        await wait(waitMs + watchTimeoutMarginMs)
        return noAnswer
      }
      const found = store.isWatchSuppressed ? undefined : findChanges(store, after)
      const answer = found ?? await waitForChange(store, after, waitMs)
      if (!isWatchSilent()) return answer
      await wait(watchTimeoutMarginMs)
      return noAnswer
    },
    createLease: async () => ({ kind: 'failed', problem: 'not used' }),
    renewLease: async () => 'unknown',
    endLease: async () => {},
    write: async () => ({ outcome: 'unknown', revision: 0 }),
    close: () => {}
  }
}

function findChanges (store: RelayStore, after: number): StoreWatch | undefined {
  if (after < store.compactedRevision) return { kind: 'compacted' }
  const changes = store.history.filter(change => change.revision > after)
  return changes.length === 0 ? undefined : { kind: 'changed', changes, revision: store.revision }
}

async function waitForChange (store: RelayStore, after: number, waitMs: number): Promise<StoreWatch> {
  return await new Promise(resolve => {
    const watch: Watch = { after, resolve }
    store.watches.add(watch)
    scheduleIn(store.queue, waitMs, () => {
      store.watches.delete(watch)
      resolve({ kind: 'changed', changes: [], revision: after })
    })
  })
}

function notifyWatches (store: RelayStore): void {
  for (const watch of [...store.watches]) {
    const found = findChanges(store, watch.after)
    if (found === undefined) continue
    store.watches.delete(watch)
    scheduleIn(store.queue, callDelayMs, () => watch.resolve(found))
  }
}
