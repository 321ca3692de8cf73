import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Maximum number of bytes before the head of an answer, or in addition to its body: two socket reads, and eight times the largest head that Node.js accepts. */
const maxOverheadBytes = 128 * 1024
/** Bytes of encoding overhead that are allowed per byte of the body; a chunk of one byte has five. */
const overheadBytesPerBodyByte = 16

/** Largest answer that can arrive completely, in bytes: 88 s on a link of 100 Gbit/s, beyond any deadline. */
const maxAnswerBytes = 2 ** 40

/** Received bytes that cannot belong to an answer: `unending` for too many before its head or in addition to its body, `stray` for any after its end. */
export type AnswerExcess = 'unending' | 'stray'

/** Watches the bytes received for one request. `notify` is called at most once and must close the connection. */
export function watchAnswer (request: ClientRequest, notify: (excess: AnswerExcess) => void): void {
  let response: IncomingMessage | undefined
  let overheadBytes = 0
  let bodyBytes = 0
  let countedBytes = 0
  let isNotified = false
  const notifyOnce = (excess: AnswerExcess) => {
    if (isNotified) return
    isNotified = true
    notify(excess)
  }
  // This runs before the HTTP parser, so it compares each part with what the parser made of the parts before it.
  const countBytes = (part: Buffer) => {
    if (response?.complete === true) return notifyOnce('stray')
    const readBytes = bodyBytes + (response?.readableLength ?? 0)
    overheadBytes = Math.max(0, overheadBytes - (readBytes - countedBytes) * (1 + overheadBytesPerBodyByte)) + part.length
    countedBytes = readBytes
    if (overheadBytes > maxOverheadBytes) notifyOnce('unending')
  }
  request.once('socket', socket => {
    socket.prependListener('data', countBytes)
    request.once('close', () => { socket.off('data', countBytes) })
  })
  request.once('response', (started: IncomingMessage) => {
    response = started
    overheadBytes = 0
    started.on('data', (part: Buffer) => { bodyBytes += part.length })
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    if (response?.complete === true && isParseError(error)) notifyOnce('stray')
  })
}

/** Returns whether a connection failed because the received bytes are not valid HTTP. */
export function isParseError (error: NodeJS.ErrnoException): boolean {
  return error.code?.startsWith('HPE_') === true
}

/** Returns whether an answer states a length that cannot arrive completely within any deadline. */
export function isTooLong (response: IncomingMessage): boolean {
  return Number(response.headers['content-length'] ?? 0) > maxAnswerBytes
}

/** Options for idle connections. */
export type IdleConnectionOptions = {
  /** Returns whether a connection may be kept when it becomes idle. */
  mayKeep: (socket: Socket) => boolean
  /** Called after an idle connection was closed because bytes arrived on it. */
  notify: (socket: Socket) => void
}

/** Closes idle connections of an agent when bytes arrive on them; Node.js would read and discard such bytes without limit. */
export function watchIdleConnections (agent: Agent, options: IdleConnectionOptions): void {
  const closers = new WeakMap<Socket, () => void>()
  const keepByDefault = agent.keepSocketAlive.bind(agent) as unknown as (socket: Socket) => boolean
  const reuseByDefault = agent.reuseSocket.bind(agent) as unknown as (socket: Socket, request: ClientRequest) => void
  const keep = (socket: Socket): boolean => {
    if (!options.mayKeep(socket) || !keepByDefault(socket)) return false
    const close = () => {
      socket.destroy()
      options.notify(socket)
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
