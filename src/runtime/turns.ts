import type { Clock } from './clock.js'
import { systemClock } from './clock.js'

/** Longest time that a program runs before sockets and timers have their turn, in milliseconds; far below what a caller notices. */
export const turnMs = 10

/** How a program shares its thread with the rest of the process. */
export type Turns = {
  clock: Clock
  /** Longest time that the program runs without interruption, in milliseconds. */
  turnMs: number
  /** Calls `resume` once sockets and timers have had their turn. */
  waitTurn: (resume: () => void) => void
  /** Whether other work goes first at present, so that the program waits for a turn even if its own has not ended; never if undefined. */
  isHeld?: () => boolean
}

/** Turns of the event loop of Node.js. */
export const processTurns: Turns = { clock: systemClock, turnMs, waitTurn: resume => { setImmediate(resume) } }
