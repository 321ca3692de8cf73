import type { WriteResult } from '../core/controller/controllerState.js'
import type { StoredValue } from '../protocol/etcd.js'
import type { WatchResponse } from '../protocol/gen/store.js'
import type { ServiceError } from '@grpc/grpc-js'
import { credentials, Metadata, status } from '@grpc/grpc-js'
import { buildCompareAndSwap, computePrefixEnd, decodeKeyValue, eventTypeDelete } from '../protocol/etcd.js'
import { KVClient, LeaseClient, WatchClient } from '../protocol/gen/store.js'

/** Timeout of a call to the store, in milliseconds. */
const callTimeoutMs = 2000
/** Largest message accepted from the store, in bytes. */
const maxMessageBytes = 64 * 1024 * 1024

/** Result of reading keys. */
export type ReadOutcome = { kind: 'read', values: StoredValue[], revision: number } | { kind: 'unavailable', detail: string }

/** A change reported by a watch; `value` is undefined when the key was deleted. */
export type StoreChange = { key: string, value: string | undefined, modRevision: number }

/** Ends a watch. */
export type CancelWatch = () => void

/** Interface to the platform's store. */
export type StoreClient = {
  read: (prefix: string) => Promise<ReadOutcome>
  compareAndSwap: (key: string, expected: number, value: string | undefined, lease?: number) => Promise<WriteResult>
  watch: (prefix: string, fromRevision: number, onChange: (change: StoreChange) => void, onEnd: () => void) => CancelWatch
  createLease: (ttlSeconds: number) => Promise<number | undefined>
  renewLease: (lease: number) => Promise<boolean>
  close: () => void
}

/** Connects to a store that speaks the etcd v3 API. */
export function createStoreClient (address: string): StoreClient {
  const options = {
    'grpc.initial_reconnect_backoff_ms': 100,
    'grpc.max_reconnect_backoff_ms': 1000,
    'grpc.max_receive_message_length': maxMessageBytes
  }
  const insecure = credentials.createInsecure()
  const kv = new KVClient(address, insecure, options)
  const watcher = new WatchClient(address, insecure, options)
  const leases = new LeaseClient(address, insecure, options)
  let isClosed = false
  return {
    read: async prefix => isClosed ? { kind: 'unavailable', detail: 'the client is closed' } : readPrefix(kv, prefix),
    compareAndSwap: async (key, expected, value, lease = 0) => isClosed ? 'failed' : writeKey(kv, key, expected, value, lease),
    watch: (prefix, fromRevision, onChange, onEnd) => openWatch(watcher, prefix, fromRevision, onChange, onEnd),
    createLease: async ttlSeconds => isClosed ? undefined : createLease(leases, ttlSeconds),
    renewLease: async lease => isClosed ? false : renewLease(leases, lease),
    close: () => {
      isClosed = true
      kv.close()
      watcher.close()
      leases.close()
    }
  }
}

function computeDeadline (): { deadline: Date } {
  return { deadline: new Date(Date.now() + callTimeoutMs) }
}

function readPrefix (kv: KVClient, prefix: string): Promise<ReadOutcome> {
  const request = { key: Buffer.from(prefix), rangeEnd: computePrefixEnd(prefix), limit: 0, revision: 0 }
  return new Promise(resolve => {
    kv.range(request, new Metadata(), computeDeadline(), (error, response) => {
      if (error !== null) resolve({ kind: 'unavailable', detail: error.details })
      else resolve({ kind: 'read', values: response.kvs.map(decodeKeyValue), revision: response.header?.revision ?? 0 })
    })
  })
}

function writeKey (kv: KVClient, key: string, expected: number, value: string | undefined, lease: number): Promise<WriteResult> {
  const request = buildCompareAndSwap(key, expected, value, lease)
  return new Promise(resolve => {
    kv.txn(request, new Metadata(), computeDeadline(), (error, response) => {
      if (error !== null) resolve(readWriteError(error))
      else resolve(response.succeeded ? 'written' : 'conflict')
    })
  })
}

/** Converts an error of a write to its result. Only errors raised before the request left this host prove that nothing was written. */
function readWriteError (error: ServiceError): WriteResult {
  const isUnsent = error.code === status.UNAVAILABLE && error.details.includes('No connection established')
  return isUnsent ? 'failed' : 'unknown'
}

function openWatch (
  watcher: WatchClient,
  prefix: string,
  fromRevision: number,
  onChange: (change: StoreChange) => void,
  onEnd: () => void
): CancelWatch {
  const stream = watcher.watch()
  let isEnded = false
  const end = () => {
    if (isEnded) return
    isEnded = true
    stream.cancel()
    onEnd()
  }
  stream.on('data', (response: WatchResponse) => {
    if (response.canceled) {
      end()
      return
    }
    for (const event of response.events) {
      if (event.kv === undefined) continue
      const { key, value, modRevision } = decodeKeyValue(event.kv)
      onChange({ key, modRevision, value: event.type === eventTypeDelete ? undefined : value })
    }
  })
  stream.on('error', end)
  stream.on('end', end)
  stream.write({
    requestUnion: {
      $case: 'createRequest',
      createRequest: {
        key: Buffer.from(prefix),
        rangeEnd: computePrefixEnd(prefix),
        startRevision: fromRevision,
        progressNotify: false
      }
    }
  })
  return () => {
    isEnded = true
    stream.cancel()
  }
}

function createLease (leases: LeaseClient, ttlSeconds: number): Promise<number | undefined> {
  return new Promise(resolve => {
    leases.leaseGrant({ TTL: ttlSeconds, ID: 0 }, new Metadata(), computeDeadline(), (error, response) => {
      resolve(error === null ? response.ID : undefined)
    })
  })
}

function renewLease (leases: LeaseClient, lease: number): Promise<boolean> {
  return new Promise(resolve => {
    const stream = leases.leaseKeepAlive(computeDeadline())
    stream.on('data', (response: { TTL: number }) => {
      resolve(response.TTL > 0)
      stream.end()
    })
    stream.on('error', () => resolve(false))
    stream.on('end', () => resolve(false))
    stream.write({ ID: lease })
  })
}
