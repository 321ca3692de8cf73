import type { TimerService, Unsubscribe } from '../timerService.js'

/** Parts of the ticks of a gateway. */
export type TicksParts = {
  timers: TimerService
  /** Computes when the tick after the one at `tickedAt` is due, from the current state. */
  computeNextAt: (tickedAt: number) => number
  /** Longest time between two ticks, in milliseconds. */
  maxIntervalMs: number
  notify: (now: number) => void
}

/** Ticks of a gateway's reducer, at times that depend on its state. */
export type Ticks = {
  start: () => void
  /** Brings the next tick forward if it is due earlier since the state changed. */
  update: () => void
  stop: () => void
}

/** Creates ticks that wake the process only when one is due. */
export function createTicks ({ timers, computeNextAt, maxIntervalMs, notify }: TicksParts): Ticks {
  let tickedAt = -Infinity
  let scheduledAt = Infinity
  let isRunning = false
  let cancel: Unsubscribe = () => {}
  const schedule = (at: number) => {
    cancel()
    scheduledAt = at
    cancel = timers.schedule(Math.max(0, at - timers.clock.now()), tick)
  }
  const tick = (now: number) => {
    tickedAt = now
    notify(now)
    // The tick is reduced later; `update` then brings the next one forward if it is due earlier.
    schedule(now + maxIntervalMs)
  }
  return {
    start: () => {
      isRunning = true
      tick(timers.clock.now())
    },
    update: () => {
      if (!isRunning) return
      const nextAt = computeNextAt(tickedAt)
      if (nextAt < scheduledAt) schedule(nextAt)
    },
    stop: () => {
      isRunning = false
      cancel()
    }
  }
}
