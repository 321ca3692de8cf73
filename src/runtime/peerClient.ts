import type { ClientDuplexStream, ChannelCredentials } from '@grpc/grpc-js'
import type { RouterEntry } from '../core/domain/assignment.js'
import type { ControlMessage } from '../core/domain/control.js'
import type { Refusal } from '../core/domain/outcome.js'
import type { PeerRequest, RouterEvent } from '../core/router/routerEvents.js'
import type { Frame } from '../protocol/gen/peer.js'
import type { FrameBody } from '../protocol/peerCodec.js'
import type { Exchange } from './exchange.js'
import type { CreditedReader, CreditedWriter } from './frameStream.js'
import type { TimerService, Unsubscribe } from './timerService.js'
import { status as Status } from '@grpc/grpc-js'
import { peerSilenceTimeoutMs } from '../core/limits.js'
import { PeerClient } from '../protocol/gen/peer.js'
import { decodeRefusal, encodeControl, encodeRequestHead } from '../protocol/peerCodec.js'
import { formatHeaders, readInto } from './exchange.js'
import { createCreditedReader, createCreditedWriter } from './frameStream.js'
import { hasValidHeaders, isFinalStatus } from './messageHead.js'

/** Traffic classes; each has a stream of its own, so that none blocks another. */
export const trafficClasses = ['control', 'interactive', 'bulk'] as const
/** Traffic class of a stream. */
export type TrafficClass = typeof trafficClasses[number]

/** Delay before a broken stream is opened again, in milliseconds. */
const reconnectDelayMs = 150
/** Interval between checks of streams with outstanding requests, in milliseconds. */
const checkIntervalMs = 50
/** Time without received frames after which a stream with outstanding requests is pinged, in milliseconds. */
const pingAfterMs = 100

/** One forwarded request on a stream. */
type Forward = {
  peer: string
  exchange: Exchange
  bodyWriter: CreditedWriter | undefined
  answerReader: CreditedReader | undefined
  isAnswered: boolean
}

/** A stream to one peer for one traffic class, which is opened again after failures. */
type Link = {
  peer: string
  trafficClass: TrafficClass
  address: string
  client: PeerClient
  stream: ClientDuplexStream<Frame, Frame> | undefined
  isOpen: boolean
  queue: Frame[]
  forwards: Map<number, Forward>
  nextId: number
  lastReceivedAt: number
  isSuspected: boolean
  isClosed: boolean
}

/** Streams to peers. */
export type PeerLinks = {
  setPeers: (routers: readonly RouterEntry[]) => void
  forward: (exchange: Exchange, peer: string, request: PeerRequest) => void
  sendControl: (peer: string, message: ControlMessage) => void
  /** Uses new credentials for streams opened from now on. */
  replaceCredentials: (credentials: ChannelCredentials) => void
  close: () => void
}

/** Options of the streams to peers. */
export type PeerLinkOptions = {
  self: string
  credentials: ChannelCredentials
  timers: TimerService
  post: (event: RouterEvent) => boolean
}

/** Creates the streams to peers; each is opened when it is first used. */
export function createPeerLinks (options: PeerLinkOptions): PeerLinks {
  const links = new Map<string, Link>()
  const addresses = new Map<string, string>()
  let credentials = options.credentials
  const { timers, post } = options
  const now = () => timers.clock.now()

  const findLink = (peer: string, trafficClass: TrafficClass): Link | undefined => {
    const id = `${peer} ${trafficClass}`
    const known = links.get(id)
    if (known !== undefined) return known
    const address = addresses.get(peer)
    if (address === undefined) return undefined
    const link = buildLink(peer, trafficClass, address, credentials)
    links.set(id, link)
    return link
  }
  const refuse = (forward: Forward, refusal: Refusal) => {
    forward.exchange.cancelForward = undefined
    post({ kind: 'forward-refused', now: now(), id: forward.exchange.id, peer: forward.peer, refusal })
  }
  const failLink = (link: Link, isFinished: boolean) => {
    // A peer that ends its stream without an error has not read the requests that it leaves unanswered.
    const wasOpen = link.isOpen && !isFinished
    link.isOpen = false
    link.stream = undefined
    link.queue = []
    const forwards = [...link.forwards.values()]
    link.forwards.clear()
    if (!link.isClosed) post({ kind: 'peer-down', now: now(), router: link.peer })
    for (const forward of forwards) failForward(forward, wasOpen, refuse)
    if (link.isClosed || !addresses.has(link.peer)) return
    timers.schedule(reconnectDelayMs, () => openLink(link))
  }
  const openLink = (link: Link) => {
    if (link.isClosed || link.stream !== undefined) return
    const stream = link.client.exchange()
    link.stream = stream
    stream.on('data', (frame: Frame) => {
      link.lastReceivedAt = now()
      if (frame.body?.$case === 'hello') {
        if (frame.body.hello.router !== link.peer) {
          stream.cancel()
          return
        }
        startSending(link)
        post({ kind: 'peer-up', now: now(), router: link.peer })
        return
      }
      if (link.isSuspected) {
        link.isSuspected = false
        post({ kind: 'peer-up', now: now(), router: link.peer })
      }
      if (frame.body !== undefined) handleAnswerFrame(link, frame.id, frame.body, refuse)
    })
    let isEnded = false
    const end = (isFinished: boolean) => {
      if (isEnded) return
      isEnded = true
      if (link.stream === stream) failLink(link, isFinished)
    }
    stream.on('error', () => end(false))
    // The `end` event is also emitted after an error; only the status distinguishes the two.
    stream.on('status', status => {
      stream.cancel()
      end(status.code === Status.OK)
    })
    stream.write({
      id: 0,
      body: { $case: 'hello', hello: { router: options.self, trafficClass: link.trafficClass } }
    })
  }
  const send = (link: Link, id: number, body: FrameBody) => {
    if (link.isOpen && link.stream !== undefined) {
      link.stream.write({ id, body })
      return
    }
    link.queue.push({ id, body })
    openLink(link)
  }
  let checkedAt = now()
  const stopChecks: Unsubscribe = timers.subscribe(checkIntervalMs, time => {
    const stalledMs = Math.max(0, time - checkedAt - checkIntervalMs)
    checkedAt = time
    for (const link of links.values()) checkSilence(link, time, stalledMs, send, post)
  })
  return {
    setPeers: routers => {
      const listed = new Set(routers.map(entry => entry.router))
      for (const entry of routers) addresses.set(entry.router, entry.address)
      for (const peer of [...addresses.keys()]) {
        if (listed.has(peer)) continue
        addresses.delete(peer)
        closeLinks(links, peer)
      }
    },
    forward: (exchange, peer, request) => {
      const link = findLink(peer, request.rank === 'upload' ? 'bulk' : 'interactive')
      if (link === undefined) {
        const refusal: Refusal = { outcome: 'not-run', reason: 'peer-unreachable' }
        post({ kind: 'forward-refused', now: now(), id: exchange.id, peer, refusal })
        return
      }
      startForward(link, exchange, request, (id, body) => send(link, id, body))
    },
    sendControl: (peer, message) => {
      const link = findLink(peer, 'control')
      if (link === undefined) return
      if (!link.isOpen && link.queue.length > maxQueuedControl) return
      send(link, 0, encodeControl(message))
    },
    replaceCredentials: next => { credentials = next },
    close: () => {
      stopChecks()
      addresses.clear()
      for (const link of links.values()) closeLink(link)
    }
  }
}

/** Limit of control messages queued for a stream that is not open; the reducer sends dropped ones again. */
const maxQueuedControl = 64

function buildLink (peer: string, trafficClass: TrafficClass, address: string, credentials: ChannelCredentials): Link {
  const client = new PeerClient(address, credentials, {
    'grpc.use_local_subchannel_pool': 1,
    'grpc.initial_reconnect_backoff_ms': 100,
    'grpc.min_reconnect_backoff_ms': 100,
    'grpc.max_reconnect_backoff_ms': 500,
    'grpc.max_receive_message_length': 4 * 1024 * 1024,
    // Certificates carry the name of the fleet, not of a host.
    'grpc.ssl_target_name_override': 'fulmar-router',
    'grpc.default_authority': 'fulmar-router'
  })
  return {
    peer,
    trafficClass,
    address,
    client,
    stream: undefined,
    isOpen: false,
    queue: [],
    forwards: new Map(),
    nextId: 1,
    lastReceivedAt: 0,
    isSuspected: false,
    isClosed: false
  }
}

function startSending (link: Link): void {
  link.isOpen = true
  link.isSuspected = false
  const queued = link.queue
  link.queue = []
  for (const frame of queued) link.stream?.write(frame)
}

function closeLinks (links: Map<string, Link>, peer: string): void {
  for (const [id, link] of links) {
    if (link.peer !== peer) continue
    links.delete(id)
    if (link.forwards.size === 0) closeLink(link)
    else link.isClosed = true
  }
}

function closeLink (link: Link): void {
  link.isClosed = true
  link.stream?.cancel()
  link.client.close()
}

/** Fails a request on a broken stream. A request that the peer cannot have read did not run; otherwise its outcome is unknown. */
function failForward (forward: Forward, wasOpen: boolean, refuse: (forward: Forward, refusal: Refusal) => void): void {
  if (forward.isAnswered) {
    forward.answerReader?.fail()
    return
  }
  if (wasOpen) refuse(forward, { outcome: 'unknown', reason: 'peer-lost' })
  else refuse(forward, { outcome: 'not-run', reason: 'peer-unreachable' })
}

function startForward (
  link: Link,
  exchange: Exchange,
  request: PeerRequest,
  send: (id: number, body: FrameBody) => void
): void {
  const id = link.nextId
  link.nextId = id === 0xffffffff ? 1 : id + 1
  const rest = exchange.bodyRest
  const forward: Forward = { peer: link.peer, exchange, bodyWriter: undefined, answerReader: undefined, isAnswered: false }
  link.forwards.set(id, forward)
  exchange.cancelForward = () => {
    if (link.forwards.get(id) !== forward) return
    link.forwards.delete(id)
    send(id, { $case: 'cancel', cancel: {} })
    if (!forward.isAnswered) return
    // The reducer does not know yet that the answer has started, and no other answer can replace it.
    exchange.sink.abort()
    exchange.finish('truncated')
    forward.answerReader?.stream.destroy()
  }
  send(id, { $case: 'request', request: encodeRequestHead(request, exchange.http, exchange.bodyStart, rest === undefined) })
  if (rest === undefined) return
  forward.bodyWriter = createCreditedWriter(id, send, 0)
}

/** Sends the body on the first credit, which shows that the holder accepted the request. */
function startBody (link: Link, id: number, forward: Forward, credit: number): void {
  const writer = forward.bodyWriter
  const rest = forward.exchange.bodyRest
  if (writer === undefined || rest === undefined) return
  writer.addCredit(credit)
  if (rest.listenerCount('readable') > 0) return
  readInto(rest, writer.write, isComplete => {
    if (isComplete) writer.end(() => {})
    else forward.exchange.cancelForward?.()
  })
  rest.resume()
}

function handleAnswerFrame (
  link: Link,
  id: number,
  body: FrameBody,
  refuse: (forward: Forward, refusal: Refusal) => void
): void {
  const forward = link.forwards.get(id)
  if (forward === undefined) return
  const sendFrame = (frameId: number, frame: FrameBody) => link.stream?.write({ id: frameId, body: frame })
  switch (body.$case) {
    case 'answer': {
      // The peer may run an earlier release, which passed on heads that can't be written.
      if (!isFinalStatus(body.answer.status) || !hasValidHeaders(formatHeaders(body.answer.headers))) {
        forward.exchange.cancelForward?.()
        refuse(forward, { outcome: 'unknown', reason: 'backend-rubbish' })
        return
      }
      startAnswer(link, id, forward, body.answer, sendFrame)
      return
    }
    case 'chunk': {
      if (forward.answerReader === undefined) return
      forward.answerReader.push(body.chunk.data, body.chunk.end)
      if (body.chunk.end) link.forwards.delete(id)
      else if (forward.answerReader.stream.destroyed) forward.exchange.cancelForward?.()
      return
    }
    case 'credit': {
      startBody(link, id, forward, body.credit)
      return
    }
    case 'refusal': {
      link.forwards.delete(id)
      refuse(forward, decodeRefusal(body.refusal))
      return
    }
    case 'abort': {
      link.forwards.delete(id)
      if (forward.isAnswered) forward.answerReader?.fail()
      else refuse(forward, { outcome: 'unknown', reason: 'backend-failed' })
    }
  }
}

function startAnswer (
  link: Link,
  id: number,
  forward: Forward,
  head: Extract<FrameBody, { $case: 'answer' }>['answer'],
  send: (id: number, body: FrameBody) => void
): void {
  const { exchange } = forward
  forward.isAnswered = true
  exchange.sink.start(head.status, head.headers)
  if (head.end) {
    link.forwards.delete(id)
    exchange.cancelForward = undefined
    exchange.sink.write(head.body, () => {})
    exchange.sink.end()
    exchange.finish('complete')
    return
  }
  const reader = createCreditedReader(id, send, 0)
  forward.answerReader = reader
  reader.push(head.body, false)
  readInto(reader.stream, exchange.sink.write, isComplete => {
    if (isComplete) exchange.sink.end()
    else exchange.sink.abort()
    exchange.finish(isComplete ? 'complete' : 'truncated')
  })
  reader.stream.resume()
}

/**
 * Pings streams with outstanding requests on which nothing arrives, and reports peers that stay silent. Time in
 * which this process was stalled, and could receive nothing, does not count as silence.
 */
function checkSilence (
  link: Link,
  time: number,
  stalledMs: number,
  send: (link: Link, id: number, body: FrameBody) => void,
  post: (event: RouterEvent) => boolean
): void {
  if (!link.isOpen || link.forwards.size === 0) {
    link.lastReceivedAt = time
    return
  }
  link.lastReceivedAt = Math.min(time, link.lastReceivedAt + stalledMs)
  const silentMs = time - link.lastReceivedAt
  if (silentMs > pingAfterMs) send(link, 0, { $case: 'ping', ping: {} })
  if (silentMs <= peerSilenceTimeoutMs || link.isSuspected) return
  link.isSuspected = true
  post({ kind: 'peer-down', now: time, router: link.peer })
}
