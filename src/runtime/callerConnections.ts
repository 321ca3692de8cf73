import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from './timerService.js'
import { Server as TcpServer } from 'node:net'

/** Time for which connections that have just been opened may still bring a request when all are closed, in milliseconds: a round trip between regions and some processor time. */
const firstRequestMs = 150
/** Most requests that may wait behind one on the same connection; what comes behind them is not taken. */
const mostWaiting = 16

/** Connections of callers, from their opening to the last byte of the last answer. */
export type CallerConnections = {
  /** Takes a request when the one before it on the same connection has been answered, `waitedMs` milliseconds after its head was read. */
  take: (request: IncomingMessage, response: ServerResponse, accept: (waitedMs: number) => void) => void
  /** Closes a connection after the answers that it owes; false when it owes none. */
  endAfterAnswers: (socket: Socket) => boolean
  /** Counts those that are open. */
  count: () => number
  /** Closes the connections that have been used and are idle. */
  closeIdle: () => void
  /** Opens none any more and closes each once its answers are written; calls `then` after the last. */
  close: (then: () => void) => void
}

type Connection = { answering: boolean, isUsed: boolean, isEnding: boolean, next: Array<() => void> }

/**
 * Follows the connections of a server. Node.js counts an answer as ended when its last byte
 * is buffered, and closes "idle" connections before these bytes are written.
 */
export function followCallerConnections (server: Server, timers: TimerService): CallerConnections {
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
      if (!connection.answering && isDue(connection)) socket.destroy()
    }
  }
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { answering: false, isUsed: false, isEnding: false, next: [] })
    socket.on('close', () => {
      connections.delete(socket)
      checkClosed()
    })
  })
  const endAnswer = (socket: Socket, connection: Connection) => {
    connection.answering = false
    // What came behind an answer that closes the connection was not read, as far as the caller can tell.
    if (socket.destroyed || socket.writableEnded) return
    const accept = connection.next.shift()
    if (accept !== undefined) return start(connection, accept)
    if (isClosing || connection.isEnding) socket.destroy()
  }
  const start = (connection: Connection, accept: () => void) => {
    connection.answering = true
    connection.isUsed = true
    accept()
  }
  return {
    take: (request, response, accept) => {
      const { socket } = request
      const connection = connections.get(socket)
      if (connection === undefined) return accept(0)
      if (connection.next.length >= mostWaiting) {
        connection.isEnding = true
        socket.pause()
        return
      }
      response.on('close', () => endAnswer(socket, connection))
      const readAt = timers.clock.now()
      const acceptNow = () => accept(timers.clock.now() - readAt)
      if (connection.answering) connection.next.push(acceptNow)
      else start(connection, acceptNow)
    },
    endAfterAnswers: socket => {
      const connection = connections.get(socket)
      if (connection === undefined || !connection.answering) return false
      connection.isEnding = true
      return true
    },
    count: () => connections.size,
    closeIdle: () => closeWhere(connection => connection.isUsed),
    close: then => {
      isClosing = true
      onClosed = then
      // The method of the HTTP server would also close connections whose answers are not written yet.
      TcpServer.prototype.close.call(server)
      closeWhere(connection => connection.isUsed)
      timers.schedule(firstRequestMs, () => closeWhere(() => true))
      checkClosed()
    }
  }
}
