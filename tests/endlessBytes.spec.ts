import type { EndlessFault } from './support/platform/endlessBytes.js'
import type { GrantBackend } from './support/platform/grantBackend.js'
import type { PlatformFleet } from './support/platform/platformFleet.js'
import test from 'ava'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Bytes that lie in the sockets of both ends at most, in bytes: the kernel's largest buffers. */
const socketBytes = 16 * 1024 * 1024
/** Time in which a connection closes once its bytes can't become an answer, in milliseconds. */
const closeMs = 300
/** Longest time that another request of the host may take meanwhile, in milliseconds. */
const othersMs = 250
/** Most memory that all the floods of one test may add, in bytes. */
const memoryBytes = 200 * 1024 * 1024

/** Bytes that can't become an answer: nothing of them goes to a caller. */
const hopeless: EndlessFault[] = [
  'endless-garbage', 'endless-empty-lines', 'endless-status-line', 'endless-header-line', 'endless-header-blanks', 'endless-header-lines',
  'endless-informational', 'endless-huge-length', 'endless-chunk-size', 'endless-extension', 'endless-extensions', 'endless-trailers',
  'endless-trailer-blanks', 'endless-not-run'
]
const afterAnswers: EndlessFault[] = ['endless-after-answer', 'endless-answers-after-answer', 'endless-when-idle']

/** Goes on asking a host for short answers; ends with the longest time one took, and the statuses that were no success. */
function startOthers (address: string, path: string): () => Promise<{ longestMs: number, failed: number[] }> {
  const work = { ended: false }
  let longestMs = 0
  const failed: number[] = []
  const run = async () => {
    while (!work.ended) {
      const result = await callGateway(address, { path, method: 'POST', body: 'x' })
      longestMs = Math.max(longestMs, result.ms)
      if (result.status !== 200) failed.push(result.status)
      await new Promise(resolve => setTimeout(resolve, 5))
    }
  }
  const running = run()
  return async () => {
    work.ended = true
    await running
    return { longestMs, failed }
  }
}

/** Waits until a flood's connection has closed, and tells how long that took and how much was sent. */
async function waitForEnd (backend: GrantBackend | undefined, fault: EndlessFault): Promise<{ ms: number, bytes: number, bytesAfter: number }> {
  await waitFor(() => backend?.floods.some(flood => flood.fault === fault) === true, 3000)
  const flood = backend?.floods.filter(each => each.fault === fault).at(-1)
  try {
    await waitFor(() => flood?.closedAt !== undefined, 4000)
  } catch {
    return { ms: Infinity, bytes: flood?.bytes ?? 0, bytesAfter: flood?.bytesAfter ?? 0 }
  }
  return { ms: (flood?.closedAt ?? 0) - (flood?.startedAt ?? 0), bytes: flood?.bytes ?? 0, bytesAfter: flood?.bytesAfter ?? 0 }
}

/** Whether a host uses the connections of a backend server only once, as after stray bytes. */
function isDistrusted (fleet: PlatformFleet, id: string): boolean {
  return fleet.gateways.some(gateway => {
    const { backends, now } = gateway.getState()
    return (backends.get(id)?.distrustUntil ?? 0) > now
  })
}

for (const fault of hopeless) {
  test.serial(`a lookup is asked again, and an order answered 502, when the bytes can't become an answer: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 2 })
    t.teardown(fleet.stop)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    const [shard] = fleet.shards
    const memoryBefore = process.memoryUsage().rss
    const endOthers = startOthers(address, '/orders/others')
    shard?.faults.next.push(fault)
    const lookup = await callGateway(address, { path: '/reads/1', key: 7 })
    t.is(lookup.status, 200)
    t.is(lookup.body, `answer to ${lookup.requestId} by shard-0`)
    const end = await waitForEnd(shard, fault)
    t.true(end.ms < closeMs, `closed after ${end.ms} ms`)
    t.true(end.bytes < socketBytes, `${end.bytes} bytes`)
    t.is(end.bytesAfter, 0)
    t.true(isDistrusted(fleet, 'shard-0'))
    const others = await endOthers()
    t.deepEqual(others.failed, [])
    t.true(others.longestMs < othersMs, `${others.longestMs} ms`)
    for (const backend of fleet.plain) backend.faults.next.push(fault)
    const order = await callGateway(address, { path: '/orders/1', method: 'POST', body: 'one bag' })
    t.is(order.status, 502)
    t.is(order.headers['retry-after'], undefined)
    t.is(fleet.plain.flatMap(backend => backend.runs).filter(run => run.requestId === order.requestId).length, 1)
    const flooded = fleet.plain.find(backend => backend.floods.length > 0)
    t.true((await waitForEnd(flooded, fault)).ms < closeMs)
    t.true(process.memoryUsage().rss - memoryBefore < memoryBytes)
  })
}

for (const fault of afterAnswers) {
  test.serial(`bytes without end after a whole answer close its connection, and the answer is delivered: ${fault}`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 1 })
    t.teardown(fleet.stop)
    const address = fleet.gateways[0]?.addresses.callers ?? ''
    const targets = [{ backend: fleet.shards[0], path: '/reads/1', method: 'GET', key: 7 }, { backend: fleet.plain[0], path: '/orders/1', method: 'POST', body: 'x' }]
    for (const { backend, ...call } of targets) {
      backend?.faults.next.push(fault)
      const result = await callGateway(address, call)
      t.is(result.status, 200)
      t.is(result.body, `answer to ${result.requestId} by ${backend?.id}`)
      const end = await waitForEnd(backend, fault)
      t.true(end.ms < closeMs, `closed after ${end.ms} ms`)
      t.true(end.bytes < socketBytes, `${end.bytes} bytes`)
      t.is(end.bytesAfter, 0)
      t.is(backend?.runs.length, 1)
      // Node.js closes the connection at the second head and tells nobody.
      if (fault !== 'endless-answers-after-answer') t.true(isDistrusted(fleet, backend?.id ?? ''))
      t.is((await callGateway(address, call)).status, 200)
    }
  })
}

test.serial('a lookup is asked again when its backend server switches to another protocol', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 0 })
  t.teardown(fleet.stop)
  fleet.shards[0]?.faults.next.push('switching')
  const result = await callGateway(fleet.gateways[0]?.addresses.callers ?? '', { path: '/reads/1', key: 7 })
  t.is(result.status, 200)
  t.is(result.body, `answer to ${result.requestId} by shard-0`)
})
