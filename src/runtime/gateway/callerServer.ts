import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { GatewayEvent, RequestHead } from '../../core/gateway/events.js'
import type { CallerLimits } from '../../core/gateway/model.js'
import type { RefusalReason } from '../../core/domain/outcome.js'
import type { TimerService } from '../timerService.js'
import type { GatewayExchange, GatewayExchanges } from './exchanges.js'
import type { GatewayWire } from './ports.js'
import type { CallerConnections } from '../callerConnections.js'
import { createServer } from 'node:http'
import { formatHeaders, listPassedHeaders, readInto } from '../exchange.js'
import { createCallerConnections } from '../callerConnections.js'
import { hasValidHeaders } from '../messageHead.js'
import { refuseUnreadable } from '../requestErrors.js'

/** Number of body bytes that are buffered before routing; a request with a smaller body can be retried. */
const maxBufferedBodyBytes = 512 * 1024
/** Maximum size of a request head, in bytes; operators can only set lower limits. */
const maxHeadBytes = 64 * 1024
/** Interval at which Node.js checks connections for header timeouts, in milliseconds. */
const connectionCheckIntervalMs = 500

/** Options of the HTTP server for callers. */
export type CallerServerOptions = {
  timers: TimerService
  wire: GatewayWire
  exchanges: GatewayExchanges
  post: (event: GatewayEvent) => boolean
  recordRefusal: (refusal: EarlyRefusal) => void
}

/** Request refused before it was routed; without an id if it could not be parsed as HTTP. */
export type EarlyRefusal = { requestId: string | undefined, reason: RefusalReason, status: number }

/** HTTP server for callers. */
export type CallerServer = {
  httpServer: Server
  setLimits: (limits: CallerLimits) => void
  /** Makes every further answer close its connection. */
  endKeepAlive: () => void
  countConnections: CallerConnections['count']
  closeIdle: CallerConnections['closeIdle']
  close: CallerConnections['close']
  deliver: (exchange: GatewayExchange) => void
  refuse: (exchange: GatewayExchange, refusal: { reason: RefusalReason, status: number, retryAfterMs: number | undefined }) => void
}

/** Creates the HTTP server for callers. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  let requests = 0
  let isClosing = false
  let maxBodyBytes = Infinity
  let maxHeaderBytes = maxHeadBytes
  const server = createServer({ maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: connectionCheckIntervalMs })
  server.requestTimeout = 0
  const connections = createCallerConnections(server, options.timers)
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    requests += 1
    const id = `${requests}`
    connections.queueRequest(request, response, waitedMs => acceptRequest(id, request, response, options, { maxBodyBytes, maxHeaderBytes, waitedMs, isClosing: () => isClosing }))
  })
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    response.writeContinue()
    server.emit('request', request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const refused = refuseUnreadable(error, socket, connections, '')
    if (refused !== undefined) options.recordRefusal({ requestId: undefined, ...refused })
  })
  return {
    httpServer: server,
    setLimits: limits => {
      maxBodyBytes = limits.maxBodyBytes
      maxHeaderBytes = Math.min(limits.maxHeaderBytes, maxHeadBytes)
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs
    },
    endKeepAlive: () => { isClosing = true },
    countConnections: connections.count,
    closeIdle: connections.closeIdle,
    close: connections.close,
    deliver: exchange => deliverAnswer(exchange, options, isClosing),
    refuse: (exchange, refusal) => writeRefusal(exchange, refusal, options, isClosing)
  }
}

type AcceptContext = { maxBodyBytes: number, maxHeaderBytes: number, waitedMs: number, isClosing: () => boolean }

function acceptRequest (id: string, request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, context: AcceptContext): void {
  // When the caller disconnects, the response also emits 'close', which is handled below.
  response.on('error', () => {})
  request.on('error', () => {})
  const exchange: GatewayExchange = {
    id,
    requestId: readHeader(request, options.wire.headers.requestId) ?? '',
    startedAt: options.timers.clock.now(),
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: listPassedHeaders(request.rawHeaders, true),
    first: Buffer.alloc(0),
    rest: undefined,
    request,
    response,
    sendAttempt: undefined,
    isAnswered: false
  }
  options.exchanges.set(id, exchange)
  response.on('close', () => {
    options.exchanges.delete(id)
    if (exchange.isAnswered) return
    exchange.sendAttempt?.cancel()
    options.post({ kind: 'caller-gone', now: options.timers.clock.now(), id })
  })
  const refuse = (reason: RefusalReason, status: number) => {
    options.recordRefusal({ requestId: exchange.requestId, reason, status })
    writeRefusal(exchange, { reason, status, retryAfterMs: undefined }, options, true)
  }
  if (countHostHeaders(request) > 1 || !hasValidHeaders(request.rawHeaders)) return refuse('bad-request', 400)
  if (countHeadBytes(request) > context.maxHeaderBytes) return refuse('oversized', 431)
  if (Number(request.headers['content-length'] ?? 0) > context.maxBodyBytes) return refuse('oversized', 413)
  const timeoutMs = readTimeout(request, options.wire, context.waitedMs)
  const stopBodyTimer = timeoutMs === undefined ? () => {} : options.timers.schedule(timeoutMs, () => refuse('slow-request', 408))
  readBodyStart(request, context.maxBodyBytes, (part, state) => {
    stopBodyTimer()
    if (state === 'aborted' || response.destroyed || exchange.isAnswered) return
    if (state === 'oversized') return refuse('oversized', 413)
    exchange.first = part
    exchange.rest = state === 'complete' ? undefined : request
    const isPosted = options.post({ kind: 'request-arrived', now: options.timers.clock.now(), id, head: readHead(exchange, options.wire, context.waitedMs) })
    if (isPosted) return
    options.recordRefusal({ requestId: exchange.requestId, reason: 'not-ready', status: 503 })
    writeRefusal(exchange, { reason: 'not-ready', status: 503, retryAfterMs: 500 }, options, context.isClosing())
  })
}

function countHostHeaders (request: IncomingMessage): number {
  let hosts = 0
  for (let index = 0; index < request.rawHeaders.length; index += 2) {
    if (request.rawHeaders[index]?.toLowerCase() === 'host') hosts += 1
  }
  return hosts
}

function countHeadBytes (request: IncomingMessage): number {
  let bytes = (request.url ?? '').length
  for (const text of request.rawHeaders) bytes += text.length + 2
  return bytes
}

function readHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name.toLowerCase()]
  return Array.isArray(value) ? value[0] : value
}

/** Buffers the start of a body. Calls back once it is complete, longer than `maxBytes`, aborted, or too long to be buffered completely. */
function readBodyStart (request: IncomingMessage, maxBytes: number, callback: (part: Buffer, state: 'complete' | 'partial' | 'oversized' | 'aborted') => void): void {
  const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
  if (!hasBody) {
    request.resume()
    return callback(Buffer.alloc(0), 'complete')
  }
  const parts: Buffer[] = []
  let bytes = 0
  let isFinished = false
  const finish = (state: 'complete' | 'partial' | 'oversized' | 'aborted') => {
    if (isFinished) return
    isFinished = true
    request.off('data', onData)
    if (state === 'partial') request.pause()
    if (state === 'oversized') request.resume()
    callback(Buffer.concat(parts), state)
  }
  const onData = (part: Buffer) => {
    parts.push(part)
    bytes += part.length
    if (bytes > maxBytes) finish('oversized')
    else if (bytes >= maxBufferedBodyBytes) finish('partial')
  }
  request.on('data', onData)
  request.once('end', () => finish('complete'))
  request.once('close', () => finish('aborted'))
}

/** Reads the caller's remaining timeout, in milliseconds. */
function readTimeout (request: IncomingMessage, wire: GatewayWire, waitedMs: number): number | undefined {
  const timeoutMs = readNumber(readHeader(request, wire.headers.timeoutMs), 86_400_000)
  return timeoutMs === undefined ? undefined : Math.max(0, timeoutMs - waitedMs)
}

function readHead (exchange: GatewayExchange, wire: GatewayWire, waitedMs: number): RequestHead {
  const { request } = exchange
  const target = splitTarget(exchange.path, request.headers.host ?? '')
  return {
    requestId: exchange.requestId,
    host: target.host.replace(/:\d+$/, '').toLowerCase(),
    path: target.path,
    key: readNumber(readHeader(request, wire.headers.key), 65_535),
    timeoutMs: readTimeout(request, wire, waitedMs),
    bodyBytes: Math.max(exchange.first.length, Number(request.headers['content-length'] ?? 0)),
    replayable: exchange.rest === undefined
  }
}

/** Splits a request target into host and path; a target in absolute form overrides the Host header. */
function splitTarget (target: string, host: string): { host: string, path: string } {
  const absolute = /^http:\/\/([^/?]*)(.*)$/i.exec(target)
  if (absolute === null) return { host, path: target }
  return { host: absolute[1] ?? host, path: absolute[2] === '' ? '/' : absolute[2] ?? '/' }
}

function readNumber (text: string | undefined, highest: number): number | undefined {
  if (text === undefined || !/^\d{1,15}(\.\d{1,9})?$/.test(text)) return undefined
  const value = Number(text)
  return value <= highest ? value : undefined
}

function deliverAnswer (exchange: GatewayExchange, options: CallerServerOptions, isClosing: boolean): void {
  const { response } = exchange
  const answer = exchange.sendAttempt?.answer
  if (answer === undefined || response.destroyed) return
  const headers = answer.headers.filter(pair => pair.name.toLowerCase() !== 'content-length')
  const length = answer.rest === undefined ? answer.first.length : findContentLength(answer.headers)
  const hasBody = exchange.method !== 'HEAD' && answer.status !== 204 && answer.status !== 304
  if (!hasBody && findContentLength(answer.headers) !== undefined) headers.push({ name: 'Content-Length', value: String(findContentLength(answer.headers)) })
  // A body that ends when its connection closes is passed on the same way, because its completeness is not known.
  const isEndedByClose = answer.framing === 'connection-close'
  if (hasBody && isEndedByClose) {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    headers.push({ name: 'Connection', value: 'close' })
  }
  if (hasBody && length !== undefined && !isEndedByClose) headers.push({ name: 'Content-Length', value: String(length) })
  if (isClosing && !isEndedByClose) headers.push({ name: 'Connection', value: 'close' })
  response.sendDate = false
  response.writeHead(answer.status, formatHeaders(headers))
  if (answer.rest === undefined) {
    exchange.isAnswered = true
    response.end(hasBody ? answer.first : undefined)
    return
  }
  response.write(answer.first)
  readInto(answer.rest, (part, then) => {
    if (response.destroyed || response.write(part)) then()
    else response.once('drain', then)
  }, isRestComplete => {
    const isComplete = isRestComplete && answer.isWhole()
    exchange.isAnswered = true
    if (isComplete) response.end()
    else response.socket?.resetAndDestroy()
    const { attempt } = exchange.sendAttempt ?? { attempt: 0 }
    const now = options.timers.clock.now()
    options.post(isComplete
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
function writeRefusal (
  exchange: GatewayExchange,
  refusal: { reason: RefusalReason, status: number, retryAfterMs: number | undefined },
  options: CallerServerOptions,
  isClosing: boolean
): void {
  const { response, request } = exchange
  exchange.isAnswered = true
  if (response.headersSent || response.destroyed) {
    // The connection is reset, because after a regular close a truncated body that ends with its connection would look complete.
    response.socket?.resetAndDestroy()
    response.destroy()
    return
  }
  const body = JSON.stringify({ reason: refusal.reason })
  const isUnread = !request.complete
  response.writeHead(refusal.status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...(exchange.requestId === '' ? {} : { [options.wire.headers.requestId]: exchange.requestId }),
    ...(refusal.retryAfterMs === undefined ? {} : { 'Retry-After': (refusal.retryAfterMs / 1000).toFixed(3) }),
    ...(isUnread || isClosing ? { Connection: 'close' } : {})
  })
  response.end(body)
  if (isUnread) request.resume()
}
