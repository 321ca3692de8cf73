import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import type { Refusal } from '../core/domain/outcome.js'
import type { HeaderPair } from '../protocol/peerCodec.js'

/** Destination of an answer: a caller's connection or a peer's stream. */
export type AnswerSink = {
  start: (status: number, headers: HeaderPair[]) => void
  /** Writes a part and calls `then` when the next one can be written. */
  write: (part: Buffer, then: () => void) => void
  /** Ends a complete answer. */
  end: () => void
  /** Aborts the answer, so that its receiver detects that it is truncated. */
  abort: () => void
}

/** Head of a request as it is forwarded. */
export type HttpRequestHead = { method: string, path: string, headers: HeaderPair[] }

/** A request in progress, with its body and the destination of its answer. */
export type Exchange = {
  id: string
  http: HttpRequestHead
  /** Buffered start of the body. */
  bodyStart: Buffer
  /** Rest of the body; undefined when the buffered start is all of it. */
  bodyRest: Readable | undefined
  sink: AnswerSink
  refuse: (refusal: Refusal) => void
  /** Called when the answer has ended, complete or truncated. */
  finish: (result: 'complete' | 'truncated') => void
  cancelDispatch: (() => void) | undefined
  cancelForward: (() => void) | undefined
}

/** Exchanges in progress by request id. */
export type ExchangeTable = Map<string, Exchange>

/** Hop-by-hop headers, which are not forwarded. */
const hopByHopHeaders = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'http2-settings'
])

/** Prefix of the headers that are reserved for this system. */
const reservedHeaderPrefix = 'fulmar-'

/** Lists the headers to forward, from the flat list of names and values that Node.js gives. */
export function listPassedHeaders (raw: readonly string[], keepReserved: boolean): HeaderPair[] {
  const connectionHeaders = listConnectionHeaders(raw)
  const passed: HeaderPair[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? ''
    const lower = name.toLowerCase()
    if (hopByHopHeaders.has(lower) || connectionHeaders.has(lower)) continue
    if (!keepReserved && lower.startsWith(reservedHeaderPrefix)) continue
    passed.push({ name, value: raw[index + 1] ?? '' })
  }
  return passed
}

/** Lists the headers that a Connection header declares hop-by-hop. */
function listConnectionHeaders (raw: readonly string[]): Set<string> {
  const names = new Set<string>()
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== 'connection') continue
    for (const name of (raw[index + 1] ?? '').split(',')) names.add(name.trim().toLowerCase())
  }
  return names
}

/** Flattens header pairs into the list form that Node.js takes. */
export function formatHeaders (pairs: readonly HeaderPair[]): string[] {
  return pairs.flatMap(pair => [pair.name, pair.value])
}

/**
 * Lists the headers that frame the body of a request, beside those that are passed on: exactly one of Content-Length and
 * Transfer-Encoding if there is a body. Node.js adds none for methods such as DELETE, whose body would then be read as
 * the next request. `isWhole`: `first` is the whole body.
 */
export function listFramingHeaders (passed: readonly HeaderPair[], first: Buffer, isWhole: boolean): HeaderPair[] {
  if (passed.some(pair => pair.name.toLowerCase() === 'content-length')) return []
  if (!isWhole) return [{ name: 'Transfer-Encoding', value: 'chunked' }]
  return first.length === 0 ? [] : [{ name: 'Content-Length', value: String(first.length) }]
}

/**
 * Reads a stream to its end and passes its parts to `write`, each after the receiver is ready for it. A part is all that is
 * buffered: a stream of parts of one byte, written one by one, would cost some hundred times its size.
 */
export function readInto (
  source: Readable,
  write: (part: Buffer, then: () => void) => void,
  onEnd: (isComplete: boolean) => void
): void {
  let isEnded = false
  let isWriting = false
  let isAdvancing = false
  const end = (isComplete: boolean) => {
    if (isEnded) return
    isEnded = true
    onEnd(isComplete)
  }
  const readPart = (): Buffer | null => isWriting || isEnded ? null : source.read() as Buffer | null
  const advance = () => {
    if (isAdvancing) return
    isAdvancing = true
    for (let part = readPart(); part !== null; part = readPart()) {
      isWriting = true
      write(part, () => {
        isWriting = false
        advance()
      })
    }
    isAdvancing = false
  }
  source.on('readable', advance)
  source.on('end', () => end(true))
  source.on('error', () => end(false))
  source.on('close', () => end(false))
}

/** Returns whether an answer marks its end. Only a stated length or chunking proves that an answer is complete; closing the connection does not. */
export function isDelimited (response: IncomingMessage, method: string): boolean {
  if (response.headers['content-length'] !== undefined) return true
  if (response.headers['transfer-encoding'] !== undefined) return true
  const status = response.statusCode ?? 0
  return status === 204 || status === 304 || method === 'HEAD'
}
