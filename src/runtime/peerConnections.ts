import type { ConnectionInjector, Server as GrpcServer, ServerCredentials, ServerOptions } from '@grpc/grpc-js'
import type { Socket } from 'node:net'
import type { Holding } from '../core/policy/memoryBudget.js'
import type { PeerLimits } from '../core/policy/peerBudget.js'
import type { CallerConnectionsOptions } from './callerConnections.js'
import type { ListenOutcome } from './listen.js'
import type { TimerService } from './timerService.js'
import { createServer } from 'node:net'
import { chooseExcessConnection, chooseExcessHoldings } from '../core/policy/memoryBudget.js'
import { computePeerHeldBytes, maxPeerStreams } from '../core/policy/peerBudget.js'
import { listenTcp } from './listen.js'

/** Interval at which what connections hold is measured, in milliseconds. */
const measureIntervalMs = 100

/** Options that every gRPC server of the system has. */
export const peerServerOptions: ServerOptions = { 'grpc.max_concurrent_streams': maxPeerStreams }

/** Options of the connections of a gRPC server. `notifyClosed` is called when one is closed because of a limit; its requests are not counted. */
export type PeerConnectionsOptions = {
  timers: TimerService
  limits: PeerLimits
  notifyClosed: CallerConnectionsOptions['notifyClosed']
}

/** Connections that other processes open to a gRPC server. */
export type PeerConnections = {
  /** Opens the port of the server; port 0 selects a free one. */
  listen: (server: GrpcServer, address: string, credentials: ServerCredentials) => Promise<ListenOutcome>
  /** Returns a function that records a complete message of a call. `peer`: address and port of the calling process, as gRPC formats them. */
  watchMessages: (peer: string) => () => void
  /** Closes the port and all connections. */
  close: () => void
}

type Connection = Holding & { socket: Socket, receivedAtMessage: number, isAnswering: boolean }

/**
 * Tracks the connections of a gRPC server. HTTP/2 holds the received part of each message until the rest arrives, on every stream of
 * every connection, so that the sum is bounded here: the connections that hold most for each message that they have sent are closed.
 */
export function createPeerConnections ({ timers, limits, notifyClosed }: PeerConnectionsOptions): PeerConnections {
  const connections = new Map<string, Connection>()
  const listener = createServer()
  let stopMeasuring: (() => void) | undefined
  const closeConnection = (connection: Connection, reason: 'connections' | 'memory') => {
    notifyClosed(reason, { heldBytes: connection.heldBytes, requests: 0, answers: connection.answers })
    // A socket that an HTTP/2 session uses is closed by a reset only.
    connection.socket.resetAndDestroy()
  }
  const measure = () => {
    const open = [...connections.values()].filter(({ socket }) => !socket.destroyed)
    for (const connection of open) connection.heldBytes = computePeerHeldBytes(connection.socket.bytesRead, connection.receivedAtMessage)
    const total = open.reduce((sum, { heldBytes }) => sum + heldBytes, 0)
    for (const connection of chooseExcessHoldings(open, total, limits)) closeConnection(connection, 'memory')
  }
  const track = (socket: Socket) => {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`
    const connection: Connection = { socket, heldBytes: 0, answers: 0, openedAt: timers.clock.now(), receivedAtMessage: 0, isAnswering: false }
    const excess = connections.size >= limits.connections ? chooseExcessConnection(connections.values()) : undefined
    connections.set(peer, connection)
    stopMeasuring ??= timers.subscribe(measureIntervalMs, measure)
    socket.on('error', () => {})
    socket.once('close', () => {
      if (connections.get(peer) === connection) connections.delete(peer)
      if (connections.size > 0) return
      stopMeasuring?.()
      stopMeasuring = undefined
    })
    if (excess !== undefined) closeConnection(excess, 'connections')
  }
  return {
    listen: async (server, address, credentials) => {
      const injector: ConnectionInjector = server.createConnectionInjector(credentials)
      listener.on('connection', socket => {
        track(socket)
        injector.injectConnection(socket)
      })
      return await listenTcp(listener, address)
    },
    watchMessages: peer => {
      const connection = connections.get(peer)
      if (connection === undefined) return () => {}
      return () => {
        connection.answers += 1
        connection.receivedAtMessage = connection.socket.bytesRead
      }
    },
    close: () => {
      listener.close()
      for (const { socket } of connections.values()) socket.destroy()
    }
  }
}
