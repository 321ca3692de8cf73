import type { ExecutionContext } from 'ava'
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import test from 'ava'
import { connect } from 'node:net'
import { request as openTls } from 'node:https'
import { connect as connectTls } from 'node:tls'
import { Registry } from 'prom-client'
import { generate } from 'selfsigned'
import { computeAnswerPauseMs } from '../src/core/policy/answerPause.js'
import { computeAdminLimits, computeCallerLimits } from '../src/core/policy/memoryBudget.js'
import { createAdminServer } from '../src/runtime/adminServer.js'
import { createAnswerQueue } from '../src/runtime/answerQueue.js'
import { systemClock } from '../src/runtime/clock.js'
import { createReadTurns } from '../src/runtime/readTurns.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { processTurns } from '../src/runtime/turns.js'
import { waitFor } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

/** Starts an admin server, with TLS if `readPem` is given; returns its port and the reasons for which it closed connections. */
async function startAdmin (t: ExecutionContext, readPem?: () => { ca: Buffer, cert: Buffer, key: Buffer }) {
  const timers = createTimerService(systemClock)
  const closed: string[] = []
  const server: Server = createAdminServer({
    timers,
    limits: computeAdminLimits(210, 160),
    readTurns: createReadTurns(processTurns),
    notifyClosed: reason => { closed.push(reason) },
    registry: new Registry(),
    isReady: () => true,
    readStatus: () => ({ text: 'status'.repeat(10_000) })
  }, { readPem } as Parameters<typeof createAdminServer>[1])
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
    timers.close()
  })
  return { port: (server.address() as { port: number }).port, closed, countConnections: async () => await new Promise<number>(resolve => server.getConnections((_, count) => resolve(count))) }
}

async function createPem () {
  const pems = await generate([{ name: 'commonName', value: 'fulmar-router' }], {
    keySize: 2048,
    algorithm: 'sha256',
    extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 2, value: 'fulmar-router' }] }]
  })
  return { ca: Buffer.from(pems.cert), cert: Buffer.from(pems.cert), key: Buffer.from(pems.private) }
}

test('requests sent ahead to the admin port are answered in order, one with a malformed target among them', async t => {
  const { port } = await startAdmin(t)
  const caller = openCaller(`127.0.0.1:${port}`)
  t.teardown(() => caller.socket.destroy())
  caller.socket.write(['/livez', '//', '/readyz', '/none'].map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(''))
  await waitFor(() => (caller.text().match(/HTTP\/1\.1 /g)?.length ?? 0) === 4, 5000)
  t.deepEqual([...caller.text().matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => match[1]), ['200', '400', '200', '404'])
})

test('answers are produced one at a time, and a pause follows each', async t => {
  let at = 0
  const scheduled: Array<{ delayMs: number, notify: (now: number) => void }> = []
  const queue = createAnswerQueue({
    clock: { now: () => at, wall: () => 0 },
    subscribe: () => () => {},
    schedule: (delayMs, notify) => {
      scheduled.push({ delayMs, notify })
      return () => {}
    },
    close: () => {}
  })
  const answered: number[] = []
  for (const index of [0, 1, 2]) {
    queue.add(async () => {
      at += 5
      answered.push(index)
    })
  }
  await new Promise(resolve => setImmediate(resolve))
  t.deepEqual(answered, [0])
  const [pause] = scheduled.splice(0)
  t.is(pause?.delayMs, computeAnswerPauseMs(5))
  at += pause?.delayMs ?? 0
  pause?.notify(at)
  await new Promise(resolve => setImmediate(resolve))
  t.deepEqual(answered, [0, 1])
  t.true(computeAnswerPauseMs(5) >= 5)
})

test('the limits of the admin port are a part of those of callers, and hold the status of a large fleet several times', t => {
  const limits = computeAdminLimits(210, 4096)
  t.true(limits.heldBytes < computeCallerLimits(210, 4096).heldBytes / 2 && limits.heldBytes > 4_000_000)
  t.is(computeAdminLimits(210, 64).connections, 4)
})

test('connections without a TLS handshake do not keep out an operator with a certificate', async t => {
  const pem = await createPem()
  const { port, countConnections } = await startAdmin(t, () => pem)
  const sockets: Socket[] = Array.from({ length: 60 }, () => connect(port, '127.0.0.1').on('error', () => {}))
  t.teardown(() => { for (const socket of sockets) socket.destroy() })
  await waitFor(() => sockets.filter(socket => socket.destroyed).length >= 40, 5000)
  t.true(await countConnections() <= computeAdminLimits(210, 160).connections + 1)
  const status = await new Promise<number>((resolve, reject) => {
    openTls({ host: '127.0.0.1', port, path: '/livez', servername: 'fulmar-router', agent: false, ...pem }, response => {
      response.resume()
      resolve(response.statusCode ?? 0)
    }).on('error', reject).end()
  })
  t.is(status, 200)
})

test('with TLS too, a client that sends many requests ahead and reads nothing is not served without end', async t => {
  const pem = await createPem()
  const { port, closed } = await startAdmin(t, () => pem)
  const socket = connectTls({ host: '127.0.0.1', port, servername: 'fulmar-router', ...pem })
  socket.on('error', () => {})
  t.teardown(() => socket.destroy())
  socket.pause()
  await new Promise<void>(resolve => socket.once('secureConnect', resolve))
  socket.write('GET /status HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2000))
  await waitFor(() => closed.includes('ahead'), 5000)
  t.pass()
})
