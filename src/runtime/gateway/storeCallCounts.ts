import type { MetadataStore } from './ports.js'

/** Why the store is called: to read everything, one value or changes, to create, renew or end a lease, or to write. */
export const storeCallReasons = ['read-all', 'read-value', 'watch', 'lease', 'renewal', 'write'] as const
/** Reason of a call to the store. */
export type StoreCallReason = typeof storeCallReasons[number]

/** Wraps a store so that each call is counted by its reason; a read of several pages counts once. */
export function buildCountedStore (store: MetadataStore, count: (reason: StoreCallReason) => void): MetadataStore {
  const countAs = <Args extends unknown[], Result>(reason: StoreCallReason, call: (...args: Args) => Result) => (...args: Args): Result => {
    count(reason)
    return call(...args)
  }
  return {
    readAll: countAs('read-all', store.readAll),
    readKey: countAs('read-value', store.readKey),
    watch: countAs('watch', store.watch),
    createLease: countAs('lease', store.createLease),
    renewLease: countAs('renewal', store.renewLease),
    endLease: countAs('lease', store.endLease),
    write: countAs('write', store.write),
    watchRestores: store.watchRestores,
    close: store.close
  }
}
