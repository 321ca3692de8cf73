import type { WriteOutcome } from '../../src/core/gateway/events.js'
import { mergeRevision, splitRevision } from '../../platform/storeEra.js'

type Item = { value: unknown, revision: number, lease: number }

/** The platform's store in virtual time, with revisions, leases and conditional writes. Like the store's client, its functions join revisions and leases with the number of restores. */
export type VirtualStore = {
  /** Number of restores from an older copy; the revisions of the copy are given out again. */
  restores: number
  revision: number
  items: Map<string, Item>
  leases: Map<number, { until: number, ttlMs: number }>
  nextLease: number
  isDown: boolean
  /** Whether leases expire while the store is down. */
  hasExpiryWhileDown: boolean
  /** Number of calls; a renewal of a lease counts as a tenth. */
  callCount: number
}

/** Builds an empty store. */
export function buildVirtualStore (): VirtualStore {
  return { restores: 0, revision: 1, items: new Map(), leases: new Map(), nextLease: 1, isDown: false, hasExpiryWhileDown: true, callCount: 0 }
}

/** Creates a lease. */
export function createLease (store: VirtualStore, ttlMs: number, now: number): number {
  store.callCount += 1
  store.leases.set(store.nextLease, { until: now + ttlMs, ttlMs })
  store.nextLease += 1
  return mergeRevision(store.restores, store.nextLease - 1)
}

/** Copies what the store holds; leases are not part of a copy, nor are the keys that they keep. */
export function buildStoreCopy (store: VirtualStore): Pick<VirtualStore, 'revision' | 'items' | 'nextLease'> {
  return { revision: store.revision, nextLease: store.nextLease, items: new Map([...store.items].filter(([, item]) => item.lease === 0)) }
}

/** Restores the store from an older copy: revisions and leases that were given out since then are given out again. */
export function restoreStore (store: VirtualStore, copy: Pick<VirtualStore, 'revision' | 'items' | 'nextLease'>): void {
  store.restores += 1
  store.revision = copy.revision
  store.nextLease = copy.nextLease
  store.items = new Map(copy.items)
  store.leases = new Map()
}

/** Finds the lease of a joined number; undefined when it has ended or is from before a restore. */
export function findLease (store: VirtualStore, lease: number): { until: number, ttlMs: number } | undefined {
  const { era, revision } = splitRevision(lease)
  return era === store.restores ? store.leases.get(revision) : undefined
}

/** Renews a lease; false when it has ended. */
export function renewLease (store: VirtualStore, lease: number, now: number): boolean {
  store.callCount += 0.1
  const known = findLease(store, lease)
  if (known === undefined) return false
  known.until = now + known.ttlMs
  return true
}

/** Writes keys if all preconditions hold; returns the outcome and the new revision. */
export function writeStore (
  store: VirtualStore,
  preconditions: ReadonlyArray<{ key: string, revision: number }>,
  writes: ReadonlyArray<{ key: string, value: unknown, lease: number }>
): { outcome: WriteOutcome, revision: number } {
  store.callCount += 1
  // A host that does not know of a restore sends revisions from before it, which may have been given out again.
  const rows = preconditions.map(({ key, revision }) => ({ key, ...splitRevision(revision) }))
  const isFromBefore = rows.some(row => row.revision !== 0 && row.era < store.restores)
  if (rows.some(row => (store.items.get(row.key)?.revision ?? 0) !== row.revision)) return { outcome: isFromBefore ? 'unknown' : 'conflict', revision: 0 }
  if (writes.some(write => write.lease !== 0 && findLease(store, write.lease) === undefined)) return { outcome: 'lease-ended', revision: 0 }
  store.revision += 1
  for (const write of writes) store.items.set(write.key, { value: write.value, revision: store.revision, lease: splitRevision(write.lease).revision })
  return isFromBefore ? { outcome: 'unknown', revision: 0 } : { outcome: 'written', revision: mergeRevision(store.restores, store.revision) }
}

/** Ends the expired leases; returns the keys that were removed with them. */
export function endExpiredLeases (store: VirtualStore, now: number): string[] {
  const removedKeys: string[] = []
  for (const [id, lease] of store.leases) {
    if (lease.until > now) continue
    store.leases.delete(id)
    for (const [key, item] of store.items) {
      if (item.lease !== id) continue
      store.items.delete(key)
      store.revision += 1
      removedKeys.push(key)
    }
  }
  return removedKeys
}
