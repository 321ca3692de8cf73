import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Most bytes before the head of an answer, or beside its body, in bytes: two reads of a socket, and eight times the head that Node.js takes. */
const maxSurplusBytes = 128 * 1024
/** Bytes beside the body that each of its bytes may bring: a chunk of one byte has five. */
const surplusPerBodyByte = 16

/** Longest answer that can come whole, in bytes: 88 s of a link of 100 Gbit/s, beyond any deadline. */
const maxAnswerBytes = 2 ** 40

/** Bytes that can't become an answer: too many before its head or beside its body, or any after its end. */
export type AnswerExcess = 'unending' | 'stray'

/** Follows the bytes that come in for one request; `notify` is called once, and is to close the connection. */
export function watchAnswer (request: ClientRequest, notify: (excess: AnswerExcess) => void): void {
  let response: IncomingMessage | undefined
  let surplus = 0
  let bodyBytes = 0
  let countedBytes = 0
  let notified = false
  const notifyOnce = (excess: AnswerExcess) => {
    if (notified) return
    notified = true
    notify(excess)
  }
  // Runs before the parser, so that a part is judged with what the parts before it came to.
  const count = (part: Buffer) => {
    if (response?.complete === true) return notifyOnce('stray')
    const readBytes = bodyBytes + (response?.readableLength ?? 0)
    surplus = Math.max(0, surplus - (readBytes - countedBytes) * (1 + surplusPerBodyByte)) + part.length
    countedBytes = readBytes
    if (surplus > maxSurplusBytes) notifyOnce('unending')
  }
  request.once('socket', socket => {
    socket.prependListener('data', count)
    request.once('close', () => { socket.off('data', count) })
  })
  request.once('response', (started: IncomingMessage) => {
    response = started
    surplus = 0
    started.on('data', (part: Buffer) => { bodyBytes += part.length })
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (response?.complete === true && isParseError(error)) notifyOnce('stray')
  })
}

/** Tells whether a connection ended since what came in is no HTTP. */
export function isParseError (error: NodeJS.ErrnoException): boolean {
  return error.code?.startsWith('HPE_') === true
}

/** Tells whether an answer states a length in which no answer comes whole. */
export function isTooLong (response: IncomingMessage): boolean {
  return Number(response.headers['content-length'] ?? 0) > maxAnswerBytes
}

/** How connections that nobody uses are kept. */
export type IdleWatch = {
  /** Whether a connection may be kept at all. */
  mayKeep: (socket: Socket) => boolean
  /** Called when bytes came in on an idle connection; it has been closed. */
  notify: (socket: Socket) => void
}

/** Closes idle connections of an agent on which bytes come in; Node.js would read and drop them without end. */
export function watchIdle (agent: Agent, watch: IdleWatch): void {
  const closers = new WeakMap<Socket, () => void>()
  const keepByDefault = agent.keepSocketAlive.bind(agent) as unknown as (socket: Socket) => boolean
  const reuseByDefault = agent.reuseSocket.bind(agent) as unknown as (socket: Socket, request: ClientRequest) => void
  const keep = (socket: Socket): boolean => {
    if (!watch.mayKeep(socket) || !keepByDefault(socket)) return false
    const close = () => {
      socket.destroy()
      watch.notify(socket)
    }
    closers.set(socket, close)
    socket.once('data', close)
    return true
  }
  const reuse = (socket: Socket, request: ClientRequest): void => {
    const close = closers.get(socket)
    if (close !== undefined) socket.off('data', close)
    reuseByDefault(socket, request)
  }
  Object.assign(agent, { keepSocketAlive: keep, reuseSocket: reuse })
}
