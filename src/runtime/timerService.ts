import type { Clock } from './clock.js'

/** Ends a subscription. */
export type Unsubscribe = () => void

/** Source of delays and periodic calls for all parts of the process. */
export type TimerService = {
  clock: Clock
  /** Calls `notify` every `intervalMs` milliseconds. */
  subscribe: (intervalMs: number, notify: (now: number) => void) => Unsubscribe
  /** Calls `notify` once after `delayMs` milliseconds. */
  schedule: (delayMs: number, notify: (now: number) => void) => Unsubscribe
  /** Ends all subscriptions. */
  close: () => void
}

/** Creates a timer service on the timers of Node.js. */
export function createTimerService (clock: Clock): TimerService {
  const active = new Set<Unsubscribe>()
  const track = (stop: () => void): Unsubscribe => {
    const unsubscribe = () => {
      stop()
      active.delete(unsubscribe)
    }
    active.add(unsubscribe)
    return unsubscribe
  }
  return {
    clock,
    subscribe: (intervalMs, notify) => {
      const timer = setInterval(() => notify(clock.now()), intervalMs)
      return track(() => clearInterval(timer))
    },
    schedule: (delayMs, notify) => {
      const timer = setTimeout(() => {
        unsubscribe()
        notify(clock.now())
      }, delayMs)
      const unsubscribe = track(() => clearTimeout(timer))
      return unsubscribe
    },
    close: () => {
      for (const stop of [...active]) stop()
    }
  }
}
