import test from 'ava'
import { createConnection } from 'node:net'
import { createGatewayMetrics, gatewayGauges } from '../src/runtime/gateway/gatewayMetrics.js'
import { callGateway, startPlatformFleet } from './support/platform/platformFleet.js'

/** Reads the metrics of a host like a metrics collector. */
async function scrape (address: string): Promise<Map<string, number>> {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  return new Map([...text.matchAll(/^(fulmar_\S+) ([\d.]+)$/gm)].map(match => [match[1] ?? '', Number(match[2])]))
}

/** Maximum wait for a metric to reach a value, in milliseconds. */
const metricWaitMs = 2000

async function waitForMetric (address: string, name: string, value: number): Promise<void> {
  const end = Date.now() + metricWaitMs
  for (;;) {
    const found = (await scrape(address)).get(name)
    if (found === value) return
    if (Date.now() > end) throw new Error(`${name} was ${found ?? 'absent'}, not ${value}, for ${metricWaitMs} ms`)
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

test('the metrics show the phase of a stop that hangs, and how many callers are still connected', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const [gateway] = fleet.gateways
  const [backend] = fleet.plain
  if (gateway === undefined || backend === undefined) return t.fail('nothing started')
  const { admin, callers } = gateway.addresses
  const before = await scrape(admin)
  t.is(before.get('fulmar_gateway_stop_phase'), 0)
  t.is(before.get('fulmar_gateway_caller_connections'), 0)
  t.is(before.get('fulmar_gateway_requests_cut_total'), 0)
  const [host, port] = callers.split(':')
  const sockets = [1, 2].map(() => createConnection(Number(port), host).on('error', () => {}))
  t.teardown(() => { for (const socket of sockets) socket.destroy() })
  await waitForMetric(admin, 'fulmar_gateway_caller_connections', 2)
  sockets[0]?.destroy()
  await waitForMetric(admin, 'fulmar_gateway_caller_connections', 1)
  backend.faults.workMs = 900
  gateway.stop()
  await waitForMetric(admin, 'fulmar_gateway_stop_phase', 1)
  await new Promise(resolve => setTimeout(resolve, 1500))
  const call = callGateway(callers, { path: '/orders/1', method: 'POST', body: 'a', fresh: true })
  await waitForMetric(admin, 'fulmar_gateway_stop_phase', 2)
  t.is((await call).status, 200)
})

test('requests cut at a stop and log lines left out are counted', async t => {
  const metrics = createGatewayMetrics(() => Object.fromEntries(gatewayGauges.map(name => [name, 0])) as Record<typeof gatewayGauges[number], number>)
  metrics.countCutRequest()
  metrics.countLeftOutLine('requestAnswered')
  const text = await metrics.registry.metrics()
  t.regex(text, /^fulmar_gateway_requests_cut_total 1$/m)
  t.regex(text, /^fulmar_gateway_log_lines_left_out_total\{event="requestAnswered"\} 1$/m)
})

test('the metrics count the calls to the store by reason', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 1 })
  t.teardown(fleet.stop)
  const [gateway] = fleet.gateways
  if (gateway === undefined) return t.fail('nothing started')
  const countCalls = async (reason: string) => (await scrape(gateway.addresses.admin)).get(`fulmar_gateway_store_calls_total{reason="${reason}"}`) ?? 0
  const waitForCall = async (reason: string) => {
    const end = Date.now() + metricWaitMs
    while (await countCalls(reason) === 0 && Date.now() < end) await new Promise(resolve => setTimeout(resolve, 20))
    return await countCalls(reason) > 0
  }
  for (const reason of ['read-all', 'watch', 'lease', 'renewal', 'write']) t.true(await waitForCall(reason), reason)
  t.is(await countCalls('read-value'), 0)
})
