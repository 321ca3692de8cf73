import type { ExecutionContext } from 'ava'
import test from 'ava'
import { createServer } from 'node:http'
import { applyDocument } from '../src/operator/applyDocument.js'
import { call, startFleet } from './support/fleet.js'

const bookings = 'bookings.demo.test'

/** Starts routers whose only server for bookings answers uploads at once with `head` and a part of a body, and then resets the connection while they are written. */
async function startRoutersWithServer (t: ExecutionContext, head: string) {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  const server = createServer((request, response) => {
    request.on('error', () => {})
    if (request.url?.startsWith('/_fulmar') === true) return response.end('{}')
    response.socket?.write(`${head}\r\nConnection: close\r\n\r\n${'.'.repeat(100_000)}`, () => { setTimeout(() => request.socket.resetAndDestroy(), 30) })
  })
  server.on('connection', socket => socket.on('error', () => {}))
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', () => resolve()) })
  t.teardown(() => { server.close() })
  const { port } = server.address() as { port: number }
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1127.0.0.1:${port}`)
  const applied = await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  t.is(applied.kind, 'accepted')
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  return fleet.routers.map(router => router.address)
}

// Guards against review case 3 (MIXED) over both hops of the router: the holder answers itself, the others through it.
for (const interim of ['', 'HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n']) {
  test.serial(`a part of an answer without a length, reset during an upload, never looks whole at any router; ${interim === '' ? 'no interim answer' : 'an interim answer before it'}`, async t => {
    const addresses = await startRoutersWithServer(t, `${interim}HTTP/1.1 200 OK`)
    for (const address of addresses) {
      for (const bytes of [8_000_000, 300_000, 20_000]) {
        const result = await call(address, { host: bookings, method: 'PUT', path: '/photos/a', body: Buffer.alloc(bytes, 1) })
        t.false(result.status === 200 && result.isComplete, `${bytes}: ${result.status}`)
      }
    }
  })
}

for (const status of ['000', '0', '20', '2000', '199']) {
  test.serial(`an answer with the status ${status} is never sent on by a router`, async t => {
    for (const address of await startRoutersWithServer(t, `HTTP/1.1 ${status} Odd`)) {
      const result = await call(address, { host: bookings, method: 'PUT', path: '/photos/a', body: Buffer.from('x') })
      t.true([502, 504].includes(result.status), `${result.status}`)
    }
  })
}
