import test from 'ava'
import fc from 'fast-check'
import { createServer } from 'node:net'
import { applyDocument } from '../src/operator/applyDocument.js'
import { hasValidHeaders, isFinalStatus } from '../src/runtime/messageHead.js'
import { call, startFleet } from './support/fleet.js'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

/** Heads that the parser of Node.js accepts, although no message can be written with them. */
const oddHeads = [
  ['HTTP/1.1 200 OK', 'Response Stamp: x'],
  ['HTTP/1.1 200 OK', ': x'],
  ['HTTP/1.1 020 OK', 'Response-Stamp: x'],
  ['HTTP/1.1 000 OK', 'Response-Stamp: x'],
  ['HTTP/1.1 099 OK', 'Response-Stamp: x']
] as const

/** Starts a server that answers each request with the bytes that `build` returns for the request's id. */
async function startRawServer (build: (requestId: string) => Buffer | string) {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', data => {
      const text = data.toString('latin1')
      if (text.startsWith('GET /_fulmar')) return socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
      const requestId = /^request-id: (.*)\r$/im.exec(text)?.[1] ?? ''
      socket.write(build(requestId))
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  return { address: `127.0.0.1:${port}`, close: () => { server.close() } }
}

// Guards against review case 1 (LOST): an answer with a blank in a header's name, or a status below 100, ended the process and all requests in it.
test('an answer whose head can\'t be written fails its own request only', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  let head: readonly [string, string] = oddHeads[0]
  const server = await startRawServer(requestId => `${head[0]}\r\nRequest-Id: ${requestId}\r\n${head[1]}\r\nContent-Length: 2\r\n\r\nok`)
  t.teardown(async () => {
    server.close()
    await fleet.stop()
  })
  const [sound] = fleet.plain
  const [gateway] = fleet.gateways
  if (sound === undefined || gateway === undefined) return t.fail('nothing started')
  sound.faults.workMs = 150
  fleet.register({ ...sound, id: 'odd', address: server.address }, 'plain')
  await waitFor(() => gateway.getState().backends.size === 2, 3000)
  for (head of oddHeads) {
    const results = await Promise.all(Array.from({ length: 6 }, async () => await callGateway(gateway.addresses.callers, { path: '/orders/1', method: 'POST', body: 'x' })))
    const statuses = results.map(result => result.status).sort()
    t.true(statuses.every(status => status === 200 || status === 502), `${head.join(', ')}: ${statuses.join(' ')}`)
    t.true(statuses.includes(200) && statuses.includes(502), `${head.join(', ')}: ${statuses.join(' ')}`)
  }
})

test('answers with one changed byte in their head never end the process', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 0 })
  let change = { at: 0, byte: 0 }
  const server = await startRawServer(requestId => {
    const bytes = Buffer.from(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: x\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok`, 'latin1')
    bytes[change.at % (bytes.length - 2)] = change.byte
    return bytes
  })
  t.teardown(async () => {
    server.close()
    await fleet.stop()
  })
  const [gateway] = fleet.gateways
  if (gateway === undefined) return t.fail('nothing started')
  fleet.store.put('servers/odd', { service: 'plain', address: server.address, zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: 1000 })
  await waitFor(() => gateway.getState().backends.size === 1, 3000)
  const byte = fc.oneof(fc.constantFrom(...Buffer.from(' 0:\r\n\0')), fc.nat({ max: 255 }))
  const changes = fc.sample(fc.record({ at: fc.nat({ max: 200 }), byte }), { seed: 38, numRuns: 400 })
  for (change of changes) {
    const result = await callGateway(gateway.addresses.callers, { path: '/orders/1', method: 'POST', body: 'x', timeoutMs: 150 })
    t.true(result.status >= 200, `${JSON.stringify(change)}: ${result.status}`)
  }
  t.is(gateway.getState().stop.phase, 'serving')
})

test('a request whose head can\'t be written is refused with 400, and its backend server is not avoided for it', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const address = fleet.gateways[0]?.addresses.callers ?? ''
  for (const header of ['Bad Name: x', ': x']) {
    const caller = openCaller(address)
    caller.socket.write(`POST /orders/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: odd\r\nDeadline-Ms: 1000\r\n${header}\r\nContent-Length: 1\r\n\r\na`)
    await caller.closed
    t.regex(caller.text(), /^HTTP\/1\.1 400 /, header)
  }
  t.is(fleet.gateways[0]?.getState().backends.get('plain-0')?.avoidUntil, 0)
  t.is((await callGateway(address, { path: '/orders/1', method: 'POST', body: 'x' })).status, 200)
})

test.serial('router: heads that can\'t be written fail their own request only, also when the request is forwarded', async t => {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  let head: readonly [string, string] = oddHeads[0]
  const server = await startRawServer(() => `${head[0]}\r\n${head[1]}\r\nContent-Length: 2\r\n\r\nok`)
  t.teardown(server.close)
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1${server.address}`)
  await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  for (const router of fleet.routers) {
    for (head of oddHeads) {
      const result = await call(router.address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', body: Buffer.from('x') })
      t.is(result.status, 502, head.join(', '))
      t.is(result.headers['fulmar-outcome'], 'unknown')
    }
    const caller = openCaller(router.address)
    caller.socket.write('GET /items/a HTTP/1.1\r\nHost: catalogue.demo.test\r\nBad Name: x\r\n\r\n')
    await caller.closed
    t.regex(caller.text(), /^HTTP\/1\.1 400 /)
    t.is((await call(router.address, { host: 'catalogue.demo.test', path: '/items/a' })).status, 200)
  }
})

test('headers and status codes are valid exactly if Node.js writes them in a final answer', async t => {
  const { ServerResponse, IncomingMessage } = await import('node:http')
  const { Socket } = await import('node:net')
  const isWritable = (status: number, headers: string[]): boolean => {
    try {
      new ServerResponse(new IncomingMessage(new Socket())).writeHead(status, headers)
      return true
    } catch {
      return false
    }
  }
  const text = fc.array(fc.nat({ max: 255 }), { maxLength: 4 }).map(codes => String.fromCharCode(...codes))
  fc.assert(fc.property(text, text, (name, value) => {
    t.is(hasValidHeaders([name, value]), isWritable(200, [name, value]), JSON.stringify([name, value]))
  }), { seed: 38, numRuns: 3000 })
  for (let status = 0; status <= 1100; status++) if (status < 100 || status >= 200) t.is(isFinalStatus(status), isWritable(status, []), String(status))
  for (let status = 100; status < 200; status++) t.false(isFinalStatus(status))
})
