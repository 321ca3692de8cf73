import type { KeyValue } from './gen/store.js'

/** Values of the etcd API for a comparison that tests whether the modification revision is equal. */
const compareResultEqual = 0
const compareTargetModRevision = 2

/** Event type of a deletion in the etcd API. */
export const eventTypeDelete = 1

/** Computes the exclusive end of the range of keys with a prefix. */
export function computePrefixEnd (prefix: string): Buffer {
  const end = Buffer.from(prefix)
  const lastIndex = end.length - 1
  end[lastIndex] = (end[lastIndex] ?? 0) + 1
  return end
}

/** Builds a transaction that writes a key, or deletes it when `value` is undefined, if its modification revision is the expected one (0: the key does not exist). */
export function buildCompareAndSwap (key: string, expected: number, value: string | undefined, lease: number) {
  const keyBytes = Buffer.from(key)
  const operation = value === undefined
    ? { $case: 'requestDeleteRange' as const, requestDeleteRange: { key: keyBytes, rangeEnd: Buffer.alloc(0) } }
    : { $case: 'requestPut' as const, requestPut: { key: keyBytes, value: Buffer.from(value), lease } }
  return {
    compare: [{
      result: compareResultEqual,
      target: compareTargetModRevision,
      key: keyBytes,
      targetUnion: { $case: 'modRevision' as const, modRevision: expected }
    }],
    success: [{ request: operation }],
    failure: []
  }
}

/** A key of the store with its value as text. */
export type StoredValue = { key: string, value: string, modRevision: number }

/** Decodes a key and value of the etcd API. */
export function decodeKeyValue (kv: KeyValue): StoredValue {
  return { key: kv.key.toString(), value: kv.value.toString(), modRevision: kv.modRevision }
}
