import test from 'ava'
import { credentials } from '@grpc/grpc-js'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request as openTls } from 'node:https'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { generate } from 'selfsigned'
import { buildDefaultRules } from '../src/core/index.js'
import type { Frame } from '../src/protocol/gen/peer.js'
import { PeerClient } from '../src/protocol/gen/peer.js'
import { findInsecurePort } from '../src/runtime/credentials.js'
import { systemClock } from '../src/runtime/clock.js'
import { loadHashKey } from '../src/runtime/hashKey.js'
import { startRouter } from '../src/runtime/routerProgram.js'
import { createTimerService } from '../src/runtime/timerService.js'

test('without TLS, ports on addresses other than loopback are refused', t => {
  t.is(findInsecurePort({ 'insecure-loopback': true }, ['127.0.0.1:1', '10.0.0.1:2']), '10.0.0.1:2')
  t.is(findInsecurePort({ 'insecure-loopback': true }, ['127.0.0.1:1', '[::1]:2']), undefined)
})

test.serial('peer and admin ports accept a client with a certificate of the fleet and refuse clients without one', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'fulmar-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  const pems = await generate([{ name: 'commonName', value: 'fulmar-router' }], {
    keySize: 2048,
    algorithm: 'sha256',
    extensions: [{ name: 'basicConstraints', cA: true }, { name: 'subjectAltName', altNames: [{ type: 2, value: 'fulmar-router' }] }]
  })
  const files = { ca: join(folder, 'ca.pem'), certificate: join(folder, 'own.pem'), key: join(folder, 'own.key') }
  writeFileSync(files.ca, pems.cert)
  writeFileSync(files.certificate, pems.cert)
  writeFileSync(files.key, pems.private)
  const timers = createTimerService(systemClock)
  t.teardown(() => timers.close())
  const anyPort = '127.0.0.1:0'
  const outcome = await startRouter({
    router: { name: 'entry-1', zone: 'a-1', listen: anyPort, 'peer-listen': anyPort, 'admin-listen': anyPort, 'grace-ms': 60_000, 'memory-mb': 350, 'max-descriptors': 4096 },
    store: { address: '127.0.0.1:9' },
    tls: { 'insecure-loopback': false, ...files },
    log: { level: 'off' }
  }, { timers, log: () => {}, rules: buildDefaultRules(await loadHashKey()) })
  t.is(outcome.kind, 'running')
  if (outcome.kind !== 'running') return
  t.teardown(() => outcome.program.kill())
  const { peerAddress, adminAddress } = outcome.program
  const pem = { ca: Buffer.from(pems.cert), cert: Buffer.from(pems.cert), key: Buffer.from(pems.private) }
  // The certificate files are read asynchronously at the start, so the first connections may arrive too early.
  let greeting = ''
  for (let attempt = 0; attempt < 20 && greeting !== 'hello'; attempt++) {
    greeting = await exchangeHello(peerAddress, credentials.createSsl(pem.ca, pem.key, pem.cert))
    await new Promise<void>(resolve => { timers.schedule(100, () => resolve()) })
  }
  t.is(greeting, 'hello')
  t.not(await exchangeHello(peerAddress, credentials.createSsl(pem.ca)), 'hello')
  t.not(await exchangeHello(peerAddress, credentials.createInsecure()), 'hello')
  t.is(await requestLiveness(adminAddress, pem), 200)
  t.is(await requestLiveness(adminAddress, { ca: pem.ca }), 0)
})

function exchangeHello (address: string, channel: ReturnType<typeof credentials.createInsecure>): Promise<string> {
  const client = new PeerClient(address, channel, { 'grpc.ssl_target_name_override': 'fulmar-router', 'grpc.default_authority': 'fulmar-router' })
  return new Promise(resolve => {
    const stream = client.exchange({ deadline: new Date(Date.now() + 4000) } as never)
    const finish = (result: string) => {
      stream.cancel()
      client.close()
      resolve(result)
    }
    stream.on('data', (frame: Frame) => finish(frame.body?.$case ?? 'nothing'))
    stream.on('error', () => finish('refused'))
    stream.write({ id: 0, body: { $case: 'hello', hello: { router: 'stranger', trafficClass: 'control' } } })
  })
}

function requestLiveness (address: string, pem: { ca: Buffer, cert?: Buffer, key?: Buffer }): Promise<number> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const request = openTls({ host, port, path: '/livez', servername: 'fulmar-router', agent: false, ...pem }, response => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    request.on('error', () => resolve(0))
    request.end()
  })
}
