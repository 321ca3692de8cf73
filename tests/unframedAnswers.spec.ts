import test from 'ava'
import { createServer } from 'node:net'
import { openCaller } from './support/platform/rawCaller.js'
import { startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Starts a backend server whose answers have no length and end with their connection; `end` ends each one after `sentBytes` of its body. */
async function startUnframedServer (end: 'close' | 'reset', sentBytes: number, requestBytes: number) {
  const server = createServer(socket => {
    let text = ''
    let isAnswered = false
    socket.on('error', () => {})
    socket.on('data', data => {
      if (text.length < 4096) text += data.toString('latin1')
      const requestId = /^request-id: (.*)\r$/im.exec(text)?.[1]
      if (requestId === undefined || isAnswered) return
      isAnswered = true
      // The rest of a long upload stays unread, as with a server that answers early.
      if (requestBytes > 4096) socket.pause()
      socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: x\r\nConnection: close\r\n\r\n${'.'.repeat(sentBytes)}`, () => {
        setTimeout(() => {
          if (end === 'reset') socket.resetAndDestroy()
          else if (requestBytes > 4096) socket.destroy()
          else socket.end()
        }, 50)
      })
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as { port: number }
  return { address: `127.0.0.1:${port}`, close: () => { server.close() } }
}

/** Sends one upload and returns its status, the bytes of the body, and whether the connection ended regularly. */
async function uploadTo (address: string, requestBytes: number) {
  const caller = openCaller(address)
  let isReset = false
  caller.socket.on('error', () => { isReset = true })
  // A reset that arrives together with data is reported as a regular end, but the connection has no remote address any more.
  caller.socket.prependListener('end', () => { isReset ||= caller.socket.remoteAddress === undefined })
  caller.socket.write(`POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: r\r\nDeadline-Ms: 2500\r\nContent-Length: ${requestBytes}\r\nConnection: close\r\n\r\n${'a'.repeat(requestBytes)}`)
  await caller.closed
  const text = caller.text()
  return { status: Number(text.slice(9, 12)), bodyBytes: Math.max(0, text.length - text.indexOf('\r\n\r\n') - 4), isReset }
}

// Guards against review case 3 (MIXED): an answer without a length that was reset while it was streamed reached the caller as complete.
for (const sentBytes of [100_000, 300_000, 1_000_000]) {
  for (const requestBytes of [5, 8_000_000]) {
    test(`an answer of ${sentBytes} bytes without a length, reset on the way, never looks complete; uploads of ${requestBytes} bytes`, async t => {
      const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 0 })
      const server = await startUnframedServer('reset', sentBytes, requestBytes)
      t.teardown(async () => {
        server.close()
        await fleet.stop()
      })
      const [gateway] = fleet.gateways
      if (gateway === undefined) return t.fail('nothing started')
      fleet.store.put('servers/odd', { service: 'plain', address: server.address, zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: 1000 })
      await waitFor(() => gateway.getState().backends.size === 1, 3000)
      for (let count = 0; count < 5; count++) {
        const result = await uploadTo(gateway.addresses.callers, requestBytes)
        t.true(result.status !== 200 || result.isReset, JSON.stringify(result))
      }
    })
  }
}

test('an upload whose server closes with the rest of it unread gets no answer that looks complete', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 0 })
  const server = await startUnframedServer('close', 100_000, 8_000_000)
  t.teardown(async () => {
    server.close()
    await fleet.stop()
  })
  const [gateway] = fleet.gateways
  if (gateway === undefined) return t.fail('nothing started')
  fleet.store.put('servers/odd', { service: 'plain', address: server.address, zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: 1000 })
  await waitFor(() => gateway.getState().backends.size === 1, 3000)
  for (let count = 0; count < 5; count++) {
    const result = await uploadTo(gateway.addresses.callers, 8_000_000)
    t.true(result.status !== 200 || result.isReset, JSON.stringify(result))
  }
})

test('a whole answer without a length reaches the caller whole, buffered and streamed', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 0 })
  const servers = await Promise.all([100_000, 1_000_000].map(async bytes => ({ bytes, server: await startUnframedServer('close', bytes, 5) })))
  t.teardown(async () => {
    for (const { server } of servers) server.close()
    await fleet.stop()
  })
  const [gateway] = fleet.gateways
  if (gateway === undefined) return t.fail('nothing started')
  for (const { bytes, server } of servers) {
    fleet.store.put('servers/whole', { service: 'plain', address: server.address, zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: 1000 + bytes })
    await waitFor(() => gateway.getState().backends.get('whole')?.address === server.address, 3000)
    t.deepEqual(await uploadTo(gateway.addresses.callers, 5), { status: 200, bodyBytes: bytes, isReset: false })
  }
})
