import test from 'ava'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

test('requests reach the one owner of their key through any host, in one hop', async t => {
  const fleet = await startPlatformFleet({ gateways: 3, shards: 4, plain: 2 })
  t.teardown(fleet.stop)
  for (let index = 0; index < 60; index++) {
    const gateway = fleet.gateways[index % 3]
    const key = (index * 7919) % 65_536
    const result = await callGateway(gateway?.addresses.callers ?? '', { path: `/reads/${index}`, key })
    t.is(result.status, 200)
    t.is(result.headers['request-id'], result.requestId)
  }
  for (const shard of fleet.shards) {
    t.true(shard.runs.length > 0)
    t.true(shard.runs.every(run => run.key !== undefined))
  }
  const owners = new Map<number, string>()
  for (const shard of fleet.shards) {
    for (const run of shard.runs) t.is(owners.get(run.key ?? -1) ?? shard.id, shard.id)
  }
  t.is(fleet.shards.reduce((sum, shard) => sum + shard.refused, 0), 0)
})

test('an order runs once, with its body unchanged, and its answer carries the headers of the backend server', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 2 })
  t.teardown(fleet.stop)
  const body = 'x'.repeat(70_000)
  const result = await callGateway(fleet.gateways[0]?.addresses.callers ?? '', { path: '/orders/1', method: 'POST', body })
  t.is(result.status, 200)
  t.regex(result.headers['response-stamp'] as string, /plain-/)
  const runs = fleet.plain.flatMap(backend => backend.runs)
  t.is(runs.length, 1)
  t.is(runs[0]?.body, body)
})

test('a newer configuration is in force on every host within 1 s, and an older or malformed one changes nothing', async t => {
  const fleet = await startPlatformFleet({ gateways: 2, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const call = async (index: number) => await callGateway(fleet.gateways[index]?.addresses.callers ?? '', { path: '/added/1', method: 'POST', body: 'a' })
  t.is((await call(0)).status, 404)
  const added = { added: { host: 'shop.test', path_prefix: '/added/', kind: 'unsafe', timeout_s: 1, target_latency_s: 0.5, priority: 1, service: 'plain', max_attempts: 2 } }
  fleet.store.put('op/config', buildConfiguration(7, added))
  await waitFor(() => fleet.gateways.every(gateway => gateway.getState().configuration?.version === 7), 1000)
  t.is((await call(0)).status, 200)
  t.is((await call(1)).status, 200)
  fleet.store.put('op/config', buildConfiguration(5))
  fleet.store.put('op/config', '{"version": 9, "rou')
  fleet.store.put('servers/forged', { service: 'plain', address: 12, slots: 'many' })
  await waitFor(() => fleet.events.filter(event => event.msg === 'storeValueRejected').length >= 4, 2000)
  t.is((await call(0)).status, 200)
  t.is(fleet.gateways[0]?.getState().configuration?.version, 7)
  t.true(fleet.events.some(event => event.msg === 'storeValueRejected' && event.fields.key === 'op/config'))
})

test('a host whose configuration is removed from the store just before an outage stays ready and serves with the last one it knows', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  fleet.store.remove('op/config')
  fleet.store.faults.down = 'silent'
  const [host] = fleet.gateways
  t.is((await callGateway(host?.addresses.probes ?? '', { path: '/-/readiness' })).status, 200)
  t.is((await callGateway(host?.addresses.callers ?? '', { path: '/orders/1', method: 'POST', body: '1' })).status, 200, 'continues with the configuration that it knows')
  fleet.store.faults.down = 'no'
})

test('a request with two Host headers is refused, and a request target in absolute form is routed', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const address = fleet.gateways[0]?.addresses.callers ?? ''
  const absolute = await callGateway(address, { path: 'http://shop.test/orders/1', method: 'POST', body: '1', host: 'other.test' })
  t.is(absolute.status, 200)
  const { connect } = await import('node:net')
  const [ip, port] = address.split(':')
  const text = await new Promise<string>(resolve => {
    const socket = connect(Number(port), ip)
    socket.write('GET /orders/1 HTTP/1.1\r\nHost: shop.test\r\nHost: other.test\r\n\r\n')
    socket.once('data', part => {
      resolve(part.toString())
      socket.destroy()
    })
  })
  t.regex(text, /^HTTP\/1\.1 400 /)
})

test('a request that is refused before it is routed is logged with its id and the reason', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
  t.teardown(fleet.stop)
  const { connect } = await import('node:net')
  const [host, port] = (fleet.gateways[0]?.addresses.callers ?? '').split(':')
  const send = async (text: string) => {
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.write(text)
    await new Promise(resolve => socket.once('data', resolve))
    socket.destroy()
  }
  await send('POST /orders/1 HTTP/1.1\r\nHost: shop.test\r\nHost: other.test\r\nRequest-Id: two-hosts\r\nContent-Length: 0\r\n\r\n')
  await send('POST /orders/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: too-long\r\nContent-Length: 99999999999\r\n\r\n')
  await send('no HTTP at all\r\n\r\n')
  await send(`GET /${'x'.repeat(15_000)} HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: long-path\r\n\r\n`)
  const gone = connect(Number(port), host)
  gone.on('error', () => {})
  gone.write('POST /orders/1 HTTP/1.1\r\nHost: sh')
  await new Promise(resolve => setTimeout(resolve, 100))
  gone.resetAndDestroy()
  await new Promise(resolve => setTimeout(resolve, 100))
  const refused = fleet.events.filter(event => event.msg === 'requestRefused').map(event => [event.fields.requestId, event.fields.reason, event.fields.status])
  t.deepEqual(refused, [['two-hosts', 'bad-request', 400], ['too-long', 'oversized', 413], [undefined, 'bad-request', 400], ['long-path', 'unknown-route', 404]])
  t.true(fleet.events.every(event => JSON.stringify(event.fields).length < 1000))
})
