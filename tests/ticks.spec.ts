import test from 'ava'
import { createTicks } from '../src/runtime/gateway/ticks.js'
import { createEventQueue, runUntil, scheduleIn } from '../spec/eventQueue.js'
import { buildVirtualTimers } from '../spec/virtualTimers.js'

/** Starts ticks in virtual time whose next time is set by the test, and updates them 1 ms after each tick, as the reducer does. */
function startTicks () {
  const queue = createEventQueue()
  const timers = buildVirtualTimers(queue, { now: () => queue.now, wall: () => queue.now }, run => run())
  const times: number[] = []
  let computeNextAt = (tickedAt: number) => tickedAt + 100
  const ticks = createTicks({
    timers,
    computeNextAt: tickedAt => computeNextAt(tickedAt),
    maxIntervalMs: 100,
    notify: now => {
      times.push(now)
      scheduleIn(queue, 1, ticks.update)
    }
  })
  ticks.start()
  return { queue, ticks, times, setNextAt: (compute: typeof computeNextAt) => { computeNextAt = compute } }
}

test('an idle host ticks at the longest interval, a busy one as often as its state asks for', t => {
  const { queue, times, setNextAt } = startTicks()
  runUntil(queue, 350)
  t.deepEqual(times, [0, 100, 200, 300])
  setNextAt(tickedAt => tickedAt + 20)
  runUntil(queue, 465)
  t.deepEqual(times.slice(4), [400, 420, 440, 460])
})

test('a tick that becomes due earlier is brought forward, and none follows after the end', t => {
  const { queue, ticks, times, setNextAt } = startTicks()
  runUntil(queue, 30)
  setNextAt(tickedAt => tickedAt + 40)
  ticks.update()
  runUntil(queue, 41)
  t.deepEqual(times, [0, 40])
  ticks.stop()
  runUntil(queue, 500)
  t.deepEqual(times, [0, 40])
})
