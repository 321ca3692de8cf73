import test from 'ava'
import { callGateway, startPlatformFleet } from './support/platform/platformFleet.js'

/** Bytes after which the head of an answer is cut: in its first line, after it, within a field, before its end. */
const cuts = [5, 17, 30, 60, 90]

test('an answer whose head is cut short by its backend server is not passed on as an answer', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [backend] = fleet.plain
  const [gateway] = fleet.gateways
  if (backend === undefined || gateway === undefined) return t.fail('nothing started')
  for (const headBytes of cuts) {
    backend.faults.headBytes = headBytes
    backend.faults.nextRequests.push('head-cut')
    const result = await callGateway(gateway.addresses.callers, { path: '/orders/1', method: 'POST', body: 'a' })
    t.is(result.status, 502, `${headBytes} bytes: ${result.status} ${result.body}`)
    t.is(result.headers['response-stamp'], undefined)
  }
  t.is(backend.runs.length, cuts.length)
})
