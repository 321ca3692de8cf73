import test from 'ava'
import { startPlatformFleet, waitFor } from './support/platform/platformFleet.js'
import { buildRequest, openCaller } from './support/platform/rawCaller.js'

test('a malformed request that is pipelined behind a running one does not replace the answer to the running one', async t => {
  const { caller, backend } = await startFleetWithCaller(t, { workMs: 200 })
  caller.socket.write(buildRequest('first', 1000))
  await waitFor(() => backend.runs.length === 1, 1000)
  caller.socket.write('this is no request\r\n\r\n')
  await caller.closed
  t.regex(caller.text(), /^HTTP\/1\.1 200 OK/, JSON.stringify(caller.text().slice(0, 60)))
})

test('a malformed request that is pipelined behind an answer in transfer puts no bytes into that answer', async t => {
  const bytes = 8_000_000
  const { caller, backend } = await startFleetWithCaller(t, { workMs: 5, answerBytes: bytes })
  caller.socket.pause()
  caller.socket.write(buildRequest('first', 3000))
  await waitFor(() => backend.runs.length === 1, 1000)
  await pause(300)
  caller.socket.write('this is no request\r\n\r\n')
  await pause(300)
  caller.socket.resume()
  await caller.closed
  const body = caller.text().slice(caller.text().indexOf('\r\n\r\n') + 4)
  t.is(body.indexOf('HTTP/1.1'), -1)
  t.is(body.length, bytes)
})

test('a connection on which no request arrives in time is closed or answered 408, not 400, which would blame a request', async t => {
  const { caller } = await startFleetWithCaller(t, { workMs: 5 })
  await Promise.race([caller.closed, pause(6000)])
  t.regex(caller.text(), /^(HTTP\/1\.1 408|$)/, caller.text())
})

test('the deadline of a pipelined request counts from its arrival', async t => {
  const { caller } = await startFleetWithCaller(t, { workMs: 400 })
  const startedAt = performance.now()
  caller.socket.write(buildRequest('first', 500) + buildRequest('second', 500))
  let endedAt = 0
  caller.socket.on('data', () => { endedAt = performance.now() })
  await waitFor(() => (caller.text().match(/HTTP\/1.1/g)?.length ?? 0) === 2, 3000)
  t.true(endedAt - startedAt < 700)
})

test('a stop logs every answer that it truncates, including one whose last bytes the caller has not read yet', async t => {
  const { caller, fleet, gateway } = await startFleetWithCaller(t, { workMs: 5, answerBytes: 250_000 })
  caller.socket.pause()
  caller.socket.write(Array.from({ length: 60 }, (_, index) => buildRequest(`slow-${index}`, 3000)).join(''))
  await pause(500)
  gateway.stop()
  await gateway.stopped
  caller.socket.resume()
  await caller.closed
  const answers = caller.text().split('HTTP/1.1 ').slice(1).map(answer => answer.length - answer.indexOf('\r\n\r\n') - 4)
  t.is(fleet.events.filter(event => event.msg === 'requestCut').length, answers.filter(bytes => bytes < 250_000).length)
})

test('a request whose body never arrives completely is refused with 408 soon after its caller\'s deadline, and does not run', async t => {
  const { caller, backend } = await startFleetWithCaller(t, { workMs: 5 })
  const startedAt = performance.now()
  caller.socket.write('POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: half\r\nDeadline-Ms: 500\r\nContent-Length: 10\r\n\r\nabc')
  await caller.closed
  t.regex(caller.text(), /^HTTP\/1\.1 408/)
  t.true(performance.now() - startedAt < 1500)
  t.is(backend.runs.length, 0)
})

test('a thousand requests that are pipelined on one connection are not buffered in memory', async t => {
  const { caller, backend } = await startFleetWithCaller(t, { workMs: 20 })
  caller.socket.write(Array.from({ length: 1000 }, (_, index) => buildRequest(`piped-${index}`, 3000)).join(''))
  await caller.closed
  const answered = caller.text().match(/HTTP\/1\.1 200/g)?.length ?? 0
  t.is(answered, backend.runs.length)
  t.true(answered > 0 && answered < 100)
})

async function startFleetWithCaller (t: { teardown: (end: () => unknown) => void }, faults: { workMs: number, answerBytes?: number }) {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [backend] = fleet.plain
  const gateway = fleet.gateways[0]
  if (backend === undefined || gateway === undefined) throw new Error('nothing started')
  Object.assign(backend.faults, faults)
  const caller = openCaller(gateway.addresses.callers)
  t.teardown(() => caller.socket.destroy())
  return { fleet, backend, gateway, caller }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
