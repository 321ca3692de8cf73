import type { StoreItemChange } from '../../core/gateway/storeView.js'
import type { BackendRegistration, Configuration } from '../../core/gateway/model.js'
import type { WriteOutcome } from '../../core/gateway/events.js'

/** Key of the store with its value and the revision of its last change. */
export type StoreItem = { key: string, value: string, revision: number }

/** Failed call to the store. `isCut`: the connection broke during the call; otherwise the store may have been unreachable since the call started. */
export type StoreFailure = { kind: 'failed', problem: string, isCut: boolean }
/** Result of reading all keys with a prefix; keys that are not listed did not exist at `revision`. */
export type StoreRead = { kind: 'read', items: StoreItem[], revision: number } | StoreFailure
/** Result of reading one key; `item` is undefined when the key does not exist. */
export type StoreKeyRead = { kind: 'read', item: StoreItem | undefined } | StoreFailure
/** Result of waiting for changes after a revision. */
export type StoreWatch =
  | { kind: 'changed', changes: StoreItemChange[], revision: number }
  | { kind: 'compacted' }
  /** The changes exceed the maximum size of an answer that this host accepts. */
  | { kind: 'too-long' }
  | StoreFailure
/** Result of creating a lease. */
export type LeaseOutcome = { kind: 'created', lease: number } | { kind: 'failed', problem: string }
/** Conditional write. Each precondition gives the revision that a key must have; 0 means that the key must not exist. */
export type ConditionalWrite = {
  preconditions: Array<{ key: string, revision: number }>
  writes: Array<{ key: string, value: string, lease: number }>
}

/**
 * Client of the platform's key-value store. Failures are returned, never thrown. Revisions and leases grow also when the
 * store is restored from an older copy; what was given out before a restore matches nothing after it.
 */
export type MetadataStore = {
  readAll: (prefix: string) => Promise<StoreRead>
  readKey: (key: string) => Promise<StoreKeyRead>
  watch: (prefix: string, after: number, waitMs: number) => Promise<StoreWatch>
  createLease: (ttlMs: number) => Promise<LeaseOutcome>
  renewLease: (lease: number) => Promise<'renewed' | 'ended' | 'unknown'>
  endLease: (lease: number) => Promise<void>
  write: (write: ConditionalWrite) => Promise<{ outcome: WriteOutcome, revision: number }>
  /** Calls `notify` whenever an answer shows that the store was restored from an older copy, with the number of restores; absent for a store that is never restored. */
  watchRestores?: ((notify: (restores: number) => void) => void) | undefined
  close: () => void
}

/** Result of decoding a value of the store. */
export type Decoded<T> = { kind: 'valid', value: T } | { kind: 'invalid', problem: string }

/** Kind of value that a key of the store holds. */
export type KeyRole = { kind: 'configuration' } | { kind: 'registration', id: string } | { kind: 'evacuation', zone: string } | { kind: 'other' }

/** Encoded call that grants or releases keys. */
export type EncodedCall = { method: string, path: string, body: string }

/** Grant of a key range: its fencing token and its duration in milliseconds. */
export type GrantCall = { from: number, to: number, fence: number, holdMs: number, handover: string | undefined }

/** Encodings of the gateway's communication with callers, backend servers and the store. */
export type GatewayWire = {
  /** Prefix of the store keys that the gateway watches. */
  watchPrefix: string
  findKeyRole: (key: string) => KeyRole
  decodeConfiguration: (value: string) => Decoded<Configuration>
  decodeRegistration: (id: string, value: string) => Decoded<BackendRegistration>
  encodeGrant: (call: GrantCall) => EncodedCall
  encodeRelease: (call: { from: number, to: number, fence: number }) => EncodedCall
  /** Path of the load balancer's readiness probe. */
  readinessPath: string
  /** Header names as they are sent; when headers are read, the names are compared in lower case. */
  headers: {
    requestId: string
    /** Timeout of the request, in milliseconds. */
    timeoutMs: string
    key: string
    /** Id of the backend server that a request is intended for. */
    expectedBackend: string
    /** Present on answers that declare that the request did not run. */
    notRun: string
    /** Handover token, passed from the previous owner of keys to the next one. */
    handover: string
    /** Load that a backend server reports with its answers. */
    load: string
    /** Present on the answers of a backend server that is leaving. */
    leaving: string
    /** Remaining time for which a backend server is cold, in milliseconds. */
    coldMs: string
  }
}
