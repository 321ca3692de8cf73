import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { GrantOutcome } from '../../core/gateway/events.js'
import type { TimerService } from '../timerService.js'
import type { EncodedCall, GatewayWire } from './ports.js'
import { Agent } from 'node:http'
import { isParseError, watchAnswer, watchIdle } from '../answerExcess.js'
import { splitAddress } from './backendSender.js'
import { openRequest } from './requestOpening.js'

/** Time an idle connection for grants is kept, in milliseconds: some renewals. */
const idleConnectionMs = 3000
/** Most connections for grants to one backend server. */
const maxConnections = 4

/** Largest body of the answer to a call, in bytes: what it tells is in its head. */
const maxReplyBytes = 16 * 1024

/** The backend server that a call is for. */
export type GrantTarget = { backend: string, address: string }

/** Calls that grant keys to backend servers and take them back. */
export type GrantCaller = {
  call: (kind: 'grant' | 'release', target: GrantTarget, call: EncodedCall, timeoutMs: number, done: (outcome: GrantOutcome) => void) => void
  close: () => void
}

/** What the calls need; `notifyStray` hears of backend servers that send bytes which are no answer. */
export type GrantCallerOptions = { wire: GatewayWire, timers: TimerService, notifyStray: (backend: string) => void }

/** Creates the caller. */
export function createGrantCaller (options: GrantCallerOptions): GrantCaller {
  const agent = new Agent({ keepAlive: true, maxSockets: maxConnections, timeout: idleConnectionMs })
  const singleUse = new Agent({ keepAlive: false, maxSockets: maxConnections })
  const backendOf = new WeakMap<Socket, string>()
  watchIdle(agent, { mayKeep: () => true, notify: socket => options.notifyStray(backendOf.get(socket) ?? '') })
  return {
    call: (kind, target, call, timeoutMs, done) => {
      // An earlier answer that is written again, where the next one is due, would end the release before the work on the keys.
      sendCall(kind, target, call, timeoutMs, { ...options, agent: kind === 'release' ? singleUse : agent, backendOf }, done)
    },
    close: () => {
      agent.destroy()
      singleUse.destroy()
    }
  }
}

type CallParts = GrantCallerOptions & { agent: Agent, backendOf: WeakMap<Socket, string> }

function sendCall (
  kind: 'grant' | 'release',
  target: GrantTarget,
  call: EncodedCall,
  timeoutMs: number,
  parts: CallParts,
  done: (outcome: GrantOutcome) => void
): void {
  const { agent, wire, timers, backendOf, notifyStray } = parts
  let finished = false
  const finish = (outcome: GrantOutcome) => {
    if (finished) return
    finished = true
    stopTimer()
    done(outcome)
  }
  const request = openRequest({
    ...splitAddress(target.address),
    agent,
    method: call.method,
    path: call.path,
    // A backend server that has taken the address over refuses what is meant for the one before it.
    headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(call.body), [wire.headers.expectedBackend]: target.backend }
  })
  if (request === undefined) return done({ kind: 'failed' })
  const cut = () => {
    finish({ kind: 'failed' })
    // A reset discards what a cut link holds back, so that it does not arrive later.
    request.socket?.resetAndDestroy()
    request.destroy()
  }
  const stopTimer = timers.schedule(timeoutMs, cut)
  const cutEndless = () => {
    notifyStray(target.backend)
    cut()
  }
  watchAnswer(request, excess => {
    if (excess === 'unending') return cutEndless()
    notifyStray(target.backend)
    // What a whole answer says counts.
    request.socket?.destroy()
  })
  let answer: IncomingMessage | undefined
  request.on('socket', socket => { backendOf.set(socket, target.backend) })
  // One that switches to another protocol ends without an answer.
  request.on('close', () => {
    if (answer === undefined) finish({ kind: 'failed' })
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (answer?.complete === true) return
    if (isParseError(error)) notifyStray(target.backend)
    finish({ kind: error.code === 'ECONNREFUSED' ? 'connection-refused' : 'failed' })
  })
  request.on('response', response => {
    answer = response
    let bytes = 0
    response.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > maxReplyBytes) cutEndless()
    })
    response.on('error', () => finish({ kind: 'failed' }))
    response.on('close', () => finish({ kind: 'failed' }))
    response.on('end', () => {
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
