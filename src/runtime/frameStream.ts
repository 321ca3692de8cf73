import type { Frame } from '../protocol/gen/peer.js'
import type { FrameBody } from '../protocol/peerCodec.js'
import { PassThrough } from 'node:stream'

/** Flow-control window of one direction of a request: bytes that may be sent before the receiver reads them. */
export const streamWindowBytes = 256 * 1024
/** Largest part of a body in one frame, in bytes. */
export const maxPartBytes = 64 * 1024

/** Unread bytes above which the sender must have exceeded its credit: twice the window, which leaves ample room for the part sent with the head. */
export const maxUnreadBytes = streamWindowBytes * 2

/** Sends one frame of a request. */
export type SendFrame = (id: number, body: FrameBody) => void

/** Sends a body in parts, limited by the receiver's credit. */
export type CreditedWriter = {
  write: (part: Buffer, then: () => void) => void
  /** Adds credit that the receiver granted, in bytes. */
  addCredit: (bytes: number) => void
  /** Ends the body after the part that is pending for lack of credit, and calls `then` when the end is sent. */
  end: (then: () => void) => void
}

/** Creates a writer of chunk frames that holds parts back until credit arrives. */
export function createCreditedWriter (id: number, send: SendFrame, initialCredit: number): CreditedWriter {
  let credit = initialCredit
  let pending: { part: Buffer, then: () => void } | undefined
  let onEndSent: (() => void) | undefined
  const flush = () => {
    while (pending !== undefined && credit > 0) {
      const size = Math.min(pending.part.length, maxPartBytes, credit)
      send(id, { $case: 'chunk', chunk: { data: pending.part.subarray(0, size), end: false } })
      credit -= size
      if (size < pending.part.length) {
        pending.part = pending.part.subarray(size)
        continue
      }
      const then = pending.then
      pending = undefined
      then()
    }
    if (onEndSent === undefined || pending !== undefined) return
    const notifyEndSent = onEndSent
    onEndSent = undefined
    send(id, { $case: 'chunk', chunk: { data: Buffer.alloc(0), end: true } })
    notifyEndSent()
  }
  return {
    write: (part, then) => {
      if (part.length === 0) {
        then()
        return
      }
      pending = { part, then }
      flush()
    },
    addCredit: bytes => {
      credit += bytes
      flush()
    },
    end: then => {
      onEndSent = then
      flush()
    }
  }
}

/** Receives a body from chunk frames and grants new credit as it is read. */
export type CreditedReader = {
  stream: PassThrough
  push: (data: Buffer, end: boolean) => void
  fail: () => void
}

/** Creates a readable body that grants the sender `firstCredit` bytes when reading starts, and more as it is read. */
export function createCreditedReader (id: number, send: SendFrame, firstCredit: number): CreditedReader {
  const stream = new PassThrough({ highWaterMark: maxUnreadBytes })
  let uncreditedBytes = 0
  let isFirstCreditSent = false
  stream.on('error', () => {})
  stream.pause()
  stream.on('data', (part: Buffer) => {
    uncreditedBytes += part.length
    if (uncreditedBytes < streamWindowBytes / 4) return
    send(id, { $case: 'credit', credit: uncreditedBytes })
    uncreditedBytes = 0
  })
  stream.pause()
  stream.on('resume', () => {
    if (isFirstCreditSent || firstCredit === 0) return
    isFirstCreditSent = true
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
    fail: () => stream.destroy(new Error('peer aborted the body'))
  }
}

/** Builds a frame. */
export function buildFrame (id: number, body: FrameBody): Frame {
  return { id, body }
}
