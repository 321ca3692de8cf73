import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallerConnections } from './callerConnections.js'

/**
 * Queues a request whose body is not read on its connection, where requests are answered one after the other.
 * `answer` gets the headers that its answer needs besides its own.
 */
export function queueBodiless (request: IncomingMessage, response: ServerResponse, connections: CallerConnections, answer: (headers: Record<string, string>) => void): void {
  request.on('error', () => {})
  response.on('error', () => {})
  connections.queueRequest(request, response, {
    accept: () => {
      const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
      if (hasBody) connections.endBehind(response)
      answer(hasBody ? { Connection: 'close' } : {})
    },
    abandon: () => {},
    isIdempotent: () => false,
    countHeldBytes: () => 0,
    countCommittedBytes: () => 0,
    refuse: () => false
  })
}
