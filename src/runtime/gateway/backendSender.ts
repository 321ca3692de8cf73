import type { ClientRequest, IncomingMessage } from 'node:http'
import type { GatewayEffect } from '../../core/gateway/effects.js'
import type { AnswerLoad, GatewayEvent, SendFailure } from '../../core/gateway/events.js'
import type { TimerService } from '../timerService.js'
import type { BackendConnections } from './backendConnections.js'
import type { GatewayExchange, SendAttempt } from './exchanges.js'
import type { GatewayWire } from './ports.js'
import { watchAnswerEnd } from '../answerEnd.js'
import { isParseError, isTooLong, watchAnswer } from '../answerExcess.js'
import { formatHeaders, isDelimited, listFramingHeaders, listPassedHeaders, readInto } from '../exchange.js'
import { hasValidHeaders, isFinalStatus } from '../messageHead.js'
import { throttleReading } from '../readThrottle.js'
import { createBackendConnections } from './backendConnections.js'
import { decodeBackendSignals } from './backendSignals.js'
import { openRequest } from '../requestOpening.js'

/** Connect timeout, in milliseconds: several round trips between regions. */
const connectTimeoutMs = 400
/** Maximum memory for buffering an answer, in bytes; longer answers are streamed to the caller. While an answer is buffered, its request can be retried if the connection breaks. */
const maxBufferedAnswerBytes = 256 * 1024
/** Memory overhead of one buffered chunk, in bytes: the `Buffer` object of Node.js. */
const bufferOverheadBytes = 96
/** Time for which connections to a backend server are not reused after stray bytes or after its idle connections were closed on request, in milliseconds. */
const singleUsePeriodMs = 10_000
/** Status codes with which a backend server can declare that it did not run a request. */
const notRunStatuses = new Set([400, 421, 429, 503])

type SendEffect = Extract<GatewayEffect, { kind: 'send' }>

/** Requests waiting for a connection, by backend server. `bound` shortens the connect timeout of the request. */
type PendingConnects = Map<string, Set<PendingConnect>>
type PendingConnect = { id: string, bound: (withinMs: number) => void }

/** Options of the sender. */
export type BackendSenderOptions = { wire: GatewayWire, timers: TimerService, post: (event: GatewayEvent) => boolean }

/** Sends requests to backend servers. */
export type BackendSender = {
  send: (exchange: GatewayExchange, effect: SendEffect) => void
  closeBackend: (backend: string) => void
  /** Fails the requests to a backend server that still have no connection after `withinMs` milliseconds; with an `id`, only that request. */
  boundPendingConnects: (backend: string, withinMs: number, id?: string) => void
  close: () => void
}

/** Creates the sender, with one connection pool for each backend server and address. */
export function createBackendSender (options: BackendSenderOptions): BackendSender {
  const pools = new Map<string, BackendConnections>()
  const pendingConnects: PendingConnects = new Map()
  const findPool = (effect: SendEffect): BackendConnections => {
    const poolKey = `${effect.backend}@${effect.address}`
    const pool = pools.get(poolKey) ?? createBackendConnections(options.timers.clock, () => postStrayBytes(effect.backend, options))
    pools.set(poolKey, pool)
    return pool
  }
  return {
    send: (exchange, effect) => {
      const pool = findPool(effect)
      if (!effect.mayReuse) pool.setSingleUseUntil(options.timers.clock.now() + singleUsePeriodMs)
      pool.setMaxConnections(effect.maxConnections)
      pool.closeIdle(effect.maxIdleMs)
      sendRequest(exchange, effect, pool, pendingConnects, options)
    },
    closeBackend: backend => {
      for (const [poolKey, pool] of pools) {
        if (!poolKey.startsWith(`${backend}@`)) continue
        pool.closeIdle(0)
        pool.setSingleUseUntil(options.timers.clock.now() + singleUsePeriodMs)
      }
    },
    boundPendingConnects: (backend, withinMs, id) => {
      for (const pending of pendingConnects.get(backend) ?? []) if (id === undefined || pending.id === id) pending.bound(withinMs)
    },
    close: () => {
      for (const pool of pools.values()) {
        pool.agent.destroy()
        pool.singleUse.destroy()
      }
    }
  }
}

function sendRequest (exchange: GatewayExchange, effect: SendEffect, pool: BackendConnections, pendingConnects: PendingConnects, options: BackendSenderOptions): void {
  const { timers, wire } = options
  let isEnded = false
  let isConnected = false
  let response: IncomingMessage | undefined
  const post = (event: GatewayEvent) => {
    if (isEnded) return
    isEnded = true
    stopConnectTimers()
    options.post(event)
  }
  const fail = (failure: SendFailure) => {
    post({ kind: 'send-failed', now: timers.clock.now(), id: exchange.id, attempt: effect.attempt, failure })
  }
  const { host, port } = splitAddress(effect.address)
  const request = openRequest({
    host,
    port,
    method: exchange.method,
    path: exchange.path,
    headers: buildHeaders(exchange, effect, wire) as unknown as Record<string, string>,
    agent: effect.needsOwnConnection ? pool.singleUse : pool.agent,
    setHost: false
  })
  if (request === undefined) {
    options.post({ kind: 'send-failed', now: timers.clock.now(), id: exchange.id, attempt: effect.attempt, failure: 'connect-failed' })
    return
  }
  request.setNoDelay(true)
  throttleReading(request, timers)
  watchAnswer(request, excess => {
    if (excess === 'unending') fail('unending')
    postStrayBytes(effect.backend, options)
    // After stray bytes only the socket is destroyed: the complete answer that precedes them is still delivered.
    if (excess === 'stray') request.socket?.destroy()
    else request.destroy()
  })
  const sendAttempt: SendAttempt = {
    attempt: effect.attempt,
    answer: undefined,
    heldBytes: 0,
    cancel: () => {
      isEnded = true
      stopConnectTimers()
      request.destroy()
    }
  }
  exchange.sendAttempt = sendAttempt
  const failAfter = (ms: number, failure: SendFailure) => timers.schedule(ms, () => {
    if (isConnected) return
    fail(failure)
    request.destroy()
  })
  const stopConnectTimeout = failAfter(Math.min(connectTimeoutMs, effect.timeoutMs), 'connect-failed')
  let stopBoundTimer = () => {}
  let boundAt = Infinity
  const removePendingConnect = addPendingConnect(pendingConnects, effect.backend, {
    id: exchange.id,
    bound: withinMs => {
      const at = timers.clock.now() + withinMs
      if (at >= boundAt) return
      boundAt = at
      stopBoundTimer()
      stopBoundTimer = failAfter(withinMs, 'left-unsent')
    }
  })
  const stopConnectTimers = () => {
    stopConnectTimeout()
    stopBoundTimer()
    removePendingConnect()
  }
  request.on('socket', socket => {
    const onConnect = () => {
      isConnected = true
      stopConnectTimers()
      if (isEnded) return
      sendBody(request, exchange)
    }
    if (socket.connecting) socket.once('connect', onConnect)
    else onConnect()
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    // Errors caused by bytes after a complete answer do not affect that answer.
    if (response?.complete === true) return
    if (sendAttempt.answer !== undefined) {
      if (isParseError(error)) postStrayBytes(effect.backend, options)
      return
    }
    if (!isConnected) fail(error.code === 'ECONNREFUSED' ? 'connection-refused' : 'connect-failed')
    else fail(isParseError(error) ? 'malformed' : 'broken-after-send')
  })
  // When a backend server switches protocols, the request closes without a response.
  request.on('close', () => {
    if (response === undefined) fail('malformed')
  })
  request.on('response', received => {
    response = received
    const failure = checkAnswer(received, exchange, wire)
    if (failure !== undefined) {
      request.destroy()
      fail(failure)
      return
    }
    const reported = readSignals(received, effect, options)
    readAnswer(received, exchange, sendAttempt, { post, fail, options, request, pool, reported })
  })
}

/** Adds a request that waits for a connection; returns a function that removes it. */
function addPendingConnect (pendingConnects: PendingConnects, backend: string, pending: PendingConnect): () => void {
  const requests = pendingConnects.get(backend) ?? new Set()
  pendingConnects.set(backend, requests.add(pending))
  return () => {
    requests.delete(pending)
    if (requests.size === 0 && pendingConnects.get(backend) === requests) pendingConnects.delete(backend)
  }
}

/**
 * Reads what a backend server says about itself in the head of an answer. What keeps requests from it is posted at once, so that it is
 * known before the answer's own event; its load is returned and becomes part of that event.
 */
function readSignals (response: IncomingMessage, effect: SendEffect, { wire, timers, post }: BackendSenderOptions): AnswerLoad | undefined {
  const isShed = response.statusCode === 503 && response.headers[wire.headers.notRun.toLowerCase()] !== undefined
  const signals = decodeBackendSignals({ headers: response.headers, isShed }, wire.headers)
  if (signals === undefined) return undefined
  const { load, ...urgent } = signals
  if (urgent.isLeaving || urgent.pauseMs !== undefined || urgent.coldMs !== undefined) {
    post({ kind: 'signals-read', now: timers.clock.now(), backend: effect.backend, startedAt: effect.startedAt, signals: { ...urgent, load: undefined } })
  }
  return load === undefined ? undefined : { backend: effect.backend, startedAt: effect.startedAt, load }
}

function postStrayBytes (backend: string, options: BackendSenderOptions): void {
  options.post({ kind: 'stray-bytes-read', now: options.timers.clock.now(), backend })
}

/** Checks the head of an answer; returns a failure if the answer can't be sent on, belongs to another request, has an encoding that was not accepted, or is too long. */
function checkAnswer (response: IncomingMessage, exchange: GatewayExchange, wire: GatewayWire): SendFailure | undefined {
  if (!isFinalStatus(response.statusCode ?? 0) || !hasValidHeaders(response.rawHeaders)) return 'malformed'
  const echoed = response.headers[wire.headers.requestId.toLowerCase()]
  if (exchange.requestId !== '' && echoed !== exchange.requestId) return 'wrong-request'
  if (response.headers['content-encoding'] !== undefined && exchange.request.headers['accept-encoding'] === undefined) return 'malformed'
  if (isTooLong(response)) return 'unending'
  return undefined
}

type AnswerContext = {
  post: (event: GatewayEvent) => void
  fail: (failure: SendFailure) => void
  options: BackendSenderOptions
  request: ClientRequest
  pool: BackendConnections
  reported: AnswerLoad | undefined
}

function readAnswer (response: IncomingMessage, exchange: GatewayExchange, sendAttempt: SendAttempt, context: AnswerContext): void {
  const { clock } = context.options.timers
  const { attempt } = sendAttempt
  const { id } = exchange
  const status = response.statusCode ?? 502
  const firstByteAt = clock.now()
  const isNotRun = response.headers[context.options.wire.headers.notRun.toLowerCase()] !== undefined && notRunStatuses.has(status)
  const headers = listPassedHeaders(response.rawHeaders, true)
  const framing = isDelimited(response, exchange.method) ? 'delimited' : 'connection-close'
  const isWhole = watchAnswerEnd(context.request, response, framing)
  const buffered: Buffer[] = []
  let bytes = 0
  const onData = (part: Buffer) => {
    buffered.push(part)
    bytes += part.length + bufferOverheadBytes
    sendAttempt.heldBytes = bytes
    if (bytes < maxBufferedAnswerBytes) return
    // An incomplete refusal is not proof that the request did not run.
    if (isNotRun) {
      context.fail('unending')
      context.request.destroy()
      return
    }
    response.off('data', onData)
    response.off('end', onEnd)
    response.pause()
    sendAttempt.heldBytes = 0
    sendAttempt.answer = { status, headers, first: Buffer.concat(buffered), rest: response, framing, isWhole }
    context.post({ kind: 'answer-streaming', now: clock.now(), id, attempt, status })
  }
  const onEnd = () => {
    if (!isWhole()) {
      context.request.destroy()
      return context.fail('broken-after-send')
    }
    // The backend server answered before the whole body was sent. The rest is never sent, so the connection cannot be reused.
    if (!context.request.writableFinished) context.request.destroy()
    if (isNotRun) return context.post({ kind: 'not-run-answered', now: clock.now(), id, attempt, status, reported: context.reported })
    sendAttempt.answer = { status, headers, first: Buffer.concat(buffered), rest: undefined, framing, isWhole }
    context.post({ kind: 'answer-whole', now: clock.now(), id, attempt, status, firstByteAt, reported: context.reported })
  }
  response.on('data', onData)
  response.on('end', onEnd)
  response.on('error', () => context.fail('broken-after-send'))
  response.on('close', () => context.fail('broken-after-send'))
}

function buildHeaders (exchange: GatewayExchange, effect: SendEffect, wire: GatewayWire): string[] {
  const replacedNames = new Set([wire.headers.timeoutMs.toLowerCase(), wire.headers.expectedBackend.toLowerCase()])
  const passed = exchange.headers.filter(pair => !replacedNames.has(pair.name.toLowerCase()))
  const list = formatHeaders([...passed, ...listFramingHeaders(passed, exchange.first, exchange.rest === undefined)])
  list.push(wire.headers.expectedBackend, effect.backend, wire.headers.timeoutMs, String(effect.timeoutMs))
  return list
}

/** Sends the body. Called only once connected, so that after a failed connect the unread body is still available for a retry. */
function sendBody (request: ClientRequest, exchange: GatewayExchange): void {
  const { rest } = exchange
  if (rest === undefined) {
    request.end(exchange.first.length > 0 ? exchange.first : undefined)
    return
  }
  request.write(exchange.first)
  readInto(rest, (part, then) => {
    if (request.destroyed || request.write(part)) then()
    else request.once('drain', then)
  }, isComplete => {
    if (request.destroyed) return
    if (isComplete) request.end()
    else request.destroy()
  })
  rest.resume()
}

/** Splits an address of the form `IP:PORT`. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
