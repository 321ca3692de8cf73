import type { ClientRequest, IncomingMessage } from 'node:http'
import type { DispatchTarget, RouterEffect } from '../core/router/routerEffects.js'
import type { DispatchResult, GrantReply, RouterEvent } from '../core/router/routerEvents.js'
import type { IdleConnectionOptions } from './answerExcess.js'
import type { Exchange } from './exchange.js'
import type { TimerService } from './timerService.js'
import { Agent } from 'node:http'
import { decodeGrantAnswer, grantPath, headerNames, healthPath } from '../protocol/grantWire.js'
import { isParseError, isTooLong, watchAnswer, watchIdleConnections } from './answerExcess.js'
import { formatHeaders, isDelimited, listFramingHeaders, listPassedHeaders, readInto } from './exchange.js'
import { hasValidHeaders, isFinalStatus } from './messageHead.js'
import { throttleReading } from './readThrottle.js'
import { openRequest } from './requestOpening.js'
import { createSendIdSource } from './sendIds.js'

/** Timeout for the reply to a grant message, and for the remaining body of a refusal, in milliseconds. */
const grantTimeoutMs = 200
/** Time for which an idle connection is kept, in milliseconds; shorter than the keep-alive timeout of common servers. */
const idleConnectionTimeoutMs = 3000
/** Largest reply to a grant message, or body of a refusal, in bytes. */
const maxReplyBytes = 64 * 1024

/** Keeps every idle connection. One that is closed due to stray bytes needs no handling, since the next request opens another. */
const idleConnectionOptions: IdleConnectionOptions = { mayKeep: () => true, notify: () => {} }

type SendGrants = Extract<RouterEffect, { kind: 'send-grants' }>

/** HTTP client for backend servers. */
export type BackendClient = {
  dispatch: (exchange: Exchange, target: DispatchTarget, attempt: number) => void
  sendGrants: (effect: SendGrants) => void
  close: () => void
}

/** Creates the client for backend servers; connections to each of them are kept alive and reused. */
export function createBackendClient (timers: TimerService, post: (event: RouterEvent) => boolean): BackendClient {
  const agents = new Map<string, Agent>()
  const createSendId = createSendIdSource()
  const grantAgent = new Agent({ keepAlive: true, maxSockets: 2, timeout: idleConnectionTimeoutMs })
  watchIdleConnections(grantAgent, idleConnectionOptions)
  const findAgent = (target: DispatchTarget): Agent => {
    const id = `${target.host}:${target.port}`
    const known = agents.get(id)
    if (known !== undefined) return known
    const agent = new Agent({ keepAlive: true, maxSockets: target.connections, timeout: idleConnectionTimeoutMs })
    watchIdleConnections(agent, idleConnectionOptions)
    agents.set(id, agent)
    return agent
  }
  return {
    dispatch: (exchange, target, attempt) => {
      sendExchange(exchange, target, { agent: findAgent(target), sendId: createSendId() }, timers, result => {
        post({ kind: 'dispatch-ended', now: timers.clock.now(), id: exchange.id, attempt, result })
      })
    },
    sendGrants: effect => {
      sendGrantMessage(effect, { agent: grantAgent, sendId: createSendId() }, timers, reply => {
        const { backend, sentAt, usableUntil, notAfter } = effect
        post({ kind: 'grants-replied', now: timers.clock.now(), backend, sentAt, usableUntil, notAfter, reply })
      })
    },
    close: () => {
      grantAgent.destroy()
      for (const agent of agents.values()) agent.destroy()
    }
  }
}

/** Agent and id of one send attempt. */
type SendOptions = { agent: Agent, sendId: string }

/** Sends one request and relays its answer; `done` is called exactly once. */
function sendExchange (
  exchange: Exchange,
  target: DispatchTarget,
  { agent, sendId }: SendOptions,
  timers: TimerService,
  done: (result: DispatchResult) => void
): void {
  let isFinished = false
  let isConnected = false
  let isAnswering = false
  const finish = (result: DispatchResult) => {
    if (isFinished) return
    isFinished = true
    stopDeadline()
    exchange.cancelDispatch = undefined
    done(result)
  }
  const request = openRequest({
    host: target.host,
    port: target.port,
    method: exchange.http.method,
    path: exchange.http.path,
    headers: buildHeaders(exchange, target, sendId, timers) as unknown as Record<string, string>,
    agent,
    setHost: false
  })
  if (request === undefined) return done('connect-failed')
  const stopDeadline = timers.schedule(Math.max(1, target.deadlineAt - timers.clock.now()), () => {
    // An answer that has already started is truncated.
    if (!isAnswering) finish('deadline')
    request.destroy()
  })
  throttleReading(request, timers)
  watchAnswer(request, excess => {
    if (excess === 'unending' && !isAnswering) finish('malformed')
    // Stray bytes follow a complete answer, whose buffered part must still be delivered, so only the socket is destroyed.
    if (excess === 'stray') request.socket?.destroy()
    else request.destroy()
  })
  exchange.cancelDispatch = () => {
    if (isAnswering) exchange.sink.abort()
    finish('canceled')
    request.destroy()
  }
  request.on('socket', socket => {
    const onConnect = () => {
      // Nothing has been written yet, since Node.js sends the head with the first part of the body.
      if (timers.clock.now() >= Math.min(target.sendBefore, target.deadlineAt)) {
        finish('not-sent')
        request.destroy()
        return
      }
      isConnected = true
      sendBody(request, exchange)
    }
    if (socket.connecting) socket.once('connect', onConnect)
    else onConnect()
  })
  // A backend server that switches protocols closes the request without a response event.
  request.on('close', () => {
    if (isConnected && !isAnswering) finish('malformed')
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (isAnswering) return
    if (!isConnected) finish('connect-failed')
    else finish(isParseError(error) ? 'malformed' : 'failed-after-send')
  })
  request.on('response', response => {
    const refusal = readRefusal(response, sendId)
    if (refusal === 'malformed') {
      finish(refusal)
      request.destroy()
      return
    }
    if (refusal !== undefined) {
      finish(refusal)
      dropRefusalBody(request, response, timers)
      return
    }
    if (isTooLong(response) || !isFinalStatus(response.statusCode ?? 0) || !hasValidHeaders(response.rawHeaders)) {
      finish('malformed')
      request.destroy()
      return
    }
    isAnswering = true
    sendAnswer(response, exchange, finish)
  })
}

function buildHeaders (exchange: Exchange, target: DispatchTarget, sendId: string, timers: TimerService): string[] {
  const { headers } = exchange.http
  return [
    ...formatHeaders([...headers, ...listFramingHeaders(headers, exchange.bodyStart, exchange.bodyRest === undefined)]),
    headerNames.request, sendId,
    headerNames.unit, encodeURIComponent(target.unit),
    headerNames.epoch, String(target.epoch),
    headerNames.holderEpoch, String(target.holderEpoch),
    headerNames.key, encodeURIComponent(target.key),
    headerNames.deadline, String(Math.floor(timers.clock.wall() + target.deadlineAt - timers.clock.now()))
  ]
}

/** Sends the body only once connected, so that the whole body can be sent again after a failed connection. */
function sendBody (request: ClientRequest, exchange: Exchange): void {
  const rest = exchange.bodyRest
  if (rest === undefined) {
    request.end(exchange.bodyStart)
    return
  }
  request.write(exchange.bodyStart)
  readInto(rest, (part, then) => {
    if (request.destroyed) return
    if (request.write(part)) then()
    else request.once('drain', then)
  }, isComplete => {
    if (isComplete) request.end()
    else request.destroy()
  })
  rest.resume()
}

/**
 * Reads whether an answer refuses the request without running it, or belongs to another send attempt (`malformed`).
 * A refusal without the id of its attempt is malformed too: it may repeat an earlier one, so it does not prove that this request did not run.
 */
function readRefusal (response: IncomingMessage, sendId: string): 'shed' | 'fenced' | 'malformed' | undefined {
  const echoedId = response.headers[headerNames.request]
  const isRefusal = response.headers[headerNames.notRun] === '1'
  if (echoedId !== sendId && (isRefusal || echoedId !== undefined)) return 'malformed'
  if (!isRefusal) return undefined
  return response.headers[headerNames.reason] === 'fenced' ? 'fenced' : 'shed'
}

/** Discards the rest of a refusal, so that its connection can be reused; the connection is closed if the rest is too large or too slow. */
function dropRefusalBody (request: ClientRequest, response: IncomingMessage, timers: TimerService): void {
  let bytes = 0
  const stopTimer = timers.schedule(grantTimeoutMs, () => { request.destroy() })
  response.on('data', (part: Buffer) => {
    bytes += part.length
    if (bytes > maxReplyBytes) request.destroy()
  })
  response.on('error', stopTimer)
  response.on('close', stopTimer)
}

function sendAnswer (response: IncomingMessage, exchange: Exchange, finish: (result: DispatchResult) => void): void {
  exchange.sink.start(response.statusCode ?? 502, listPassedHeaders(response.rawHeaders, true))
  const isEndMarked = isDelimited(response, exchange.http.method)
  readInto(response, exchange.sink.write, isComplete => {
    const isAnswerComplete = isComplete && response.complete && isEndMarked
    if (isAnswerComplete) exchange.sink.end()
    else exchange.sink.abort()
    finish(isAnswerComplete ? 'answered' : 'truncated')
    exchange.finish(isAnswerComplete ? 'complete' : 'truncated')
  })
}

function sendGrantMessage (effect: SendGrants, { agent, sendId }: SendOptions, timers: TimerService, done: (reply: GrantReply) => void): void {
  let isFinished = false
  const finish = (reply: GrantReply) => {
    if (isFinished) return
    isFinished = true
    stopTimer()
    done(reply)
  }
  const { host, port, checksGrants, holder, holderEpoch, boot, notAfter, set, units, excludes } = effect
  const body = checksGrants ? JSON.stringify({ holder, holderEpoch, boot, notAfter, set, units, excludes }) : ''
  const request = openRequest({
    host,
    port,
    agent,
    method: checksGrants ? 'PUT' : 'GET',
    path: checksGrants ? grantPath : healthPath,
    headers: { 'content-length': Buffer.byteLength(body), 'content-type': 'application/json', [headerNames.request]: sendId }
  })
  if (request === undefined) return done({ kind: 'failed' })
  const fail = () => {
    finish({ kind: 'failed' })
    request.destroy()
  }
  const stopTimer = timers.schedule(grantTimeoutMs, fail)
  watchAnswer(request, excess => {
    if (excess === 'unending') fail()
    else request.socket?.destroy()
  })
  let reply: IncomingMessage | undefined
  request.on('close', () => {
    if (reply === undefined) finish({ kind: 'failed' })
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (reply?.complete === true) return
    finish({ kind: error.code === 'ECONNREFUSED' ? 'connection-refused' : 'failed' })
  })
  request.on('response', response => {
    reply = response
    const echoedId = response.headers[headerNames.request]
    // A repeated reply to an earlier message confirms nothing.
    if (echoedId !== undefined && echoedId !== sendId) return fail()
    readGrantReply(response, checksGrants, finish)
  })
  request.end(body)
}

function readGrantReply (response: IncomingMessage, checksGrants: boolean, finish: (reply: GrantReply) => void): void {
  const parts: Buffer[] = []
  let bytes = 0
  response.on('data', (part: Buffer) => {
    bytes += part.length
    if (bytes > maxReplyBytes) response.destroy()
    else parts.push(part)
  })
  response.on('error', () => finish({ kind: 'failed' }))
  response.on('close', () => finish({ kind: 'failed' }))
  response.on('end', () => {
    if (!checksGrants) {
      finish({ kind: 'alive' })
      return
    }
    const answer = decodeGrantAnswer(Buffer.concat(parts).toString())
    if (answer === undefined) finish({ kind: 'failed' })
    else finish({ kind: answer.result, boot: answer.boot, clock: answer.clock, set: answer.set })
  })
}
