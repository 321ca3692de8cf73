import type { ServerDuplexStream } from '@grpc/grpc-js'
import type { RouterEvent } from '../core/router/routerEvents.js'
import type { Frame, PeerServer } from '../protocol/gen/peer.js'
import type { FrameBody } from '../protocol/peerCodec.js'
import type { AnswerSink, Exchange, ExchangeTable } from './exchange.js'
import type { CreditedReader, CreditedWriter } from './frameStream.js'
import type { PeerConnections } from './peerConnections.js'
import type { TimerService } from './timerService.js'
import { decodeControl, decodeRequestHead, encodeRefusal } from '../protocol/peerCodec.js'
import { createCreditedReader, createCreditedWriter, streamWindowBytes } from './frameStream.js'

/** Largest answer that is sent with its head in one frame, in bytes. */
const maxOneFrameAnswerBytes = 64 * 1024

/** Options of the service for peers. */
export type PeerServerOptions = {
  self: string
  watchMessages: PeerConnections['watchMessages']
  timers: TimerService
  exchanges: ExchangeTable
  post: (event: RouterEvent) => boolean
  /** Reports a malformed or unexpected frame. */
  reportMalformedFrame: (peer: string, detail: string) => void
}

/** A request received over a stream. */
type IncomingRequest = { exchange: Exchange, bodyReader: CreditedReader | undefined, answerWriter: CreditedWriter }

type Stream = ServerDuplexStream<Frame, Frame>

/** The service that peers call, and its graceful end. */
export type PeerService = {
  service: PeerServer
  /**
   * Stops accepting requests and ends each stream once its last request is answered; calls `then`
   * when peers have read all answers. A request without an answer on a stream that ended without
   * an error was not read and never will be.
   */
  finish: (then: () => void) => void
}

/** Creates the gRPC service that peers call. */
export function createPeerService (options: PeerServerOptions): PeerService {
  let streamCount = 0
  const streams = new Set<StreamHandler>()
  let isFinishing = false
  let onFinished: (() => void) | undefined
  const checkFinished = () => {
    if (streams.size > 0) return
    onFinished?.()
    onFinished = undefined
  }
  return {
    service: {
      exchange: stream => {
        streamCount += 1
        const handler = handleStream(stream, `p${streamCount}:`, options)
        streams.add(handler)
        if (isFinishing) handler.finish()
        stream.on('close', () => {
          streams.delete(handler)
          checkFinished()
        })
      }
    },
    finish: then => {
      isFinishing = true
      onFinished = then
      for (const handler of streams) handler.finish()
      checkFinished()
    }
  }
}

type StreamHandler = { finish: () => void }

function handleStream (stream: Stream, prefix: string, options: PeerServerOptions): StreamHandler {
  const incoming = new Map<number, IncomingRequest>()
  let isFinishing = false
  let peer = ''
  const endIfDone = () => {
    if (isFinishing && incoming.size === 0) stream.end()
  }
  const now = () => options.timers.clock.now()
  const recordMessage = options.watchMessages(stream.getPeer())
  stream.on('data', (frame: Frame) => {
    recordMessage()
    if (stream.writableEnded) return
    const body = frame.body
    if (body === undefined) {
      options.reportMalformedFrame(peer, 'frame without a body')
      return
    }
    if (body.$case === 'hello') {
      peer = body.hello.router
      stream.write({ id: 0, body: { $case: 'hello', hello: { router: options.self, trafficClass: body.hello.trafficClass } } })
      return
    }
    if (peer === '') {
      options.reportMalformedFrame('', `${body.$case} before hello`)
      stream.end()
      return
    }
    if (body.$case === 'ping') {
      stream.write({ id: 0, body: { $case: 'pong', pong: {} } })
      return
    }
    const control = decodeControl(body)
    if (control !== undefined) {
      options.post({ kind: 'control-received', now: now(), from: peer, message: control })
      return
    }
    if (isFinishing && body.$case === 'request') return
    handleRequestFrame(stream, prefix, peer, frame.id, body, incoming, endIfDone, options)
  })
  const cancelRequests = () => {
    for (const { exchange, bodyReader } of incoming.values()) {
      bodyReader?.fail()
      options.exchanges.delete(exchange.id)
      options.post({ kind: 'peer-canceled', now: now(), id: exchange.id })
      exchange.cancelDispatch?.()
    }
    incoming.clear()
  }
  stream.on('error', cancelRequests)
  stream.on('close', cancelRequests)
  stream.on('cancelled', cancelRequests)
  stream.on('end', () => {
    cancelRequests()
    stream.end()
  })
  return {
    finish: () => {
      isFinishing = true
      endIfDone()
    }
  }
}

function handleRequestFrame (
  stream: Stream,
  prefix: string,
  peer: string,
  id: number,
  body: FrameBody,
  incoming: Map<number, IncomingRequest>,
  onRelease: () => void,
  options: PeerServerOptions
): void {
  const known = incoming.get(id)
  switch (body.$case) {
    case 'request': {
      acceptRequest(stream, `${prefix}${id}`, peer, id, body.request, incoming, onRelease, options)
      return
    }
    case 'chunk': {
      known?.bodyReader?.push(body.chunk.data, body.chunk.end)
      return
    }
    case 'credit': {
      known?.answerWriter.addCredit(body.credit)
      return
    }
    case 'cancel': {
      if (known === undefined) return
      incoming.delete(id)
      known.bodyReader?.fail()
      options.exchanges.delete(known.exchange.id)
      options.post({ kind: 'peer-canceled', now: options.timers.clock.now(), id: known.exchange.id })
      known.exchange.cancelDispatch?.()
      onRelease()
      return
    }
    default: options.reportMalformedFrame(peer, `unexpected ${body.$case}`)
  }
}

function acceptRequest (
  stream: Stream,
  exchangeId: string,
  peer: string,
  id: number,
  head: Extract<FrameBody, { $case: 'request' }>['request'],
  incoming: Map<number, IncomingRequest>,
  onRelease: () => void,
  options: PeerServerOptions
): void {
  const request = decodeRequestHead(head)
  const send = (frameId: number, body: FrameBody) => {
    if (!stream.writableEnded) stream.write({ id: frameId, body })
  }
  if (request === undefined) {
    options.reportMalformedFrame(peer, 'malformed request head')
    send(id, { $case: 'refusal', refusal: encodeRefusal({ outcome: 'not-run', reason: 'bad-request' }) })
    return
  }
  const release = () => {
    incoming.delete(id)
    options.exchanges.delete(exchangeId)
    onRelease()
  }
  const answerWriter = createCreditedWriter(id, send, streamWindowBytes)
  const bodyReader = head.end ? undefined : createCreditedReader(id, send, streamWindowBytes)
  const exchange: Exchange = {
    id: exchangeId,
    http: { method: head.method, path: head.path, headers: head.headers },
    bodyStart: head.body,
    bodyRest: bodyReader?.stream,
    sink: buildSink(id, send, answerWriter, release),
    refuse: refusal => {
      send(id, { $case: 'refusal', refusal: encodeRefusal(refusal) })
      release()
    },
    // A complete answer may still wait for credit, which reaches it only while the request is in `incoming`.
    finish: result => { if (result === 'truncated') release() },
    cancelDispatch: undefined,
    cancelForward: undefined
  }
  incoming.set(id, { exchange, bodyReader, answerWriter })
  options.exchanges.set(exchangeId, exchange)
  options.post({ kind: 'peer-request', now: options.timers.clock.now(), id: exchangeId, request })
}

/** Creates a sink that sends a small answer in one frame with its head, and a larger one in parts. */
function buildSink (
  id: number,
  send: (id: number, body: FrameBody) => void,
  writer: CreditedWriter,
  release: () => void
): AnswerSink {
  let head: { status: number, headers: Array<{ name: string, value: string }> } | undefined
  let buffered: Buffer | undefined
  const flushHead = (end: boolean) => {
    if (head === undefined) return
    send(id, { $case: 'answer', answer: { ...head, body: buffered ?? Buffer.alloc(0), end } })
    head = undefined
  }
  return {
    start: (status, headers) => { head = { status, headers } },
    write: (part, then) => {
      if (head !== undefined && buffered === undefined && part.length <= maxOneFrameAnswerBytes) {
        buffered = part
        // If the answer ends in the same turn of the event loop, one frame holds all of it; otherwise the head must not wait.
        setImmediate(() => flushHead(false))
        then()
        return
      }
      flushHead(false)
      writer.write(part, then)
    },
    end: () => {
      if (head === undefined) {
        writer.end(release)
        return
      }
      flushHead(true)
      release()
    },
    abort: () => {
      flushHead(false)
      send(id, { $case: 'abort', abort: { reason: 'truncated' } })
    }
  }
}
