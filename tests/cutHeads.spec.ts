import test from 'ava'
import { callGateway, startPlatformFleet } from './support/platform/platformFleet.js'

/** Numbers of bytes after which the head of an answer is truncated: in its status line, after it, within a header field, before the end of the head. */
const truncationPoints = [5, 17, 30, 60, 90]

test('an answer whose head is truncated by its backend server is not passed on, and its caller gets 502', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [backend] = fleet.plain
  const [gateway] = fleet.gateways
  if (backend === undefined || gateway === undefined) return t.fail('nothing started')
  for (const headBytes of truncationPoints) {
    backend.faults.headBytes = headBytes
    backend.faults.nextRequests.push('head-cut')
    const result = await callGateway(gateway.addresses.callers, { path: '/orders/1', method: 'POST', body: 'a' })
    t.is(result.status, 502, `${headBytes} bytes: ${result.status} ${result.body}`)
    t.is(result.headers['response-stamp'], undefined)
  }
  t.is(backend.runs.length, truncationPoints.length)
})
