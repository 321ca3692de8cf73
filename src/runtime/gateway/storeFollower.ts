import type { GatewayEvent } from '../../core/gateway/events.js'
import type { LogEvent } from '../log.js'
import type { TimerService } from '../timerService.js'
import type { ChangesSince, EditedValue, FindEarlierValue, RelayedChanges, StoreItemChange } from '../../core/gateway/storeView.js'
import type { GatewayWire, MetadataStore, StoreFailure } from './ports.js'
import { decodeGrantingHost, decodeGrantingRecord, decodePlacement, grantingHostKey, lastGrantingHostKey, placementKey } from '../../protocol/placementRecord.js'
import { applyChange, applyEditedValue, buildStoreView, findEarlierValue, listImpliedDeletions, listChangesSince, setSnapshotRevision } from '../../core/gateway/storeView.js'
import { countRestores } from '../../core/gateway/storeRestores.js'
import { runtimeEventNumbers } from '../log.js'
import { createLeftOutValueReader } from './leftOutValues.js'
import { runDetached } from '../runDetached.js'

/** Minimum time that one watch call waits for changes, in milliseconds. Each answer confirms up to when this host's view is current, and a silently broken connection is detected soon after this time. */
const watchWaitMs = 200
/** Maximum number of edits kept until their base values have been read: more than arrive during a read. */
const maxHeldEdits = 32
/** Delay before the next call to the store after a failure, in milliseconds. */
const retryDelayMs = 150

/** Dependencies of the store follower. */
export type GatewayFollowerParts = {
  store: MetadataStore
  wire: GatewayWire
  timers: TimerService
  post: (event: GatewayEvent) => boolean
  log: LogEvent
  /** Returns the pause between two watch calls after changes, in milliseconds. */
  getWatchPauseMs: () => number
  countRejectedValue: () => void
}

/** Follows the store until stopped. */
export type GatewayFollower = {
  /** Reads everything again, in parallel with the watch. */
  refresh: () => void
  /** Starts or stops watching the store; while it is not watched, changes come from the granting host. */
  setWatching: (isOn: boolean) => void
  /** Applies changes relayed by the granting host. */
  applyRelayedChanges: (relayed: RelayedChanges) => void
  /** Lists the changes needed by a host that knows the store up to a revision; undefined before the first complete read. */
  listChangesSince: (revision: number) => ChangesSince | undefined
  /** Finds the value that a key had at a revision, if it was large and is still kept. */
  findEarlierValue: FindEarlierValue
  stop: () => void
}

/** When the next call to the store follows: immediately, after the pause that batches changes, or after the retry delay. */
type NextCall = 'at-once' | 'batch' | 'retry'

/** Follows configuration, registrations and the gateways' own records in the store: reads everything once, then watches for changes from that revision on. */
export function followStore (parts: GatewayFollowerParts): GatewayFollower {
  const { store, timers } = parts
  const view = buildStoreView()
  let isStopped = false
  let isWatching = true
  let isLoopRunning = false
  /** Whether changes after the view's revision may have been missed, so that everything must be read again. */
  let isFullReadDue = true
  /** Revision up to which the granting host has relayed all changes, including the keys whose values it left out. */
  let relayedRevision = -Infinity

  /** Applies a change and posts its event, unless this change or a newer one of the same key is known. `graceMs`: see RelayedChanges; undefined when this host read the change from the store itself. */
  const applyAndPost = (change: StoreItemChange, graceMs: number | undefined) => {
    if (applyChange(view, change)) postChange(parts, change, graceMs)
  }
  const postSynced = (startedAt: number) => {
    parts.post({ kind: 'store-synced', now: timers.clock.now(), startedAt, revision: view.revision ?? 0 })
  }
  const postKnown = (asOf: number) => { parts.post({ kind: 'store-known', now: timers.clock.now(), asOf }) }
  const recordFailure = (call: 'read' | 'watch', startedAt: number, failure: StoreFailure) => {
    const now = timers.clock.now()
    parts.post({ kind: 'store-lost', now, reachableAt: failure.isCut ? now : startedAt })
    parts.log(runtimeEventNumbers.storeCallFailed, 'storeCallFailed', { call, problem: failure.problem })
  }
  const readAll = async (): Promise<NextCall> => {
    const startedAt = timers.clock.now()
    const read = await store.readAll(parts.wire.watchPrefix)
    if (isStopped) return 'retry'
    if (read.kind === 'failed') {
      recordFailure('read', startedAt, read)
      return 'retry'
    }
    // 'store-synced' is posted before the changes, so that registrations that expired during an outage get their grace period.
    postSynced(-Infinity)
    for (const item of read.items) applyAndPost(item, undefined)
    for (const change of listImpliedDeletions(view, read.items.map(item => item.key), read.revision)) applyAndPost(change, undefined)
    // A read in parallel with the watch does not advance the watch's revision: keys created and deleted in between are only seen by the watch.
    const isSnapshot = isFullReadDue
    if (isSnapshot) setSnapshotRevision(view, read.revision)
    isFullReadDue = false
    postSynced(startedAt)
    if (isSnapshot) postKnown(startedAt)
    return 'batch'
  }
  const watchOnce = async (from: number): Promise<NextCall> => {
    const startedAt = timers.clock.now()
    const result = await store.watch(parts.wire.watchPrefix, from, Math.max(watchWaitMs, parts.getWatchPauseMs()))
    if (isStopped) return 'retry'
    switch (result.kind) {
      case 'failed':
        recordFailure('watch', startedAt, result)
        return 'retry'
      case 'compacted':
      case 'too-long':
        isFullReadDue = true
        return 'at-once'
      case 'changed':
        // If the store's revision advanced but no changes were sent, the store is withholding changes.
        if (result.changes.length === 0 && result.revision > Math.max(from, view.revision ?? from)) {
          isFullReadDue = true
          return 'at-once'
        }
        // As after a read, 'store-synced' precedes the changes.
        postSynced(-Infinity)
        for (const change of result.changes) applyAndPost(change, undefined)
        view.revision = Math.max(view.revision ?? from, result.revision)
        postSynced(-Infinity)
        postKnown(startedAt)
        return result.changes.length > 0 ? 'batch' : 'at-once'
    }
  }
  /** Posts the revision relayed by the granting host. The view advances to it once no left-out values are pending. */
  const advanceRelayedRevision = () => {
    if (view.revision === undefined) return
    if (!leftOutValues.isPending()) view.revision = Math.max(view.revision, relayedRevision)
    parts.post({ kind: 'changes-told', now: timers.clock.now(), receivedRevision: relayedRevision, revision: view.revision })
  }
  const isKnown = (key: string, revision: number) => (view.entries.get(key)?.revision ?? 0) >= revision
  /** Edits whose base values are not known yet. */
  let heldEdits: EditedValue[] = []
  /** Applies in order the edits whose base values are known. */
  const applyHeldEdits = () => {
    for (const edited of heldEdits) {
      const change = applyEditedValue(view, edited)
      if (change !== undefined) applyAndPost(change, undefined)
    }
    heldEdits = heldEdits.filter(({ key, revision }) => !isKnown(key, revision)).slice(-maxHeldEdits)
  }
  const leftOutValues = createLeftOutValueReader({
    store,
    timers,
    applyItem: item => {
      applyAndPost(item, undefined)
      applyHeldEdits()
    },
    isKnown,
    onFailure: (startedAt, failure) => {
      // The changes relayed meanwhile are relayed again or read by a watch.
      relayedRevision = -Infinity
      advanceRelayedRevision()
      recordFailure('read', startedAt, failure)
    },
    onFinish: advanceRelayedRevision
  })
  const wait = async (ms: number) => { await new Promise<void>(resolve => timers.schedule(ms, () => resolve())) }
  const isRunning = () => !isStopped && isWatching
  const loop = async () => {
    if (isLoopRunning) return
    isLoopRunning = true
    while (isRunning()) {
      const nextCall = isFullReadDue || view.revision === undefined ? await readAll() : await watchOnce(view.revision)
      const pauseMs = { 'at-once': 0, batch: parts.getWatchPauseMs(), retry: retryDelayMs }[nextCall]
      if (pauseMs > 0 && !isStopped) await wait(pauseMs)
    }
    isLoopRunning = false
  }
  store.watchRestores?.(restores => { parts.post({ kind: 'store-restored', now: timers.clock.now(), restores }) })
  runDetached(loop())
  return {
    refresh: () => runDetached(readAll().then(() => {})),
    setWatching: isOn => {
      isWatching = isOn
      if (isOn) runDetached(loop())
    },
    applyRelayedChanges: relayed => {
      // The sender does not know yet that the store was restored, and what it relays may be lost.
      if (countRestores(relayed.to) < countRestores(view.revision ?? 0)) return
      // The newest change of each key is applied regardless of its source. While this host watches the store, the watch may be stalled for this host only.
      for (const change of relayed.changes) applyAndPost(change, relayed.graceMs)
      // The value of an evacuation does not matter: a large one that was not sent along need not be read first.
      for (const { key, revision } of [...relayed.leftOut, ...relayed.edited]) {
        if (parts.wire.findKeyRole(key).kind === 'evacuation') applyAndPost({ key, value: '', revision }, relayed.graceMs)
      }
      if (view.revision === undefined || relayed.from > Math.max(view.revision, relayedRevision)) {
        parts.log(runtimeEventNumbers.changesNotTaken, 'changesNotTaken', { from: relayed.from, to: relayed.to, storeRevision: view.revision })
        return
      }
      if (relayed.present !== undefined) for (const change of listImpliedDeletions(view, relayed.present, relayed.to)) applyAndPost(change, relayed.graceMs)
      relayedRevision = Math.max(relayedRevision, relayed.to)
      heldEdits.push(...relayed.edited)
      applyHeldEdits()
      const missing = [...relayed.leftOut, ...relayed.edited].filter(({ key, revision }) => !isKnown(key, revision))
      if (missing.length > 0) runDetached(leftOutValues.read(missing))
      advanceRelayedRevision()
    },
    listChangesSince: revision => {
      const since = listChangesSince(view, revision)
      // The placement is left out, because hosts receive it as changes of owners.
      return since === undefined ? undefined : { ...since, changes: since.changes.filter(change => change.key !== placementKey) }
    },
    findEarlierValue: (key, revision) => findEarlierValue(view, key, revision),
    stop: () => { isStopped = true }
  }
}

function postChange (parts: GatewayFollowerParts, { key, value, revision }: StoreItemChange, graceMs: number | undefined): void {
  const now = parts.timers.clock.now()
  const reject = (problem: string) => {
    parts.countRejectedValue()
    parts.log(runtimeEventNumbers.storeValueRejected, 'storeValueRejected', { key, revision, problem })
  }
  if (key === grantingHostKey) {
    const granting = value === undefined ? undefined : decodeGrantingHost(value)
    if (value !== undefined && granting === undefined) return reject('value is not a valid granting host')
    parts.post({ kind: 'granting-host-read', now, granting, revision })
    return
  }
  if (key === lastGrantingHostKey) {
    if (value === undefined) return
    const record = decodeGrantingRecord(value)
    if (record === undefined) return reject('value is not a valid record of granting hosts')
    parts.post({ kind: 'last-granting-host-read', now, record, revision })
    return
  }
  if (key === placementKey) {
    if (value === undefined) return
    const placement = decodePlacement(value)
    if (placement === undefined) return reject('value is not a valid placement')
    parts.post({ kind: 'placement-read', now, placement, revision })
    return
  }
  const role = parts.wire.findKeyRole(key)
  if (role.kind === 'configuration' && value !== undefined) {
    const decoded = parts.wire.decodeConfiguration(value)
    if (decoded.kind === 'invalid') return reject(decoded.problem)
    parts.post({ kind: 'configuration-read', now, configuration: decoded.value, revision })
  }
  if (role.kind === 'evacuation') parts.post({ kind: 'evacuation-read', now, zone: role.zone, isRequested: value !== undefined })
  if (role.kind !== 'registration') return
  if (value === undefined) {
    parts.post({ kind: 'backend-gone', now, id: role.id, graceMs })
    return
  }
  const decoded = parts.wire.decodeRegistration(role.id, value)
  if (decoded.kind === 'invalid') {
    reject(decoded.problem)
    return
  }
  parts.post({ kind: 'backend-read', now, backend: decoded.value })
}
