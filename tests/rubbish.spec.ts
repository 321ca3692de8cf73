import test from 'ava'
import fc from 'fast-check'
import { decodeRecord } from '../src/protocol/storeRecords.js'
import { decodeGrant, decodeGrantAnswer } from '../src/protocol/grantWire.js'
import { decodeControl, decodeRefusal, decodeRouterReport, decodeRequestHead, encodeControl } from '../src/protocol/peerCodec.js'
import { Frame, RouterReport } from '../src/protocol/gen/peer.js'
import { decodeHostList } from '../src/runtime/hostListPoller.js'
import { decodeLeadership } from '../src/runtime/leadership.js'
import { parsePath, readKey } from '../src/core/router/routes.js'
import { call, startFleet } from './support/fleet.js'
import { connect } from 'node:net'
import { createServer } from 'node:net'
import { applyDocument } from '../src/operator/applyDocument.js'

const keys = ['fulmar/documents/x', 'fulmar/assignments/x.y', 'fulmar/fleet', 'fulmar/routers/x', 'other']
const texts = fc.oneof(fc.string(), fc.json(), fc.constant('{"revision":1,"operation":"","backends":[],"ranges":[[9,1,-1,-1]],"keys":[],"holders":[]}'))

test('malformed records, grants, host lists and leaderships are refused without an exception', t => {
  fc.assert(fc.property(fc.constantFrom(...keys), texts, (key, text) => {
    const record = decodeRecord(key, text)
    decodeGrant(text)
    decodeGrantAnswer(text)
    decodeHostList(text)
    decodeLeadership(text)
    return record === undefined || typeof record.kind === 'string'
  }), { seed: 7, numRuns: 3000 })
  t.is(decodeRecord('fulmar/fleet', '{}')?.kind, 'rejected')
})

test('frames of random bytes are decoded to typed messages or refused', t => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
    let frame: Frame | undefined
    try {
      frame = Frame.decode(bytes)
    } catch {
      return true
    }
    if (frame.body === undefined) return true
    decodeControl(frame.body)
    if (frame.body.$case === 'request') decodeRequestHead(frame.body.request)
    if (frame.body.$case === 'refusal') return decodeRefusal(frame.body.refusal).reason !== undefined
    return true
  }), { seed: 7, numRuns: 3000 })
  t.pass()
})

test('an unknown refusal is treated as an unknown outcome, never as not run', t => {
  const refusal = decodeRefusal({ outcome: 'perhaps', reason: 'new-reason', owner: '', epoch: 0, unit: '', holder: '', mayHaveRun: false })
  t.deepEqual(refusal, { outcome: 'unknown', reason: 'peer-lost' })
})

test('control messages are unchanged after encoding and decoding', t => {
  const journalEntry = fc.record({ kind: fc.constant('unit' as const), service: fc.string(), unit: fc.string(), from: fc.string(), to: fc.string(), epoch: fc.nat() })
  const renew = fc.record({
    kind: fc.constant('renew' as const),
    router: fc.string(),
    generation: fc.nat(),
    sentAt: fc.double({ noNaN: true }),
    successor: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
    witness: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
    pivot: fc.option(fc.string({ minLength: 1 }), { nil: undefined }),
    journalRevision: fc.nat(),
    journal: fc.array(journalEntry, { maxLength: 4 }),
    revisions: fc.array(fc.tuple(fc.string(), fc.nat())).map(pairs => new Map(pairs))
  })
  fc.assert(fc.property(renew, message => {
    const frame = Frame.decode(Frame.encode({ id: 3, body: encodeControl(message) }).finish())
    t.deepEqual(frame.body === undefined ? undefined : decodeControl(frame.body), message)
  }), { seed: 7, numRuns: 200 })
  t.deepEqual(decodeRouterReport(RouterReport.decode(new Uint8Array())).journal, [])
})

test('reading the key of a malformed path never throws', t => {
  const route = { name: 'r', method: '*', segments: ['items', '{key}'], key: { kind: 'path' as const }, rank: 'lookup' as const, idempotent: true }
  fc.assert(fc.property(fc.string(), path => {
    parsePath(path)
    readKey(route, { host: '', method: 'GET', path: `/items/${path}`, headers: {}, replayable: true })
    readKey({ ...route, key: { kind: 'query', name: 'id' } }, { host: '', method: 'GET', path: `/x?${path}`, headers: {}, replayable: true })
    return true
  }), { seed: 7, numRuns: 2000 })
  t.pass()
})

test.serial('a backend server and a peer that send malformed data do not affect other requests', async t => {
  const { fleet, timers } = await startFleet(t, { grantCheckingBackends: 1, nonCheckingBackends: 1 })
  const malformedServer = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', data => {
      const probe = data.toString().startsWith('GET /_fulmar')
      socket.end(probe ? 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n' : '\x00\x01 rubbish \r\n\r\n')
    })
  })
  await new Promise<void>(resolve => { malformedServer.listen(0, '127.0.0.1', () => resolve()) })
  t.teardown(() => { malformedServer.close() })
  const port = (malformedServer.address() as { port: number }).port
  const text = fleet.documentText.replace(/(\[backend\.book-1\]\nservice = bookings\naddress = )\S+/, `$1127.0.0.1:${port}`)
  await applyDocument(fleet.operatorStore, { team: 'demo', text, baseRevision: 1, author: 'test' }, timers)
  await fleet.waitUntil(() => fleet.routers.every(router => router.getState().documents.get('demo')?.revision === 2), 5000)
  const address = fleet.routers[0]?.address ?? ''
  const malformedResult = await call(address, { host: 'bookings.demo.test', method: 'POST', path: '/orders/a', body: Buffer.from('x') })
  t.is(malformedResult.status, 502)
  t.is(malformedResult.headers['fulmar-reason'], 'backend-rubbish')
  t.is(malformedResult.headers['fulmar-outcome'], 'unknown')
  const socket = connect(Number(fleet.routers[0]?.peerAddress.split(':')[1]), '127.0.0.1')
  socket.on('error', () => {})
  socket.write('not http/2 at all\r\n\r\n')
  socket.end()
  const validResult = await call(address, { host: 'catalogue.demo.test', path: '/items/a' })
  t.is(validResult.status, 200)
})
