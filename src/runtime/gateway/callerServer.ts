import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { GatewayEvent, RequestHead } from '../../core/gateway/events.js'
import type { CallerLimits } from '../../core/gateway/model.js'
import type { RefusalReason } from '../../core/domain/outcome.js'
import type { TimerService } from '../timerService.js'
import type { GatewayExchange, GatewayExchanges } from './exchanges.js'
import type { GatewayWire } from './ports.js'
import type { BodyBuffer } from '../bodyBuffer.js'
import type { HeldLimits } from '../../core/policy/memoryBudget.js'
import type { QueuedRequest } from '../callerConnection.js'
import type { CallerConnections, CallerConnectionsOptions } from '../callerConnections.js'
import type { ReadTurns } from '../readTurns.js'
import type { SocketPolls } from '../socketPolls.js'
import type { AbandonedPhase } from './gatewayMetrics.js'
import { createServer } from 'node:http'
import { httpStatusByReason } from '../../core/domain/outcome.js'
import { createBodyBuffer } from '../bodyBuffer.js'
import { listPassedHeaders } from '../exchange.js'
import { createCallerConnections } from '../callerConnections.js'
import { hasValidHeaders } from '../messageHead.js'
import { refuseUnreadable } from '../requestErrors.js'
import { deliverAnswer, writeRefusal } from './callerAnswers.js'
import { readBodyStart } from './callerBody.js'

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
  limits: HeldLimits
  readTurns: ReadTurns
  polls: SocketPolls
  recordAccept: () => void
  countAbandoned: (phase: AbandonedPhase) => void
  notifyClosed: CallerConnectionsOptions['notifyClosed']
  /** Returns whether a request for this host and path may run more than once, and so beside earlier ones of its connection. */
  isIdempotent: (host: string, path: string) => boolean
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
  /** Returns the bytes held for callers. */
  countHeldBytes: CallerConnections['countHeldBytes']
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
  // A request without a Host header is refused here: Node.js would answer it apart from the order and the limits of its connection.
  const server = createServer({ maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: connectionCheckIntervalMs, requireHostHeader: false })
  server.requestTimeout = 0
  const connections = createCallerConnections(server, { ...options, notifyUnread: () => options.countAbandoned('unread') })
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    requests += 1
    const context = { maxBodyBytes, maxHeaderBytes, isClosing: () => isClosing, connections }
    queueCaller(`${requests}`, request, response, options, context)
  })
  server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
    requests += 1
    const context = { maxBodyBytes, maxHeaderBytes, isClosing: () => isClosing, connections, hasUnknownExpectation: true }
    queueCaller(`${requests}`, request, response, options, context)
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
    countHeldBytes: connections.countHeldBytes,
    closeIdle: connections.closeIdle,
    close: connections.close,
    deliver: exchange => deliverAnswer(exchange, { ...options, connections, isClosing }),
    refuse: (exchange, refusal) => writeRefusal(exchange, refusal, { ...options, connections, isClosing })
  }
}

type AcceptContext = { maxBodyBytes: number, maxHeaderBytes: number, isClosing: () => boolean, connections: CallerConnections, hasUnknownExpectation?: boolean }

/** A request that was accepted: `abandon` ends it when its connection closes, `refuse` while its body is being read. */
type AcceptedCaller = { abandon: () => void, refuse: QueuedRequest['refuse'], countHeldBytes: () => number, countCommittedBytes: () => number }

function queueCaller (id: string, request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, context: AcceptContext): void {
  let accepted: AcceptedCaller | undefined
  context.connections.queueRequest(request, response, {
    accept: waitedMs => {
      const exchange = buildExchange(id, request, response, options)
      const body = createBodyBuffer()
      const call: Call = { exchange, body, isPosted: false }
      accepted = buildAccepted(call, options, context)
      response.on('close', accepted.abandon)
      acceptRequest(call, waitedMs, options, context)
    },
    abandon: () => accepted?.abandon(),
    isIdempotent: () => {
      const target = splitTarget(request.url ?? '/', request.headers.host ?? '')
      return options.isIdempotent(formatHost(target.host), target.path)
    },
    countHeldBytes: () => accepted?.countHeldBytes() ?? 0,
    countCommittedBytes: () => accepted?.countCommittedBytes() ?? 0,
    refuse: reason => accepted?.refuse(reason) ?? false
  })
}

type Call = { exchange: GatewayExchange, body: BodyBuffer, isPosted: boolean }

function buildExchange (id: string, request: IncomingMessage, response: ServerResponse, options: CallerServerOptions): GatewayExchange {
  return {
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
}

function buildAccepted (call: Call, options: CallerServerOptions, context: AcceptContext): AcceptedCaller {
  const { exchange, body } = call
  return {
    abandon: () => {
      if (!options.exchanges.delete(exchange.id)) return
      body.drop()
      if (exchange.isAnswered) return
      options.countAbandoned(exchange.sendAttempt === undefined ? 'unsent' : 'sent')
      exchange.sendAttempt?.cancel()
      options.post({ kind: 'caller-gone', now: options.timers.clock.now(), id: exchange.id })
    },
    refuse: reason => {
      if (call.isPosted || exchange.isAnswered) return false
      body.drop()
      refuseCall(call, reason, options, context)
      return true
    },
    countHeldBytes: () => body.countHeldBytes() + exchange.first.length + (exchange.sendAttempt?.heldBytes ?? 0),
    countCommittedBytes: () => call.isPosted && !exchange.isAnswered ? exchange.first.length : 0
  }
}

/** Refuses a request before it is posted, or one whose body turns out to be too long, and closes its connection. */
function refuseCall (call: Call, reason: RefusalReason, options: CallerServerOptions, context: AcceptContext): void {
  const status = httpStatusByReason[reason]
  options.recordRefusal({ requestId: call.exchange.requestId, reason, status })
  writeRefusal(call.exchange, { reason, status, retryAfterMs: undefined }, { ...options, connections: context.connections, isClosing: true, mustClose: true })
}

function acceptRequest (call: Call, waitedMs: number, options: CallerServerOptions, context: AcceptContext): void {
  const { exchange } = call
  const { id, request, response } = exchange
  // When the caller disconnects, the response also emits 'close', which is handled in `buildAccepted`.
  response.on('error', () => {})
  request.on('error', () => {})
  options.exchanges.set(id, exchange)
  if (!hasOneHost(request) || !hasValidHeaders(request.rawHeaders)) return refuseCall(call, 'bad-request', options, context)
  if (context.hasUnknownExpectation === true) return refuseExpectation(exchange, options, context)
  if (countHeadBytes(request) > context.maxHeaderBytes) {
    options.recordRefusal({ requestId: exchange.requestId, reason: 'oversized', status: 431 })
    return writeRefusal(exchange, { reason: 'oversized', status: 431, retryAfterMs: undefined }, { ...options, connections: context.connections, isClosing: true, mustClose: true })
  }
  if (Number(request.headers['content-length'] ?? 0) > context.maxBodyBytes) return refuseCall(call, 'oversized', options, context)
  const timeoutMs = readTimeout(request, options.wire, waitedMs)
  const isDropped = () => response.destroyed || exchange.isAnswered || !options.exchanges.has(id)
  const refuseSlow = () => { if (!isDropped()) refuseCall(call, 'slow-request', options, context) }
  const stopBodyTimer = timeoutMs === undefined ? () => {} : options.timers.schedule(timeoutMs, refuseSlow)
  readBodyStart(request, call.body, context.maxBodyBytes, state => {
    stopBodyTimer()
    if (state === 'aborted' || isDropped()) return
    if (state === 'oversized' && call.isPosted) {
      exchange.sendAttempt?.cancel()
      options.post({ kind: 'caller-gone', now: options.timers.clock.now(), id })
    }
    if (state === 'oversized') return refuseCall(call, 'oversized', options, context)
    exchange.first = call.body.take()
    exchange.rest = state === 'complete' ? undefined : request
    context.connections.confirmCaller(response, () => { if (!isDropped()) postRequest(call, waitedMs, options, context) })
  })
}

/** Gives a request to the reducer. `waitedMs`: time between the receipt of its head and its acceptance, in milliseconds. */
function postRequest (call: Call, waitedMs: number, options: CallerServerOptions, context: AcceptContext): void {
  const { exchange } = call
  const now = options.timers.clock.now()
  call.isPosted = true
  const isPosted = options.post({ kind: 'request-arrived', now, id: exchange.id, head: readHead(exchange, options.wire, waitedMs + now - exchange.startedAt) })
  if (isPosted) return
  options.recordRefusal({ requestId: exchange.requestId, reason: 'not-ready', status: 503 })
  writeRefusal(exchange, { reason: 'not-ready', status: 503, retryAfterMs: 500 }, { ...options, connections: context.connections, isClosing: context.isClosing() })
}

/** Refuses a request with an expectation that this program doesn't know. */
function refuseExpectation (exchange: GatewayExchange, options: CallerServerOptions, context: AcceptContext): void {
  options.recordRefusal({ requestId: exchange.requestId, reason: 'bad-request', status: 417 })
  writeRefusal(exchange, { reason: 'bad-request', status: 417, retryAfterMs: undefined }, { ...options, connections: context.connections, isClosing: true, mustClose: true })
}

/** Returns whether a request names one host; without one it is malformed in HTTP 1.1. */
function hasOneHost (request: IncomingMessage): boolean {
  const hosts = countHostHeaders(request)
  return hosts === 1 || (hosts === 0 && request.httpVersion === '1.0')
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
    host: formatHost(target.host),
    path: target.path,
    key: readNumber(readHeader(request, wire.headers.key), 65_535),
    timeoutMs: readTimeout(request, wire, waitedMs),
    bodyBytes: Math.max(exchange.first.length, Number(request.headers['content-length'] ?? 0)),
    replayable: exchange.rest === undefined,
    waitedMs
  }
}

/** Formats a host name as routes have it: without its port, in lower case. */
function formatHost (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
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
