import test from 'ava'
import { buildConfiguration, callGateway, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Route of requests that may run only once and are sent to the owner of a key. */
const uploads = { host: 'shop.test', path_prefix: '/uploads/', kind: 'upload', timeout_s: 2, target_latency_s: 1, priority: 0, service: 'shards', max_attempts: 3 }

/** Statuses that tell a caller that its request has not run. */
const notRunStatuses = new Set([408, 421, 429, 503])

test('a refusal that a backend server writes twice is not taken for the answer to the retry of the same request', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 1, plain: 0 })
  t.teardown(fleet.stop)
  const [shard] = fleet.shards
  const [gateway] = fleet.gateways
  if (shard === undefined || gateway === undefined) return t.fail('nothing started')
  fleet.store.put('op/config', buildConfiguration(2, { uploads }))
  await waitFor(() => gateway.getState().configuration?.version === 2, 2000)
  shard.faults.workMs = 50
  for (let index = 0; index < 5; index++) {
    shard.faults.repeatedRefusals = 1
    const result = await callGateway(gateway.addresses.callers, { path: `/uploads/${index}`, method: 'POST', body: 'a', key: 7 })
    const runs = shard.runs.filter(run => run.requestId === result.requestId).length
    t.true(runs <= 1)
    t.false(runs > 0 && notRunStatuses.has(result.status), `answered ${result.status} though it ran`)
    await new Promise(resolve => setTimeout(resolve, 300))
  }
})

test('a refusal that a backend server writes twice is not taken for the answer to another request', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 2 })
  t.teardown(fleet.stop)
  const [gateway] = fleet.gateways
  if (gateway === undefined) return t.fail('nothing started')
  for (const backend of fleet.plain) {
    backend.faults.workMs = 50
    backend.faults.repeatedRefusals = 20
  }
  const results = []
  for (let index = 0; index < 40; index++) results.push(await callGateway(gateway.addresses.callers, { path: `/orders/${index}`, method: 'POST', body: 'a' }))
  await new Promise(resolve => setTimeout(resolve, 200))
  const runs = fleet.plain.flatMap(backend => backend.runs.map(run => run.requestId))
  t.is(new Set(runs).size, runs.length)
  t.deepEqual(results.filter(result => notRunStatuses.has(result.status) && runs.includes(result.requestId)).map(result => result.status), [])
})

test('an earlier answer that an owner writes twice is not taken for the confirmation that it has ended its work on released keys', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 2, plain: 0 })
  t.teardown(fleet.stop)
  const [gateway] = fleet.gateways
  const owner = fleet.shards.find(shard => shard.holds(7))
  const next = fleet.shards.find(shard => shard !== owner)
  if (gateway === undefined || owner === undefined || next === undefined) return t.fail('nothing started')
  owner.faults.repeatsReplies = true
  owner.faults.workMs = 1200
  const answer = callGateway(gateway.addresses.callers, { path: '/reads/1', key: 7 })
  await waitFor(() => owner.runs.length === 1, 1000)
  const endsAt = (owner.runs[0]?.at ?? Infinity) + owner.faults.workMs
  fleet.register(owner, 'shards', { state: 'draining', sequence: 2 })
  await waitFor(() => next.holds(7), 4000)
  // Timers may fire up to a millisecond early.
  t.true(performance.now() >= endsAt - 1, `granted ${Math.round(endsAt - performance.now())} ms before the work ended`)
  t.is((await answer).status, 200)
})
