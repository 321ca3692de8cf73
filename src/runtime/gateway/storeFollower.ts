import type { GatewayEvent } from '../../core/gateway/events.js'
import type { LogEvent } from '../log.js'
import type { TimerService } from '../timerService.js'
import type { ChangesSince, EditedValue, FindEarlierValue, RelayedChanges, StoreItemChange } from '../../core/gateway/storeView.js'
import type { GatewayWire, MetadataStore, StoreFailure } from './ports.js'
import { decodeGrantingHost, decodeGrantingRecord, decodePlacement, grantingHostKey, lastGrantingHostKey, placementKey } from '../../protocol/placementRecord.js'
import { applyChange, applyEditedValue, buildStoreView, findEarlierValue, listImpliedDeletions, listChangesSince, setSnapshotRevision } from '../../core/gateway/storeView.js'
import { runtimeEventNumbers } from '../log.js'
import { createLeftOutValues } from './leftOutValues.js'
import { runDetached } from '../runDetached.js'

/** Shortest wait of one watch, in milliseconds: each answer shows how much is known here, and a watch cut without notice is found out soon after. */
const watchWaitMs = 200
/** Edits that are kept for a value that is being read: more than come while it arrives. */
const mostHeldEdits = 32
/** Pause before the store is asked again after a failure, in milliseconds. */
const retryPauseMs = 150

/** What the follower works with. */
export type GatewayFollowerParts = {
  store: MetadataStore
  wire: GatewayWire
  timers: TimerService
  post: (event: GatewayEvent) => boolean
  log: LogEvent
  /** Time between two watches after changes, in milliseconds. */
  getGatherMs: () => number
  countRejected: () => void
}

/** Follows the store until stopped. */
export type GatewayFollower = {
  /** Reads everything again beside the watch. */
  refresh: () => void
  /** Whether the store is watched; without it the changes come from the granting host. */
  setWatching: (isOn: boolean) => void
  /** Takes changes that the granting host passed on. */
  takeRelayed: (relayed: RelayedChanges) => void
  /** Lists what a host needs that knows the store up to a revision; undefined before the first reading. */
  listChangesSince: (revision: number) => ChangesSince | undefined
  /** Finds the value that a key had at a revision, if it was large and is kept. */
  findEarlier: FindEarlierValue
  stop: () => void
}

/** What came of one turn of following the store, and so how long to wait before the next. */
type Turn = 'go-on' | 'gather' | 'pause'

/** Follows configuration, registrations and own records by a read and watches from its revision on. */
export function followStore (parts: GatewayFollowerParts): GatewayFollower {
  const { store, timers } = parts
  const view = buildStoreView()
  let stopped = false
  let isWatching = true
  let isLooping = false
  /** Whether the history after the view's revision may be lost, so that everything has to be read. */
  let hasGap = true
  /** Revision up to which the granting host has told everything, what it left out included. */
  let toldTo = -Infinity

  /** Takes one change, unless a newer one of its key is known. `graceMs`: see RelayedChanges; undefined when this host heard it from the store. */
  const take = (change: StoreItemChange, graceMs: number | undefined) => {
    if (applyChange(view, change)) postChange(parts, change, graceMs)
  }
  const postSynced = (startedAt: number) => {
    parts.post({ kind: 'store-synced', now: timers.clock.now(), startedAt, revision: view.revision ?? 0 })
  }
  const postKnown = (asOf: number) => { parts.post({ kind: 'store-known', now: timers.clock.now(), asOf }) }
  const noteFailure = (call: 'read' | 'watch', startedAt: number, failure: StoreFailure) => {
    const now = timers.clock.now()
    parts.post({ kind: 'store-lost', now, heardAt: failure.isCut ? now : startedAt })
    parts.log(runtimeEventNumbers.storeCallFailed, 'storeCallFailed', { call, problem: failure.problem })
  }
  const readAll = async (): Promise<Turn> => {
    const startedAt = timers.clock.now()
    const read = await store.readAll(parts.wire.watchPrefix)
    if (stopped) return 'pause'
    if (read.kind === 'failed') {
      noteFailure('read', startedAt, read)
      return 'pause'
    }
    // The regain comes first, so that what lapsed during an outage gets its grace.
    postSynced(-Infinity)
    for (const item of read.items) take(item, undefined)
    for (const change of listImpliedDeletions(view, read.items.map(item => item.key), read.revision)) take(change, undefined)
    // A reading beside a watch leaves the watch's place: the watch tells what came and went in between.
    const isWhole = hasGap
    if (isWhole) setSnapshotRevision(view, read.revision)
    hasGap = false
    postSynced(startedAt)
    if (isWhole) postKnown(startedAt)
    return 'gather'
  }
  const watchOnce = async (from: number): Promise<Turn> => {
    const startedAt = timers.clock.now()
    const watched = await store.watch(parts.wire.watchPrefix, from, Math.max(watchWaitMs, parts.getGatherMs()))
    if (stopped) return 'pause'
    switch (watched.kind) {
      case 'failed':
        noteFailure('watch', startedAt, watched)
        return 'pause'
      case 'compacted':
      case 'too-long':
        hasGap = true
        return 'go-on'
      case 'changed':
        // A store that counts changes on and shows none is holding them back.
        if (watched.changes.length === 0 && watched.revision > Math.max(from, view.revision ?? from)) {
          hasGap = true
          return 'go-on'
        }
        // As after a reading: the regain comes before what lapsed.
        postSynced(-Infinity)
        for (const change of watched.changes) take(change, undefined)
        view.revision = Math.max(view.revision ?? from, watched.revision)
        postSynced(-Infinity)
        postKnown(startedAt)
        return watched.changes.length > 0 ? 'gather' : 'go-on'
    }
  }
  /** Notes how far the granting host has told, and that all of it is known once nothing that it left out is missing. */
  const advanceTold = () => {
    if (view.revision === undefined) return
    if (!leftOut.isPending()) view.revision = Math.max(view.revision, toldTo)
    parts.post({ kind: 'changes-told', now: timers.clock.now(), receivedRevision: toldTo, revision: view.revision })
  }
  const isKnown = (key: string, revision: number) => (view.entries.get(key)?.revision ?? 0) >= revision
  /** Edits of values that are being read. */
  let heldEdits: EditedValue[] = []
  /** Takes the edits that fit what is known, each after the one before. */
  const takeEdited = () => {
    for (const edited of heldEdits) {
      const change = applyEditedValue(view, edited)
      if (change !== undefined) take(change, undefined)
    }
    heldEdits = heldEdits.filter(({ key, revision }) => !isKnown(key, revision)).slice(-mostHeldEdits)
  }
  const leftOut = createLeftOutValues({
    store,
    timers,
    take: item => {
      take(item, undefined)
      takeEdited()
    },
    isKnown,
    fail: (startedAt, failure) => {
      // What was told meanwhile is told again, or read by a watch.
      toldTo = -Infinity
      advanceTold()
      noteFailure('read', startedAt, failure)
    },
    finish: advanceTold
  })
  const wait = async (ms: number) => { await new Promise<void>(resolve => timers.schedule(ms, () => resolve())) }
  const isRunning = () => !stopped && isWatching
  const loop = async () => {
    if (isLooping) return
    isLooping = true
    while (isRunning()) {
      const turn = hasGap || view.revision === undefined ? await readAll() : await watchOnce(view.revision)
      const pauseMs = { 'go-on': 0, gather: parts.getGatherMs(), pause: retryPauseMs }[turn]
      if (pauseMs > 0 && !stopped) await wait(pauseMs)
    }
    isLooping = false
  }
  runDetached(loop())
  return {
    refresh: () => runDetached(readAll().then(() => {})),
    setWatching: isOn => {
      isWatching = isOn
      if (isOn) runDetached(loop())
    },
    takeRelayed: relayed => {
      // Each key's newest change counts, wherever it comes from: also while this host watches the store, which may be silent to it alone.
      for (const change of relayed.changes) take(change, relayed.graceMs)
      if (view.revision === undefined || relayed.from > Math.max(view.revision, toldTo)) {
        parts.log(runtimeEventNumbers.changesNotTaken, 'changesNotTaken', { from: relayed.from, to: relayed.to, storeRevision: view.revision })
        return
      }
      if (relayed.present !== undefined) for (const change of listImpliedDeletions(view, relayed.present, relayed.to)) take(change, relayed.graceMs)
      toldTo = Math.max(toldTo, relayed.to)
      heldEdits.push(...relayed.edited)
      takeEdited()
      const missing = [...relayed.leftOut, ...relayed.edited].filter(({ key, revision }) => !isKnown(key, revision))
      if (missing.length > 0) runDetached(leftOut.read(missing))
      advanceTold()
    },
    listChangesSince: revision => {
      const since = listChangesSince(view, revision)
      // The placement goes to the hosts as changes of owners.
      return since === undefined ? undefined : { ...since, changes: since.changes.filter(change => change.key !== placementKey) }
    },
    findEarlier: (key, revision) => findEarlierValue(view, key, revision),
    stop: () => { stopped = true }
  }
}

function postChange (parts: GatewayFollowerParts, { key, value, revision }: StoreItemChange, graceMs: number | undefined): void {
  const now = parts.timers.clock.now()
  const reject = (problem: string) => {
    parts.countRejected()
    parts.log(runtimeEventNumbers.storeValueRejected, 'storeValueRejected', { key, revision, problem })
  }
  if (key === grantingHostKey) {
    const granting = value === undefined ? undefined : decodeGrantingHost(value)
    if (value !== undefined && granting === undefined) return reject('not a granting host')
    parts.post({ kind: 'granting-host-read', now, granting, revision })
    return
  }
  if (key === lastGrantingHostKey) {
    if (value === undefined) return
    const record = decodeGrantingRecord(value)
    if (record === undefined) return reject('not a record of granting hosts')
    parts.post({ kind: 'last-granting-host-read', now, record, revision })
    return
  }
  if (key === placementKey) {
    if (value === undefined) return
    const placement = decodePlacement(value)
    if (placement === undefined) return reject('not a placement')
    parts.post({ kind: 'placement-read', now, placement, revision })
    return
  }
  const role = parts.wire.findKeyRole(key)
  if (role.kind === 'configuration' && value !== undefined) {
    const decoded = parts.wire.decodeConfiguration(value)
    if (decoded.kind === 'invalid') return reject(decoded.problem)
    parts.post({ kind: 'configuration-read', now, configuration: decoded.value, revision })
  }
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
