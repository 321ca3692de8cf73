import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Holding } from '../core/policy/memoryBudget.js'
import type { CallerReading } from './callerReading.js'
import type { ShortageReason } from './closeReasons.js'
import { computeUnreadBodyBytes, connectionBytes } from '../core/policy/memoryBudget.js'

/** Time after which a connection is closed when its caller reads nothing of an answer, in milliseconds: longer than the longest deadlines of callers that wait for the answer. */
const unreadTimeoutMs = 20_000

/** A request as its connection handles it. */
export type QueuedRequest = {
  /** Accepts the request; `waitedMs` is the time since its head was received, in milliseconds. */
  accept: (waitedMs: number) => void
  /** Cancels the request after `accept`: its connection has closed, or an earlier answer closes it. */
  abandon: () => void
  /** Returns whether the request may run while earlier ones on its connection do. */
  isIdempotent: () => boolean
  /** Returns the bytes held for the request besides its head and what its streams buffer. */
  countHeldBytes: () => number
  /** Returns the part of them that is for a request which was passed on and has no answer yet. */
  countCommittedBytes: () => number
  /** Refuses the request because memory or processor time is short, if it has not been passed on; returns whether it did. */
  refuse: (reason: ShortageReason) => boolean
}

/** A request on its connection, from its head to the last byte of its answer. `receivedAt`: time at which its head was received at the latest, in milliseconds of the process's clock. */
export type CallerEntry = { request: IncomingMessage, response: ServerResponse, queued: QueuedRequest, headBytes: number, receivedAt: number, isStarted: boolean, isCut: boolean, isIdempotent: () => boolean }

/** Connection of a caller with its requests, in the order of the connection. */
export type CallerConnection = Holding & {
  committedBytes: number
  socket: Socket
  reading: CallerReading
  entries: CallerEntry[]
  isAnswering: boolean
  isUsed: boolean
  /** Whether nothing more is read from it. */
  isEnding: boolean
  /** Whether it was closed because of a limit. */
  isClosed: boolean
  /** Whether its caller has ended it. */
  hasLeft: boolean
  /** Whether it may be read once although it is to be read slowly. */
  isReadDue: boolean
  /** What was left to write when it last changed, and when that was. */
  unwritten: string
  writtenAt: number
}

/** Builds the record of a connection that was opened at `now`. */
export function buildCallerConnection (socket: Socket, reading: CallerReading, now: number): CallerConnection {
  return {
    socket,
    reading,
    entries: [],
    answers: 0,
    heldBytes: 0,
    committedBytes: 0,
    openedAt: now,
    isAnswering: false,
    isUsed: false,
    isEnding: false,
    isClosed: false,
    hasLeft: false,
    isReadDue: false,
    unwritten: '',
    writtenAt: now
  }
}

/** Counts the bytes of answers that are written and that the caller has not read. */
export function countUnreadBytes (connection: CallerConnection): number {
  let bytes = 0
  for (const { response } of connection.entries) bytes += response.writableLength
  return Math.max(bytes, connection.socket.writableLength)
}

/** Counts the bytes that a connection holds. */
export function countConnectionBytes (connection: CallerConnection): number {
  let bytes = connectionBytes + connection.reading.countWaitingBytes() + countUnreadBytes(connection)
  for (const { request, headBytes, queued } of connection.entries) {
    bytes += headBytes + queued.countHeldBytes() + computeUnreadBodyBytes(connection.reading.countBodyBytes(request), request.readableLength)
  }
  return bytes
}

/** Returns whether the caller has read nothing of what is written for too long. */
export function isUnread (connection: CallerConnection, now: number): boolean {
  const { socket } = connection
  // The queue of the handle shows how much of one large write has been read; the counts of the socket change only at its end.
  const { _handle: handle } = socket as Socket & { _handle?: { writeQueueSize?: number } | null }
  const unwritten = `${socket.bytesWritten} ${socket.writableLength} ${handle?.writeQueueSize ?? 0}`
  if (socket.writableLength === 0 || unwritten !== connection.unwritten) {
    connection.unwritten = unwritten
    connection.writtenAt = now
  }
  return now - connection.writtenAt > unreadTimeoutMs
}
