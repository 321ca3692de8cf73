import type { ClientRequest, IncomingMessage } from 'node:http'
import type { DispatchTarget, RouterEffect } from '../core/router/routerEffects.js'
import type { DispatchResult, GrantReply, RouterEvent } from '../core/router/routerEvents.js'
import type { IdleWatch } from './answerExcess.js'
import type { Exchange } from './exchange.js'
import type { TimerService } from './timerService.js'
import { Agent, request as openRequest } from 'node:http'
import { decodeGrantAnswer, grantPath, headerNames, healthPath } from '../protocol/grantWire.js'
import { isParseError, isTooLong, watchAnswer, watchIdle } from './answerExcess.js'
import { formatHeaders, isDelimited, listPassedHeaders, readInto } from './exchange.js'
import { boundReading } from './readingPace.js'
import { createSendingNumbers } from './sendingNumbers.js'

/** Longest time that a reply to a grant message, or the rest of a refusal, may take to arrive, in milliseconds. */
const grantTimeoutMs = 200
/** Time an idle connection is kept, in milliseconds; shorter than common servers keep theirs. */
const idleConnectionMs = 3000
/** Largest reply to a grant message, or body of a refusal, in bytes. */
const maxReplyBytes = 64 * 1024

/** An idle connection with stray bytes is closed, and that is all: the next request opens another. */
const closeOnly: IdleWatch = { mayKeep: () => true, notify: () => {} }

type SendGrants = Extract<RouterEffect, { kind: 'send-grants' }>

/** Speaks HTTP to backend servers. */
export type BackendClient = {
  dispatch: (exchange: Exchange, target: DispatchTarget, attempt: number) => void
  sendGrants: (effect: SendGrants) => void
  close: () => void
}

/** Builds the client for backend servers; connections are kept and reused for each of them. */
export function createBackendClient (timers: TimerService, post: (event: RouterEvent) => boolean): BackendClient {
  const agents = new Map<string, Agent>()
  const numberSending = createSendingNumbers()
  const control = new Agent({ keepAlive: true, maxSockets: 2, timeout: idleConnectionMs })
  watchIdle(control, closeOnly)
  const findAgent = (target: DispatchTarget): Agent => {
    const id = `${target.host}:${target.port}`
    const known = agents.get(id)
    if (known !== undefined) return known
    const agent = new Agent({ keepAlive: true, maxSockets: target.connections, timeout: idleConnectionMs })
    watchIdle(agent, closeOnly)
    agents.set(id, agent)
    return agent
  }
  return {
    dispatch: (exchange, target, attempt) => {
      sendExchange(exchange, target, { agent: findAgent(target), number: numberSending() }, timers, result => {
        post({ kind: 'dispatch-ended', now: timers.clock.now(), id: exchange.id, attempt, result })
      })
    },
    sendGrants: effect => {
      sendGrantMessage(effect, { agent: control, number: numberSending() }, timers, reply => {
        const { backend, sentAt, usableUntil, notAfter } = effect
        post({ kind: 'grants-replied', now: timers.clock.now(), backend, sentAt, usableUntil, notAfter, reply })
      })
    },
    close: () => {
      control.destroy()
      for (const agent of agents.values()) agent.destroy()
    }
  }
}

/** What one sending goes over, and its number. */
type Sending = { agent: Agent, number: string }

/** Sends one request and relays its answer; `done` is called exactly once. */
function sendExchange (
  exchange: Exchange,
  target: DispatchTarget,
  { agent, number }: Sending,
  timers: TimerService,
  done: (result: DispatchResult) => void
): void {
  let finished = false
  let connected = false
  let answering = false
  const finish = (result: DispatchResult) => {
    if (finished) return
    finished = true
    stopDeadline()
    exchange.cancelDispatch = undefined
    done(result)
  }
  const request = openRequest({
    host: target.host,
    port: target.port,
    method: exchange.http.method,
    path: exchange.http.path,
    headers: buildHeaders(exchange, target, number, timers) as unknown as Record<string, string>,
    agent,
    setHost: false
  })
  const stopDeadline = timers.schedule(Math.max(1, target.deadlineAt - timers.clock.now()), () => {
    // An answer that has begun is broken off.
    if (!answering) finish('deadline')
    request.destroy()
  })
  boundReading(request, timers)
  watchAnswer(request, excess => {
    if (excess === 'unending' && !answering) finish('malformed')
    // What was read of a whole answer is still to be delivered.
    if (excess === 'stray') request.socket?.destroy()
    else request.destroy()
  })
  exchange.cancelDispatch = () => {
    if (answering) exchange.sink.abort()
    finish('canceled')
    request.destroy()
  }
  request.on('socket', socket => {
    const onConnect = () => {
      // Nothing is written before this point: Node sends the head with the first part of the body.
      if (timers.clock.now() >= Math.min(target.sendBefore, target.deadlineAt)) {
        finish('not-sent')
        request.destroy()
        return
      }
      connected = true
      sendBody(request, exchange)
    }
    if (socket.connecting) socket.once('connect', onConnect)
    else onConnect()
  })
  // A backend server that switches to another protocol ends here without an answer.
  request.on('close', () => {
    if (connected && !answering) finish('malformed')
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (answering) return
    if (!connected) finish('connect-failed')
    else finish(isParseError(error) ? 'malformed' : 'failed-after-send')
  })
  request.on('response', response => {
    const verdict = readVerdict(response, number)
    if (verdict === 'malformed') {
      finish(verdict)
      request.destroy()
      return
    }
    if (verdict !== undefined) {
      finish(verdict)
      dropRest(request, response, timers)
      return
    }
    if (isTooLong(response)) {
      finish('malformed')
      request.destroy()
      return
    }
    answering = true
    sendAnswer(response, exchange, finish)
  })
}

function buildHeaders (exchange: Exchange, target: DispatchTarget, number: string, timers: TimerService): string[] {
  return [
    ...formatHeaders(exchange.http.headers),
    headerNames.request, number,
    headerNames.unit, encodeURIComponent(target.unit),
    headerNames.epoch, String(target.epoch),
    headerNames.holderEpoch, String(target.holderEpoch),
    headerNames.key, encodeURIComponent(target.key),
    headerNames.deadline, String(Math.floor(timers.clock.wall() + target.deadlineAt - timers.clock.now()))
  ]
}

/** Sends the body once connected, so that a failed connection leaves it whole for another try. */
function sendBody (request: ClientRequest, exchange: Exchange): void {
  const rest = exchange.rest
  if (rest === undefined) {
    request.end(exchange.first)
    return
  }
  request.write(exchange.first)
  readInto(rest, (part, then) => {
    if (request.destroyed) return
    if (request.write(part)) then()
    else request.once('drain', then)
  }, whole => {
    if (whole) request.end()
    else request.destroy()
  })
  rest.resume()
}

/**
 * Reads whether the backend server says that the request did not run, or answers another one.
 * A refusal that does not say which sending it is for promises nothing: it may be an earlier one, written again.
 */
function readVerdict (response: IncomingMessage, number: string): 'shed' | 'fenced' | 'malformed' | undefined {
  const echoed = response.headers[headerNames.request]
  const isRefusal = response.headers[headerNames.notRun] === '1'
  if (echoed !== number && (isRefusal || echoed !== undefined)) return 'malformed'
  if (!isRefusal) return undefined
  return response.headers[headerNames.reason] === 'fenced' ? 'fenced' : 'shed'
}

/** Reads the rest of a refusal, so that its connection can be used again; one that goes on is closed. */
function dropRest (request: ClientRequest, response: IncomingMessage, timers: TimerService): void {
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
  const delimited = isDelimited(response, exchange.http.method)
  readInto(response, exchange.sink.write, whole => {
    const complete = whole && response.complete && delimited
    if (complete) exchange.sink.end()
    else exchange.sink.abort()
    finish(complete ? 'answered' : 'truncated')
    exchange.finish(complete ? 'complete' : 'truncated')
  })
}

function sendGrantMessage (effect: SendGrants, { agent, number }: Sending, timers: TimerService, done: (reply: GrantReply) => void): void {
  let finished = false
  const finish = (reply: GrantReply) => {
    if (finished) return
    finished = true
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
    headers: { 'content-length': Buffer.byteLength(body), 'content-type': 'application/json', [headerNames.request]: number }
  })
  const cut = () => {
    finish({ kind: 'failed' })
    request.destroy()
  }
  const stopTimer = timers.schedule(grantTimeoutMs, cut)
  watchAnswer(request, excess => {
    if (excess === 'unending') cut()
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
    const echoed = response.headers[headerNames.request]
    // A reply to an earlier message, written again, confirms nothing.
    if (echoed !== undefined && echoed !== number) return cut()
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
