import type { Frame } from '../protocol/gen/peer.js'
import type { FrameBody } from '../protocol/peerCodec.js'
import { PassThrough } from 'node:stream'

/** Bytes of one direction of a request that may be on the way unread. */
export const streamWindowBytes = 256 * 1024
/** Largest part of a body in one frame, in bytes. */
export const maxPartBytes = 64 * 1024

/** Bytes that lie unread after which a sender can't have kept to its credit, in bytes: the window, the head's part, and as much again. */
export const maxUnreadBytes = streamWindowBytes * 2

/** Sends one frame of a request. */
export type SendFrame = (id: number, body: FrameBody) => void

/** Sends a body in parts, as far as the receiver's credit allows. */
export type CreditedWriter = {
  write: (part: Buffer, then: () => void) => void
  /** Adds credit that the receiver gave, in bytes. */
  addCredit: (bytes: number) => void
  /** Ends the body after the part that waits for credit, and calls `then` when the end is sent. */
  end: (then: () => void) => void
}

/** Builds a writer of chunk frames that holds parts back until credit arrives. */
export function createCreditedWriter (id: number, send: SendFrame, initialCredit: number): CreditedWriter {
  let credit = initialCredit
  let held: { part: Buffer, then: () => void } | undefined
  let ending: (() => void) | undefined
  const flush = () => {
    while (held !== undefined && credit > 0) {
      const size = Math.min(held.part.length, maxPartBytes, credit)
      send(id, { $case: 'chunk', chunk: { data: held.part.subarray(0, size), end: false } })
      credit -= size
      if (size < held.part.length) {
        held.part = held.part.subarray(size)
        continue
      }
      const then = held.then
      held = undefined
      then()
    }
    if (ending === undefined || held !== undefined) return
    const ended = ending
    ending = undefined
    send(id, { $case: 'chunk', chunk: { data: Buffer.alloc(0), end: true } })
    ended()
  }
  return {
    write: (part, then) => {
      if (part.length === 0) {
        then()
        return
      }
      held = { part, then }
      flush()
    },
    addCredit: bytes => {
      credit += bytes
      flush()
    },
    end: then => {
      ending = then
      flush()
    }
  }
}

/** Receives a body from chunk frames and gives credit back as it is read. */
export type CreditedReader = {
  stream: PassThrough
  push: (data: Buffer, end: boolean) => void
  fail: () => void
}

/** Builds a readable body whose reading pace sends credit to the other side. */
export function createCreditedReader (id: number, send: SendFrame, firstCredit: number): CreditedReader {
  const stream = new PassThrough({ highWaterMark: maxUnreadBytes })
  let unacknowledged = 0
  let opened = false
  stream.on('error', () => {})
  stream.pause()
  stream.on('data', (part: Buffer) => {
    unacknowledged += part.length
    if (unacknowledged < streamWindowBytes / 4) return
    send(id, { $case: 'credit', credit: unacknowledged })
    unacknowledged = 0
  })
  stream.pause()
  stream.on('resume', () => {
    if (opened || firstCredit === 0) return
    opened = true
    send(id, { $case: 'credit', credit: firstCredit })
  })
  return {
    stream,
    push: (data, end) => {
      if (stream.destroyed) return
      if (stream.readableLength + stream.writableLength > maxUnreadBytes) {
        stream.destroy(new Error('peer sent beyond its credit'))
        return
      }
      if (data.length > 0) stream.write(data)
      if (end) stream.end()
    },
    fail: () => stream.destroy(new Error('peer broke the body off'))
  }
}

/** Builds a frame. */
export function buildFrame (id: number, body: FrameBody): Frame {
  return { id, body }
}
