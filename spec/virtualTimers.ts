import type { Clock } from '../src/runtime/clock.js'
import type { TimerService } from '../src/runtime/timerService.js'
import type { EventQueue } from './eventQueue.js'
import { scheduleIn } from './eventQueue.js'

/** Builds a timer service on virtual time. `runOn` carries out what is due, for a process that may stand still. */
export function buildVirtualTimers (
  queue: EventQueue,
  clock: Clock = { now: () => queue.now, wall: () => queue.now },
  runOn: (due: () => void) => void = due => due()
): TimerService {
  return {
    clock,
    subscribe: () => () => {},
    schedule: (delayMs, notify) => {
      let isActive = true
      scheduleIn(queue, delayMs, () => runOn(() => { if (isActive) notify(clock.now()) }))
      return () => { isActive = false }
    },
    close: () => {}
  }
}

/** Runs all that is due in a time; what an entry's promises bring about runs before the next one. */
export async function passVirtualTime (queue: EventQueue, ms: number): Promise<void> {
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
