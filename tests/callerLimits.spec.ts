import type { CallerCloseReason } from '../src/runtime/closeReasons.js'
import type { HeldLimits } from '../src/core/policy/memoryBudget.js'
import test from 'ava'
import { createServer } from 'node:http'
import { computeCallerLimits } from '../src/core/policy/memoryBudget.js'
import { createCallerConnections, measureIntervalMs } from '../src/runtime/callerConnections.js'
import { createReadTurns } from '../src/runtime/readTurns.js'
import { processTurns } from '../src/runtime/turns.js'
import { waitFor } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

/** Starts a server whose answers have `answerBytes`, with a clock that the test sets; `measure` does what is done at each interval. */
async function startServer (t: { teardown: (end: () => unknown) => void }, limits: HeldLimits, answerBytes: number) {
  let at = 0
  let measure = () => {}
  const closed: CallerCloseReason[] = []
  const server = createServer()
  const timers = {
    clock: { now: () => at, wall: () => 0 },
    subscribe: () => () => {},
    schedule: (ms: number, notify: (now: number) => void) => {
      if (ms === measureIntervalMs) measure = () => notify(at)
      return () => {}
    },
    close: () => {}
  }
  const connections = createCallerConnections(server, { timers, limits, readTurns: createReadTurns({ ...processTurns, clock: timers.clock }), notifyClosed: reason => { closed.push(reason) } })
  server.on('request', (request, response) => {
    connections.queueRequest(request, response, {
      accept: () => { response.end(Buffer.alloc(answerBytes)) },
      abandon: () => {},
      isIdempotent: () => true,
      countHeldBytes: () => 0,
      countCommittedBytes: () => 0,
      refuse: () => false
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const { port } = server.address() as { port: number }
  return { connections, closed, address: `127.0.0.1:${port}`, measureAt: (now: number) => { at = now; measure() } }
}

const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

test('a connection whose caller reads nothing of an answer is closed after 20 s, and not before', async t => {
  const { connections, closed, address, measureAt } = await startServer(t, computeCallerLimits(10_000, 4096), 60_000_000)
  const caller = openCaller(address)
  caller.socket.pause()
  caller.socket.write(get)
  await waitFor(() => connections.countHeldBytes() > 1_000_000, 2000)
  await new Promise(resolve => setTimeout(resolve, 200))
  measureAt(1000)
  measureAt(20_900)
  t.deepEqual(closed, [])
  measureAt(21_100)
  t.deepEqual(closed, ['unread'])
  await waitFor(() => connections.count() === 0 && connections.countHeldBytes() === 0, 2000)
})

test('a connection whose caller reads slowly is not closed', async t => {
  const { closed, address, measureAt } = await startServer(t, computeCallerLimits(10_000, 4096), 60_000_000)
  const caller = openCaller(address)
  t.teardown(() => caller.socket.destroy())
  caller.socket.write(get)
  let bytes = 0
  let pauseAt = 0
  caller.socket.on('data', (part: Buffer) => {
    bytes += part.length
    if (bytes >= pauseAt) caller.socket.pause()
  })
  for (let at = 0; at <= 60_000; at += 15_000) {
    pauseAt = bytes + 5_000_000
    caller.socket.resume()
    await waitFor(() => bytes >= pauseAt, 3000)
    await new Promise(resolve => setTimeout(resolve, 50))
    measureAt(at)
  }
  t.true(bytes < 60_000_000)
  t.deepEqual(closed, [])
})

test('a connection over the number allowed closes one that has had no answers, not one that has', async t => {
  const { connections, closed, address } = await startServer(t, { ...computeCallerLimits(210, 4096), connections: 2 }, 10)
  const used = openCaller(address)
  t.teardown(() => used.socket.destroy())
  used.socket.write(get)
  await waitFor(() => used.text().includes('200 OK'), 2000)
  const idle = openCaller(address)
  await waitFor(() => connections.count() === 2, 2000)
  const fresh = openCaller(address)
  t.teardown(() => fresh.socket.destroy())
  fresh.socket.write(get)
  await idle.closed
  await waitFor(() => fresh.text().includes('200 OK'), 2000)
  t.deepEqual(closed, ['connections'])
  t.false(used.socket.destroyed)
})

test('over the limit in all, the caller that holds most and has had no answer is closed', async t => {
  const { connections, closed, address, measureAt } = await startServer(t, computeCallerLimits(64, 4096), 12_000_000)
  const caller = openCaller(address)
  caller.socket.pause()
  const idle = openCaller(address)
  t.teardown(() => idle.socket.destroy())
  caller.socket.write(get + get)
  await waitFor(() => closed.length > 0 || connections.countHeldBytes() > 5_000_000, 2000)
  measureAt(100)
  t.deepEqual(closed, ['memory'])
  await waitFor(() => connections.count() === 1, 2000)
})
