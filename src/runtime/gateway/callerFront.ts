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
import { followCallerConnections } from '../callerConnections.js'
import { refuseUnreadable } from '../requestErrors.js'

/** Part of a body that is buffered before routing, in bytes; a smaller body can be sent again. */
const bufferedBodyBytes = 512 * 1024
/** Largest head of a request, in bytes: the limit that operators may set at most. */
const maxHeadBytes = 64 * 1024
/** Time between two checks for slow callers, in milliseconds. */
const slowCallerCheckMs = 500

/** What the front needs. */
export type CallerFrontOptions = {
  timers: TimerService
  wire: GatewayWire
  exchanges: GatewayExchanges
  post: (event: GatewayEvent) => boolean
  noteRefusal: (refusal: FrontRefusal) => void
}

/** A request that was refused before it was routed; one that is no HTTP has no id. */
export type FrontRefusal = { requestId: string | undefined, reason: RefusalReason, status: number }

/** The HTTP side towards callers. */
export type CallerFront = {
  server: Server
  setLimits: (limits: CallerLimits) => void
  /** From now on each answer closes its connection. */
  endKeepAlive: () => void
  countConnections: CallerConnections['count']
  closeIdle: CallerConnections['closeIdle']
  close: CallerConnections['close']
  deliver: (exchange: GatewayExchange) => void
  refuse: (exchange: GatewayExchange, refusal: { reason: RefusalReason, status: number, retryAfterMs: number | undefined }) => void
}

/** Creates the HTTP server for callers. */
export function createCallerFront (options: CallerFrontOptions): CallerFront {
  let requests = 0
  let closing = false
  let maxBodyBytes = Infinity
  let maxHeaderBytes = maxHeadBytes
  const server = createServer({ maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: slowCallerCheckMs })
  server.requestTimeout = 0
  const connections = followCallerConnections(server, options.timers)
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    requests += 1
    const id = `${requests}`
    connections.take(request, response, waitedMs => acceptCaller(id, request, response, options, { maxBodyBytes, maxHeaderBytes, waitedMs, isClosing: () => closing }))
  })
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    response.writeContinue()
    server.emit('request', request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const refused = refuseUnreadable(error, socket, connections, '')
    if (refused !== undefined) options.noteRefusal({ requestId: undefined, ...refused })
  })
  return {
    server,
    setLimits: limits => {
      maxBodyBytes = limits.maxBodyBytes
      maxHeaderBytes = Math.min(limits.maxHeaderBytes, maxHeadBytes)
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs
    },
    endKeepAlive: () => { closing = true },
    countConnections: connections.count,
    closeIdle: connections.closeIdle,
    close: connections.close,
    deliver: exchange => deliverAnswer(exchange, options, closing),
    refuse: (exchange, refusal) => writeRefusal(exchange, refusal, options, closing)
  }
}

type Acceptance = { maxBodyBytes: number, maxHeaderBytes: number, waitedMs: number, isClosing: () => boolean }

function acceptCaller (id: string, request: IncomingMessage, response: ServerResponse, options: CallerFrontOptions, acceptance: Acceptance): void {
  // A caller that goes away shows up as the close of the response, handled below.
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
    sending: undefined,
    isAnswered: false
  }
  options.exchanges.set(id, exchange)
  response.on('close', () => {
    options.exchanges.delete(id)
    if (exchange.isAnswered) return
    exchange.sending?.cancel()
    options.post({ kind: 'caller-gone', now: options.timers.clock.now(), id })
  })
  const refuse = (reason: RefusalReason, status: number) => {
    options.noteRefusal({ requestId: exchange.requestId, reason, status })
    writeRefusal(exchange, { reason, status, retryAfterMs: undefined }, options, true)
  }
  if (countHosts(request) > 1) return refuse('bad-request', 400)
  if (countHeadBytes(request) > acceptance.maxHeaderBytes) return refuse('oversized', 431)
  if (Number(request.headers['content-length'] ?? 0) > acceptance.maxBodyBytes) return refuse('oversized', 413)
  const timeoutMs = readTimeout(request, options.wire, acceptance.waitedMs)
  const stopBodyTimer = timeoutMs === undefined ? () => {} : options.timers.schedule(timeoutMs, () => refuse('slow-request', 408))
  readFirstPart(request, acceptance.maxBodyBytes, (part, state) => {
    stopBodyTimer()
    if (state === 'broken' || response.destroyed || exchange.isAnswered) return
    if (state === 'oversized') return refuse('oversized', 413)
    exchange.first = part
    exchange.rest = state === 'whole' ? undefined : request
    const posted = options.post({ kind: 'request-arrived', now: options.timers.clock.now(), id, head: readHead(exchange, options.wire, acceptance.waitedMs) })
    if (posted) return
    options.noteRefusal({ requestId: exchange.requestId, reason: 'not-ready', status: 503 })
    writeRefusal(exchange, { reason: 'not-ready', status: 503, retryAfterMs: 500 }, options, acceptance.isClosing())
  })
}

function countHosts (request: IncomingMessage): number {
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

/** Buffers a body up to a limit and tells what came of it. */
function readFirstPart (request: IncomingMessage, maxBytes: number, then: (part: Buffer, state: 'whole' | 'more' | 'oversized' | 'broken') => void): void {
  const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
  if (!hasBody) {
    request.resume()
    return then(Buffer.alloc(0), 'whole')
  }
  const parts: Buffer[] = []
  let bytes = 0
  let done = false
  const finish = (state: 'whole' | 'more' | 'oversized' | 'broken') => {
    if (done) return
    done = true
    request.off('data', onData)
    if (state === 'more') request.pause()
    if (state === 'oversized') request.resume()
    then(Buffer.concat(parts), state)
  }
  const onData = (part: Buffer) => {
    parts.push(part)
    bytes += part.length
    if (bytes > maxBytes) finish('oversized')
    else if (bytes >= bufferedBodyBytes) finish('more')
  }
  request.on('data', onData)
  request.once('end', () => finish('whole'))
  request.once('close', () => finish('broken'))
}

/** Reads how long the caller still waits, in milliseconds. */
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

/** Splits a request target; the absolute form names its own host. */
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

function deliverAnswer (exchange: GatewayExchange, options: CallerFrontOptions, closing: boolean): void {
  const { response } = exchange
  const answer = exchange.sending?.answer
  if (answer === undefined || response.destroyed) return
  const pairs = answer.headers.filter(pair => pair.name.toLowerCase() !== 'content-length')
  const length = answer.rest === undefined ? answer.first.length : findLength(answer.headers)
  const hasBody = exchange.method !== 'HEAD' && answer.status !== 204 && answer.status !== 304
  if (!hasBody && findLength(answer.headers) !== undefined) pairs.push({ name: 'Content-Length', value: String(findLength(answer.headers)) })
  // A body that ended with its connection goes on the same way: this host can't vouch for its length.
  const isClosed = answer.framing === 'closed'
  if (hasBody && isClosed) {
    response.shouldKeepAlive = false
    response.useChunkedEncodingByDefault = false
    pairs.push({ name: 'Connection', value: 'close' })
  }
  if (hasBody && length !== undefined && !isClosed) pairs.push({ name: 'Content-Length', value: String(length) })
  if (closing && !isClosed) pairs.push({ name: 'Connection', value: 'close' })
  response.sendDate = false
  response.writeHead(answer.status, formatHeaders(pairs))
  if (answer.rest === undefined) {
    exchange.isAnswered = true
    response.end(hasBody ? answer.first : undefined)
    return
  }
  response.write(answer.first)
  readInto(answer.rest, (part, then) => {
    if (response.destroyed || response.write(part)) then()
    else response.once('drain', then)
  }, whole => {
    const isWhole = whole && answer.rest?.complete === true
    exchange.isAnswered = true
    if (isWhole) response.end()
    else response.socket?.resetAndDestroy()
    const { attempt } = exchange.sending ?? { attempt: 0 }
    const now = options.timers.clock.now()
    options.post(isWhole
      ? { kind: 'answer-whole', now, id: exchange.id, attempt, status: answer.status, firstByteAt: now }
      : { kind: 'answer-cut', now, id: exchange.id, attempt })
  })
  answer.rest.resume()
}

function findLength (headers: ReadonlyArray<{ name: string, value: string }>): number | undefined {
  const found = headers.find(pair => pair.name.toLowerCase() === 'content-length')
  return found === undefined ? undefined : Number(found.value)
}

/** Answers with a refusal or failure of this system. */
function writeRefusal (
  exchange: GatewayExchange,
  refusal: { reason: RefusalReason, status: number, retryAfterMs: number | undefined },
  options: CallerFrontOptions,
  closing: boolean
): void {
  const { response, request } = exchange
  exchange.isAnswered = true
  if (response.headersSent || response.destroyed) {
    // A body that ends with its connection would look whole after an orderly close.
    response.socket?.resetAndDestroy()
    response.destroy()
    return
  }
  const body = JSON.stringify({ reason: refusal.reason })
  const unread = !request.complete
  response.writeHead(refusal.status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...(exchange.requestId === '' ? {} : { [options.wire.headers.requestId]: exchange.requestId }),
    ...(refusal.retryAfterMs === undefined ? {} : { 'Retry-After': (refusal.retryAfterMs / 1000).toFixed(3) }),
    ...(unread || closing ? { Connection: 'close' } : {})
  })
  response.end(body)
  if (unread) request.resume()
}
