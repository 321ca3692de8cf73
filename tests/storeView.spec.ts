import type { RelayedChanges, StoreItemChange, StoreView } from '../src/core/gateway/storeView.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { applyEdits, buildEdits } from '../src/core/gateway/valueEdits.js'
import { applyChange, applyEditedValue, buildStoreView, replaceLargeValues, findEarlierValue, listImpliedDeletions, listChangesSince, setSnapshotRevision } from '../src/core/gateway/storeView.js'
import { decodeStoreChanges, encodeStoreChanges } from '../src/protocol/fleetUpdate.js'

/** Lists the existing keys of a view with their values. */
function listLive (view: StoreView): Array<[string, string]> {
  return [...view.entries.values()].flatMap(({ key, value }): Array<[string, string]> => value === undefined ? [] : [[key, value]]).sort()
}

/** Makes a view read the whole store as it is after the given history of changes. */
function readSnapshot (view: StoreView, history: readonly StoreItemChange[]): void {
  const items = new Map<string, StoreItemChange>()
  for (const change of history) items.set(change.key, change)
  const live = [...items.values()].filter(item => item.value !== undefined)
  for (const item of live) applyChange(view, item)
  for (const change of listImpliedDeletions(view, live.map(item => item.key), history.length)) applyChange(view, change)
  setSnapshotRevision(view, history.length)
}

/** Makes a view apply the changes of a history up to a revision, as received by a watch. */
function watchUntil (view: StoreView, history: readonly StoreItemChange[], to: number): void {
  for (const change of history.slice(view.revision, to)) applyChange(view, change)
  view.revision = Math.max(view.revision ?? 0, to)
}

function applyRelayedChanges (view: StoreView, relayed: RelayedChanges): void {
  for (const change of relayed.changes) applyChange(view, change)
  for (const change of relayed.present === undefined ? [] : listImpliedDeletions(view, relayed.present, relayed.to)) applyChange(view, change)
  view.revision = Math.max(view.revision ?? 0, relayed.to)
}

const writes = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), isDeletion: fc.boolean() }), { minLength: 1, maxLength: 40 })
const steps = fc.array(fc.record({ role: fc.constantFrom<'relaying' | 'receiving'>('relaying', 'receiving'), source: fc.constantFrom<'read' | 'watch'>('read', 'watch'), share: fc.double({ min: 0, max: 1, noNaN: true }) }), { maxLength: 8 })

testProp('a host is brought up to date from any revision, whatever it or the host that relays to it has missed', [writes, steps], (t, drawnWrites, drawnSteps) => {
  const history = drawnWrites.map((write, index): StoreItemChange => ({ key: write.key, value: write.isDeletion ? undefined : `${index}`, revision: index + 1 }))
  const views = { relaying: buildStoreView(), receiving: buildStoreView() }
  for (const view of Object.values(views)) readSnapshot(view, [])
  for (const { role, source, share } of drawnSteps) {
    const to = Math.max(views[role].revision ?? 0, Math.round(share * history.length))
    if (source === 'read') readSnapshot(views[role], history.slice(0, to))
    else watchUntil(views[role], history, to)
  }
  const since = listChangesSince(views.relaying, views.receiving.revision ?? 0)
  if (since === undefined) return t.fail('nothing was read')
  applyRelayedChanges(views.receiving, decodeStoreChanges(encodeStoreChanges({ ...since, graceMs: 0 })))
  const expected = buildStoreView()
  readSnapshot(expected, history.slice(0, views.receiving.revision))
  t.deepEqual(listLive(views.receiving), listLive(expected))
}, { seed: 41, numRuns: 2000 })

test('a key that was created and deleted while the relaying host did not watch is removed by a host that saw its creation', t => {
  const created: StoreItemChange = { key: 'a', value: '1', revision: 1 }
  const history: StoreItemChange[] = [created, { key: 'a', value: undefined, revision: 2 }]
  const relaying = buildStoreView()
  const receiving = buildStoreView()
  for (const view of [relaying, receiving]) readSnapshot(view, [])
  watchUntil(receiving, history, 1)
  readSnapshot(relaying, history)
  const since = listChangesSince(relaying, 1)
  t.deepEqual(since, { from: 1, to: 2, changes: [], edited: [], leftOut: [], present: [] })
})

test('deletions are retained up to a limit; a host with an older revision gets a list of the existing keys', t => {
  const view = buildStoreView()
  readSnapshot(view, [])
  for (let index = 1; index <= 3000; index++) applyChange(view, { key: `k${index}`, value: undefined, revision: index })
  applyChange(view, { key: 'kept', value: '1', revision: 3001 })
  view.revision = 3001
  t.true(view.entries.size <= 2001)
  t.deepEqual(listChangesSince(view, 500)?.present, ['kept'])
  t.is(listChangesSince(view, 2999)?.present, undefined)
  t.deepEqual(listChangesSince(view, 2999)?.changes.map(change => change.key), ['k3000', 'kept'])
})

test('values are left out when their copies for all hosts together are too large, and only then', t => {
  const relayed = { from: 1, to: 3, changes: [{ key: 'small', value: 'x', revision: 2 }, { key: 'large', value: 'x'.repeat(30_000), revision: 3 }], edited: [], leftOut: [], present: undefined, graceMs: 0 }
  t.is(replaceLargeValues(relayed, 12), relayed)
  const dropped = replaceLargeValues(relayed, 73)
  t.deepEqual(dropped.leftOut, [{ key: 'large', revision: 3 }])
  t.deepEqual(dropped.changes.map(change => change.key), ['small'])
})

/** Builds a table of routes in JSON: some 30 kB for 500 routes. */
function buildTable (version: number, count: number, changed: number): string {
  const routes = Array.from({ length: count }, (_, index) => [`r${index}`, { host: 'shop.test', path: `/${index}/`, weight: index === changed ? version : 1 }])
  return JSON.stringify({ version, routes: Object.fromEntries(routes) })
}

test('a large value that changed in few places is relayed as edits, which turn the value that the host knows into the new one', t => {
  const view = buildStoreView()
  const host = buildStoreView()
  applyChange(view, { key: 'op/config', value: buildTable(1, 500, 3), revision: 2 })
  applyChange(host, { key: 'op/config', value: buildTable(1, 500, 3), revision: 2 })
  applyChange(view, { key: 'op/config', value: buildTable(2, 501, 7), revision: 3 })
  applyChange(view, { key: 'op/config', value: buildTable(3, 502, 9), revision: 4 })
  view.revision = 4
  const since = listChangesSince(view, 2)
  if (since === undefined) return t.fail('nothing read')
  const relayed = replaceLargeValues({ ...since, graceMs: 0 }, 300, (key, revision) => findEarlierValue(view, key, revision))
  t.deepEqual([relayed.changes.length, relayed.leftOut.length, relayed.edited.length], [0, 0, 1])
  const [edited] = relayed.edited
  if (edited === undefined) return t.fail()
  t.is(applyEditedValue(host, edited)?.value, buildTable(3, 502, 9))
  t.is(applyEditedValue(buildStoreView(), edited), undefined)
})

test('a large value that changed in most places is left out', t => {
  const view = buildStoreView()
  applyChange(view, { key: 'op/config', value: buildTable(1, 500, 3), revision: 2 })
  applyChange(view, { key: 'op/config', value: buildTable(2, 2500, 3), revision: 3 })
  view.revision = 3
  const since = listChangesSince(view, 2)
  if (since === undefined) return t.fail('nothing read')
  t.deepEqual(replaceLargeValues({ ...since, graceMs: 0 }, 75, (key, revision) => findEarlierValue(view, key, revision)).leftOut, [{ key: 'op/config', revision: 3 }])
})

const piece = fc.constantFrom('{"a":1}', ',{"b":2}', '}', 'x', '"\u00e9{}"', '{')
testProp('edits turn any value into any other, or no edits are built', [fc.array(piece, { maxLength: 60 }), fc.array(piece, { maxLength: 60 })], (t, base, next) => {
  const edits = buildEdits(base.join(''), next.join(''))
  if (edits !== undefined) t.is(applyEdits(base.join(''), edits), next.join(''))
}, { seed: 43, numRuns: 300 })
