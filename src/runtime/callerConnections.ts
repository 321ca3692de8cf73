import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from './timerService.js'
import { Server as TcpServer } from 'node:net'

/** Time for which a new connection may still send its first request after closing has begun, in milliseconds: a round trip between regions and some processor time. */
const firstRequestGraceMs = 150
/** Maximum number of requests queued behind the current one on a connection; further requests are not accepted. */
const maxQueuedRequests = 16

/** Connections of callers, tracked from opening until the last byte of the last answer is written. */
export type CallerConnections = {
  /** Accepts a request once the previous one on the same connection is answered; `waitedMs` is the time since its head was read, in milliseconds. */
  queueRequest: (request: IncomingMessage, response: ServerResponse, accept: (waitedMs: number) => void) => void
  /** Closes a connection once its pending answers are written; returns false when none is pending. */
  endAfterAnswers: (socket: Socket) => boolean
  /** Returns the number of open connections. */
  count: () => number
  /** Closes idle connections that have carried at least one request. */
  closeIdle: () => void
  /** Stops accepting connections and closes each one once its answers are written; calls `then` after the last. */
  close: (then: () => void) => void
}

type Connection = { isAnswering: boolean, isUsed: boolean, isEnding: boolean, queued: Array<() => void> }

/**
 * Tracks the connections of a server. Node.js considers an answer ended when its last byte
 * is buffered, and closes "idle" connections before these bytes are written.
 */
export function createCallerConnections (server: Server, timers: TimerService): CallerConnections {
  const connections = new Map<Socket, Connection>()
  let isClosing = false
  let onClosed: (() => void) | undefined
  const checkClosed = () => {
    if (!isClosing || connections.size > 0) return
    onClosed?.()
    onClosed = undefined
  }
  const closeWhere = (isDue: (connection: Connection) => boolean) => {
    for (const [socket, connection] of connections) {
      if (!connection.isAnswering && isDue(connection)) socket.destroy()
    }
  }
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { isAnswering: false, isUsed: false, isEnding: false, queued: [] })
    socket.on('close', () => {
      connections.delete(socket)
      checkClosed()
    })
  })
  const endAnswer = (socket: Socket, connection: Connection) => {
    connection.isAnswering = false
    // Requests queued behind an answer that closes the connection are dropped; to the caller they count as not read.
    if (socket.destroyed || socket.writableEnded) return
    const accept = connection.queued.shift()
    if (accept !== undefined) return start(connection, accept)
    if (isClosing || connection.isEnding) socket.destroy()
  }
  const start = (connection: Connection, accept: () => void) => {
    connection.isAnswering = true
    connection.isUsed = true
    accept()
  }
  return {
    queueRequest: (request, response, accept) => {
      const { socket } = request
      const connection = connections.get(socket)
      if (connection === undefined) return accept(0)
      if (connection.queued.length >= maxQueuedRequests) {
        connection.isEnding = true
        socket.pause()
        return
      }
      response.on('close', () => endAnswer(socket, connection))
      const readAt = timers.clock.now()
      const acceptNow = () => accept(timers.clock.now() - readAt)
      if (connection.isAnswering) connection.queued.push(acceptNow)
      else start(connection, acceptNow)
    },
    endAfterAnswers: socket => {
      const connection = connections.get(socket)
      if (connection === undefined || !connection.isAnswering) return false
      connection.isEnding = true
      return true
    },
    count: () => connections.size,
    closeIdle: () => closeWhere(connection => connection.isUsed),
    close: then => {
      isClosing = true
      onClosed = then
      // The `close` method of the HTTP server would also close connections whose answers are not written yet.
      TcpServer.prototype.close.call(server)
      closeWhere(connection => connection.isUsed)
      timers.schedule(firstRequestGraceMs, () => closeWhere(() => true))
      checkClosed()
    }
  }
}
