import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { createKvStore } from '../platform/kvStore.js'
import { createEraTracker, maxEra, mergeRevision, parseEra, splitRevision } from '../platform/storeEra.js'
import { countRestores, revisionsPerRestore } from '../src/core/gateway/storeRestores.js'
import { systemClock } from '../src/runtime/clock.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { startKvStandin } from './support/platform/kvStandin.js'

const eras = fc.nat({ max: maxEra })
const revisions = fc.nat({ max: revisionsPerRestore - 1 })

testProp('a joined revision is exact, splits into its parts and is ordered by era, then by revision', [eras, revisions, eras, revisions], (t, era, revision, otherEra, otherRevision) => {
  const joined = mergeRevision(era, revision)
  t.true(Number.isSafeInteger(joined))
  t.deepEqual(splitRevision(joined), { era, revision })
  t.is(countRestores(joined), era)
  t.is(mergeRevision(0, revision), revision)
  const isBefore = era < otherEra || (era === otherEra && revision < otherRevision)
  t.is(joined < mergeRevision(otherEra, otherRevision), isBefore)
}, { seed: 4 })

testProp('an era header of any text gives a valid era: the one in which the call began unless it is a valid number', [fc.string(), eras], (t, text, startedIn) => {
  const era = parseEra(text, startedIn)
  t.true(Number.isInteger(era) && era >= 0 && era <= maxEra)
  if (!/^\s*\d+\s*$/.test(text)) t.is(era, startedIn)
}, { seed: 4 })

test('an absent, unreadable or absurd era is the one in which the call began, and raises nothing', t => {
  t.is(parseEra(undefined, 0), 0)
  t.is(parseEra(undefined, 3), 3, 'a request that was sent after a restore is not answered from before it')
  for (const header of ['', '-1', '1.5', '1e3', 'x', '8192', '99999999999999999999', '0x2', ['1', '2']]) t.is(parseEra(header, 3), 3, String(header))
  t.is(parseEra(' 8191 ', 3), 8191)
  const tracker = createEraTracker()
  const seen: number[] = []
  tracker.watchEra(era => seen.push(era))
  for (const header of ['2', '1', undefined, 'x', '2', '3']) tracker.recordAnswer(header, 0)
  t.deepEqual(seen, [2, 3])
})

const noLease = { value: 'v', lease: 0 }

test('after a restore, revisions and leases of the lost time match nothing, although the store gives them out again', async t => {
  const standin = await startKvStandin()
  const timers = createTimerService(systemClock)
  const store = createKvStore(standin.address, timers)
  const restores: number[] = []
  store.watchRestores?.(count => restores.push(count))
  try {
    standin.put('a', 'first')
    const copy = standin.copy()
    const written = await store.write({ preconditions: [{ key: 'b', revision: 0 }], writes: [{ key: 'b', ...noLease }] })
    t.is(written.revision, 3)
    const lease = await store.createLease(5000)
    const read = await store.readAll('')
    if (lease.kind !== 'created' || read.kind !== 'read') return t.fail('the store must answer')
    standin.restore(copy)
    standin.put('b', 'other')
    // The store has a key 'b' of revision 3 again, and an unaware client sends its write.
    t.deepEqual(await store.write({ preconditions: [{ key: 'b', revision: written.revision }], writes: [{ key: 'b', ...noLease }] }), { outcome: 'unknown', revision: 0 })
    t.deepEqual(restores, [1])
    standin.calls.clear()
    t.is((await store.write({ preconditions: [{ key: 'b', revision: written.revision }], writes: [{ key: 'b', ...noLease }] })).outcome, 'conflict')
    t.is((await store.write({ preconditions: [], writes: [{ key: 'b', value: 'v', lease: lease.lease }] })).outcome, 'lease-ended')
    t.is(await store.renewLease(lease.lease), 'ended')
    await store.endLease(lease.lease)
    t.is((await store.watch('', read.revision, 100)).kind, 'compacted')
    t.is(standin.calls.size, 0, 'what is from before the restore is not sent')
    const again = await store.readAll('')
    const item = await store.readKey('a')
    if (again.kind !== 'read' || item.kind !== 'read') return t.fail('the store must answer')
    t.true(again.revision > read.revision)
    t.is(countRestores(again.items.find(entry => entry.key === 'a')?.revision ?? 0), 1)
    t.is(item.item?.revision, mergeRevision(1, 2))
    t.is((await store.write({ preconditions: [{ key: 'a', revision: mergeRevision(1, 2) }], writes: [{ key: 'a', ...noLease }] })).outcome, 'written')
    t.is((await store.watch('', again.revision, 100)).kind, 'changed')
  } finally {
    store.close()
    timers.close()
    await standin.close()
  }
})

test('a watch that began before a restore is answered as compacted, also when the store has its revision again', async t => {
  const standin = await startKvStandin()
  const timers = createTimerService(systemClock)
  const store = createKvStore(standin.address, timers)
  try {
    const copy = standin.copy()
    standin.put('a', 'lost')
    const read = await store.readAll('')
    if (read.kind !== 'read') return t.fail('the store must answer')
    const watch = store.watch('', read.revision, 300)
    await new Promise(resolve => setTimeout(resolve, 50))
    standin.restore(copy)
    standin.put('a', 'again')
    standin.put('b', 'new')
    t.deepEqual(await watch, { kind: 'compacted' })
  } finally {
    store.close()
    timers.close()
    await standin.close()
  }
})

test('a read of several pages that the restore interrupts starts again, and its items are all of one era', async t => {
  const standin = await startKvStandin()
  const timers = createTimerService(systemClock)
  const store = createKvStore(standin.address, timers)
  try {
    for (let index = 0; index < 30; index++) standin.put(`key-${String(index).padStart(2, '0')}`, 'old')
    const copy = standin.copy()
    for (let index = 0; index < 30; index++) standin.put(`lost-${index}`, 'lost')
    standin.faults.delayMs = 40
    const reading = store.readAll('')
    await new Promise(resolve => setTimeout(resolve, 60))
    standin.restore(copy)
    const read = await reading
    if (read.kind !== 'read') return t.fail('the read must succeed')
    t.is(read.items.length, 30)
    t.true(read.items.every(item => countRestores(item.revision) === 1 && !item.key.startsWith('lost')))
  } finally {
    store.close()
    timers.close()
    await standin.close()
  }
})
