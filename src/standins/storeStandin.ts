import type { sendUnaryData, ServerDuplexStream, ServerUnaryCall } from '@grpc/grpc-js'
import type {
  KVServer, LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseServer, RangeResponse, TxnRequest, TxnResponse, WatchRequest,
  WatchResponse, WatchServer
} from '../protocol/gen/store.js'
import type { TimerService } from '../runtime/timerService.js'
import type { StoredKey, StoreEffect, StoreEvent, StoreFaults, StoreHistoryEntry, StoreState } from './storeReducer.js'
import { Server, ServerCredentials, status } from '@grpc/grpc-js'
import { eventTypeDelete } from '../protocol/etcd.js'
import { KVService, LeaseService, WatchService } from '../protocol/gen/store.js'
import { listenGrpc } from '../runtime/listen.js'
import { startProgram } from '../runtime/program.js'
import { buildStoreState, reduceStore } from './storeReducer.js'

/** Interval between checks for expired leases, in milliseconds. */
const leaseCheckMs = 200

/** A running store stand-in: simulates the platform's store in memory. */
export type StoreStandin = {
  address: string
  setFaults: (faults: Partial<StoreFaults>) => void
  getState: () => StoreState
  stop: () => void
}

type PendingCall = { succeed: (effect: StoreEffect) => void, refuse: () => void }

/** Starts a store stand-in that serves the part of the etcd v3 API that this project uses; undefined if it cannot listen on the address. */
export async function startStoreStandin (address: string, timers: TimerService): Promise<StoreStandin | undefined> {
  const pending = new Map<number, PendingCall>()
  const watches = new Map<number, ServerDuplexStream<WatchRequest, WatchResponse>>()
  let lastId = 0
  const nextId = () => {
    lastId += 1
    return lastId
  }
  const runAfter = (delayMs: number, action: () => void) => {
    if (delayMs === 0) action()
    else timers.schedule(delayMs, action)
  }
  const finishCall = (call: number, delayMs: number, finish: (pendingCall: PendingCall) => void) => {
    const pendingCall = pending.get(call)
    pending.delete(call)
    if (pendingCall !== undefined) runAfter(delayMs, () => finish(pendingCall))
  }
  const interpret = (effect: StoreEffect): void => {
    switch (effect.kind) {
      case 'refuse': return finishCall(effect.call, effect.delayMs, pendingCall => pendingCall.refuse())
      case 'reply-read':
      case 'reply-write':
      case 'reply-lease': return finishCall(effect.call, effect.delayMs, pendingCall => pendingCall.succeed(effect))
      case 'send-changes': {
        watches.get(effect.watch)?.write(buildWatchResponse(effect.watch, effect.changes, effect.revision))
        return
      }
      case 'end-watches': {
        for (const watch of effect.watches) {
          watches.get(watch)?.end()
          watches.delete(watch)
        }
      }
    }
  }
  const program = startProgram<StoreState, StoreEvent, StoreEffect>({ state: buildStoreState(), reduce: reduceStore, interpret })
  const postCall = (buildEvent: (id: number) => StoreEvent, succeed: (effect: StoreEffect) => void, refuse: () => void) => {
    const id = nextId()
    pending.set(id, { succeed, refuse })
    program.post(buildEvent(id))
  }
  const server = new Server()
  server.addService(KVService, buildKvService(postCall))
  server.addService(LeaseService, buildLeaseService(postCall, timers))
  server.addService(WatchService, buildWatchService(watches, nextId, event => { program.post(event) }))
  const port = await listenGrpc(server, address, ServerCredentials.createInsecure())
  if (port.kind === 'failed') return undefined
  const stopTick = timers.subscribe(leaseCheckMs, now => { program.post({ kind: 'tick', now }) })
  return {
    address: port.address,
    setFaults: faults => { program.post({ kind: 'faults', faults }) },
    getState: program.getState,
    stop: () => {
      stopTick()
      server.forceShutdown()
      program.stop()
    }
  }
}

type PostCall = (buildEvent: (id: number) => StoreEvent, succeed: (effect: StoreEffect) => void, refuse: () => void) => void

const unavailable = { code: status.UNAVAILABLE, details: 'the store is down' }

function buildHeader (revision: number) {
  return { clusterId: 1, memberId: 1, revision, raftTerm: 1 }
}

function buildKvService (postCall: PostCall): KVServer {
  return {
    range: (request, callback: sendUnaryData<RangeResponse>) => {
      const { key, rangeEnd } = request.request
      postCall(id => ({ kind: 'read', call: id, from: key.toString(), to: rangeEnd.toString() }), effect => {
        if (effect.kind !== 'reply-read') return
        const kvs = effect.values.map(([key, stored]) => encodeKeyValue(key, stored))
        callback(null, { header: buildHeader(effect.revision), kvs, more: false, count: kvs.length })
      }, () => callback(unavailable))
    },
    txn: (request, callback: sendUnaryData<TxnResponse>) => {
      const event = decodeWrite(request)
      if (event === undefined) {
        callback({ code: status.INVALID_ARGUMENT, details: 'a transaction must have exactly one compare, of mod_revision, and one put or delete' })
        return
      }
      postCall(id => ({ ...event, call: id }), effect => {
        if (effect.kind !== 'reply-write') return
        callback(null, { header: buildHeader(effect.revision), succeeded: effect.succeeded, responses: [] })
      }, () => callback(unavailable))
    }
  }
}

function encodeKeyValue (name: string, stored: StoredKey) {
  const { modRevision, createRevision, version, lease } = stored
  return { key: Buffer.from(name), value: Buffer.from(stored.value), modRevision, createRevision, version, lease }
}

function decodeWrite (request: ServerUnaryCall<TxnRequest, TxnResponse>): Extract<StoreEvent, { kind: 'write' }> | undefined {
  const { compare, success } = request.request
  const condition = compare[0]
  const operation = success[0]?.request
  if (compare.length !== 1 || success.length !== 1) return undefined
  if (condition?.targetUnion?.$case !== 'modRevision' || operation === undefined) return undefined
  const write = { kind: 'write' as const, call: 0, key: condition.key.toString(), expectedRevision: condition.targetUnion.modRevision }
  if (operation.$case === 'requestPut') {
    const { value, lease } = operation.requestPut
    return { ...write, value: value.toString(), lease }
  }
  if (operation.$case === 'requestDeleteRange') return { ...write, value: undefined, lease: 0 }
  return undefined
}

function buildLeaseService (postCall: PostCall, timers: TimerService): LeaseServer {
  return {
    leaseGrant: (request, callback) => {
      const ttlMs = request.request.TTL * 1000
      postCall(id => ({ kind: 'lease-grant', call: id, ttlMs, now: timers.clock.now() }), effect => {
        if (effect.kind !== 'reply-lease') return
        callback(null, { header: buildHeader(0), ID: effect.lease, TTL: effect.ttlMs / 1000, error: '' })
      }, () => callback(unavailable))
    },
    leaseKeepAlive: (stream: ServerDuplexStream<LeaseKeepAliveRequest, LeaseKeepAliveResponse>) => {
      stream.on('data', (request: LeaseKeepAliveRequest) => {
        postCall(id => ({ kind: 'lease-keep-alive', call: id, lease: request.ID, now: timers.clock.now() }), effect => {
          if (effect.kind !== 'reply-lease') return
          stream.write({ header: buildHeader(0), ID: effect.lease, TTL: effect.ttlMs / 1000 })
        }, () => stream.end())
      })
      stream.on('end', () => stream.end())
      stream.on('error', () => {})
    }
  }
}

function buildWatchService (
  watches: Map<number, ServerDuplexStream<WatchRequest, WatchResponse>>,
  nextId: () => number,
  post: (event: StoreEvent) => void
): WatchServer {
  return {
    watch: stream => {
      const watch = nextId()
      watches.set(watch, stream)
      stream.on('data', (request: WatchRequest) => {
        if (request.requestUnion?.$case !== 'createRequest') return
        const { key, rangeEnd, startRevision } = request.requestUnion.createRequest
        post({ kind: 'watch', watch, from: key.toString(), to: rangeEnd.toString(), startRevision })
      })
      const end = () => {
        if (!watches.delete(watch)) return
        post({ kind: 'watch-ended', watch })
        stream.end()
      }
      stream.on('error', end)
      stream.on('cancelled', end)
      stream.on('end', end)
    }
  }
}

function buildWatchResponse (watch: number, changes: readonly StoreHistoryEntry[], revision: number): WatchResponse {
  return {
    header: buildHeader(revision),
    watchId: watch,
    created: false,
    canceled: false,
    compactRevision: 0,
    events: changes.map(change => ({
      type: change.value === undefined ? eventTypeDelete : 0,
      kv: {
        key: Buffer.from(change.key),
        value: Buffer.from(change.value ?? ''),
        modRevision: change.modRevision,
        createRevision: 0,
        version: 0,
        lease: 0
      },
      prevKv: undefined
    }))
  }
}
