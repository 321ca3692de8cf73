import type { Socket } from 'node:net'
import test from 'ava'
import { createServer } from 'node:net'
import { openCaller } from './support/platform/rawCaller.js'
import { startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** How a backend server answers: at once, with a status text, interim answers before it, and the bytes of the body sent before `end`. `last-byte`: reset when the whole upload has arrived. */
type EarlyAnswer = { status: string, interim: string, sentBytes: number, end: 'reset' | 'close' | 'last-byte', isReading: boolean }

/** Starts a backend server that answers as soon as it has the head of a request, without a length. */
async function startEarlyServer (answer: EarlyAnswer, uploadBytes: number) {
  const endAnswer = (socket: Socket) => {
    if (answer.end === 'close') socket.end()
    else socket.resetAndDestroy()
  }
  const server = createServer({ allowHalfOpen: false }, socket => {
    let text = ''
    let bytes = 0
    let isAnswered = false
    socket.on('error', () => {})
    socket.on('data', data => {
      bytes += data.length
      if (text.length < 4096) text += data.toString('latin1').slice(0, 4096)
      const requestId = /^request-id: (.*)\r$/im.exec(text)?.[1]
      if (requestId === undefined) return
      if (answer.end === 'last-byte' && bytes >= uploadBytes + text.indexOf('\r\n\r\n') + 4) endAnswer(socket)
      if (isAnswered) return
      isAnswered = true
      if (!answer.isReading) socket.pause()
      socket.write(`${answer.interim}HTTP/1.1 ${answer.status}\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: x\r\nConnection: close\r\n\r\n${'.'.repeat(answer.sentBytes)}`, () => {
        if (answer.end !== 'last-byte') setTimeout(() => endAnswer(socket), 30)
      })
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  return { address: `127.0.0.1:${port}`, close: () => { server.close() } }
}

/** Sends one upload; `isWhole`: whether the answer ended as a whole one without a length does, with a regular end of the connection. */
async function uploadTo (address: string, bytes: number, isChunked: boolean) {
  const caller = openCaller(address)
  let isReset = false
  caller.socket.on('error', () => { isReset = true })
  // A reset that arrives together with data is reported as a regular end, but the connection has no remote address any more.
  caller.socket.prependListener('end', () => { isReset ||= caller.socket.remoteAddress === undefined })
  const framing = isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${bytes}`
  const body = isChunked ? `${bytes.toString(16)}\r\n${'a'.repeat(bytes)}\r\n0\r\n\r\n` : 'a'.repeat(bytes)
  caller.socket.write(`POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: r\r\nDeadline-Ms: 2500\r\n${framing}\r\nConnection: close\r\n\r\n${body}`)
  await caller.closed
  const text = caller.text()
  const head = text.slice(0, text.indexOf('\r\n\r\n'))
  return { status: head.slice(9, 12), isReset, isDelimited: /content-length|transfer-encoding/i.test(head), bodyBytes: Math.max(0, text.length - head.length - 4) }
}

async function startHostWith (t: { teardown: (end: () => unknown) => void }, answer: EarlyAnswer, uploadBytes: number) {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 0 })
  const server = await startEarlyServer(answer, uploadBytes)
  t.teardown(async () => {
    server.close()
    await fleet.stop()
  })
  const [gateway] = fleet.gateways
  if (gateway === undefined) throw new Error('nothing started')
  fleet.store.put('servers/odd', { service: 'plain', address: server.address, zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: 1000 })
  await waitFor(() => gateway.getState().backends.size === 1, 3000)
  return gateway.addresses.callers
}

const interims = { 'no interim answer': '', 'interim answers before it': 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n' }

// Guards against review case 3 (MIXED) beyond uploads with a length: a part of an answer without a length reached the caller as a whole one.
for (const [interimName, interim] of Object.entries(interims)) {
  for (const isChunked of [false, true]) {
    for (const uploadBytes of [300_000, 8_000_000]) {
      for (const end of ['reset', 'last-byte'] as const) {
        for (const sentBytes of [5000, 300_000]) {
          const upload = `${isChunked ? 'chunked' : 'sized'} uploads of ${uploadBytes} bytes`
          test(`a part of ${sentBytes} bytes of an answer without a length, ended by ${end}, never looks whole; ${upload}, ${interimName}`, async t => {
            const address = await startHostWith(t, { status: '200 OK', interim, sentBytes, end, isReading: end === 'last-byte' }, uploadBytes)
            for (let count = 0; count < 3; count++) {
              const result = await uploadTo(address, uploadBytes, isChunked)
              t.true(result.status !== '200' || (result.isReset && !result.isDelimited), JSON.stringify(result))
            }
          })
        }
      }
    }
    test(`an answer without a length whose server closes regularly with an upload unread never looks whole; ${isChunked ? 'chunked' : 'sized'}, ${interimName}`, async t => {
      const address = await startHostWith(t, { status: '200 OK', interim, sentBytes: 100_000, end: 'close', isReading: false }, 8_000_000)
      for (let count = 0; count < 3; count++) {
        const result = await uploadTo(address, 8_000_000, isChunked)
        t.true(result.status !== '200' || (result.isReset && !result.isDelimited), JSON.stringify(result))
      }
    })
  }
}

// Guards against sending on a status line that is no final answer: callers and `writeHead` take no such status.
for (const status of ['000 Odd', '0 Odd', '2 Odd', '20 Odd', '2000 Odd', '099 Odd', '199 Odd']) {
  test(`an answer with the status line ${status} is never sent on`, async t => {
    const address = await startHostWith(t, { status, interim: '', sentBytes: 10, end: 'close', isReading: true }, 5)
    const result = await uploadTo(address, 5, false)
    t.true(['502', '504'].includes(result.status), JSON.stringify(result))
  })
}
