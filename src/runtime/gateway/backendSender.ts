import type { ClientRequest, IncomingMessage } from 'node:http'
import type { GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent, SendFailure } from '../../core/gateway/events.js'
import type { TimerService } from '../timerService.js'
import type { BackendConnections } from './backendConnections.js'
import type { GatewayExchange, Sending } from './exchanges.js'
import type { GatewayWire } from './ports.js'
import { isParseError, isTooLong, watchAnswer } from '../answerExcess.js'
import { formatHeaders, isDelimited, listPassedHeaders, readInto } from '../exchange.js'
import { boundReading } from '../readingPace.js'
import { createBackendConnections } from './backendConnections.js'
import { openRequest } from './requestOpening.js'

/** Longest wait for a connection, in milliseconds: some round trips between regions. */
const connectTimeoutMs = 400
/** Memory that the start of an answer may take before it is passed on, in bytes; a shorter one that breaks off can be asked for again. */
const bufferedAnswerBytes = 256 * 1024
/** Memory that one part takes besides its bytes, in bytes: the object of Node.js around them. */
const partBytes = 96
/** Time for which connections to a backend server are used once only after stray bytes, in milliseconds. */
const singleUseMs = 10_000
/** Statuses with which a backend server may say that it did not run a request. */
const statusesNotRun = new Set([400, 421, 429, 503])

type SendEffect = Extract<GatewayEffect, { kind: 'send' }>

/** Requests that wait for a connection, by backend server: each can be given up sooner. */
type Openings = Map<string, Set<(withinMs: number) => void>>

/** What the sender needs. */
export type BackendSenderOptions = { wire: GatewayWire, timers: TimerService, post: (event: GatewayEvent) => boolean }

/** Sends requests to backend servers. */
export type BackendSender = {
  send: (exchange: GatewayExchange, effect: SendEffect) => void
  closeBackend: (backend: string) => void
  /** Gives up the requests to a backend server for which no connection is open after a time, in milliseconds. */
  boundOpening: (backend: string, withinMs: number) => void
  close: () => void
}

/** Creates the sender; connections are kept for each backend server. */
export function createBackendSender (options: BackendSenderOptions): BackendSender {
  const connections = new Map<string, BackendConnections>()
  const openings: Openings = new Map()
  const find = (effect: SendEffect): BackendConnections => {
    const name = `${effect.backend}@${effect.address}`
    const known = connections.get(name) ?? createBackendConnections(options.timers.clock, () => postStray(effect.backend, options))
    connections.set(name, known)
    return known
  }
  return {
    send: (exchange, effect) => {
      const pool = find(effect)
      if (!effect.mayReuse) pool.setSingleUse(options.timers.clock.now() + singleUseMs)
      pool.setLimit(effect.maxConnections)
      pool.dropIdle(effect.maxIdleMs)
      sendRequest(exchange, effect, pool, openings, options)
    },
    closeBackend: backend => {
      for (const [name, pool] of connections) {
        if (!name.startsWith(`${backend}@`)) continue
        pool.dropIdle(0)
        pool.setSingleUse(options.timers.clock.now() + singleUseMs)
      }
    },
    boundOpening: (backend, withinMs) => {
      for (const bound of openings.get(backend) ?? []) bound(withinMs)
    },
    close: () => {
      for (const pool of connections.values()) {
        pool.agent.destroy()
        pool.singleUse.destroy()
      }
    }
  }
}

function sendRequest (exchange: GatewayExchange, effect: SendEffect, pool: BackendConnections, openings: Openings, options: BackendSenderOptions): void {
  const { timers, wire } = options
  let ended = false
  let connected = false
  let response: IncomingMessage | undefined
  const post = (event: GatewayEvent) => {
    if (ended) return
    ended = true
    stopConnectTimer()
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
  boundReading(request, timers)
  watchAnswer(request, excess => {
    if (excess === 'unending') fail('unending')
    postStray(effect.backend, options)
    // What was read of a whole answer is still to be delivered.
    if (excess === 'stray') request.socket?.destroy()
    else request.destroy()
  })
  const sending: Sending = {
    attempt: effect.attempt,
    answer: undefined,
    cancel: () => {
      ended = true
      stopConnectTimer()
      request.destroy()
    }
  }
  exchange.sending = sending
  const giveUpIn = (ms: number, failure: SendFailure) => timers.schedule(ms, () => {
    if (connected) return
    fail(failure)
    request.destroy()
  })
  const stopTimeout = giveUpIn(Math.min(connectTimeoutMs, effect.timeoutMs), 'connect-failed')
  let stopBound = () => {}
  const dropOpening = addOpening(openings, effect.backend, withinMs => {
    stopBound()
    stopBound = giveUpIn(withinMs, 'left-unsent')
  })
  const stopConnectTimer = () => {
    stopTimeout()
    stopBound()
    dropOpening()
  }
  request.on('socket', socket => {
    const onConnect = () => {
      connected = true
      stopConnectTimer()
      if (ended) return
      sendBody(request, exchange)
    }
    if (socket.connecting) socket.once('connect', onConnect)
    else onConnect()
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    // What came in after a whole answer is no part of it.
    if (response?.complete === true) return
    if (sending.answer !== undefined) {
      if (isParseError(error)) postStray(effect.backend, options)
      return
    }
    if (!connected) fail(error.code === 'ECONNREFUSED' ? 'connection-refused' : 'connect-failed')
    else fail(isParseError(error) ? 'malformed' : 'broken-after-send')
  })
  // A backend server that switches to another protocol ends here without an answer.
  request.on('close', () => {
    if (response === undefined) fail('malformed')
  })
  request.on('response', started => {
    response = started
    const problem = checkAnswer(started, exchange, wire)
    if (problem !== undefined) {
      request.destroy()
      fail(problem)
      return
    }
    readAnswer(started, exchange, sending, { post, fail, options, request, pool })
  })
}

/** Keeps a request that waits for a connection; returns what forgets it. */
function addOpening (openings: Openings, backend: string, bound: (withinMs: number) => void): () => void {
  const known = openings.get(backend) ?? new Set()
  openings.set(backend, known.add(bound))
  return () => {
    known.delete(bound)
    if (known.size === 0 && openings.get(backend) === known) openings.delete(backend)
  }
}

function postStray (backend: string, options: BackendSenderOptions): void {
  options.post({ kind: 'stray-bytes-read', now: options.timers.clock.now(), backend })
}

/** Finds out whether an answer belongs to another request, or is none. */
function checkAnswer (response: IncomingMessage, exchange: GatewayExchange, wire: GatewayWire): SendFailure | undefined {
  const echoed = response.headers[wire.headers.requestId.toLowerCase()]
  if (exchange.requestId !== '' && echoed !== exchange.requestId) return 'wrong-request'
  if (response.headers['content-encoding'] !== undefined && exchange.request.headers['accept-encoding'] === undefined) return 'malformed'
  if (isTooLong(response)) return 'unending'
  return undefined
}

type AnswerParts = {
  post: (event: GatewayEvent) => void
  fail: (failure: SendFailure) => void
  options: BackendSenderOptions
  request: ClientRequest
  pool: BackendConnections
}

function readAnswer (response: IncomingMessage, exchange: GatewayExchange, sending: Sending, parts: AnswerParts): void {
  const { clock } = parts.options.timers
  const { attempt } = sending
  const { id } = exchange
  const status = response.statusCode ?? 502
  const firstByteAt = clock.now()
  const isNotRun = response.headers[parts.options.wire.headers.notRun.toLowerCase()] !== undefined && statusesNotRun.has(status)
  const headers = listPassedHeaders(response.rawHeaders, true)
  const framing = isDelimited(response, exchange.method) ? 'marked' : 'closed'
  const buffered: Buffer[] = []
  let bytes = 0
  const onData = (part: Buffer) => {
    buffered.push(part)
    bytes += part.length + partBytes
    if (bytes < bufferedAnswerBytes) return
    // A refusal that is not whole is no promise.
    if (isNotRun) {
      parts.fail('unending')
      parts.request.destroy()
      return
    }
    response.off('data', onData)
    response.off('end', onEnd)
    response.pause()
    sending.answer = { status, headers, first: Buffer.concat(buffered), rest: response, framing }
    parts.post({ kind: 'answer-streaming', now: clock.now(), id, attempt, status })
  }
  const onEnd = () => {
    if (!response.complete) return parts.fail('broken-after-send')
    // The rest of a body that was answered early can't go on this connection once it is abandoned.
    if (!parts.request.writableFinished) parts.request.destroy()
    if (isNotRun) return parts.post({ kind: 'not-run-answered', now: clock.now(), id, attempt, status })
    sending.answer = { status, headers, first: Buffer.concat(buffered), rest: undefined, framing }
    parts.post({ kind: 'answer-whole', now: clock.now(), id, attempt, status, firstByteAt })
  }
  response.on('data', onData)
  response.on('end', onEnd)
  response.on('error', () => parts.fail('broken-after-send'))
  response.on('close', () => parts.fail('broken-after-send'))
}

function buildHeaders (exchange: GatewayExchange, effect: SendEffect, wire: GatewayWire): string[] {
  const own = new Set([wire.headers.timeoutMs.toLowerCase(), wire.headers.expectedBackend.toLowerCase()])
  const passed = exchange.headers.filter(pair => !own.has(pair.name.toLowerCase()))
  const isBuffered = exchange.rest === undefined
  const hasLength = passed.some(pair => pair.name.toLowerCase() === 'content-length')
  const list = formatHeaders(passed)
  if (isBuffered && !hasLength && exchange.first.length > 0) list.push('Content-Length', String(exchange.first.length))
  list.push(wire.headers.expectedBackend, effect.backend, wire.headers.timeoutMs, String(effect.timeoutMs))
  return list
}

/** Sends the body once connected, so that a failed connection leaves it whole for another try. */
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
  }, whole => {
    if (request.destroyed) return
    if (whole) request.end()
    else request.destroy()
  })
  rest.resume()
}

/** Splits `IP:PORT`. */
export function splitAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
