import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from './timerService.js'
import { Server as TcpServer } from 'node:net'

/** Time for which connections that have just been opened may still bring a request when all are closed, in milliseconds: a round trip between regions and some processor time. */
const firstRequestMs = 150

/** Connections of callers, from their opening to the last byte of the last answer. */
export type CallerConnections = {
  /** Takes a request when the one before it on the same connection has been answered. */
  take: (request: IncomingMessage, response: ServerResponse, accept: () => void) => void
  /** Counts those that are open. */
  count: () => number
  /** Closes the connections that have been used and are idle. */
  closeIdle: () => void
  /** Opens none any more and closes each once its answers are written; calls `then` after the last. */
  close: (then: () => void) => void
}

type Connection = { answering: boolean, isUsed: boolean, next: Array<() => void> }

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
    connections.set(socket, { answering: false, isUsed: false, next: [] })
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
    if (isClosing) socket.destroy()
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
      if (connection === undefined) return accept()
      response.on('close', () => endAnswer(socket, connection))
      if (connection.answering) connection.next.push(accept)
      else start(connection, accept)
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
