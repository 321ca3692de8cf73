import test from 'ava'
import { startPlatformFleet, waitFor } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

const read = (requestId: string, extra = 'Deadline-Ms: 2000\r\n') => `GET /reads/1 HTTP/1.1\r\nHost: shop.test\r\nShard-Key: 5\r\nRequest-Id: ${requestId}\r\n${extra}\r\n`
const order = (requestId: string, extra = 'Deadline-Ms: 1000\r\n') => `POST /orders/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: ${requestId}\r\n${extra}Content-Length: 1\r\n\r\na`

/** Lists the request ids of the answers that a caller has had, in order. */
const listAnswers = (text: string) => [...text.matchAll(/^request-id: (.*)\r$/gim)].map(match => match[1])

async function startFleetWithCaller (t: { teardown: (end: () => unknown) => void }, workMs: number) {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  const [shard] = fleet.shards
  const [plain] = fleet.plain
  const [gateway] = fleet.gateways
  if (shard === undefined || plain === undefined || gateway === undefined) throw new Error('nothing started')
  shard.faults.workMs = workMs
  plain.faults.workMs = workMs
  const caller = openCaller(gateway.addresses.callers)
  t.teardown(() => caller.socket.destroy())
  return { caller, shard, plain, gateway }
}

test('idempotent requests sent ahead run while the first one does', async t => {
  const { caller, shard } = await startFleetWithCaller(t, 700)
  caller.socket.write(read('a') + read('b') + read('c'))
  await waitFor(() => shard.runs.length === 3, 600)
  t.is(caller.text(), '')
  await waitFor(() => listAnswers(caller.text()).length === 3, 3000)
  t.deepEqual(listAnswers(caller.text()), ['a', 'b', 'c'])
})

test('answers go back in the order of the requests when later ones are ready first, a long one among them', async t => {
  const { caller, shard } = await startFleetWithCaller(t, 600)
  caller.socket.write(read('slow'))
  await waitFor(() => shard.runs.length === 1, 1000)
  Object.assign(shard.faults, { workMs: 5, answerBytes: 700_000 })
  caller.socket.write(read('long') + read('last'))
  await waitFor(() => listAnswers(caller.text()).length === 3, 4000)
  t.deepEqual(listAnswers(caller.text()), ['slow', 'long', 'last'])
})

test('a request that is not idempotent waits for those before it, and those behind it wait for it', async t => {
  const { caller, shard, plain } = await startFleetWithCaller(t, 200)
  caller.socket.write(read('a') + order('b') + order('c') + read('d'))
  await waitFor(() => shard.runs.length === 1, 1000)
  t.is(plain.runs.length, 0)
  await waitFor(() => plain.runs.length === 1, 1000)
  t.deepEqual(listAnswers(caller.text()), ['a'])
  await waitFor(() => plain.runs.length === 2, 1000)
  t.deepEqual(listAnswers(caller.text()), ['a', 'b'])
  t.is(shard.runs.length, 1)
  await waitFor(() => listAnswers(caller.text()).length === 4, 2000)
  t.deepEqual(listAnswers(caller.text()), ['a', 'b', 'c', 'd'])
})

test('the deadline of its route also counts from when a request was read', async t => {
  const { caller, plain } = await startFleetWithCaller(t, 700)
  caller.socket.write(order('a', '') + order('b', ''))
  await waitFor(() => listAnswers(caller.text()).length === 2, 3000)
  t.regex(caller.text(), /^HTTP\/1\.1 200[\s\S]*HTTP\/1\.1 504/)
  t.is(plain.runs.length, 2)
})

test('when a caller leaves, all of its requests are cancelled', async t => {
  const { caller, shard } = await startFleetWithCaller(t, 800)
  caller.socket.write(read('a') + read('b'))
  await waitFor(() => shard.runs.length === 2, 600)
  caller.socket.destroy()
  await waitFor(() => shard.canceled.length === 2, 1000)
  t.deepEqual([...shard.canceled].sort(), ['a', 'b'])
})

test('what stands behind an answer that closes the connection is not sent on, and is cancelled if it was', async t => {
  const { caller, shard, plain } = await startFleetWithCaller(t, 300)
  shard.faults.nextRequests.push('unframed-cut')
  caller.socket.write(read('closing'))
  await waitFor(() => shard.runs.length === 1, 600)
  shard.faults.workMs = 1500
  caller.socket.write(read('running') + order('waiting'))
  await caller.closed
  await waitFor(() => shard.canceled.includes('running'), 1000)
  t.deepEqual(listAnswers(caller.text()), ['closing'])
  t.is(plain.runs.length, 0)
})

test('a stop lets the requests that run ahead finish, and only the last answer closes the connection', async t => {
  const { caller, shard, gateway } = await startFleetWithCaller(t, 500)
  caller.socket.write(read('a') + read('b'))
  await waitFor(() => shard.runs.length === 2, 600)
  gateway.stop()
  await caller.closed
  t.deepEqual(listAnswers(caller.text()), ['a', 'b'])
  t.is(caller.text().match(/HTTP\/1\.1 200/g)?.length, 2)
})
