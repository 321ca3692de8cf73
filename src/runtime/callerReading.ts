import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { ReadDebt, ReadPhase } from '../core/policy/readSlices.js'
import type { ReadTurns, TurnReader } from './readTurns.js'
import type { TimerService } from './timerService.js'
import { addReadTime, computeReadPauseMs, computeSliceBytes, isBodyReadOn, maxReadMs } from '../core/policy/readSlices.js'

/** Number of bytes from which on a connection is not received from until some of them are parsed: more than a request without a long body has. */
const maxWaitingBytes = 4 * 1024
/** End of a head. */
const headEnd = '\r\n\r\n'
/** End of a chunked body without trailers. */
const bodyEnd = '\r\n0\r\n\r\n'

/** Options of reading from a connection. */
export type CallerReadingOptions = {
  timers: TimerService
  turns: ReadTurns
  /** Returns whether more may be read now, in the opinion of the connection's owner. */
  mayRead: () => boolean
  /** Called after bytes were given to the parser, or have to wait for it. */
  notify: () => void
  /** Closes the connection because reading from it takes too long while others wait. */
  close: () => void
  /** Called when the caller has ended the connection; `isUnread`: bytes that it had sent still waited for the parser. */
  notifyEnd: (isUnread: boolean) => void
}

/** Reading from one connection of a caller. */
export type CallerReading = {
  /** Records the request whose head was parsed last. */
  setRequest: (request: IncomingMessage) => void
  /** Goes on reading if that is possible now. */
  advance: () => void
  /** Forgets how long reading has taken: a request of the connection was answered. */
  resetExcess: () => void
  /** Returns when the bytes that the parser got last were received at the latest, in milliseconds of the process's clock. */
  getReceivedAt: () => number
  /** Returns the bytes that were received and not given to the parser. */
  countWaitingBytes: () => number
  /** Returns the bytes of the last request's body, framing included, that were received since its reader last took over all. */
  countBodyBytes: (request: IncomingMessage) => number
}

/**
 * Gives the bytes of a connection to the parser of Node.js in slices, and decides after each whether it goes on. Without this, the
 * parser makes objects of all bytes that it has, up to 64 kB, even after the socket was paused: that is some 1500 requests
 * of several kB each, or 11,000 chunks. Must be called when Node.js has set up the connection.
 */
export function readCaller (socket: Socket, options: CallerReadingOptions): CallerReading {
  const { clock } = options.timers
  const [deliver] = socket.listeners('data') as Array<(part: Buffer) => void>
  const pause = socket.pause.bind(socket)
  const resume = socket.resume.bind(socket)
  let waiting: Buffer | undefined
  let retainedBytes = 0
  let receivedAt = clock.now()
  let request: IncomingMessage | undefined
  let isNewRequest = false
  let leftBytes: number | undefined
  let bodyBytes = 0
  let isWanted = true
  let isFeeding = false
  let isResting = false
  let debt: ReadDebt = { ms: 0, bytes: 0, at: clock.now() }
  const findPhase = (): ReadPhase => {
    if (request === undefined || request.complete) return { kind: 'head' }
    return request.headers['transfer-encoding'] === undefined ? { kind: 'sized', leftBytes } : { kind: 'chunked' }
  }
  const findEnd = (part: Buffer, kind: ReadPhase['kind']): number | undefined => {
    if (kind === 'sized') return undefined
    const mark = kind === 'head' ? headEnd : bodyEnd
    const found = part.indexOf(mark)
    return found < 0 ? undefined : found + mark.length
  }
  const feedSlice = (part: Buffer): number => {
    const phase = findPhase()
    const endsAt = findEnd(part, phase.kind)
    const bytes = computeSliceBytes(part.length, phase, endsAt)
    waiting = bytes === part.length ? undefined : part.subarray(bytes)
    isNewRequest = false
    deliver?.call(socket, part.subarray(0, bytes))
    // The length of what is left is known if the slice ended with the head; otherwise it may contain a part of the body.
    if (isNewRequest) leftBytes = endsAt === bytes ? Number(request?.headers['content-length'] ?? 0) : undefined
    else if (leftBytes !== undefined) leftBytes = Math.max(0, leftBytes - bytes)
    bodyBytes = isNewRequest || request?.readableLength === 0 ? 0 : bodyBytes + bytes
    return bytes
  }
  const isBodyFull = () => request !== undefined && !request.destroyed && findPhase().kind === 'chunked' && !isBodyReadOn(bodyBytes, request.readableLength)
  const mayFeed = () => isWanted && !isResting && !socket.destroyed && options.mayRead() && !isBodyFull()
  // The end of a connection is noticed only while it is received from, and so also while its bytes wait for their turn.
  const mayReceive = () => mayFeed() && (waiting === undefined || waiting.length < maxWaitingBytes)
  const rest = (pauseMs: number) => {
    isResting = true
    options.timers.schedule(pauseMs, () => {
      isResting = false
      waitTurn()
    })
  }
  /** Gives waiting bytes to the parser for a bounded time; returns their number. */
  const feedWaiting = (startedAt: number): number => {
    let bytes = 0
    for (let part = waiting; part !== undefined && mayFeed(); part = waiting) {
      bytes += feedSlice(part)
      if (clock.now() - startedAt >= maxReadMs) break
    }
    return bytes
  }
  const reader: TurnReader = { excessMs: 0, read: () => feed(), close: options.close }
  const waitTurn = () => options.turns.queue(reader)
  const feed = (): number => {
    if (isFeeding || socket.destroyed) return 0
    if (request?.readableLength === 0) bodyBytes = 0
    isFeeding = true
    const startedAt = clock.now()
    const bytes = feedWaiting(startedAt)
    const now = clock.now()
    isFeeding = false
    if (bytes > 0) options.notify()
    debt = addReadTime(debt, now, now - startedAt, bytes)
    const pauseMs = bytes > 0 ? computeReadPauseMs(debt) : 0
    if (pauseMs > 0 && !isResting) rest(pauseMs)
    if (mayReceive()) resume()
    else pause()
    if (waiting !== undefined && mayFeed()) waitTurn()
    return bytes
  }
  socket.on('data', (part: Buffer) => {
    waiting = waiting === undefined ? part : Buffer.concat([waiting, part])
    retainedBytes = waiting.length
    receivedAt = clock.now()
    if (options.turns.read(reader)) return
    if (!mayReceive()) pause()
    options.notify()
  })
  // What a caller has sent is no longer read when its connection has ended: nobody waits for the answer.
  socket.on('end', () => {
    const isUnread = waiting !== undefined
    waiting = undefined
    options.turns.cancel(reader)
    options.notifyEnd(isUnread)
  })
  socket.once('close', () => options.turns.cancel(reader))
  if (deliver !== undefined) socket.off('data', deliver)
  // Node.js pauses and resumes the socket as the buffers of requests and answers have room; it is only read while nothing else forbids it.
  socket.pause = () => {
    isWanted = false
    return pause()
  }
  socket.resume = () => {
    isWanted = true
    if (isFeeding) return socket
    if (waiting === undefined && mayFeed()) return resume()
    waitTurn()
    return socket
  }
  // Node.js resumes the socket when a body is first read from, which may be before all of it is taken over.
  const watchBody = (started: IncomingMessage) => {
    const read = started.read.bind(started)
    started.read = (size?: number): unknown => {
      const part: unknown = read(size)
      if (started.readableLength === 0 && bodyBytes > 0 && started === request) waitTurn()
      return part
    }
  }
  return {
    setRequest: started => {
      request = started
      isNewRequest = true
      if (started.headers['transfer-encoding'] !== undefined) watchBody(started)
    },
    // The rest of what was read waits for its turn: answers of one connection that end at once would else keep out all others.
    advance: () => { if (!isFeeding && (waiting !== undefined || socket.isPaused())) waitTurn() },
    resetExcess: () => { reader.excessMs = 0 },
    getReceivedAt: () => receivedAt,
    countWaitingBytes: () => (waiting === undefined ? 0 : retainedBytes) + socket.readableLength,
    countBodyBytes: each => each === request && !each.destroyed && each.readableLength > 0 ? Math.max(bodyBytes, each.readableLength) : each.readableLength
  }
}
