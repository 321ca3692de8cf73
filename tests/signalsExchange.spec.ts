import test from 'ava'
import { callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Time within which what one host reads is known to the others, in milliseconds: two report intervals of a small fleet, doubled. */
const exchangedWithinMs = 800

test('what a backend server says to one host reaches the others through the granting host, also one that is cut off from the store', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 1, plain: 4 })
  t.teardown(fleet.stop)
  const [reader, other] = fleet.gateways.filter(gateway => gateway.getState().granting.role !== 'leading')
  if (reader === undefined || other === undefined) return t.fail('nothing started')
  fleet.cutFromStore(fleet.gateways.indexOf(other))
  for (const backend of fleet.plain) backend.faults.answerHeaders = { 'Server-Load': '4,9,4,250' }
  const findFigures = (gateway: typeof other) => fleet.plain.flatMap(({ id }) => gateway.getState().backends.get(id)?.figure ?? [])
  const calls = setInterval(() => { callGateway(reader.addresses.callers, { path: '/photos/1', method: 'POST', body: 'a' }).catch(() => {}) }, 50)
  t.teardown(() => clearInterval(calls))
  await waitFor(() => findFigures(reader).length > 0, 1000)
  t.deepEqual(findFigures(reader)[0]?.load, { running: 4, waiting: 9, slots: 4, slowdown: 2.5 })
  await waitFor(() => findFigures(other).length > 0, exchangedWithinMs)
  t.deepEqual(findFigures(other).map(({ load, isOwn, others }) => ({ load, isOwn, others }))[0], { load: { running: 4, waiting: 9, slots: 4, slowdown: 2.5 }, isOwn: false, others: 13 })
  for (const backend of fleet.plain) backend.faults.answerHeaders = { 'Server-Leaving': '1' }
  const countMarked = (gateway: typeof other) => fleet.plain.filter(({ id }) => gateway.getState().backends.get(id)?.leaving).length
  await waitFor(() => countMarked(reader) > 0, 2000)
  await waitFor(() => countMarked(other) > 0, exchangedWithinMs)
  await new Promise(resolve => setTimeout(resolve, exchangedWithinMs))
  t.is(countMarked(other), 1, 'the others believe marks of a quarter of the servers only')
})
