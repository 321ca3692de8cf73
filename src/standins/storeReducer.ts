import type { Step } from '../core/step.js'

/** Value of a key of the simulated store, with the metadata that etcd keeps; `lease` is 0 for a key without a lease. */
export type StoredKey = { value: string, modRevision: number, createRevision: number, version: number, lease: number }

/** Faults that can be injected into the simulated store. */
export type StoreFaults = {
  /** Whether every call is refused and every watch is ended. */
  down: boolean
  /** Delay of every reply to a call, in milliseconds. */
  delayMs: number
  /** Number of successful writes still to come that are applied but reported as unavailable. */
  lostReplies: number
  /** Whether watches stay open but send no changes. */
  muteWatches: boolean
  /** Number of revisions by which reads lag behind the newest one. */
  staleBy: number
}

/** One change, as sent to watches; `value` is undefined for a deletion. */
export type StoreHistoryEntry = { key: string, value: string | undefined, modRevision: number }

/** State of the simulated store. */
export type StoreState = {
  revision: number
  keys: Map<string, StoredKey>
  history: StoreHistoryEntry[]
  leases: Map<number, { ttlMs: number, expiresAt: number }>
  nextLease: number
  watches: Map<number, { from: string, to: string, nextRevision: number }>
  faults: StoreFaults
  calls: { reads: number, writes: number, watches: number, leases: number }
}

/**
 * Events of the simulated store. `now` is monotonic, in milliseconds. `from` is inclusive and `to` exclusive;
 * an empty `to` selects the single key `from`. `call` and `watch` identify the caller to answer.
 */
export type StoreEvent =
  | { kind: 'read', call: number, from: string, to: string }
  | { kind: 'write', call: number, key: string, expectedRevision: number, value: string | undefined, lease: number }
  | { kind: 'watch', watch: number, from: string, to: string, startRevision: number }
  | { kind: 'watch-ended', watch: number }
  | { kind: 'lease-grant', call: number, ttlMs: number, now: number }
  | { kind: 'lease-keep-alive', call: number, lease: number, now: number }
  | { kind: 'tick', now: number }
  | { kind: 'faults', faults: Partial<StoreFaults> }

/** Effects of the simulated store; replies are sent after `delayMs` milliseconds. */
export type StoreEffect =
  | { kind: 'reply-read', call: number, values: Array<[string, StoredKey]>, revision: number, delayMs: number }
  | { kind: 'reply-write', call: number, succeeded: boolean, revision: number, delayMs: number }
  | { kind: 'reply-lease', call: number, lease: number, ttlMs: number, delayMs: number }
  | { kind: 'refuse', call: number, delayMs: number }
  | { kind: 'send-changes', watch: number, changes: StoreHistoryEntry[], revision: number }
  | { kind: 'end-watches', watches: number[] }

/** Builds the state of an empty store. */
export function buildStoreState (): StoreState {
  return {
    revision: 1,
    keys: new Map(),
    history: [],
    leases: new Map(),
    nextLease: 1,
    watches: new Map(),
    faults: { down: false, delayMs: 0, lostReplies: 0, muteWatches: false, staleBy: 0 },
    calls: { reads: 0, writes: 0, watches: 0, leases: 0 }
  }
}

/** Applies one event to the simulated store. */
export function reduceStore (state: StoreState, event: StoreEvent): Step<StoreState, StoreEffect> {
  return { state, effects: applyEvent(state, event) }
}

function applyEvent (state: StoreState, event: StoreEvent): StoreEffect[] {
  switch (event.kind) {
    case 'read': return readKeys(state, event)
    case 'write': return writeKey(state, event)
    case 'watch': return openWatch(state, event)
    case 'watch-ended': {
      state.watches.delete(event.watch)
      return []
    }
    case 'lease-grant': return grantLease(state, event)
    case 'lease-keep-alive': return renewLease(state, event)
    case 'tick': return dropExpiredLeases(state, event.now)
    case 'faults': return setFaults(state, event.faults)
  }
}

function readKeys (state: StoreState, event: Extract<StoreEvent, { kind: 'read' }>): StoreEffect[] {
  state.calls.reads += 1
  const { delayMs, down, staleBy } = state.faults
  if (down) return [{ kind: 'refuse', call: event.call, delayMs }]
  const revision = Math.max(1, state.revision - staleBy)
  const keys = staleBy === 0 ? state.keys : buildEarlierKeys(state.history, revision)
  const values = [...keys].filter(([key]) => isInRange(key, event.from, event.to))
  return [{ kind: 'reply-read', call: event.call, values, revision, delayMs }]
}

/** Rebuilds the keys as of an earlier revision from the history. */
function buildEarlierKeys (history: readonly StoreHistoryEntry[], revision: number): Map<string, StoredKey> {
  const keys = new Map<string, StoredKey>()
  for (const entry of history) {
    if (entry.modRevision > revision) break
    if (entry.value === undefined) keys.delete(entry.key)
    else keys.set(entry.key, { value: entry.value, modRevision: entry.modRevision, createRevision: entry.modRevision, version: 1, lease: 0 })
  }
  return keys
}

function isInRange (key: string, from: string, to: string): boolean {
  return to === '' ? key === from : key >= from && key < to
}

function writeKey (state: StoreState, event: Extract<StoreEvent, { kind: 'write' }>): StoreEffect[] {
  state.calls.writes += 1
  const { delayMs, down } = state.faults
  if (down) return [{ kind: 'refuse', call: event.call, delayMs }]
  const stored = state.keys.get(event.key)
  if ((stored?.modRevision ?? 0) !== event.expectedRevision) {
    return [{ kind: 'reply-write', call: event.call, succeeded: false, revision: state.revision, delayMs }]
  }
  const effects = setKey(state, event.key, event.value, event.lease)
  if (state.faults.lostReplies > 0) {
    state.faults.lostReplies -= 1
    return [...effects, { kind: 'refuse', call: event.call, delayMs }]
  }
  return [...effects, { kind: 'reply-write', call: event.call, succeeded: true, revision: state.revision, delayMs }]
}

function setKey (state: StoreState, key: string, value: string | undefined, lease: number): StoreEffect[] {
  state.revision += 1
  const stored = state.keys.get(key)
  if (value === undefined) {
    state.keys.delete(key)
  } else {
    state.keys.set(key, {
      value,
      lease,
      modRevision: state.revision,
      createRevision: stored?.createRevision ?? state.revision,
      version: (stored?.version ?? 0) + 1
    })
  }
  state.history.push({ key, value, modRevision: state.revision })
  return notifyWatches(state)
}

function openWatch (state: StoreState, event: Extract<StoreEvent, { kind: 'watch' }>): StoreEffect[] {
  state.calls.watches += 1
  if (state.faults.down) return [{ kind: 'end-watches', watches: [event.watch] }]
  const nextRevision = event.startRevision === 0 ? state.revision + 1 : event.startRevision
  state.watches.set(event.watch, { from: event.from, to: event.to, nextRevision })
  return notifyWatches(state)
}

function notifyWatches (state: StoreState): StoreEffect[] {
  if (state.faults.muteWatches) return []
  const effects: StoreEffect[] = []
  for (const [watch, watchedRange] of state.watches) {
    if (watchedRange.nextRevision > state.revision) continue
    const changes = listChanges(state, watchedRange)
    watchedRange.nextRevision = state.revision + 1
    if (changes.length > 0) effects.push({ kind: 'send-changes', watch, changes, revision: state.revision })
  }
  return effects
}

function listChanges (state: StoreState, watchedRange: { from: string, to: string, nextRevision: number }): StoreHistoryEntry[] {
  const changes: StoreHistoryEntry[] = []
  for (let index = state.history.length - 1; index >= 0; index--) {
    const entry = state.history[index]
    if (entry === undefined || entry.modRevision < watchedRange.nextRevision) break
    if (isInRange(entry.key, watchedRange.from, watchedRange.to)) changes.unshift(entry)
  }
  return changes
}

function grantLease (state: StoreState, event: Extract<StoreEvent, { kind: 'lease-grant' }>): StoreEffect[] {
  state.calls.leases += 1
  const { delayMs, down } = state.faults
  if (down) return [{ kind: 'refuse', call: event.call, delayMs }]
  const lease = state.nextLease
  state.nextLease += 1
  state.leases.set(lease, { ttlMs: event.ttlMs, expiresAt: event.now + event.ttlMs })
  return [{ kind: 'reply-lease', call: event.call, lease, ttlMs: event.ttlMs, delayMs }]
}

function renewLease (state: StoreState, event: Extract<StoreEvent, { kind: 'lease-keep-alive' }>): StoreEffect[] {
  state.calls.leases += 1
  const { delayMs, down } = state.faults
  if (down) return [{ kind: 'refuse', call: event.call, delayMs }]
  const lease = state.leases.get(event.lease)
  if (lease !== undefined) lease.expiresAt = event.now + lease.ttlMs
  return [{ kind: 'reply-lease', call: event.call, lease: event.lease, ttlMs: lease?.ttlMs ?? 0, delayMs }]
}

/** Deletes expired leases and their keys. Leases do not expire while the store is down, because the leader of an etcd cluster extends them when it takes over. */
function dropExpiredLeases (state: StoreState, now: number): StoreEffect[] {
  if (state.faults.down) {
    for (const lease of state.leases.values()) lease.expiresAt = now + lease.ttlMs
    return []
  }
  const effects: StoreEffect[] = []
  for (const [id, lease] of state.leases) {
    if (lease.expiresAt > now) continue
    state.leases.delete(id)
    for (const [key, stored] of [...state.keys]) {
      if (stored.lease === id) effects.push(...setKey(state, key, undefined, 0))
    }
  }
  return effects
}

function setFaults (state: StoreState, faults: Partial<StoreFaults>): StoreEffect[] {
  Object.assign(state.faults, faults)
  if (state.faults.down) {
    const watches = [...state.watches.keys()]
    state.watches.clear()
    return [{ kind: 'end-watches', watches }]
  }
  return notifyWatches(state)
}
