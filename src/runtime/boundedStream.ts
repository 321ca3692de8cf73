import type { Writable } from 'node:stream'
import { hostname } from 'node:os'

/** Number of buffered bytes above which lines are dropped: a few seconds of lines. */
const maxPendingBytes = 256 * 1024

/** Wraps a stream so that writing never blocks: lines are dropped and counted while the buffer is full. */
export function createBoundedStream (target: Writable): NodeJS.WritableStream {
  let dropped = 0
  target.on('error', () => {
    // A failure of the log itself cannot be logged; the lines that follow count as dropped.
    dropped += 1
  })
  const write = (line: string): boolean => {
    if (target.writableLength > maxPendingBytes || target.destroyed) {
      dropped += 1
      return false
    }
    if (dropped > 0) {
      target.write(`${JSON.stringify({ hostname: hostname(), event: 3304, msg: 'logLinesDropped', count: dropped, time: new Date().toISOString() })}\n`)
      dropped = 0
    }
    return target.write(line)
  }
  return { write } as unknown as NodeJS.WritableStream
}
