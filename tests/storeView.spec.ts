import type { RelayedChanges, StoreItemChange, StoreView } from '../src/core/gateway/storeView.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { applyEdits, buildEdits } from '../src/core/gateway/valueEdits.js'
import { applyChange, applyEditedValue, buildStoreView, replaceLargeValues, findEarlierValue, listImpliedDeletions, listChangesSince, setSnapshotRevision } from '../src/core/gateway/storeView.js'
import { decodeStoreChanges, encodeStoreChanges } from '../src/protocol/fleetUpdate.js'

/** Lists the keys that a view has as being there, with their values. */
function listLive (view: StoreView): Array<[string, string]> {
  return [...view.entries.values()].flatMap(({ key, value }): Array<[string, string]> => value === undefined ? [] : [[key, value]]).sort()
}

/** Lets a view read a whole store as it was after some of its history. */
function readWhole (view: StoreView, history: readonly StoreItemChange[]): void {
  const items = new Map<string, StoreItemChange>()
  for (const change of history) items.set(change.key, change)
  const live = [...items.values()].filter(item => item.value !== undefined)
  for (const item of live) applyChange(view, item)
  for (const change of listImpliedDeletions(view, live.map(item => item.key), history.length)) applyChange(view, change)
  setSnapshotRevision(view, history.length)
}

/** Lets a view follow a history by a watch, up to a revision. */
function watchUntil (view: StoreView, history: readonly StoreItemChange[], to: number): void {
  for (const change of history.slice(view.revision, to)) applyChange(view, change)
  view.revision = Math.max(view.revision ?? 0, to)
}

function takeRelayed (view: StoreView, relayed: RelayedChanges): void {
  for (const change of relayed.changes) applyChange(view, change)
  for (const change of relayed.present === undefined ? [] : listImpliedDeletions(view, relayed.present, relayed.to)) applyChange(view, change)
  view.revision = Math.max(view.revision ?? 0, relayed.to)
}

const writes = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), isDeletion: fc.boolean() }), { minLength: 1, maxLength: 40 })
const steps = fc.array(fc.record({ who: fc.constantFrom<'teller' | 'hearer'>('teller', 'hearer'), how: fc.constantFrom<'read' | 'watch'>('read', 'watch'), share: fc.double({ min: 0, max: 1, noNaN: true }) }), { maxLength: 8 })

testProp('a host is brought up to date from any revision, whatever it or the one that tells it has missed', [writes, steps], (t, drawn, taken) => {
  const history = drawn.map((write, index): StoreItemChange => ({ key: write.key, value: write.isDeletion ? undefined : `${index}`, revision: index + 1 }))
  const views = { teller: buildStoreView(), hearer: buildStoreView() }
  for (const view of Object.values(views)) readWhole(view, [])
  for (const { who, how, share } of taken) {
    const to = Math.max(views[who].revision ?? 0, Math.round(share * history.length))
    if (how === 'read') readWhole(views[who], history.slice(0, to))
    else watchUntil(views[who], history, to)
  }
  const since = listChangesSince(views.teller, views.hearer.revision ?? 0)
  if (since === undefined) return t.fail('nothing was read')
  takeRelayed(views.hearer, decodeStoreChanges(encodeStoreChanges({ ...since, graceMs: 0 })))
  const expected = buildStoreView()
  readWhole(expected, history.slice(0, views.hearer.revision))
  t.deepEqual(listLive(views.hearer), listLive(expected))
}, { seed: 41, numRuns: 2000 })

test('a key that came and went while its teller did not listen is dropped by a host that saw it come', t => {
  const created: StoreItemChange = { key: 'a', value: '1', revision: 1 }
  const history: StoreItemChange[] = [created, { key: 'a', value: undefined, revision: 2 }]
  const teller = buildStoreView()
  const hearer = buildStoreView()
  for (const view of [teller, hearer]) readWhole(view, [])
  watchUntil(hearer, history, 1)
  readWhole(teller, history)
  const since = listChangesSince(teller, 1)
  t.deepEqual(since, { from: 1, to: 2, changes: [], edited: [], leftOut: [], present: [] })
})

test('deletions are remembered up to a limit; a host that knows less is told which keys are there', t => {
  const view = buildStoreView()
  readWhole(view, [])
  for (let index = 1; index <= 3000; index++) applyChange(view, { key: `k${index}`, value: undefined, revision: index })
  applyChange(view, { key: 'kept', value: '1', revision: 3001 })
  view.revision = 3001
  t.true(view.entries.size <= 2001)
  t.deepEqual(listChangesSince(view, 500)?.present, ['kept'])
  t.is(listChangesSince(view, 2999)?.present, undefined)
  t.deepEqual(listChangesSince(view, 2999)?.changes.map(change => change.key), ['k3000', 'kept'])
})

test('values are left out when their copies for all hosts are too large, and only then', t => {
  const relayed = { from: 1, to: 3, changes: [{ key: 'small', value: 'x', revision: 2 }, { key: 'large', value: 'x'.repeat(30_000), revision: 3 }], edited: [], leftOut: [], present: undefined, graceMs: 0 }
  t.is(replaceLargeValues(relayed, 12), relayed)
  const dropped = replaceLargeValues(relayed, 73)
  t.deepEqual(dropped.leftOut, [{ key: 'large', revision: 3 }])
  t.deepEqual(dropped.changes.map(change => change.key), ['small'])
})

/** Builds a table of routes in JSON, some 30 kB with 500. */
function buildTable (version: number, count: number, changed: number): string {
  const routes = Array.from({ length: count }, (_, index) => [`r${index}`, { host: 'shop.test', path: `/${index}/`, weight: index === changed ? version : 1 }])
  return JSON.stringify({ version, routes: Object.fromEntries(routes) })
}

test('a large value that changed in few places is told as edits, which lead from the one that the host knows to the new one', t => {
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

test('a large value that changed all over is left out', t => {
  const view = buildStoreView()
  applyChange(view, { key: 'op/config', value: buildTable(1, 500, 3), revision: 2 })
  applyChange(view, { key: 'op/config', value: buildTable(2, 2500, 3), revision: 3 })
  view.revision = 3
  const since = listChangesSince(view, 2)
  if (since === undefined) return t.fail('nothing read')
  t.deepEqual(replaceLargeValues({ ...since, graceMs: 0 }, 75, (key, revision) => findEarlierValue(view, key, revision)).leftOut, [{ key: 'op/config', revision: 3 }])
})

const piece = fc.constantFrom('{"a":1}', ',{"b":2}', '}', 'x', '"\u00e9{}"', '{')
testProp('edits lead from any value to any other, or there are none', [fc.array(piece, { maxLength: 60 }), fc.array(piece, { maxLength: 60 })], (t, base, next) => {
  const edits = buildEdits(base.join(''), next.join(''))
  if (edits !== undefined) t.is(applyEdits(base.join(''), edits), next.join(''))
}, { seed: 43, numRuns: 300 })
