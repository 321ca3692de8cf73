import type { Writable } from 'node:stream'
import { hostname } from 'node:os'

/** Bytes that may wait for a reader before lines are dropped: a few seconds of lines. */
const maxWaitingBytes = 256 * 1024

/** Wraps a stream so that writing never waits: lines beyond what may wait are dropped and counted. */
export function createBoundedStream (target: Writable): NodeJS.WritableStream {
  let dropped = 0
  target.on('error', () => {
    // Nobody can be told that the log itself broke; the lines that follow count as dropped.
    dropped += 1
  })
  const write = (line: string): boolean => {
    if (target.writableLength > maxWaitingBytes || target.destroyed) {
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
