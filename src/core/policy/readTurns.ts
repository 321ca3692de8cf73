/** Longest time that reading from all connections takes before the rest of the process has its turn, in milliseconds. */
export const maxTurnMs = 5
/** Number of reads in a turn's order after which the connection that has waited longest reads next, so that none waits without end. */
const agedReadInterval = 8

/** Bytes whose reading takes a millisecond at most unless they are framed in very small parts. */
const bytesPerMs = 16 * 1024
/** Longest time that one read counts, in milliseconds; a longer one took long for other reasons, such as a garbage collection. */
const maxCountedMs = 10
/** Time for which reading has to be behind before a connection is closed for it, in milliseconds. */
const behindMs = 1000
/** Excess time of a connection from which on it may be closed then, in milliseconds: far more than an ordinary request takes. */
const minClosedExcessMs = 50

/** A connection that waits to be read. `excessMs`: time that reading from it has taken since its last answer beyond what as many ordinary bytes take, in milliseconds. */
export type WaitingRead = { excessMs: number }

/**
 * Chooses which of the connections that wait, the longest first, is read next: the one with the least excess time.
 * Under a crowd whose bytes take long to parse, an ordinary request is then read before them. `reads`: number of reads so far.
 */
export function chooseNextRead (waiting: readonly WaitingRead[], reads: number): number {
  if (reads % agedReadInterval === 0) return 0
  let chosen = 0
  for (let index = 1; index < waiting.length; index++) {
    if ((waiting[index]?.excessMs ?? Infinity) < (waiting[chosen]?.excessMs ?? Infinity)) chosen = index
  }
  return chosen
}

/**
 * Chooses the connection to close when reading has been behind for `forMs` milliseconds, or undefined: the one with the most excess time.
 * Bytes that a caller has sent are parsed even after it has left, because its end stands behind them, and hold up others until then.
 */
export function chooseExcessRead (waiting: readonly WaitingRead[], forMs: number): number | undefined {
  if (forMs < behindMs) return undefined
  let chosen: number | undefined
  let mostMs = minClosedExcessMs
  for (const [index, { excessMs }] of waiting.entries()) {
    if (excessMs < mostMs) continue
    chosen = index
    mostMs = excessMs
  }
  return chosen
}

/** Computes the excess time of a read, in milliseconds. */
export function computeExcessMs (readMs: number, bytes: number): number {
  return Math.max(0, Math.min(readMs, maxCountedMs) - bytes / bytesPerMs)
}

/** Computes the time that reading has taken lately, in milliseconds: each millisecond spent on other work takes one off. */
export function computeTurnUsed (usedMs: number, idleMs: number): number {
  return Math.max(0, usedMs - Math.max(0, idleMs))
}
