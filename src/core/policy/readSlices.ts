/** Largest slice while heads are read, in bytes: the parser of Node.js makes objects of everything in a slice, and the shortest requests have some 20 bytes. */
const maxHeadSliceBytes = 4 * 1024
/** Largest slice of a chunked body, in bytes; its chunks may be as short as one byte. */
const maxChunkedSliceBytes = 8 * 1024
/** Largest slice of a body of stated length, in bytes; it becomes one part whatever it contains. */
const maxSizedSliceBytes = 64 * 1024
/** Received bytes of a body that may wait to be taken over, in bytes: as much as Node.js buffers, with the framing counted. */
const maxWaitingBodyBytes = 32 * 1024
/** Longest time for which one connection is read before others have their turn, in milliseconds. */
export const maxReadMs = 5
/** Share of the process's time that reading from one connection may take in the long run. */
const readShare = 0.25
/** Longest pause, in milliseconds: a tenth of the shortest deadlines. */
const maxPauseMs = 100
/** Smallest number of bytes after which a connection is paused; fewer take long for other reasons, such as a garbage collection. */
const minPausedBytes = 16 * 1024

/** Time that reading from a connection has taken beyond its share, in milliseconds up to `at`, and the bytes read in it. */
export type ReadDebt = { ms: number, bytes: number, at: number }

/** What is read next on a connection. `leftBytes`: what is missing of a body of stated length; undefined when it can't be told. */
export type ReadPhase = { kind: 'head' } | { kind: 'sized', leftBytes: number | undefined } | { kind: 'chunked' }

/**
 * Computes how many of the received bytes are given to the parser at once. `endsAt`: end of the first head, or of the chunked body, in them.
 * A slice that ends with a request can be followed by a decision whether another one is read.
 */
export function computeSliceBytes (waitingBytes: number, phase: ReadPhase, endsAt: number | undefined): number {
  switch (phase.kind) {
    case 'head': return Math.min(waitingBytes, maxHeadSliceBytes, endsAt ?? waitingBytes)
    case 'chunked': return Math.min(waitingBytes, maxChunkedSliceBytes, endsAt ?? waitingBytes)
    case 'sized': return Math.min(waitingBytes, phase.leftBytes === undefined ? maxChunkedSliceBytes : Math.min(Math.max(1, phase.leftBytes), maxSizedSliceBytes))
  }
}

/** Returns whether a body is read on. `receivedBytes`: those received since its reader last took over all; `unreadBytes`: those of the body that it has not taken over. */
export function isBodyReadOn (receivedBytes: number, unreadBytes: number): boolean {
  return unreadBytes === 0 || receivedBytes < maxWaitingBodyBytes
}

/** Adds a read that ended at `now` to what a connection has taken beyond its share; both are 0 once it is within it. */
export function addReadTime (debt: ReadDebt, now: number, readMs: number, bytes: number): ReadDebt {
  const paidMs = Math.max(0, debt.ms - Math.max(0, now - readMs - debt.at) * readShare)
  return { ms: paidMs + readMs * (1 - readShare), bytes: (paidMs > 0 ? debt.bytes : 0) + bytes, at: now }
}

/** Computes the pause of a connection after a read, in milliseconds; 0 for none. */
export function computeReadPauseMs (debt: ReadDebt): number {
  return debt.ms < maxReadMs || debt.bytes < minPausedBytes ? 0 : Math.min(debt.ms / readShare, maxPauseMs)
}
