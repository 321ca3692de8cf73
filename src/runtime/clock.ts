import { performance } from 'node:perf_hooks'

/** Source of time, passed to the code that depends on it. */
export type Clock = {
  /** Monotonic time, in milliseconds. */
  now: () => number
  /** Unix time, in milliseconds. */
  wall: () => number
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now()
}
