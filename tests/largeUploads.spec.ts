import test from 'ava'
import { connect } from 'node:net'
import { startCrowdHost } from './crowds/crowdHost.js'

/** Limits of the smallest host, as deployed. */
const limits = { memoryMb: 210, descriptors: 4096, heapMb: 200, bodyBytes: 67_108_864 }

/** Uploads inside the limits; `block` is written `count` times as fast as it is read. */
const uploads = [
  { name: 'of 64 MB with a length', framing: 'Content-Length: 67108864', block: '.'.repeat(65_536), count: 1024, end: '', bytes: 67_108_864 },
  { name: 'of 64 MB in chunks', framing: 'Transfer-Encoding: chunked', block: `10000\r\n${'.'.repeat(65_536)}\r\n`, count: 1024, end: '0\r\n\r\n', bytes: 67_108_864 },
  { name: 'of 360 kB in chunks of one byte', framing: 'Transfer-Encoding: chunked', block: '1\r\n.\r\n'.repeat(1000), count: 360, end: '0\r\n\r\n', bytes: 360_000 },
  { name: 'of 1 MB in chunks of one byte', framing: 'Transfer-Encoding: chunked', block: '1\r\n.\r\n'.repeat(1000), count: 1000, end: '0\r\n\r\n', bytes: 1_000_000 }
]

// Guards against limits that refuse what operators allow: a single request is served whatever its size and framing.
for (const upload of uploads) {
  test.serial(`a single upload ${upload.name} is served on the smallest host`, async t => {
    const host = await startCrowdHost(limits)
    t.teardown(host.stop)
    const status = await sendUpload(host.callers, upload)
    t.is(status, 200)
    t.is(host.backends.flatMap(backend => backend.runs).find(run => run.requestId === 'large')?.body.length, upload.bytes)
    t.log({ peakMb: Math.round(host.readPeakMb()) })
    t.true(host.readPeakMb() < limits.memoryMb)
  })
}

/** Sends an upload; returns the status of its answer, 0 if there is none. */
async function sendUpload (address: string, upload: typeof uploads[number]): Promise<number> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let text = ''
  socket.on('data', (part: Buffer) => { text += part.toString('latin1') })
  socket.on('error', () => {})
  socket.write(`POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: large\r\nDeadline-Ms: 20000\r\nConnection: close\r\n${upload.framing}\r\n\r\n`)
  for (let sent = 0; sent < upload.count && !socket.destroyed; sent++) {
    if (!socket.write(upload.block)) await new Promise<void>(resolve => { for (const event of ['drain', 'close']) socket.once(event, () => resolve()) })
  }
  socket.write(upload.end)
  if (!socket.destroyed) await new Promise(resolve => socket.once('close', resolve))
  return Number(text.slice(9, 12))
}
