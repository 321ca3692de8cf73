import type { ExecutionContext } from 'ava'
import type { AddressInfo, Socket } from 'node:net'
import type { Refusal } from '../src/core/domain/outcome.js'
import type { Exchange, ExchangeTable } from '../src/runtime/exchange.js'
import type { PeerRequest, RouterEvent } from '../src/core/router/routerEvents.js'
import type { TimerService } from '../src/runtime/timerService.js'
import test from 'ava'
import fc from 'fast-check'
import { PassThrough } from 'node:stream'
import { anyUnit } from '../src/core/router/backends.js'
import { Server, ServerCredentials, credentials } from '@grpc/grpc-js'
import { connect, createServer } from 'node:net'
import { PeerService } from '../src/protocol/gen/peer.js'
import { systemClock } from '../src/runtime/clock.js'
import { readInto } from '../src/runtime/exchange.js'
import { createPeerLinks } from '../src/runtime/peerClient.js'
import { createPeerService } from '../src/runtime/peerServer.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { waitFor } from './support/platform/platformFleet.js'

function buildExchange (id: string): Exchange {
  return {
    id,
    http: { method: 'GET', path: '/items/1', headers: [] },
    bodyStart: Buffer.alloc(0),
    bodyRest: undefined,
    sink: { start: () => {}, write: (_part, then) => then(), end: () => {}, abort: () => {} },
    refuse: () => {},
    finish: () => {},
    cancelDispatch: undefined,
    cancelForward: undefined
  }
}

const request: PeerRequest = { service: 'catalogue', key: 'k', unit: anyUnit, owner: 'backend-1', epoch: 1, rank: 'lookup', idempotent: true, deadlineMs: 1000, replayable: true }

/** Starts a proxy that forwards connections to a port, and can hold back the bytes that the server sends. */
async function startPausableLink (t: ExecutionContext, port: number) {
  const upstreams: Socket[] = []
  const link = createServer(socket => {
    const upstream = connect(port, '127.0.0.1')
    upstreams.push(upstream)
    socket.on('error', () => upstream.destroy())
    upstream.on('error', () => socket.destroy())
    socket.pipe(upstream)
    upstream.on('data', (part: Buffer) => socket.write(part))
    upstream.on('close', () => socket.end())
  })
  await new Promise<void>(resolve => link.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { link.close() })
  return {
    port: (link.address() as AddressInfo).port,
    hold: () => { for (const upstream of upstreams) upstream.pause() },
    resume: () => { for (const upstream of upstreams) upstream.resume() }
  }
}

/** Starts the peer server of router b, and router a with one stream to it on which the request `first` is in progress. */
async function startLinkedRouters (t: ExecutionContext, first = buildExchange('first'), changeTimers: (timers: TimerService) => TimerService = timers => timers) {
  const timers = createTimerService(systemClock)
  const reportedDown: string[] = []
  const exchanges: ExchangeTable = new Map()
  const refusals = new Map<string, Refusal>()
  const service = createPeerService({ self: 'b', watchMessages: () => () => {}, timers, exchanges, post: () => true, reportMalformedFrame: () => {} })
  const server = new Server()
  server.addService(PeerService, service.service)
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => error === null ? resolve(bound) : reject(error))
  })
  const link = await startPausableLink(t, port)
  const post = (event: RouterEvent) => {
    if (event.kind === 'peer-down') reportedDown.push(event.router)
    if (event.kind === 'forward-refused') refusals.set(event.id, event.refusal)
    return true
  }
  const links = createPeerLinks({ self: 'a', credentials: credentials.createInsecure(), timers: changeTimers(timers), post })
  links.setPeers([{ router: 'b', address: `127.0.0.1:${link.port}`, adminAddress: '', zone: 'zone-1', generation: 1, successor: undefined, witness: undefined, pivot: undefined }])
  t.teardown(() => {
    links.close()
    server.forceShutdown()
    timers.close()
  })
  links.forward(first, 'b', request)
  await waitFor(() => exchanges.size === 1, 2000)
  return { service, server, link, links, exchanges, refusals, reportedDown }
}

test('a request that reaches a router while it closes its streams gracefully is known not to have run', async t => {
  const { service, links, exchanges, refusals } = await startLinkedRouters(t)
  for (const exchange of exchanges.values()) exchange.refuse({ outcome: 'not-run', reason: 'queue-full' })
  await waitFor(() => refusals.has('first'), 2000)
  service.finish(() => {})
  links.forward(buildExchange('late'), 'b', request)
  await waitFor(() => refusals.has('late'), 2000)
  t.is(refusals.get('late')?.outcome, 'not-run')
})

test('a stream with a request in progress is not closed gracefully; when it breaks, the outcome of the request is unknown', async t => {
  const { service, server, refusals } = await startLinkedRouters(t)
  service.finish(() => {})
  await new Promise(resolve => setTimeout(resolve, 100))
  t.is(refusals.size, 0)
  server.forceShutdown()
  await waitFor(() => refusals.has('first'), 2000)
  t.is(refusals.get('first')?.outcome, 'unknown')
})

test('a stream that is asked to end with a request in progress closes gracefully after the answer', async t => {
  const { service, links, exchanges, refusals } = await startLinkedRouters(t)
  let isFinished = false
  service.finish(() => { isFinished = true })
  links.forward(buildExchange('late'), 'b', request)
  await new Promise(resolve => setTimeout(resolve, 100))
  t.false(isFinished)
  t.is(exchanges.size, 1)
  for (const exchange of exchanges.values()) exchange.refuse({ outcome: 'not-run', reason: 'queue-full' })
  await waitFor(() => refusals.has('late') && isFinished, 2000)
  t.is(refusals.get('first')?.reason, 'queue-full')
  t.is(refusals.get('late')?.outcome, 'not-run')
})

/** Length of an answer, in bytes: more than HTTP/2 sends to a peer that reads nothing, and less than the peer's credit. */
const heldAnswerBytes = 200_000
/** Time for which the link holds back an answer, in milliseconds: a router that closes its streams after a fixed, shorter delay would truncate it. */
const heldMs = 400

test('streams count as ended only after peers have read the last answer', async t => {
  let received = 0
  let result = ''
  const first = buildExchange('first')
  const { service, server, link, exchanges } = await startLinkedRouters(t, {
    ...first,
    sink: { ...first.sink, write: (part, then) => { received += part.length; then() } },
    finish: ended => { result = ended }
  })
  link.hold()
  for (const exchange of exchanges.values()) {
    exchange.sink.start(200, [])
    exchange.sink.write(Buffer.alloc(heldAnswerBytes), () => {})
    exchange.sink.end()
    exchange.finish('complete')
  }
  service.finish(() => server.forceShutdown())
  await new Promise(resolve => setTimeout(resolve, heldMs))
  link.resume()
  await waitFor(() => result !== '', 2000)
  t.deepEqual([result, received], ['complete', heldAnswerBytes])
})

type Answer = { bytes: number, result: 'complete' | 'truncated' | undefined }

/** Forwards a request, and answers it over the stream with parts that are all available at once, to a caller that takes `pauseMs` for each part. */
async function deliverAnswer (pair: Awaited<ReturnType<typeof startLinkedRouters>>, id: string, sizes: readonly number[], pauseMs: number): Promise<Answer> {
  const { links, exchanges } = pair
  const answer: Answer = { bytes: 0, result: undefined }
  const caller = buildExchange(id)
  caller.sink.write = (part, then) => {
    answer.bytes += part.length
    setTimeout(then, pauseMs)
  }
  caller.finish = result => { answer.result = result }
  const knownIds = new Set(exchanges.keys())
  const findExchange = () => [...exchanges].find(([each]) => !knownIds.has(each))?.[1]
  links.forward(caller, 'b', request)
  await waitFor(() => findExchange() !== undefined, 2000)
  const exchange = findExchange()
  if (exchange === undefined) return answer
  const source = new PassThrough({ highWaterMark: sizes.reduce((sum, size) => sum + size, 1) })
  for (const size of sizes) source.write(Buffer.alloc(size, 1))
  source.end()
  exchange.sink.start(200, [])
  readInto(source, exchange.sink.write, whole => {
    if (whole) exchange.sink.end()
    else exchange.sink.abort()
    exchange.finish(whole ? 'complete' : 'truncated')
  })
  await waitFor(() => answer.result !== undefined, 2000)
  return answer
}

test('an answer whose source has ended while its last part waits for credit is delivered completely', async t => {
  const pair = await startLinkedRouters(t)
  t.deepEqual(await deliverAnswer(pair, 'large', [100_000, 1_000_000], 1), { bytes: 1_100_000, result: 'complete' })
  t.is(pair.exchanges.size, 1, 'only the first request is left')
})

test('answers of any size are delivered completely to callers that read at any pace', async t => {
  const pair = await startLinkedRouters(t)
  let count = 0
  await fc.assert(fc.asyncProperty(
    fc.array(fc.integer({ min: 1, max: 400_000 }), { minLength: 1, maxLength: 6 }),
    fc.nat({ max: 3 }),
    async (sizes, pauseMs) => {
      count += 1
      const bytes = sizes.reduce((sum, size) => sum + size, 0)
      t.deepEqual(await deliverAnswer(pair, `answer-${count}`, sizes, pauseMs), { bytes, result: 'complete' })
    }
  ), { seed: 1, numRuns: 60, endOnFailure: true })
  t.is(pair.exchanges.size, 1, 'only the first request is left')
})

test('an answer that is canceled as it begins is truncated, so that it neither hangs nor begins twice', async t => {
  const { links, exchanges } = await startLinkedRouters(t)
  const calls: string[] = []
  const caller = buildExchange('caller')
  caller.sink = {
    start: () => { calls.push('start') },
    write: (part, then) => {
      calls.push(`write ${part.length}`)
      then()
    },
    end: () => { calls.push('end') },
    abort: () => { calls.push('abort') }
  }
  caller.finish = result => { calls.push(result) }
  links.forward(caller, 'b', request)
  await waitFor(() => exchanges.size === 2, 2000)
  const exchange = [...exchanges.values()].at(-1)
  exchange?.sink.start(200, [])
  exchange?.sink.write(Buffer.alloc(1000), () => {})
  await waitFor(() => calls.includes('write 1000'), 2000)
  caller.cancelForward?.()
  t.deepEqual(calls, ['start', 'write 1000', 'abort', 'truncated'])
  await waitFor(() => exchanges.size === 1, 2000)
})

test('a router whose process was paused does not report a peer down for messages that it could not receive meanwhile', async t => {
  let time = 1000
  const tickSubscribers: Array<(now: number) => void> = []
  const { reportedDown } = await startLinkedRouters(t, undefined, timers => ({
    ...timers,
    clock: { ...systemClock, now: () => time },
    subscribe: (_intervalMs, notify) => {
      tickSubscribers.push(notify)
      return () => {}
    }
  }))
  const runTick = (afterMs: number) => {
    time += afterMs
    for (const notify of tickSubscribers) notify(time)
  }
  runTick(50)
  runTick(600)
  t.deepEqual(reportedDown, [])
  for (let each = 0; each < 5; each++) runTick(50)
  t.deepEqual(reportedDown, ['b'], 'silence while it listens still counts')
})
