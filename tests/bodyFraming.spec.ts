import test from 'ava'
import { createServer } from 'node:net'
import { applyDocument } from '../src/operator/applyDocument.js'
import { startFleet } from './support/fleet.js'
import { startPlatformFleet } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

const methods = ['GET', 'DELETE', 'OPTIONS', 'TRACE', 'POST', 'PUT', 'PATCH']
/** How a caller frames a body; with `hidden-length`, its Connection header names Content-Length as hop-by-hop. */
const framings = ['chunked', 'length', 'hidden-length'] as const

/** Body that begins like a request, so that a body without framing is read as another request. */
function buildBody (bytes: number): string {
  const rest = 'a'.repeat(Math.max(0, bytes - 100))
  return `POST /orders/inner HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: inner\r\nContent-Length: ${rest.length}\r\n\r\n${rest}`
}

function formatRequest (head: string, framing: typeof framings[number], body: string): string {
  const length = `Content-Length: ${body.length}\r\n`
  if (framing === 'length') return `${head}${length}\r\n${body}`
  if (framing === 'hidden-length') return `${head}Connection: content-length\r\n${length}\r\n${body}`
  const half = Math.floor(body.length / 2)
  const chunks = [body.slice(0, half), body.slice(half)].filter(part => part.length > 0)
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks.map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('')}0\r\n\r\n`
}

// Guards against review case 2 (UNASKED): a streamed body of a DELETE reached the server without framing and ran as a second request.
for (const bytes of [0, 4000, 600_000]) {
  test(`a body of ${bytes} bytes reaches the backend server as the body of its own request, for every method and framing`, async t => {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
    t.teardown(fleet.stop)
    const [backend] = fleet.plain
    const body = bytes === 0 ? '' : buildBody(bytes)
    for (const method of methods) {
      for (const framing of framings) {
        const requestId = `${method}-${framing}`
        const caller = openCaller(fleet.gateways[0]?.addresses.callers ?? '')
        caller.socket.write(formatRequest(`${method} /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 3000\r\n`, framing, body))
        for (const end = Date.now() + 3000; !caller.text().includes('answer to') && Date.now() < end;) await new Promise(resolve => setTimeout(resolve, 10))
        caller.socket.destroy()
        t.regex(caller.text(), /^HTTP\/1\.1 200 /, requestId)
      }
    }
    t.deepEqual(backend?.runs.map(run => [run.requestId, run.method, run.body.length]), methods.flatMap(method => framings.map(framing => [`${method}-${framing}`, method, body.length])))
    t.true(backend?.runs.every(run => run.body === body))
  })
}

test.serial('router: a body reaches the backend server with framing, for every method', async t => {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  const heads: string[] = []
  const server = createServer(socket => {
    let text = ''
    socket.on('error', () => {})
    socket.on('data', data => {
      text += data.toString('latin1')
      if (text.startsWith('GET /_fulmar')) return socket.end('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
      if (!text.includes('aaa') || socket.writableEnded) return
      heads.push(text.slice(0, text.indexOf('\r\n\r\n')))
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok')
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => { server.close() })
  const { port } = server.address() as { port: number }
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1127.0.0.1:${port}`).replaceAll(/method = (POST|PUT)/g, 'method = *')
  await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  for (const method of ['DELETE', 'OPTIONS', 'PUT']) {
    for (const bytes of [4000, 100_000]) {
      const caller = openCaller(fleet.routers[0]?.address ?? '')
      caller.socket.write(formatRequest(`${method} /orders/a HTTP/1.1\r\nHost: bookings.demo.test\r\n`, 'chunked', 'a'.repeat(bytes)))
      for (const end = Date.now() + 3000; caller.text() === '' && Date.now() < end;) await new Promise(resolve => setTimeout(resolve, 10))
      caller.socket.destroy()
    }
  }
  t.is(heads.length, 6)
  for (const head of heads) t.is([...head.matchAll(/^(content-length|transfer-encoding):/gim)].length, 1, head)
})
