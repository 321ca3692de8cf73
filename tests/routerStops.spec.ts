import type { BackendStandin } from '../src/standins/backendStandin.js'
import type { RouterEvent } from '../src/core/router/routerEvents.js'
import test from 'ava'
import { connect } from 'node:net'
import { buildDefaultRules } from '../src/core/router/defaultRules.js'
import { reduceRouter } from '../src/core/router/reduceRouter.js'
import { buildRouterState } from '../src/core/router/routerState.js'
import { formatServiceHost } from '../src/demo/documentTemplate.js'
import { grantCheckingService } from '../src/demo/localFleet.js'
import { parseAddress } from '../src/protocol/documentText.js'
import { call, pause, startFleet } from './support/fleet.js'

const host = formatServiceHost(grantCheckingService)
/** Interval between two calls to a stopping router, in milliseconds. */
const callIntervalMs = 100
/** Time that a backend server takes for a request, in milliseconds: longer than several call intervals, so that a request is always in flight. */
const workMs = 300
/** Maximum time for the router to stop, in milliseconds. */
const graceMs = 5000
/** Time within which a backend server learns that a request was canceled, in milliseconds. */
const cancelMs = 200

test.serial('a stop cuts no request, although callers open new connections until the port has closed', async t => {
  t.timeout(120_000)
  const { fleet, timers } = await startFleet(t, { workMs, graceMs })
  const router = fleet.routers[0]
  if (router === undefined) return t.fail('no router')
  let isStopped = false
  const calls: Array<ReturnType<typeof callWithId>> = []
  const stopCallers = timers.subscribe(callIntervalMs, () => {
    if (!isStopped) calls.push(callWithId(router.address, `kept-${calls.length}`))
  })
  await pause(timers, 500)
  const drainRequestedAt = timers.clock.now()
  router.drain()
  await router.stopped
  const stopDurationMs = timers.clock.now() - drainRequestedAt
  isStopped = true
  stopCallers()
  const results = await Promise.all(calls)
  await pause(timers, cancelMs)
  const ran = listRuns(fleet.backends)
  const cut = results.filter(result => ran.has(result.id) && (result.status !== 200 || !result.isComplete))
  t.deepEqual(cut.map(result => result.status), [])
  t.deepEqual(results.filter(result => result.headers['fulmar-outcome'] === 'unknown').map(result => result.headers['fulmar-reason']), [])
  t.is(countCanceled(fleet.backends), 0)
  t.true(stopDurationMs < graceMs, `${stopDurationMs} ms`)
  t.true(results.some(result => result.headers['fulmar-reason'] === 'draining' && result.headers['fulmar-outcome'] === 'not-run'))
  t.true(results.some(result => result.status === 200 && result.headers.connection === 'close'))
})

test.serial('a request whose body is still arriving when the router has no other request in flight is not started and then cut', async t => {
  const { fleet, timers } = await startFleet(t, { workMs: 600, graceMs })
  const router = fleet.routers[0]
  if (router === undefined) return t.fail('no router')
  fleet.store.setFaults({ delayMs: 200 })
  const caller = openCaller(router.address)
  caller.socket.write(`POST /orders/1 HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: late\r\nContent-Length: 2\r\n\r\na`)
  await pause(timers, 100)
  router.drain()
  t.true(await fleet.waitUntil(() => router.getState().phase !== 'serving' && router.getState().phase !== 'draining', 10_000))
  caller.socket.write('b')
  await router.stopped
  await caller.closed
  await pause(timers, cancelMs)
  t.is(countCanceled(fleet.backends), 0)
  t.is(listRuns(fleet.backends).has('late'), caller.text().startsWith('HTTP/1.1 200'))
  t.regex(caller.text(), /^HTTP\/1.1 (200|503)/)
})

test.serial('a request that takes longer than the grace period of a stop is answered with an unknown outcome, not cut', async t => {
  const { fleet, timers } = await startFleet(t, { workMs: 10_000, graceMs: 2000 })
  const router = fleet.routers[0]
  if (router === undefined) return t.fail('no router')
  const result = call(router.address, { host, method: 'PUT', path: '/photos/1', id: 'long', body: Buffer.from('a') })
  await pause(timers, 300)
  router.drain()
  const { status, headers } = await result
  t.deepEqual([status, headers['fulmar-outcome'], headers['fulmar-reason']], [503, 'unknown', 'draining'])
  await router.stopped
})

/** Length of each answer to a caller that reads late, in bytes: small enough to be buffered in one piece. */
const lateAnswerBytes = 15_000
/** Number of requests of this caller on one connection: their answers together exceed the buffers of a loopback connection. */
const lateRequestCount = 500
/** Time for which this caller does not read, in milliseconds: longer than the stop of a router without requests in flight takes. */
const readDelayMs = 6000

test.serial('a stop truncates no answer whose last bytes its caller has not read yet', async t => {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 6, graceMs: 20_000 })
  const router = fleet.routers[0]
  if (router === undefined) return t.fail('no router')
  const caller = openCaller(router.address)
  caller.socket.pause()
  caller.socket.write(Array.from({ length: lateRequestCount }, (_, index) =>
    `POST /orders/${index}?bytes=${lateAnswerBytes} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: late-${index}\r\nContent-Length: 0\r\n\r\n`).join(''))
  await pause(timers, 1000)
  router.drain()
  await pause(timers, readDelayMs)
  caller.socket.resume()
  await caller.closed
  const served = caller.text().split('HTTP/1.1 ').slice(1).filter(answer => answer.startsWith('200'))
  t.deepEqual(served.filter(answer => !answer.endsWith('"}')).map(answer => answer.length), [])
  t.is(served.length, listRuns(fleet.backends).size)
  t.true(served.length > 0)
  await router.stopped
})

test.serial('a request that is pipelined behind one whose answer closes the connection does not run', async t => {
  const { fleet, timers } = await startFleet(t, { workMs: 200, graceMs })
  const router = fleet.routers[0]
  if (router === undefined) return t.fail('no router')
  router.drain()
  t.true(await fleet.waitUntil(() => router.getState().phase === 'draining', 1000))
  const caller = openCaller(router.address)
  caller.socket.write(['first', 'second'].map(id => `POST /orders/${id} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`).join(''))
  await caller.closed
  await pause(timers, 300)
  t.is(caller.text().match(/HTTP\/1.1 200/g)?.length, 1)
  t.deepEqual([...listRuns(fleet.backends)], ['first'])
})

test('a peer that reads nothing does not delay a stop beyond a fixed time', t => {
  const rules = buildDefaultRules(() => 0)
  const state = buildRouterState('router-1', 'tbilisi-1')
  const post = (event: RouterEvent) => reduceRouter(state, event, rules).effects.map(effect => effect.kind)
  post({ kind: 'drain-requested', now: 0 })
  post({ kind: 'tick', now: 600 })
  t.true(post({ kind: 'tick', now: 620 }).includes('close-callers'))
  t.deepEqual(post({ kind: 'callers-closed', now: 700 }), ['unregister'])
  t.deepEqual(post({ kind: 'unregistered', now: 800 }), ['end-peers'])
  t.false(post({ kind: 'tick', now: 2700 }).includes('stop'))
  t.true(post({ kind: 'tick', now: 2820 }).includes('stop'))
})

async function callWithId (address: string, id: string) {
  return { id, ...await call(address, { host, method: 'POST', path: `/orders/${id}`, id }) }
}

function listRuns (backends: readonly BackendStandin[]): Set<string> {
  return new Set(backends.flatMap(backend => backend.getRecords().map(record => record.requestId)))
}

function countCanceled (backends: readonly BackendStandin[]): number {
  return backends.reduce((sum, backend) => sum + backend.getState().canceled, 0)
}

/** Opens a TCP connection of a caller and collects the bytes that it receives. */
function openCaller (address: string) {
  const { host, port } = parseAddress(address)
  const socket = connect(port, host)
  const parts: Buffer[] = []
  socket.on('data', (part: Buffer) => parts.push(part))
  socket.on('error', () => {})
  const closed = new Promise<void>(resolve => socket.on('close', () => resolve()))
  return { socket, closed, text: () => Buffer.concat(parts).toString('latin1') }
}
