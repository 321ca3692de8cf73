import type { WriteOutcome } from '../../src/core/gateway/events.js'

type Item = { value: unknown, revision: number, lease: number }

/** The platform's store in virtual time, with revisions, leases and conditional writes. */
export type VirtualStore = {
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
  return { revision: 1, items: new Map(), leases: new Map(), nextLease: 1, isDown: false, hasExpiryWhileDown: true, callCount: 0 }
}

/** Creates a lease. */
export function createLease (store: VirtualStore, ttlMs: number, now: number): number {
  store.callCount += 1
  store.leases.set(store.nextLease, { until: now + ttlMs, ttlMs })
  store.nextLease += 1
  return store.nextLease - 1
}

/** Renews a lease; false when it has ended. */
export function renewLease (store: VirtualStore, lease: number, now: number): boolean {
  store.callCount += 0.1
  const known = store.leases.get(lease)
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
  if (preconditions.some(row => (store.items.get(row.key)?.revision ?? 0) !== row.revision)) return { outcome: 'conflict', revision: 0 }
  if (writes.some(write => write.lease !== 0 && !store.leases.has(write.lease))) return { outcome: 'lease-ended', revision: 0 }
  store.revision += 1
  for (const write of writes) store.items.set(write.key, { value: write.value, revision: store.revision, lease: write.lease })
  return { outcome: 'written', revision: store.revision }
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
