import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import test from 'ava'
import { createServer } from 'node:http'
import { headerNames } from '../src/protocol/grantWire.js'
import { applyDocument } from '../src/operator/applyDocument.js'
import { call, startFleet } from './support/fleet.js'

/** Time that the backend server takes for a request, in milliseconds. */
const workMs = 40
/** Numbers of bytes after which the head of an answer is truncated: in its status line, after it, within a header field, before the end of the head. */
const truncationPoints = [5, 17, 30, 45]

type Serve = (request: IncomingMessage, response: ServerResponse) => void

/** Starts a fleet in which `serve` answers the requests to the backend server of the bookings service; returns a router's address. */
async function startFleetWithServer (t: Parameters<typeof startFleet>[0], serve: Serve): Promise<string> {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  const server = createServer((request, response) => {
    request.resume()
    request.on('end', () => {
      if (request.url?.startsWith('/_fulmar') === true) response.end('{}')
      else serve(request, response)
    })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => resolve()) })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  const { port } = server.address() as { port: number }
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1127.0.0.1:${port}`)
  await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  return fleet.routers[0]?.address ?? ''
}

/** Reads the header field that a backend server returns to identify the request that it answers. */
function readEcho (request: IncomingMessage): string {
  return String(request.headers[headerNames.request] ?? '')
}

test.serial('a refusal that a backend server writes twice is not taken for the answer to a request that is running', async t => {
  const pendingRepeats = new WeakMap<Socket, string>()
  const runs: string[] = []
  const address = await startFleetWithServer(t, (request, response) => {
    const refusal = pendingRepeats.get(request.socket)
    pendingRepeats.delete(request.socket)
    if (refusal === undefined) {
      const text = `HTTP/1.1 503 Service Unavailable\r\n${headerNames.notRun}: 1\r\n${headerNames.reason}: shed\r\n${headerNames.request}: ${readEcho(request)}\r\nContent-Length: 0\r\n\r\n`
      pendingRepeats.set(request.socket, text)
      request.socket.write(text)
      return
    }
    runs.push(String(request.headers['x-request-id']))
    request.socket.write(refusal)
    setTimeout(() => response.end('done'), workMs)
  })
  const outcomes: Array<[string, string]> = []
  for (let index = 0; index < 8; index++) {
    const result = await call(address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', id: `order-${index}`, body: Buffer.from('x') })
    outcomes.push([`order-${index}`, String(result.headers[headerNames.outcome] ?? result.status)])
    await new Promise(resolve => setTimeout(resolve, workMs * 2))
  }
  t.true(runs.length > 0)
  t.is(new Set(runs).size, runs.length)
  t.deepEqual(outcomes.filter(([id, outcome]) => outcome === 'not-run' && runs.includes(id)), [])
})

test.serial('an answer whose head is truncated by its backend server is not passed on, and its caller gets 502 with an unknown outcome', async t => {
  let headBytes = 0
  const address = await startFleetWithServer(t, request => {
    request.socket.end(`HTTP/1.1 200 OK\r\n${headerNames.request}: ${readEcho(request)}\r\nContent-Length: 4\r\n\r\n`.slice(0, headBytes))
  })
  for (headBytes of truncationPoints) {
    const result = await call(address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', body: Buffer.from('x') })
    t.is(result.status, 502, `${headBytes} bytes`)
    t.is(result.headers[headerNames.outcome], 'unknown')
  }
})
