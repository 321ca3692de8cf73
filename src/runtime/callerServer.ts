import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { TimerService } from './timerService.js'
import type { CallerConnections } from './callerConnections.js'
import type { RequestError } from './requestErrors.js'
import type { Refusal } from '../core/domain/outcome.js'
import type { RouterEvent } from '../core/router/routerEvents.js'
import type { AnswerSink, Exchange, ExchangeTable } from './exchange.js'
import { createServer } from 'node:http'
import { httpStatusByReason } from '../core/domain/outcome.js'
import { readTimeout } from '../core/router/ingress.js'
import { headerNames } from '../protocol/grantWire.js'
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
  countRefusal: (reason: RequestError['reason'] | 'not-ready') => void
  /** Returns whether the platform's load balancer may send callers here. */
  isReady: () => boolean
  /** Prefix of the ids of callers' requests, which distinguishes them from requests of peers. */
  idPrefix: string
}

/** HTTP server for callers. */
export type CallerServer = {
  server: Server
  /** Makes every answer from now on close its connection. */
  endKeepAlive: () => void
  close: CallerConnections['close']
}

/** Creates the HTTP server for callers. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  let requestCount = 0
  let isClosing = false
  const keepAlive: KeepAliveState = { isClosing: () => isClosing }
  const server = createServer({ maxHeaderSize: maxHeadBytes, headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs })
  const connections = createCallerConnections(server, options.timers)
  server.on('request', (request, response) => {
    if (request.url === balancerProbePath) return connections.queueRequest(request, response, () => answerProbe(request, response, options, keepAlive))
    requestCount += 1
    const id = `${options.idPrefix}${requestCount}`
    connections.queueRequest(request, response, () => acceptCaller(id, request, response, options, keepAlive))
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
    close: connections.close
  }
}

/** Tells whether answers close their connections. */
type KeepAliveState = { isClosing: () => boolean }

function buildConnectionHeader (isClosing: boolean): Record<string, string> {
  return isClosing ? { connection: 'close' } : {}
}

function answerProbe (request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, keepAlive: KeepAliveState): void {
  request.resume()
  response.writeHead(options.isReady() ? 200 : 503, { 'content-length': 0, ...buildConnectionHeader(keepAlive.isClosing()) })
  response.end()
}

function acceptCaller (id: string, request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, keepAlive: KeepAliveState): void {
  response.on('error', () => {})
  request.on('error', () => {})
  if (!hasValidHeaders(request.rawHeaders)) {
    options.countRefusal('bad-request')
    writeRefusal(request, response, { outcome: 'not-run', reason: 'bad-request' }, { isClosing: () => true })
    return
  }
  if (hasNoBody(request)) {
    request.resume()
    startExchange(id, request, response, Buffer.alloc(0), true, options, keepAlive)
    return
  }
  readBodyStart(request, (bodyStart, isBodyEnded) => {
    if (bodyStart === undefined) {
      options.countRefusal('bad-request')
      response.destroy()
      return
    }
    startExchange(id, request, response, bodyStart, isBodyEnded, options, keepAlive)
  })
}

function hasNoBody (request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return false
  const length = request.headers['content-length']
  return length === undefined || length === '0'
}

/** Buffers the start of a body; `bodyStart` is undefined when the caller disconnects or the timeout passes. */
function readBodyStart (request: IncomingMessage, then: (bodyStart: Buffer | undefined, isBodyEnded: boolean) => void): void {
  const parts: Buffer[] = []
  let bytes = 0
  let isFinished = false
  const finish = (hasFailed: boolean, isBodyEnded: boolean) => {
    if (isFinished) return
    isFinished = true
    request.off('data', onData)
    request.pause()
    request.setTimeout(0)
    then(hasFailed ? undefined : Buffer.concat(parts), isBodyEnded)
  }
  const onData = (part: Buffer) => {
    parts.push(part)
    bytes += part.length
    if (bytes >= maxBufferedBodyBytes) finish(false, request.complete && request.readableLength === 0)
  }
  request.on('data', onData)
  request.once('end', () => finish(false, true))
  request.once('close', () => finish(true, false))
  request.setTimeout(bodyStartTimeoutMs, () => finish(true, false))
}

function startExchange (
  id: string,
  request: IncomingMessage,
  response: ServerResponse,
  bodyStart: Buffer,
  isBodyEnded: boolean,
  options: CallerServerOptions,
  keepAlive: KeepAliveState
): void {
  const now = () => options.timers.clock.now()
  const release = () => options.exchanges.delete(id)
  const exchange: Exchange = {
    id,
    http: { method: request.method ?? 'GET', path: request.url ?? '/', headers: listPassedHeaders(request.rawHeaders, false) },
    bodyStart,
    bodyRest: isBodyEnded ? undefined : request,
    sink: buildSink(id, response, options, keepAlive),
    refuse: refusal => {
      release()
      writeRefusal(request, response, refusal, keepAlive)
    },
    finish: result => {
      release()
      options.post({ kind: 'answer-finished', now: now(), id, result })
    },
    cancelDispatch: undefined,
    cancelForward: undefined
  }
  options.exchanges.set(id, exchange)
  response.on('close', () => {
    if (response.writableFinished || !options.exchanges.has(id)) return
    release()
    options.post({ kind: 'caller-gone', now: now(), id })
    exchange.cancelDispatch?.()
    exchange.cancelForward?.()
  })
  const isAccepted = options.post({
    kind: 'caller-request',
    now: now(),
    id,
    request: {
      host: request.headers.host ?? '',
      method: exchange.http.method,
      path: exchange.http.path,
      headers: request.headers,
      timeoutMs: readTimeout(request.headers),
      replayable: isBodyEnded
    }
  })
  if (isAccepted) return
  options.countRefusal('not-ready')
  exchange.refuse({ outcome: 'not-run', reason: 'not-ready' })
}

function buildSink (id: string, response: ServerResponse, options: CallerServerOptions, keepAlive: KeepAliveState): AnswerSink {
  return {
    start: (status, headers) => {
      options.post({ kind: 'answer-started', now: options.timers.clock.now(), id })
      const pairs = keepAlive.isClosing() ? [...headers, { name: 'connection', value: 'close' }] : headers
      response.writeHead(status, formatHeaders(pairs))
    },
    write: (part, then) => {
      if (response.write(part)) then()
      else response.once('drain', then)
    },
    end: () => response.end(),
    abort: () => {
      if (response.headersSent) response.destroy()
      else writeRefusal(undefined, response, { outcome: 'unknown', reason: 'backend-failed' }, keepAlive)
    }
  }
}

/** Answers with a refusal, which states whether the request ran and why it was refused. */
function writeRefusal (request: IncomingMessage | undefined, response: ServerResponse, refusal: Refusal, keepAlive: KeepAliveState): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
  const hasUnreadBody = request !== undefined && !request.complete
  response.writeHead(httpStatusByReason[refusal.reason], {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [headerNames.outcome]: refusal.outcome,
    [headerNames.reason]: refusal.reason,
    ...buildConnectionHeader(hasUnreadBody || keepAlive.isClosing())
  })
  response.end(body)
  if (hasUnreadBody) request.resume()
}
