import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { GatewayExchange } from '../src/runtime/gateway/exchanges.js'
import test from 'ava'
import { createServer } from 'node:http'
import { platformWire } from '../platform/platformWire.js'
import { systemClock } from '../src/runtime/clock.js'
import { createBackendSender } from '../src/runtime/gateway/backendSender.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { listen } from './support/platform/kvStandin.js'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

function buildExchange (id: string): GatewayExchange {
  return { id, requestId: id, method: 'GET', path: '/', headers: [], first: Buffer.alloc(0), rest: undefined, request: { headers: {} }, sendAttempt: undefined } as unknown as GatewayExchange
}

test('a request that waits for a connection is not sent to a backend server that begins to leave in the meantime', async t => {
  const timers = createTimerService(systemClock)
  let arrived = 0
  const server = createServer({ requireHostHeader: false }, (_, response) => {
    arrived += 1
    setTimeout(() => response.end('done'), 200)
  })
  const address = await listen(server)
  const events: GatewayEvent[] = []
  const sender = createBackendSender({ wire: platformWire, timers, post: event => events.push(event) > 0 })
  t.teardown(() => {
    sender.close()
    server.close()
    timers.close()
  })
  for (const id of ['1', '2']) {
    sender.send(buildExchange(id), { kind: 'send', id, attempt: 1, backend: 'i-1', address, timeoutMs: 1000, mayReuse: true, needsOwnConnection: false, maxIdleMs: 1000, maxConnections: 1 })
  }
  await waitFor(() => arrived === 1, 1000)
  sender.boundPendingConnects('i-1', 50)
  await waitFor(() => events.length > 0, 1000)
  t.deepEqual(events.map(event => event.kind === 'send-failed' ? { id: event.id, failure: event.failure } : event.kind), [{ id: '2', failure: 'left-unsent' }])
  await new Promise(resolve => setTimeout(resolve, 400))
  t.is(arrived, 1)
})

test('a request that waits for a connection to a backend server that begins to leave is refused at once as not run, when there is no other backend server', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [leaving] = fleet.plain
  const [gateway] = fleet.gateways
  if (leaving === undefined || gateway === undefined) return t.fail('nothing started')
  // The limit is low enough that the host opens only two connections, the fewest that a host may have to a backend server.
  fleet.store.put('op/config', { ...buildConfiguration(2), services: { plain: { health_path: '/health', max_conns: 2 } } })
  await waitFor(() => gateway.getState().configuration?.version === 2, 2000)
  leaving.faults.workMs = 300
  const calls = Array.from({ length: 4 }, async () => await callGateway(gateway.addresses.callers, { path: '/orders/1', method: 'POST', body: 'a', fresh: true }))
  await waitFor(() => gateway.getState().requests.size === 4, 1000)
  fleet.register(leaving, 'plain', { state: 'draining', sequence: 2 })
  const answers = await Promise.all(calls)
  t.is(leaving.runs.length, 2)
  t.deepEqual(answers.map(({ status }) => status).sort(), [200, 200, 503, 503])
})

// Guards against one route's change of regions that fails the requests of other routes.
test('a bound on the wait of one request for a connection leaves the other requests to the same server alone', async t => {
  const timers = createTimerService(systemClock)
  let arrived = 0
  const server = createServer({ requireHostHeader: false }, (_, response) => {
    arrived += 1
    setTimeout(() => response.end('done'), 100)
  })
  const address = await listen(server)
  const events: GatewayEvent[] = []
  const sender = createBackendSender({ wire: platformWire, timers, post: event => events.push(event) > 0 })
  t.teardown(() => {
    sender.close()
    server.close()
    timers.close()
  })
  for (const id of ['1', '2', '3']) {
    sender.send(buildExchange(id), { kind: 'send', id, attempt: 1, backend: 'i-1', address, timeoutMs: 1000, mayReuse: true, needsOwnConnection: false, maxIdleMs: 1000, maxConnections: 1 })
  }
  await waitFor(() => arrived === 1, 1000)
  sender.boundPendingConnects('i-1', 0, '2')
  await waitFor(() => arrived === 2, 1000)
  t.deepEqual(events.flatMap(event => event.kind === 'send-failed' && event.failure === 'left-unsent' ? [event.id] : []), ['2'])
})
