import type { EndlessFault } from './support/platform/endlessBytes.js'
import type { GrantBackend } from './support/platform/grantBackend.js'
import type { Flood } from './support/platform/endlessBytes.js'
import type { PlatformFleet } from './support/platform/platformFleet.js'
import type { ExecutionContext } from 'ava'
import type { LocalFleet } from '../src/demo/localFleet.js'
import test from 'ava'
import { request as openRequest } from 'node:http'
import { createServer } from 'node:net'
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { applyDocument } from '../src/operator/applyDocument.js'
import { systemClock } from '../src/runtime/clock.js'
import { createCreditedReader, maxUnreadBytes } from '../src/runtime/frameStream.js'
import { watchHostList } from '../src/runtime/hostListPoller.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { call, startFleet } from './support/fleet.js'
import { startFlood } from './support/platform/endlessBytes.js'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Maximum number of bytes in the socket buffers of both ends: the kernel's largest buffers. */
const maxSocketBufferBytes = 16 * 1024 * 1024
/** Maximum time until a connection is closed after its bytes can no longer form a valid answer, in milliseconds. */
const maxCloseMs = 300
/** Time for which a caller leaves its answer unread, in milliseconds: longer than the route's timeout. */
const readDelayMs = 2500
/** Maximum time that any other request of the host may take meanwhile, in milliseconds. */
const maxOtherRequestMs = 250
/** Maximum memory that all floods of one test together may add, in bytes. */
const maxAddedMemoryBytes = 200 * 1024 * 1024

/** Faults whose bytes can't form a valid answer: none of them reach a caller. */
const unreadableAnswers: EndlessFault[] = [
  'endless-garbage', 'endless-empty-lines', 'endless-status-line', 'endless-header-line', 'endless-header-blanks', 'endless-header-lines',
  'endless-informational', 'endless-huge-length', 'endless-chunk-size', 'endless-extension', 'endless-extensions', 'endless-trailers',
  'endless-trailer-blanks', 'endless-not-run'
]
/** Faults with a valid head and a body that could still end. */
const endlessBodies: EndlessFault[] = ['endless-chunks', 'endless-small-chunks', 'endless-unframed', 'endless-length']
const bytesAfterAnswers: EndlessFault[] = ['endless-after-answer', 'endless-answers-after-answer', 'endless-when-idle']

type Download = { status: number, bytes: number, complete: boolean, ms: number }

/** Sends a request as a caller that only counts the bytes of its answer, or leaves them unread for `readDelayMs`. */
async function download (address: string, path: string, options: { reads: boolean, key?: number }): Promise<Download> {
  const startedAt = performance.now()
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    let bytes = 0
    let reset = false
    const finish = (status: number, complete: boolean) => resolve({ status, bytes, complete: complete && !reset, ms: performance.now() - startedAt })
    const headers = { host: 'shop.test', 'Request-Id': `download-${startedAt}`, 'Deadline-Ms': '5000', ...(options.key === undefined ? {} : { 'Shard-Key': String(options.key) }) }
    const request = openRequest({ host, port, path, headers })
    request.on('error', () => finish(0, false))
    // Node.js reports an answer that is delimited by the end of its connection as complete, even when the connection is reset.
    request.on('socket', socket => { socket.on('error', () => { reset = true }) })
    request.on('response', response => {
      response.on('error', () => {})
      response.on('close', () => finish(response.statusCode ?? 0, response.complete))
      if (options.reads) response.on('data', (part: Buffer) => { bytes += part.length })
      else setTimeout(() => response.resume(), readDelayMs)
    })
    request.end()
  })
}

/** Sends short requests to a host one after another until stopped; returns the longest time one took, and the statuses other than 200. */
function startOtherRequests (address: string, path: string): () => Promise<{ longestMs: number, failed: number[] }> {
  const progress = { ended: false }
  let longestMs = 0
  const failed: number[] = []
  const run = async () => {
    while (!progress.ended) {
      const result = await callGateway(address, { path, method: 'POST', body: 'x' })
      longestMs = Math.max(longestMs, result.ms)
      if (result.status !== 200) failed.push(result.status)
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }
  const running = run()
  return async () => {
    progress.ended = true
    await running
    return { longestMs, failed }
  }
}

/** Waits until a flood's connection has closed; returns how long that took and how many bytes were sent. */
async function waitForFloodEnd (backend: GrantBackend | undefined, fault: EndlessFault): Promise<{ ms: number, bytes: number, bytesAfter: number }> {
  await waitFor(() => backend?.floods.some(flood => flood.fault === fault) === true, 3000)
  const flood = backend?.floods.filter(each => each.fault === fault).at(-1)
  try {
    await waitFor(() => flood?.closedAt !== undefined, 4000)
  } catch {
    return { ms: Infinity, bytes: flood?.bytes ?? 0, bytesAfter: flood?.bytesAfter ?? 0 }
  }
  return { ms: (flood?.closedAt ?? 0) - (flood?.startedAt ?? 0), bytes: flood?.bytes ?? 0, bytesAfter: flood?.bytesAfter ?? 0 }
}

/** Whether a host uses each connection to a backend server for one request only, as it does after unexpected bytes. */
function hasSingleUseConnections (fleet: PlatformFleet, id: string): boolean {
  return fleet.gateways.some(gateway => {
    const { backends, now } = gateway.getState()
    return (backends.get(id)?.noReuseUntil ?? 0) > now
  })
}

for (const fault of unreadableAnswers) {
  test.serial(`a lookup is retried, and an order answered 502, when the bytes of an endless answer can't form a valid one: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 2 })
    t.teardown(fleet.stop)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    const [shard] = fleet.shards
    const memoryBefore = process.memoryUsage().rss
    const stopOtherRequests = startOtherRequests(address, '/orders/others')
    shard?.faults.nextRequests.push(fault)
    const lookup = await callGateway(address, { path: '/reads/1', key: 7 })
    t.is(lookup.status, 200)
    t.is(lookup.body, `answer to ${lookup.requestId} by shard-0`)
    const end = await waitForFloodEnd(shard, fault)
    t.true(end.ms < maxCloseMs, `closed after ${end.ms} ms`)
    t.true(end.bytes < maxSocketBufferBytes, `${end.bytes} bytes`)
    t.is(end.bytesAfter, 0)
    t.true(hasSingleUseConnections(fleet, 'shard-0'))
    const otherRequests = await stopOtherRequests()
    t.deepEqual(otherRequests.failed, [])
    t.true(otherRequests.longestMs < maxOtherRequestMs, `${otherRequests.longestMs} ms`)
    for (const backend of fleet.plain) backend.faults.nextRequests.push(fault)
    const order = await callGateway(address, { path: '/orders/1', method: 'POST', body: 'one bag' })
    t.is(order.status, 502)
    t.is(order.headers['retry-after'], undefined)
    t.is(fleet.plain.flatMap(backend => backend.runs).filter(run => run.requestId === order.requestId).length, 1)
    const flooded = fleet.plain.find(backend => backend.floods.length > 0)
    t.true((await waitForFloodEnd(flooded, fault)).ms < maxCloseMs)
    t.true(process.memoryUsage().rss - memoryBefore < maxAddedMemoryBytes)
  })
}

for (const fault of endlessBodies) {
  test.serial(`an answer whose body never ends is aborted at its deadline, so that the caller sees it as incomplete: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 1 })
    t.teardown(fleet.stop)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    const [shard] = fleet.shards
    const memoryBefore = process.memoryUsage().rss
    const stopOtherRequests = startOtherRequests(address, '/orders/others')
    for (const reads of [true, false]) {
      shard?.faults.nextRequests.push(fault)
      const [result, end] = await Promise.all([download(address, '/reads/1', { reads, key: 7 }), waitForFloodEnd(shard, fault)])
      const details = `${reads ? 'read' : 'unread'}: ${JSON.stringify({ result, end })}`
      // A Node.js client that was not reading when the connection was reset sees a normal end of a body without a length.
      if (reads || fault !== 'endless-unframed') t.false(result.complete, details)
      t.true(end.ms > 1800 && end.ms < 2000 + maxCloseMs, details)
      if (reads) t.true(result.ms > 1800 && result.ms < 2000 + maxCloseMs, details)
      t.is(end.bytesAfter, 0, details)
      if (!reads) t.true(end.bytes < 2 * maxSocketBufferBytes, details)
      if (shard !== undefined) shard.floods.length = 0
    }
    const otherRequests = await stopOtherRequests()
    t.deepEqual(otherRequests.failed, [])
    t.true(otherRequests.longestMs < maxOtherRequestMs, `${otherRequests.longestMs} ms`)
    t.true(process.memoryUsage().rss - memoryBefore < maxAddedMemoryBytes)
    t.is(shard?.runs.length, 2)
  })
}

for (const fault of bytesAfterAnswers) {
  test.serial(`endless bytes after a complete answer close the connection, and the answer is delivered: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 1 })
    t.teardown(fleet.stop)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    const targets = [{ backend: fleet.shards[0], path: '/reads/1', method: 'GET', key: 7 }, { backend: fleet.plain[0], path: '/orders/1', method: 'POST', body: 'x' }]
    for (const { backend, ...call } of targets) {
      backend?.faults.nextRequests.push(fault)
      const result = await callGateway(address, call)
      t.is(result.status, 200)
      t.is(result.body, `answer to ${result.requestId} by ${backend?.id}`)
      const end = await waitForFloodEnd(backend, fault)
      t.true(end.ms < maxCloseMs, `closed after ${end.ms} ms`)
      t.true(end.bytes < maxSocketBufferBytes, `${end.bytes} bytes`)
      t.is(end.bytesAfter, 0)
      t.is(backend?.runs.length, 1)
      // Node.js closes the connection at the second head without emitting an event.
      if (fault !== 'endless-answers-after-answer') await waitFor(() => hasSingleUseConnections(fleet, backend?.id ?? ''), 500)
      t.is((await callGateway(address, call)).status, 200)
    }
  })
}

for (const fault of [...unreadableAnswers, ...endlessBodies, ...bytesAfterAnswers]) {
  test.serial(`a call that grants or releases keys is not blocked by an endless answer: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 2, plain: 0 })
    t.teardown(fleet.stop)
    const [shard] = fleet.shards
    shard?.faults.nextGrantCalls.push(fault)
    const end = await waitForFloodEnd(shard, fault)
    t.true(end.ms < maxCloseMs, `closed after ${end.ms} ms`)
    t.true(end.bytes < maxSocketBufferBytes, `${end.bytes} bytes`)
    t.is(end.bytesAfter, 0)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    t.is((await callGateway(address, { path: '/reads/1', key: 7 })).status, 200)
    t.is((await callGateway(address, { path: '/reads/1', key: 60_000 })).status, 200)
  })
}

test.serial('a lookup is retried when its backend server switches to another protocol', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 0 })
  t.teardown(fleet.stop)
  fleet.shards[0]?.faults.nextRequests.push('switching')
  const result = await callGateway(fleet.gateways[0]?.addresses.callers ?? '', { path: '/reads/1', key: 7 })
  t.is(result.status, 200)
  t.is(result.body, `answer to ${result.requestId} by shard-0`)
})

test.serial('an answer that pauses midway, and a large one, are not truncated by the limits on endless bytes', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 0 })
  t.teardown(fleet.stop)
  const [shard] = fleet.shards
  const address = fleet.gateways[0]?.addresses.callers ?? ''
  shard?.faults.nextRequests.push('pausing')
  const paused = await callGateway(address, { path: '/reads/1', key: 7 })
  t.is(paused.body, `answer to ${paused.requestId} by shard-0`)
  if (shard !== undefined) shard.faults.answerBytes = 64 * 1024 * 1024
  const large = await download(address, '/reads/1', { reads: true, key: 7 })
  t.true(large.complete, JSON.stringify(large))
  t.is(large.bytes, 64 * 1024 * 1024)
})

test.serial('an answer in chunks of one byte is passed on before its deadline, although little of it has arrived', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 0 })
  t.teardown(fleet.stop)
  fleet.shards[0]?.faults.nextRequests.push('stalling')
  const result = await download(fleet.gateways[0]?.addresses.callers ?? '', '/reads/1', { reads: true, key: 7 })
  t.true(result.bytes > 0)
  t.false(result.complete, JSON.stringify(result))
})

type FloodServer = { port: number, floods: Flood[], setFault: (fault: EndlessFault | undefined) => void }

/** Starts a server that answers the requests for which `shouldFlood` is true with endless bytes, once a fault is set, and all others normally. */
async function startFloodServer (t: ExecutionContext, shouldFlood: (head: string) => boolean, text = '{}'): Promise<FloodServer> {
  const floods: Flood[] = []
  let fault: EndlessFault | undefined
  const server = createServer(socket => {
    socket.on('error', () => {})
    const onData = (part: Buffer) => {
      if (fault === undefined || !shouldFlood(part.toString())) {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`)
        return
      }
      socket.off('data', onData)
      const number = /fulmar-request: (\S+)/i.exec(part.toString())?.[1] ?? ''
      floods.push(startFlood(socket, fault, `HTTP/1.1 200 OK\r\nFulmar-Request: ${number}\r\n`, text))
    }
    socket.on('data', onData)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => resolve()) })
  t.teardown(() => { server.close() })
  return { port: (server.address() as { port: number }).port, floods, setFault: next => { fault = next } }
}

/** Starts routers whose only backend server of the bookings service is a flooding server. */
async function startFloodedFleet (t: ExecutionContext, shouldFlood: (head: string) => boolean): Promise<{ fleet: LocalFleet, server: FloodServer }> {
  const server = await startFloodServer(t, shouldFlood)
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1127.0.0.1:${server.port}`)
  await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  return { fleet, server }
}

for (const fault of [...unreadableAnswers, ...endlessBodies]) {
  test.serial(`a router aborts an endless answer, and its other requests go on: ${fault}`, async t => {
    const { fleet, server } = await startFloodedFleet(t, head => head.startsWith('POST'))
    const address = fleet.routers[0]?.address ?? ''
    t.is((await call(address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', body: Buffer.from('x') })).status, 200)
    server.setFault(fault)
    const loop = monitorEventLoopDelay({ resolution: 5 })
    loop.enable()
    const floodedAnswer = await call(address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', body: Buffer.from('x'), headers: { 'fulmar-timeout-ms': '1200' } })
    const details = `${floodedAnswer.status} ${floodedAnswer.body.slice(0, 100)}`
    t.true(floodedAnswer.status === 502 || !floodedAnswer.isComplete || fault === 'endless-not-run', details)
    if (fault === 'endless-not-run') t.is(floodedAnswer.headers['fulmar-outcome'], 'not-run', details)
    await waitFor(() => server.floods.length > 0 && server.floods.every(flood => flood.closedAt !== undefined), 2000)
    for (const flood of server.floods) {
      const ms = (flood.closedAt ?? Infinity) - flood.startedAt
      t.true(ms < (endlessBodies.includes(fault) ? 1200 + maxCloseMs : maxCloseMs), `closed after ${ms} ms`)
      if (!endlessBodies.includes(fault)) t.true(flood.bytes < maxSocketBufferBytes, `${flood.bytes} bytes`)
      t.is(flood.bytesAfter, 0)
    }
    t.is((await call(address, { host: 'catalogue.demo.test', path: '/items/a' })).status, 200)
    loop.disable()
    t.true(loop.max / 1e6 < maxOtherRequestMs, `the process was held up for ${loop.max / 1e6} ms`)
  })
}

for (const fault of ['endless-empty-lines', 'endless-header-blanks', 'endless-chunks', 'endless-when-idle'] as const) {
  test.serial(`a router's health probe is not blocked by an endless answer: ${fault}`, async t => {
    const { server } = await startFloodedFleet(t, head => head.startsWith('GET /_fulmar'))
    server.setFault(fault)
    await waitFor(() => server.floods.some(flood => flood.bytes > 0), 2000)
    const [first] = server.floods
    await waitFor(() => first?.closedAt !== undefined, 2000)
    t.true((first?.closedAt ?? Infinity) - (first?.startedAt ?? 0) < maxCloseMs)
  })

  test.serial(`the host list is read again after an endless answer: ${fault}`, async t => {
    const server = await startFloodServer(t, () => true, JSON.stringify({ hosts: [] }))
    server.setFault(fault)
    const timers = createTimerService(systemClock)
    let lists = 0
    const stop = watchHostList({ url: `http://127.0.0.1:${server.port}/`, 'poll-ms': 50 }, timers, () => { lists += 1 })
    t.teardown(() => {
      stop()
      timers.close()
    })
    await waitFor(() => server.floods.length > 0, 1000)
    server.setFault(undefined)
    await waitFor(() => server.floods.every(flood => flood.closedAt !== undefined), 1000)
    const before = lists
    await waitFor(() => lists > before, 1000)
    t.pass()
  })
}

test('a peer that sends more than its flow-control credit can\'t exhaust memory', t => {
  const reader = createCreditedReader(1, () => {}, 0)
  const part = Buffer.alloc(64 * 1024)
  for (let index = 0; index < 1000; index++) reader.push(part, false)
  t.true(reader.stream.readableLength <= maxUnreadBytes + 2 * part.length)
  t.true(reader.stream.destroyed)
})
