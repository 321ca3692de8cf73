import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { TimerService } from './timerService.js'
import type { HeldLimits } from '../core/policy/memoryBudget.js'
import type { CallerConnections, CallerConnectionsOptions } from './callerConnections.js'
import type { ShortageReason } from './closeReasons.js'
import type { BodyBuffer } from './bodyBuffer.js'
import type { ReadTurns } from './readTurns.js'
import type { SocketPolls } from './socketPolls.js'
import type { RequestError } from './requestErrors.js'
import type { Refusal } from '../core/domain/outcome.js'
import type { CallerRequest, RouterEvent } from '../core/router/routerEvents.js'
import type { AnswerSink, Exchange, ExchangeTable } from './exchange.js'
import { createServer } from 'node:http'
import { httpStatusByReason } from '../core/domain/outcome.js'
import { readTimeout } from '../core/router/ingress.js'
import { headerNames } from '../protocol/grantWire.js'
import { createBodyBuffer } from './bodyBuffer.js'
import { createCallerConnections } from './callerConnections.js'
import { formatHeaders, listPassedHeaders } from './exchange.js'
import { hasValidHeaders } from './messageHead.js'
import { refuseUnreadable } from './requestErrors.js'

/** Number of body bytes that are buffered before routing; a request with a smaller body can be retried. */
const maxBufferedBodyBytes = 64 * 1024
/** Timeout for receiving the head of a request, in milliseconds. */
const headTimeoutMs = 10_000
/** Timeout for receiving a whole request, in milliseconds. */
const requestTimeoutMs = 300_000
/** Largest head of a request, in bytes. */
const maxHeadBytes = 16 * 1024
/** Timeout for receiving the buffered start of a body, in milliseconds. */
const bodyStartTimeoutMs = 10_000

/** Readiness path that the platform's load balancer probes. */
export const balancerProbePath = '/_fulmar/readyz'

/** Options of the server for callers. */
export type CallerServerOptions = {
  timers: TimerService
  exchanges: ExchangeTable
  post: (event: RouterEvent) => boolean
  /** Counts a request that is refused before it reaches the reducer. */
  countRefusal: (reason: RequestError['reason'] | 'not-ready' | ShortageReason) => void
  /** Returns whether the platform's load balancer may send callers here. */
  isReady: () => boolean
  /** Prefix of the ids of callers' requests, which distinguishes them from requests of peers. */
  idPrefix: string
  limits: HeldLimits
  readTurns: ReadTurns
  polls: SocketPolls
  notifyClosed: CallerConnectionsOptions['notifyClosed']
  /** Returns whether a request may run more than once, and so beside earlier ones of its connection. */
  isIdempotent: (request: CallerRequest) => boolean
}

/** HTTP server for callers. */
export type CallerServer = {
  server: Server
  /** Makes every answer from now on close its connection. */
  endKeepAlive: () => void
  close: CallerConnections['close']
  /** Returns the bytes held for callers. */
  countHeldBytes: CallerConnections['countHeldBytes']
}

/** Creates the HTTP server for callers. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  let requestCount = 0
  let isClosing = false
  const server = createServer({ maxHeaderSize: maxHeadBytes, headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs, requireHostHeader: false })
  const connections = createCallerConnections(server, options)
  const context: CallerContext = { options, connections, isClosing: () => isClosing }
  server.on('request', (request, response) => {
    if (request.url === balancerProbePath) return queueProbe(request, response, context)
    requestCount += 1
    queueCaller(`${options.idPrefix}${requestCount}`, request, response, context)
  })
  server.on('checkExpectation', (request, response) => {
    requestCount += 1
    queueCaller(`${options.idPrefix}${requestCount}`, request, response, { ...context, hasUnknownExpectation: true })
  })
  server.on('checkContinue', (request, response) => {
    response.writeContinue()
    server.emit('request', request, response)
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const refused = refuseUnreadable(error, socket, connections, 'fulmar-outcome: not-run\r\n')
    if (refused !== undefined) options.countRefusal(refused.reason)
  })
  return {
    server,
    endKeepAlive: () => { isClosing = true },
    close: connections.close,
    countHeldBytes: connections.countHeldBytes
  }
}

/** Tells whether answers close their connections. */
type KeepAliveState = { isClosing: () => boolean }

type CallerContext = KeepAliveState & { options: CallerServerOptions, connections: CallerConnections, hasUnknownExpectation?: boolean, mustClose?: boolean }

/** A request that was accepted; `exchange` is undefined until it is posted. */
type Call = { id: string, request: IncomingMessage, response: ServerResponse, body: BodyBuffer, receivedAt: number, exchange: Exchange | undefined }

function buildConnectionHeader (isClosing: boolean): Record<string, string> {
  return isClosing ? { connection: 'close' } : {}
}

function queueProbe (request: IncomingMessage, response: ServerResponse, context: CallerContext): void {
  request.on('error', () => {})
  response.on('error', () => {})
  context.connections.queueRequest(request, response, {
    accept: () => answerProbe(request, response, context),
    abandon: () => {},
    isIdempotent: () => true,
    countHeldBytes: () => 0,
    countCommittedBytes: () => 0,
    refuse: () => false
  })
}

function answerProbe (request: IncomingMessage, response: ServerResponse, context: CallerContext): void {
  const isLast = !hasNoBody(request) || (context.isClosing() && context.connections.isLastAccepted(response))
  if (isLast) context.connections.endBehind(response)
  response.writeHead(context.options.isReady() ? 200 : 503, { 'content-length': 0, ...buildConnectionHeader(isLast) })
  response.end()
}

function queueCaller (id: string, request: IncomingMessage, response: ServerResponse, context: CallerContext): void {
  const call: Call = { id, request, response, body: createBodyBuffer(), receivedAt: context.options.timers.clock.now(), exchange: undefined }
  context.connections.queueRequest(request, response, {
    accept: waitedMs => {
      call.receivedAt = context.options.timers.clock.now() - waitedMs
      acceptCaller(call, context)
    },
    abandon: () => dropCall(call, context.options),
    isIdempotent: () => context.options.isIdempotent(buildCallerRequest(call, false, call.receivedAt)),
    countHeldBytes: () => call.body.countHeldBytes() + (call.exchange?.bodyStart.length ?? 0),
    countCommittedBytes: () => response.headersSent ? 0 : call.exchange?.bodyStart.length ?? 0,
    refuse: reason => {
      if (call.exchange !== undefined || response.headersSent) return false
      context.options.countRefusal(reason)
      writeRefusal(request, response, { outcome: 'not-run', reason }, { ...context, mustClose: true })
      call.body.drop()
      return true
    }
  })
}

function dropCall ({ id, body, exchange }: Call, options: CallerServerOptions): void {
  body.drop()
  if (exchange === undefined || !options.exchanges.delete(id)) return
  options.post({ kind: 'caller-gone', now: options.timers.clock.now(), id })
  exchange.cancelDispatch?.()
  exchange.cancelForward?.()
}

function acceptCaller (call: Call, context: CallerContext): void {
  const { request, response } = call
  const { options } = context
  response.on('error', () => {})
  request.on('error', () => {})
  const hasHost = request.headers.host !== undefined || request.httpVersion === '1.0'
  if (!hasHost || !hasValidHeaders(request.rawHeaders) || context.hasUnknownExpectation === true) {
    options.countRefusal('bad-request')
    writeRefusal(request, response, { outcome: 'not-run', reason: 'bad-request' }, { ...context, mustClose: true })
    return
  }
  if (hasNoBody(request)) {
    request.resume()
    confirmCall(call, true, context)
    return
  }
  readBodyStart(request, call.body, (hasFailed, isBodyEnded) => {
    if (response.headersSent) return
    if (hasFailed) {
      options.countRefusal('bad-request')
      context.connections.cut(response)
      return
    }
    confirmCall(call, isBodyEnded, context)
  })
}

/** Starts a request unless its caller has left. */
function confirmCall (call: Call, isBodyEnded: boolean, context: CallerContext): void {
  context.connections.confirmCaller(call.response, () => { if (!call.response.headersSent) startExchange(call, isBodyEnded, context) })
}

function hasNoBody (request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return false
  const length = request.headers['content-length']
  return length === undefined || length === '0'
}

/** Buffers the start of a body; it has failed when the caller disconnects or the timeout passes. */
function readBodyStart (request: IncomingMessage, body: BodyBuffer, then: (hasFailed: boolean, isBodyEnded: boolean) => void): void {
  let isFinished = false
  const finish = (hasFailed: boolean, isBodyEnded: boolean) => {
    if (isFinished) return
    isFinished = true
    request.off('data', onData)
    request.pause()
    request.setTimeout(0)
    then(hasFailed, isBodyEnded)
  }
  const onData = (part: Buffer) => {
    body.add(part)
    if (body.countBytes() >= maxBufferedBodyBytes) finish(false, request.complete && request.readableLength === 0)
  }
  request.on('data', onData)
  request.once('end', () => finish(false, true))
  request.once('close', () => finish(true, false))
  request.setTimeout(bodyStartTimeoutMs, () => finish(true, false))
}

function buildCallerRequest ({ request, receivedAt }: Call, replayable: boolean, now: number): CallerRequest {
  const timeoutMs = readTimeout(request.headers)
  return {
    host: request.headers.host ?? '',
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: request.headers,
    ...(timeoutMs === undefined ? {} : { timeoutMs }),
    waitedMs: now - receivedAt,
    replayable
  }
}

function startExchange (call: Call, isBodyEnded: boolean, context: CallerContext): void {
  const { id, request, response } = call
  const { options } = context
  const now = () => options.timers.clock.now()
  const release = () => options.exchanges.delete(id)
  const exchange: Exchange = {
    id,
    http: { method: request.method ?? 'GET', path: request.url ?? '/', headers: listPassedHeaders(request.rawHeaders, false) },
    bodyStart: call.body.take(),
    bodyRest: isBodyEnded ? undefined : request,
    sink: buildSink(id, response, context),
    refuse: refusal => {
      release()
      writeRefusal(request, response, refusal, context)
    },
    finish: result => {
      release()
      options.post({ kind: 'answer-finished', now: now(), id, result })
    },
    cancelDispatch: undefined,
    cancelForward: undefined
  }
  call.exchange = exchange
  options.exchanges.set(id, exchange)
  response.on('close', () => { if (!response.writableFinished) dropCall(call, options) })
  const postedAt = now()
  const isAccepted = options.post({ kind: 'caller-request', now: postedAt, id, request: buildCallerRequest(call, isBodyEnded, postedAt) })
  if (isAccepted) return
  options.countRefusal('not-ready')
  exchange.refuse({ outcome: 'not-run', reason: 'not-ready' })
}

function buildSink (id: string, response: ServerResponse, context: CallerContext): AnswerSink {
  const { options, connections } = context
  return {
    start: (status, headers) => {
      options.post({ kind: 'answer-started', now: options.timers.clock.now(), id })
      const isLast = context.isClosing() && connections.isLastAccepted(response)
      if (isLast || !response.shouldKeepAlive) connections.endBehind(response)
      response.writeHead(status, formatHeaders(isLast ? [...headers, { name: 'connection', value: 'close' }] : headers))
    },
    write: (part, then) => {
      if (response.write(part) || connections.isReadAhead(response)) then()
      else response.once('drain', then)
    },
    end: () => response.end(),
    abort: () => {
      if (!response.headersSent) return writeRefusal(undefined, response, { outcome: 'unknown', reason: 'backend-failed' }, context)
      if (response.socket === null) connections.cut(response)
      else response.destroy()
    }
  }
}

/** Answers with a refusal, which states whether the request ran and why it was refused. */
function writeRefusal (request: IncomingMessage | undefined, response: ServerResponse, refusal: Refusal, context: CallerContext): void {
  if (response.headersSent || response.destroyed) {
    if (response.socket === null) context.connections.cut(response)
    else response.destroy()
    return
  }
  const body = JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
  const hasUnreadBody = request !== undefined && !request.complete
  const isLast = hasUnreadBody || context.mustClose === true || (context.isClosing() && context.connections.isLastAccepted(response))
  if (isLast || !response.shouldKeepAlive) context.connections.endBehind(response)
  response.writeHead(httpStatusByReason[refusal.reason], {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [headerNames.outcome]: refusal.outcome,
    [headerNames.reason]: refusal.reason,
    ...buildConnectionHeader(isLast)
  })
  response.end(body)
  if (hasUnreadBody) request.resume()
}
