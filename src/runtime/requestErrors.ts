import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { RefusalReason } from '../core/domain/outcome.js'
import type { CallerConnections } from './callerConnections.js'

/** Reason and HTTP status with which unreadable bytes of a caller are refused. */
export type RequestError = { reason: Extract<RefusalReason, 'bad-request' | 'oversized' | 'slow-request'>, status: number }

const statusTexts: Record<RequestError['reason'], string> = {
  'bad-request': '400 Bad Request',
  oversized: '431 Request Header Fields Too Large',
  'slow-request': '408 Request Timeout'
}

/**
 * Refuses bytes that are not a request, or a head that did not arrive in time, and closes the connection.
 * If answers are pending on it, only they are sent: the caller would take a refusal for one of them.
 */
export function refuseUnreadable (error: NodeJS.ErrnoException, stream: Duplex, connections: CallerConnections, headers: string): RequestError | undefined {
  const socket = stream as Socket
  // A broken connection has no request that could be refused.
  if (!socket.writable) return undefined
  if (connections.endAfterAnswers(socket)) return undefined
  const reason = readReason(error)
  socket.write(`HTTP/1.1 ${statusTexts[reason]}\r\nConnection: close\r\nContent-Length: 0\r\n${headers}\r\n`)
  socket.destroySoon()
  return { reason, status: Number(statusTexts[reason].slice(0, 3)) }
}

function readReason (error: NodeJS.ErrnoException): RequestError['reason'] {
  if (error.code === 'HPE_HEADER_OVERFLOW') return 'oversized'
  return error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'slow-request' : 'bad-request'
}
