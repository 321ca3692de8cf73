import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { decodeConfiguration } from '../platform/configuration.js'
import { decodeRegistration } from '../platform/registration.js'
import { decodePlacement, encodePlacement } from '../src/protocol/placementRecord.js'
import { buildConfiguration } from './support/platform/platformFleet.js'

const registration = { service: 'plain', address: '10.0.0.9:8080', zone: 'zone-1', version: 'v1', slots: 4, state: 'ready', cold_left_s: 1.5, sequence: 4, born: 1000 }

test('a registration and a configuration are decoded into the project\'s own fields and units', t => {
  const decoded = decodeRegistration('i-1', JSON.stringify(registration))
  t.deepEqual(decoded, { kind: 'valid', value: { id: 'i-1', startedAt: 1000, service: 'plain', address: '10.0.0.9:8080', zone: 'zone-1', slots: 4, leaving: false, slowForMs: 1500, report: 4 } })
  const configuration = decodeConfiguration(JSON.stringify(buildConfiguration(4)))
  t.is(configuration.kind, 'valid')
  if (configuration.kind !== 'valid') return
  t.deepEqual(configuration.value.routes.map(route => [route.name, route.idempotent, route.timeoutMs]), [['reads', true, 2000], ['orders', false, 1000], ['photos', false, 3000]])
  t.true(configuration.value.services.get('shards')?.sharded)
})

testProp('any text is decoded or refused with a problem that names the first invalid field, and decoding never throws', [fc.oneof(fc.string(), fc.json())], (t, text) => {
  for (const decoded of [decodeConfiguration(text), decodeRegistration('i-1', text)]) {
    if (decoded.kind === 'invalid') t.true(decoded.problem.length > 0)
  }
  t.true(decodePlacement(text) === undefined || typeof decodePlacement(text) === 'object')
}, { seed: 11, numRuns: 500 })

// Guards against review case 4 (OWNER): an entry without `version` and `cold_left_s` counted as a server and proved the end of another one.
testProp('a registration with a field that is missing, of another type or not an allowed value is refused', [
  fc.constantFrom('service', 'address', 'zone', 'version', 'slots', 'state', 'cold_left_s', 'sequence'),
  fc.oneof(fc.constant(undefined), fc.constant(null), fc.object(), fc.constant(-1), fc.constant(1.5), fc.constant('unknown')).filter(value => value !== 'unknown')
], (t, field, value) => {
  const decoded = decodeRegistration('i-1', JSON.stringify({ ...registration, [field]: value }))
  const isAllowed = field === 'cold_left_s' && value === 1.5
  t.is(decoded.kind, isAllowed ? 'valid' : 'invalid')
}, { seed: 12, numRuns: 400 })

test('a configuration that is truncated, or has a route without attempts or target, is refused as a whole', t => {
  const whole = JSON.stringify(buildConfiguration(4))
  t.is(decodeConfiguration(whole.slice(0, -20)).kind, 'invalid')
  for (const broken of [{ max_attempts: 0 }, { kind: 'other' }, { timeout_s: 'long' }, { service: undefined }, { path_prefix: 'no-slash' }]) {
    const route = { host: 'a.test', path_prefix: '/a/', kind: 'safe', timeout_s: 1, target_latency_s: 0.2, priority: 0, service: 'plain', max_attempts: 2, ...broken }
    t.is(decodeConfiguration(JSON.stringify(buildConfiguration(4, { added: route }))).kind, 'invalid', JSON.stringify(broken))
  }
})

test('a placement decodes to the one that was encoded; one with gaps in its holders or keys is refused', t => {
  const holder = { id: 'i-1', startedAt: 1000, address: '10.0.0.9:8080' }
  const other = { ...holder, id: 'i-2' }
  const placement = {
    nextFence: 9,
    memory: { hosts: 4, serviceMs: new Map([['i-1', 75]]) },
    services: new Map([['shards', [
      { from: 0, to: 99, owner: holder, fence: 3, phase: 'held' as const, previous: undefined },
      { from: 100, to: 65_535, owner: other, fence: 8, phase: 'moving' as const, previous: holder }
    ]]])
  }
  t.deepEqual(decodePlacement(encodePlacement(placement)), placement)
  t.is(decodePlacement('{"nextFence":2,"holders":[],"services":{"a":[[0,1,0,-1,0]]}}'), undefined)
  t.is(decodePlacement('{"nextFence":1e30,"holders":[["i",1,"a"]],"services":{"a":[[70000,1,0,-1,0]]}}'), undefined)
})
