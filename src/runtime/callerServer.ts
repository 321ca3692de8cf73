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
import { followCallerConnections } from './callerConnections.js'
import { formatHeaders, listPassedHeaders } from './exchange.js'
import { refuseUnreadable } from './requestErrors.js'

/** Part of a body that is buffered before routing, in bytes; a smaller body can be sent again. */
const firstPartBytes = 64 * 1024
/** Longest time for the head of a request, in milliseconds. */
const headTimeoutMs = 10_000
/** Longest time for a whole request, in milliseconds. */
const requestTimeoutMs = 300_000
/** Largest head of a request, in bytes. */
const maxHeadBytes = 16 * 1024
/** Time that the first part of a body may take, in milliseconds. */
const firstPartTimeoutMs = 10_000

/** Path at which the platform's balancer probes whether callers may be sent here. */
export const balancerProbePath = '/_fulmar/readyz'

/** What the server for callers needs. */
export type CallerServerOptions = {
  timers: TimerService
  exchanges: ExchangeTable
  post: (event: RouterEvent) => boolean
  /** Counts a request that is refused before it reaches the reducer. */
  countRefusal: (reason: RequestError['reason'] | 'not-ready') => void
  /** Whether the platform's balancer may send callers here. */
  isReady: () => boolean
  /** Prefix of request ids, to tell this process's requests apart. */
  idPrefix: string
}

/** The HTTP side towards callers. */
export type CallerServer = {
  server: Server
  /** From now on each answer closes its connection. */
  endKeepAlive: () => void
  close: CallerConnections['close']
}

/** Builds the HTTP server that callers speak to. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  let requests = 0
  let isClosing = false
  const keeping: Keeping = { isClosing: () => isClosing }
  const server = createServer({ maxHeaderSize: maxHeadBytes, headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs })
  const connections = followCallerConnections(server, options.timers)
  server.on('request', (request, response) => {
    if (request.url === balancerProbePath) return connections.take(request, response, () => answerProbe(request, response, options, keeping))
    requests += 1
    const id = `${options.idPrefix}${requests}`
    connections.take(request, response, () => acceptCaller(id, request, response, options, keeping))
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

/** Whether answers close their connections. */
type Keeping = { isClosing: () => boolean }

function buildConnectionHeader (closes: boolean): Record<string, string> {
  return closes ? { connection: 'close' } : {}
}

function answerProbe (request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, keeping: Keeping): void {
  request.resume()
  response.writeHead(options.isReady() ? 200 : 503, { 'content-length': 0, ...buildConnectionHeader(keeping.isClosing()) })
  response.end()
}

function acceptCaller (id: string, request: IncomingMessage, response: ServerResponse, options: CallerServerOptions, keeping: Keeping): void {
  response.on('error', () => {})
  request.on('error', () => {})
  if (hasNoBody(request)) {
    request.resume()
    startExchange(id, request, response, Buffer.alloc(0), true, options, keeping)
    return
  }
  readFirstPart(request, (first, ended) => {
    if (first === undefined) {
      options.countRefusal('bad-request')
      response.destroy()
      return
    }
    startExchange(id, request, response, first, ended, options, keeping)
  })
}

function hasNoBody (request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return false
  const length = request.headers['content-length']
  return length === undefined || length === '0'
}

/** Buffers the start of a body; calls back without it when the caller goes away or is too slow. */
function readFirstPart (request: IncomingMessage, then: (first: Buffer | undefined, ended: boolean) => void): void {
  const parts: Buffer[] = []
  let bytes = 0
  let done = false
  const finish = (failed: boolean, ended: boolean) => {
    if (done) return
    done = true
    request.off('data', onData)
    request.pause()
    request.setTimeout(0)
    then(failed ? undefined : Buffer.concat(parts), ended)
  }
  const onData = (part: Buffer) => {
    parts.push(part)
    bytes += part.length
    if (bytes >= firstPartBytes) finish(false, request.complete && request.readableLength === 0)
  }
  request.on('data', onData)
  request.once('end', () => finish(false, true))
  request.once('close', () => finish(true, false))
  request.setTimeout(firstPartTimeoutMs, () => finish(true, false))
}

function startExchange (
  id: string,
  request: IncomingMessage,
  response: ServerResponse,
  first: Buffer,
  ended: boolean,
  options: CallerServerOptions,
  keeping: Keeping
): void {
  const now = () => options.timers.clock.now()
  const release = () => options.exchanges.delete(id)
  const exchange: Exchange = {
    id,
    http: { method: request.method ?? 'GET', path: request.url ?? '/', headers: listPassedHeaders(request.rawHeaders, false) },
    first,
    rest: ended ? undefined : request,
    sink: buildSink(id, response, options, keeping),
    refuse: refusal => {
      release()
      writeRefusal(request, response, refusal, keeping)
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
  const accepted = options.post({
    kind: 'caller-request',
    now: now(),
    id,
    request: {
      host: request.headers.host ?? '',
      method: exchange.http.method,
      path: exchange.http.path,
      headers: request.headers,
      timeoutMs: readTimeout(request.headers),
      replayable: ended
    }
  })
  if (accepted) return
  options.countRefusal('not-ready')
  exchange.refuse({ outcome: 'not-run', reason: 'not-ready' })
}

function buildSink (id: string, response: ServerResponse, options: CallerServerOptions, keeping: Keeping): AnswerSink {
  return {
    start: (status, headers) => {
      options.post({ kind: 'answer-started', now: options.timers.clock.now(), id })
      const pairs = keeping.isClosing() ? [...headers, { name: 'connection', value: 'close' }] : headers
      response.writeHead(status, formatHeaders(pairs))
    },
    write: (part, then) => {
      if (response.write(part)) then()
      else response.once('drain', then)
    },
    end: () => response.end(),
    abort: () => {
      if (response.headersSent) response.destroy()
      else writeRefusal(undefined, response, { outcome: 'unknown', reason: 'backend-failed' }, keeping)
    }
  }
}

/** Tells a caller that its request was refused, whether it ran, and why. */
function writeRefusal (request: IncomingMessage | undefined, response: ServerResponse, refusal: Refusal, keeping: Keeping): void {
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return
  }
  const body = JSON.stringify({ outcome: refusal.outcome, reason: refusal.reason })
  const unread = request !== undefined && !request.complete
  response.writeHead(httpStatusByReason[refusal.reason], {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [headerNames.outcome]: refusal.outcome,
    [headerNames.reason]: refusal.reason,
    ...buildConnectionHeader(unread || keeping.isClosing())
  })
  response.end(body)
  if (unread) request.resume()
}
