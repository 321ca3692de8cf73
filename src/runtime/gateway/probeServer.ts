import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { CallerConnections, CallerConnectionsOptions } from '../callerConnections.js'
import { createServer } from 'node:http'
import { queueBodiless } from '../bodilessRequests.js'
import { createCallerConnections } from '../callerConnections.js'

/** Time for receiving the head of a probe, in milliseconds; a load balancer gives up sooner. */
const headTimeoutMs = 5000
/** Time for which an idle connection is kept, in milliseconds: longer than the interval between two probes. */
const idleTimeoutMs = 15_000

/** Server for the readiness probes of a load balancer. */
export type ProbeServer = { httpServer: Server, countHeldBytes: CallerConnections['countHeldBytes'] }

/** Creates the server for readiness probes. It has the limits of the server for callers, with bounds of its own. */
export function createProbeServer (path: string, isReady: () => boolean, options: CallerConnectionsOptions): ProbeServer {
  const server = createServer({ headersTimeout: headTimeoutMs, requestTimeout: headTimeoutMs, keepAliveTimeout: idleTimeoutMs, requireHostHeader: false })
  const connections = createCallerConnections(server, options)
  const queue = (request: IncomingMessage, response: ServerResponse) => {
    queueBodiless(request, response, connections, headers => {
      const status = request.url === path ? (isReady() ? 200 : 503) : 404
      response.writeHead(status, { 'Content-Length': 0, ...headers })
      response.end()
    })
  }
  for (const event of ['request', 'checkContinue', 'checkExpectation']) server.on(event, queue)
  return { httpServer: server, countHeldBytes: connections.countHeldBytes }
}
