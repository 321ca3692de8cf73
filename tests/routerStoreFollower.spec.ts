import type { ReadOutcome, StoreChange, StoreClient } from '../src/runtime/storeClient.js'
import type { TimerService } from '../src/runtime/timerService.js'
import test from 'ava'
import { watchStore } from '../src/runtime/storeFollower.js'

/** Creates timers that fire only when the test runs them. */
function createManualTimers () {
  const scheduled: Array<() => void> = []
  const subscribed: Array<() => void> = []
  const timers: TimerService = {
    clock: { now: () => 0, wall: () => 0 },
    schedule: (_, run) => {
      scheduled.push(() => run(0))
      return () => {}
    },
    subscribe: (_, run) => {
      subscribed.push(() => run(0))
      return () => {}
    },
    close: () => {}
  }
  return { timers, runScheduled: () => { for (const run of scheduled.splice(0)) run() }, runSubscribed: () => { for (const run of subscribed) run() } }
}

/** Waits until the callbacks of settled promises have run. */
async function runPendingPromises (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}

test('a watch that ends during a full read of the store is opened again', async t => {
  const reads: Array<(outcome: ReadOutcome) => void> = []
  const watches: Array<{ end: () => void }> = []
  const store: StoreClient = {
    read: async () => await new Promise(resolve => { reads.push(resolve) }),
    compareAndSwap: async () => 'failed',
    watch: (_prefix, _from, _onChange: (change: StoreChange) => void, onEnd) => {
      watches.push({ end: onEnd })
      return () => {}
    },
    createLease: async () => undefined,
    renewLease: async () => false,
    close: () => {}
  }
  const manualTimers = createManualTimers()
  const follower = watchStore(store, 'fulmar/', manualTimers.timers, { onChange: () => {}, onHealth: () => {} })
  t.teardown(follower.stop)
  reads.shift()?.({ kind: 'read', values: [], revision: 1 })
  await runPendingPromises()
  t.is(watches.length, 1)
  manualTimers.runSubscribed()
  watches[0]?.end()
  manualTimers.runScheduled()
  reads.shift()?.({ kind: 'read', values: [], revision: 2 })
  await runPendingPromises()
  manualTimers.runScheduled()
  for (const answer of reads.splice(0)) answer({ kind: 'read', values: [], revision: 2 })
  await runPendingPromises()
  t.is(watches.length, 2)
})
