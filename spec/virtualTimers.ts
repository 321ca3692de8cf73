import type { Clock } from '../src/runtime/clock.js'
import type { TimerService } from '../src/runtime/timerService.js'
import type { EventQueue } from './eventQueue.js'
import { scheduleIn } from './eventQueue.js'

/** Builds a timer service on virtual time. `runCallback` runs the due callbacks, and may defer them to simulate a paused process. */
export function buildVirtualTimers (
  queue: EventQueue,
  clock: Clock = { now: () => queue.now, wall: () => queue.now },
  runCallback: (callback: () => void) => void = callback => callback()
): TimerService {
  return {
    clock,
    subscribe: () => () => {},
    schedule: (delayMs, notify) => {
      let isActive = true
      scheduleIn(queue, delayMs, () => runCallback(() => { if (isActive) notify(clock.now()) }))
      return () => { isActive = false }
    },
    close: () => {}
  }
}

/** Advances virtual time; the promise reactions of each callback run before the next callback. */
export async function advanceVirtualTime (queue: EventQueue, ms: number): Promise<void> {
  const until = queue.now + ms
  while ((queue.entries[0]?.at ?? Infinity) <= until) {
    const next = queue.entries.shift()
    if (next === undefined) break
    queue.now = next.at
    next.run()
    await new Promise(resolve => setImmediate(resolve))
  }
  queue.now = until
}
