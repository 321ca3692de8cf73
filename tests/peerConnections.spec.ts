import type { ClientHttp2Session } from 'node:http2'
import type { Socket } from 'node:net'
import test from 'ava'
import { Server, ServerCredentials } from '@grpc/grpc-js'
import { connect as connectHttp2 } from 'node:http2'
import { connect } from 'node:net'
import { generate } from 'selfsigned'
import { chooseExcessHoldings } from '../src/core/policy/memoryBudget.js'
import { computePeerHeldBytes, computePeerLimits, maxPeerStreams, peerConnectionBytes } from '../src/core/policy/peerBudget.js'
import { systemClock } from '../src/runtime/clock.js'
import { createPeerConnections, peerServerOptions } from '../src/runtime/peerConnections.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { waitFor } from './support/platform/platformFleet.js'

/** Starts a gRPC server without services, with limits of its own. */
async function startServer (t: { teardown: (end: () => unknown) => void }, limits: { heldBytes: number, connections: number }, credentials = ServerCredentials.createInsecure()) {
  const timers = createTimerService(systemClock)
  const closed: string[] = []
  const connections = createPeerConnections({ timers, limits, notifyClosed: reason => { closed.push(reason) } })
  const server = new Server(peerServerOptions)
  const outcome = await connections.listen(server, '127.0.0.1:0', credentials)
  const address = outcome.kind === 'listening' ? outcome.address : ''
  t.teardown(() => {
    server.forceShutdown()
    connections.close()
    timers.close()
  })
  const open = (): Socket => {
    const socket = connect(Number(address.split(':')[1]), '127.0.0.1')
    socket.on('error', () => {})
    socket.resume()
    t.teardown(() => socket.destroy())
    return socket
  }
  return { address, closed, connections, open }
}

test('hosts of a large fleet fit into the limits of the smallest host, each with a report that has not arrived completely', t => {
  const limits = computePeerLimits(210, 4096)
  t.true(limits.connections >= 1000)
  t.true(200 * (peerConnectionBytes + 32 * 1024) < limits.heldBytes)
  t.true(limits.heldBytes < 210 * 1_048_576 / 10)
})

test('what arrived before the last whole message is not held', t => {
  t.is(computePeerHeldBytes(900_000, 899_000), peerConnectionBytes + 1000)
  t.is(computePeerHeldBytes(0, 10), peerConnectionBytes)
})

test('connections that hold much and have sent no whole message go before those that have sent many', t => {
  const build = (name: string, heldBytes: number, answers: number) => ({ name, heldBytes, answers, openedAt: 0 })
  const chosen = chooseExcessHoldings([build('host', 1_000_000, 50), build('crowd', 900_000, 0)], 1_900_000, { heldBytes: 1_500_000 })
  t.deepEqual(chosen.map(({ name }) => name), ['crowd'])
})

/** Opens as many streams as one connection may, and sends the start of a message on each. */
function startStreams (session: ClientHttp2Session): void {
  session.on('error', () => {})
  session.once('connect', () => {
    for (let count = 0; count < maxPeerStreams; count++) {
      const stream = session.request({ ':method': 'POST', ':path': '/none/None', 'content-type': 'application/grpc', te: 'trailers' })
      stream.on('error', () => {})
      stream.write(Buffer.alloc(60_000))
    }
  })
}

for (const transport of ['plain', 'TLS'] as const) {
  test(`a connection that sends more than the limit without a whole message is closed, another one is kept (${transport})`, async t => {
    const pems = await generate([{ name: 'commonName', value: 'fulmar-router' }], { keySize: 2048, algorithm: 'sha256' })
    const secure = ServerCredentials.createSsl(null, [{ cert_chain: Buffer.from(pems.cert), private_key: Buffer.from(pems.private) }])
    const { address, closed, open } = await startServer(t, { heldBytes: 100_000, connections: 10 }, transport === 'TLS' ? secure : undefined)
    const kept = open()
    const session = transport === 'TLS' ? connectHttp2(`https://${address}`, { ca: pems.cert, checkServerIdentity: () => undefined }) : connectHttp2(`http://${address}`)
    startStreams(session)
    t.teardown(() => session.destroy())
    await waitFor(() => session.destroyed, 5000)
    t.deepEqual(closed, ['memory'])
    t.false(kept.destroyed)
  })
}

test('a connection over the number allowed closes the oldest without a message', async t => {
  const { closed, connections, open } = await startServer(t, { heldBytes: 10_000_000, connections: 3 })
  const sockets: Socket[] = []
  for (let count = 0; count < 4; count++) {
    const socket = open()
    sockets.push(socket)
    await new Promise(resolve => socket.once('connect', resolve))
    // The server learns of the connection after the client does.
    await new Promise(resolve => setTimeout(resolve, 50))
    if (count === 0) connections.watchMessages(`127.0.0.1:${socket.localPort}`)()
  }
  await waitFor(() => sockets.some(socket => socket.destroyed), 3000)
  t.deepEqual(closed, ['connections'])
  t.deepEqual(sockets.map(socket => socket.destroyed), [false, true, false, false])
})
