import type { RefusalReason } from '../../core/domain/outcome.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { CallerConnections } from '../callerConnections.js'
import type { TimerService } from '../timerService.js'
import type { GatewayExchange } from './exchanges.js'
import type { GatewayWire } from './ports.js'
import { formatHeaders, readInto } from '../exchange.js'

/**
 * What writing an answer needs. `isClosing`: the answer closes its connection unless a request behind it is accepted already;
 * `mustClose`: it closes it whatever stands behind it.
 */
export type AnswerContext = { timers: TimerService, wire: GatewayWire, post: (event: GatewayEvent) => boolean, connections: CallerConnections, isClosing: boolean, mustClose?: boolean }

/** Delivers the answer of a backend server. */
export function deliverAnswer (exchange: GatewayExchange, context: AnswerContext): void {
  const { connections, isClosing } = context
  const { response } = exchange
  const answer = exchange.sendAttempt?.answer
  if (exchange.sendAttempt === undefined || answer === undefined || response.destroyed) return
  exchange.sendAttempt.heldBytes = 0
  const headers = answer.headers.filter(pair => pair.name.toLowerCase() !== 'content-length')
  const length = answer.rest === undefined ? answer.first.length : findContentLength(answer.headers)
  const hasBody = exchange.method !== 'HEAD' && answer.status !== 204 && answer.status !== 304
  if (!hasBody && findContentLength(answer.headers) !== undefined) headers.push({ name: 'Content-Length', value: String(findContentLength(answer.headers)) })
  // A body that ends when its connection closes is passed on the same way, because its completeness is not known.
  const isEndedByClose = answer.framing === 'connection-close'
  const isLast = isClosing && connections.isLastAccepted(response)
  if (hasBody && isEndedByClose) {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    headers.push({ name: 'Connection', value: 'close' })
  }
  if (hasBody && length !== undefined && !isEndedByClose) headers.push({ name: 'Content-Length', value: String(length) })
  if (isLast && !isEndedByClose) headers.push({ name: 'Connection', value: 'close' })
  if (isLast || (hasBody && isEndedByClose) || !response.shouldKeepAlive) connections.endBehind(response)
  response.sendDate = false
  response.writeHead(answer.status, formatHeaders(headers))
  if (answer.rest === undefined) {
    exchange.isAnswered = true
    response.end(hasBody ? answer.first : undefined)
    return
  }
  response.write(answer.first)
  // Written bytes count as unread by the caller from here on.
  answer.first = Buffer.alloc(0)
  readInto(answer.rest, (part, then) => {
    if (response.destroyed || response.write(part) || connections.isReadAhead(response)) then()
    else response.once('drain', then)
  }, isRestComplete => {
    const isComplete = isRestComplete && answer.isWhole()
    exchange.isAnswered = true
    if (isComplete) response.end()
    else connections.cut(response)
    const { attempt } = exchange.sendAttempt ?? { attempt: 0 }
    const now = context.timers.clock.now()
    context.post(isComplete
      ? { kind: 'answer-whole', now, id: exchange.id, attempt, status: answer.status, firstByteAt: now }
      : { kind: 'answer-cut', now, id: exchange.id, attempt })
  })
  answer.rest.resume()
}

function findContentLength (headers: ReadonlyArray<{ name: string, value: string }>): number | undefined {
  const found = headers.find(pair => pair.name.toLowerCase() === 'content-length')
  return found === undefined ? undefined : Number(found.value)
}

/** Answers the caller with a refusal or failure that this host decided, not a backend server. */
export function writeRefusal (
  exchange: GatewayExchange,
  refusal: { reason: RefusalReason, status: number, retryAfterMs: number | undefined },
  context: AnswerContext
): void {
  const { connections, isClosing } = context
  const { response, request } = exchange
  exchange.isAnswered = true
  if (response.headersSent || response.destroyed) {
    // The connection is reset, because after a regular close a truncated body that ends with its connection would look complete.
    connections.cut(response)
    if (response.socket !== null) response.destroy()
    return
  }
  const body = JSON.stringify({ reason: refusal.reason })
  const isUnread = !request.complete
  const isLast = isUnread || context.mustClose === true || (isClosing && connections.isLastAccepted(response))
  if (isLast || !response.shouldKeepAlive) connections.endBehind(response)
  response.writeHead(refusal.status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...(exchange.requestId === '' ? {} : { [context.wire.headers.requestId]: exchange.requestId }),
    ...(refusal.retryAfterMs === undefined ? {} : { 'Retry-After': (refusal.retryAfterMs / 1000).toFixed(3) }),
    ...(isLast ? { Connection: 'close' } : {})
  })
  response.end(body)
  if (isUnread) request.resume()
}
