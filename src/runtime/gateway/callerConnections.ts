import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from '../timerService.js'
import { Server as TcpServer } from 'node:net'

/** Time for which connections that have just been opened may still bring a request when all are closed, in milliseconds: a round trip between regions and some processor time. */
const firstRequestMs = 150

/** Connections of callers, from their opening to the last byte of the last answer. */
export type CallerConnections = {
  /** Follows a request until its answer is written. */
  take: (request: IncomingMessage, response: ServerResponse) => void
  /** Closes the connections that have been used and are idle. */
  closeIdle: () => void
  /** Opens none any more and closes each once its answers are written; calls `then` after the last. */
  close: (then: () => void) => void
}

type Connection = { answering: number, isUsed: boolean }

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
      if (connection.answering === 0 && isDue(connection)) socket.destroy()
    }
  }
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { answering: 0, isUsed: false })
    socket.on('close', () => {
      connections.delete(socket)
      checkClosed()
    })
  })
  const endAnswer = (socket: Socket, connection: Connection) => {
    connection.answering -= 1
    if (isClosing && connection.answering === 0) socket.destroy()
  }
  return {
    take: (request, response) => {
      const { socket } = request
      const connection = connections.get(socket)
      if (connection === undefined) return
      connection.answering += 1
      connection.isUsed = true
      response.on('close', () => endAnswer(socket, connection))
    },
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
