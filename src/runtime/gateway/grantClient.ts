import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { GrantOutcome } from '../../core/gateway/events.js'
import type { GrantConnection } from '../../core/gateway/grantConnections.js'
import type { BackendSignals } from '../../core/gateway/model.js'
import type { TimerService } from '../timerService.js'
import type { EncodedCall, GatewayWire } from './ports.js'
import { Agent } from 'node:http'
import { isParseError, watchAnswer, watchIdleConnections } from '../answerExcess.js'
import { splitAddress } from './backendSender.js'
import { decodeBackendSignals } from './backendSignals.js'
import { createKeptConnections } from './keptConnections.js'
import { openRequest } from '../requestOpening.js'

/** Time after which an idle connection for grants is closed, in milliseconds: several renewal intervals. */
const idleConnectionTimeoutMs = 3000
/** Maximum number of connections for grants to one backend server. */
const maxConnectionsPerBackend = 4

/** Maximum size of the body of an answer, in bytes; only the head of an answer is evaluated. */
const maxAnswerBodyBytes = 16 * 1024

/** Backend server that a call is sent to. */
export type GrantTarget = { backend: string, address: string }

/** How a call is sent: its timeout, in milliseconds, and the connections over which it may be sent. */
export type GrantCallOptions = { timeoutMs: number, connection: GrantConnection }

/** Sends calls that grant keys to backend servers or release them. */
export type GrantClient = {
  call: (kind: 'grant' | 'release', target: GrantTarget, call: EncodedCall, options: GrantCallOptions, done: (outcome: GrantOutcome) => void) => void
  close: () => void
}

/** Options of the grant client. `notifyStrayBytes` is called with each backend server that sends bytes that are not part of an answer, `notifySignals` with what a backend server says about itself in an answer. */
export type GrantClientOptions = { wire: GatewayWire, timers: TimerService, notifyStrayBytes: (backend: string) => void, notifySignals?: (target: GrantTarget, signals: BackendSignals) => void }

/** Creates a grant client with connections of its own. */
export function createGrantClient (options: GrantClientOptions): GrantClient {
  const agent = new Agent({ keepAlive: true, maxSockets: maxConnectionsPerBackend, timeout: idleConnectionTimeoutMs })
  const singleUse = new Agent({ keepAlive: false, maxSockets: maxConnectionsPerBackend })
  const backendBySocket = new WeakMap<Socket, string>()
  const confirmedSockets = new WeakSet<Socket>()
  const kept = createKeptConnections(agent)
  watchIdleConnections(agent, {
    mayKeep: socket => confirmedSockets.has(socket),
    notify: socket => options.notifyStrayBytes(backendBySocket.get(socket) ?? '')
  })
  return {
    call: (kind, target, call, { timeoutMs, connection }, done) => {
      // A release uses a connection of its own: on a reused one, a repeated earlier answer would be taken for the answer to the release, before the work on the keys has ended.
      if (kind === 'release') return sendCall(kind, target, call, timeoutMs, { ...options, agent: singleUse, backendBySocket, confirmedSockets, onConnectionClosed: () => {} }, done)
      const address = splitAddress(target.address)
      const send = () => sendCall(kind, target, call, timeoutMs, { ...options, agent, backendBySocket, confirmedSockets, onConnectionClosed: () => kept.advance(address) }, done)
      if (connection === 'any') return send()
      kept.run(address, { send, abandon: () => done({ kind: 'not-sent' }) })
    },
    close: () => {
      agent.destroy()
      singleUse.destroy()
    }
  }
}

/** `confirmedSockets`: connections on which a backend server has confirmed a grant. `onConnectionClosed` is called once for each connection. */
type CallContext = GrantClientOptions & { agent: Agent, backendBySocket: WeakMap<Socket, string>, confirmedSockets: WeakSet<Socket>, onConnectionClosed: () => void }

function sendCall (
  kind: 'grant' | 'release',
  target: GrantTarget,
  call: EncodedCall,
  timeoutMs: number,
  context: CallContext,
  done: (outcome: GrantOutcome) => void
): void {
  const { agent, wire, timers, backendBySocket, confirmedSockets, notifyStrayBytes } = context
  let isFinished = false
  const finish = (outcome: GrantOutcome) => {
    if (isFinished) return
    isFinished = true
    stopTimer()
    done(outcome)
  }
  const request = openRequest({
    ...splitAddress(target.address),
    agent,
    method: call.method,
    path: call.path,
    // A backend server that has taken over the address refuses calls that are meant for its predecessor.
    headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(call.body), [wire.headers.expectedBackend]: target.backend }
  })
  if (request === undefined) return done({ kind: 'failed' })
  const abortConnection = () => {
    finish({ kind: 'failed' })
    // A reset discards data still buffered behind a network interruption, so that the call does not arrive later.
    request.socket?.resetAndDestroy()
    request.destroy()
  }
  const stopTimer = timers.schedule(timeoutMs, abortConnection)
  const failUnending = () => {
    notifyStrayBytes(target.backend)
    abortConnection()
  }
  watchAnswer(request, excess => {
    if (excess === 'unending') return failUnending()
    notifyStrayBytes(target.backend)
    // After stray bytes only the socket is destroyed: the complete answer that precedes them is still used.
    request.socket?.destroy()
  })
  let answer: IncomingMessage | undefined
  request.on('socket', socket => {
    if (!backendBySocket.has(socket)) socket.once('close', context.onConnectionClosed)
    backendBySocket.set(socket, target.backend)
  })
  // When a backend server switches protocols, the request closes without a response.
  request.on('close', () => {
    if (answer === undefined) finish({ kind: 'failed' })
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (answer?.complete === true) return
    if (isParseError(error)) notifyStrayBytes(target.backend)
    finish({ kind: error.code === 'ECONNREFUSED' ? 'connection-refused' : 'failed' })
  })
  request.on('response', response => {
    answer = response
    const signals = decodeBackendSignals({ headers: response.headers, isShed: false }, wire.headers)
    if (signals !== undefined) context.notifySignals?.(target, signals)
    let bytes = 0
    response.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > maxAnswerBodyBytes) failUnending()
    })
    response.on('error', () => finish({ kind: 'failed' }))
    response.on('close', () => finish({ kind: 'failed' }))
    response.on('end', () => {
      if (response.statusCode === 200 && request.socket !== null) confirmedSockets.add(request.socket)
      const handover = response.headers[wire.headers.handover.toLowerCase()]
      switch (response.statusCode) {
        case 200: return finish(kind === 'release' ? { kind: 'released', handover: Array.isArray(handover) ? handover[0] : handover } : { kind: 'granted' })
        case 409: return finish({ kind: 'fenced' })
        default: return finish({ kind: 'failed' })
      }
    })
  })
  request.end(call.body)
}
