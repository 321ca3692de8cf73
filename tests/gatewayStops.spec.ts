import test from 'ava'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'
import { buildRequest, openCaller } from './support/platform/rawCaller.js'

/** Interval between the callers of a stopping host, in milliseconds. */
const callerIntervalMs = 10
/** Processing times of the backend servers, in milliseconds: longer than several of these intervals, so that something is always in flight, and up to nearly the deadline. */
const workMs = [80, 120, 300, 460]
/** Timeout of each caller, in milliseconds. */
const callerTimeoutMs = 500

test('a stop cuts no request, even if callers open new connections until the process has ended', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 4 })
  t.teardown(fleet.stop)
  for (const [index, backend] of fleet.plain.entries()) backend.faults.workMs = workMs[index] ?? 0
  const gateway = fleet.gateways[0]
  if (gateway === undefined) return t.fail('no gateway')
  let isStopped = false
  const calls: Array<ReturnType<typeof callGateway>> = []
  const callers = setInterval(() => {
    if (!isStopped) calls.push(callGateway(gateway.addresses.callers, { path: `/orders/${calls.length}`, method: 'POST', body: 'a', timeoutMs: callerTimeoutMs, fresh: true }))
  }, callerIntervalMs)
  t.teardown(() => clearInterval(callers))
  await waitFor(() => calls.length > 20, 2000)
  gateway.stop()
  await gateway.stopped
  isStopped = true
  const results = await Promise.all(calls)
  const ran = new Set(fleet.plain.flatMap(backend => backend.runs.map(run => run.requestId)))
  const unanswered = results.filter(result => ran.has(result.requestId) && (result.status === 0 || !result.complete))
  t.deepEqual(unanswered.map(result => result.ms), [])
  t.deepEqual(results.filter(result => result.status === 504 && result.body.includes('draining')), [])
  t.deepEqual(results.filter(result => result.status === 503 && ran.has(result.requestId)), [])
  t.true(results.some(result => result.status === 503))
  const stopped = fleet.events.find(event => event.msg === 'stopped')
  t.is(stopped?.fields.reason, 'drained')
})

/** Length of each answer to a caller that reads slowly, in bytes: small enough not to be streamed. */
const slowAnswerBytes = 250_000
/** Number of requests of this caller on one connection: their answers fill the buffers of a loopback connection. */
const slowRequests = 60
/** Time for which this caller does not read, in milliseconds: until after idle connections are closed. */
const unreadMs = 3000

test('a stop cuts no answer whose last bytes have not been read by its caller yet', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 4 })
  t.teardown(fleet.stop)
  for (const backend of fleet.plain) backend.faults.answerBytes = slowAnswerBytes
  const gateway = fleet.gateways[0]
  if (gateway === undefined) return t.fail('no gateway')
  const caller = openCaller(gateway.addresses.callers)
  t.teardown(() => caller.socket.destroy())
  caller.socket.pause()
  caller.socket.write(Array.from({ length: slowRequests }, (_, index) => buildRequest(`slow-${index}`, 3000)).join(''))
  await new Promise(resolve => setTimeout(resolve, 500))
  gateway.stop()
  await new Promise(resolve => setTimeout(resolve, unreadMs))
  caller.socket.resume()
  await caller.closed
  const answers = caller.text().split('HTTP/1.1 ').slice(1).map(answer => ({ status: answer.slice(0, 3), bytes: answer.length - answer.indexOf('\r\n\r\n') - 4 }))
  const served = answers.filter(answer => answer.status === '200')
  t.deepEqual(served.filter(answer => answer.bytes !== slowAnswerBytes), [])
  t.is(served.length, fleet.plain.reduce((sum, backend) => sum + backend.runs.length, 0))
  t.true(served.length > 0)
  await gateway.stopped
})

/** Interval between lookups, in milliseconds. */
const lookupIntervalMs = 50
/** Time for which lookups continue after the granting host was asked to stop, in milliseconds: longer than a grant is valid, shorter than the stop. */
const lookupsForMs = 3400

test('keys keep their owners while the granting host stops and a store outage prevents the election of another', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 4, plain: 0 })
  t.teardown(fleet.stop)
  const granting = fleet.gateways.find(gateway => gateway.getState().granting.role === 'leading')
  const other = fleet.gateways.find(gateway => gateway !== granting)
  if (granting === undefined || other === undefined) return t.fail('no granting host')
  fleet.store.faults.down = 'silent'
  granting.stop()
  const lookups: Array<ReturnType<typeof callGateway>> = []
  for (let passedMs = 0; passedMs < lookupsForMs; passedMs += lookupIntervalMs) {
    lookups.push(callGateway(other.addresses.callers, { path: '/reads/1', key: (passedMs * 977) % 65_536 }))
    await new Promise(resolve => setTimeout(resolve, lookupIntervalMs))
  }
  const results = await Promise.all(lookups)
  t.deepEqual(results.filter(result => result.status !== 200).map(result => `${result.status} ${result.body}`), [])
  fleet.store.faults.down = 'no'
  await granting.stopped
})

test('a pipelined request behind one whose answer closes the connection does not run', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [backend] = fleet.plain
  const gateway = fleet.gateways[0]
  if (backend === undefined || gateway === undefined) return t.fail('nothing started')
  backend.faults.workMs = 100
  gateway.stop()
  await waitFor(() => gateway.getState().stop.phase === 'leaving', 1000)
  const caller = openCaller(gateway.addresses.callers)
  caller.socket.write(buildRequest('first', 1000) + buildRequest('second', 1000))
  await caller.closed
  t.is(caller.text().match(/HTTP\/1.1 200/g)?.length, 1)
  t.deepEqual(backend.runs.map(run => run.requestId), ['first'])
})

/** Processing time of an upload that is in flight when the stop is requested, in milliseconds: it keeps the host running. */
const earlyWorkMs = 2900
/** Timeout of the callers of late uploads, in milliseconds: longer than the rest of the stop. */
const lateTimeoutMs = 3000
/** Time after the request to stop at which late uploads begin, in milliseconds: the second half of the grace period of 4 s. */
const lateFromMs = 2000

test('uploads that come late in the grace of a stop, on kept and new connections, are refused as not run at once or answered', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 2 })
  t.teardown(fleet.stop)
  const gateway = fleet.gateways[0]
  if (gateway === undefined) return t.fail('no gateway')
  const upload = { path: '/photos/1', method: 'POST', body: 'a', timeoutMs: lateTimeoutMs }
  const callers = await Promise.all(Array.from({ length: 4 }, async () => await callGateway(gateway.addresses.callers, upload)))
  t.true(callers.every(result => result.status === 200))
  for (const backend of fleet.plain) backend.faults.workMs = earlyWorkMs
  const calls = [callGateway(gateway.addresses.callers, upload)]
  await waitFor(() => fleet.plain.reduce((sum, backend) => sum + backend.runs.length, 0) > callers.length, 1000)
  gateway.stop()
  await new Promise(resolve => setTimeout(resolve, lateFromMs))
  let isStopped = false
  const lateCallers = setInterval(() => {
    if (!isStopped) calls.push(callGateway(gateway.addresses.callers, { ...upload, fresh: calls.length % 2 === 0 }))
  }, callerIntervalMs)
  await gateway.stopped
  isStopped = true
  clearInterval(lateCallers)
  const results = await Promise.all(calls)
  const ran = new Set(fleet.plain.flatMap(backend => backend.runs.map(run => run.requestId)))
  t.deepEqual(results.filter(result => ran.has(result.requestId) && result.status !== 200).map(result => result.status), [])
  const refused = results.filter(result => result.status === 503)
  t.true(refused.length > 0)
  t.true(refused.every(result => result.ms < 500 && result.headers['retry-after'] !== undefined))
})
