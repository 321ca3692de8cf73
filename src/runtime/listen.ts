import type { Server as GrpcServer, ServerCredentials } from '@grpc/grpc-js'
import type { Server } from 'node:net'
import { parseAddress } from '../protocol/documentText.js'

/** Result of opening a port. */
export type ListenOutcome = { kind: 'listening', address: string } | { kind: 'failed', problem: string }

/** Opens the port of a server; port 0 selects a free one. */
export function listenTcp (server: Server, address: string): Promise<ListenOutcome> {
  const { host, port } = parseAddress(address)
  return new Promise(resolve => {
    const fail = (error: Error) => resolve({ kind: 'failed', problem: `cannot listen on ${address}: ${error.message}` })
    server.once('error', fail)
    server.listen(port, host, () => {
      server.off('error', fail)
      const bound = server.address()
      const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port
      resolve({ kind: 'listening', address: `${address.slice(0, address.lastIndexOf(':'))}:${boundPort}` })
    })
  })
}

/** Opens the port of a gRPC server; port 0 selects a free one. */
export function listenGrpc (server: GrpcServer, address: string, credentials: ServerCredentials): Promise<ListenOutcome> {
  return new Promise(resolve => {
    server.bindAsync(address, credentials, (error, port) => {
      if (error !== null) resolve({ kind: 'failed', problem: `cannot listen on ${address}: ${error.message}` })
      else resolve({ kind: 'listening', address: `${address.slice(0, address.lastIndexOf(':'))}:${port}` })
    })
  })
}
