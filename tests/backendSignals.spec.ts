import test from 'ava'
import { fc, testProp } from '@fast-check/ava'
import { platformWire } from '../platform/platformWire.js'
import { decodeBackendSignals } from '../src/runtime/gateway/backendSignals.js'

function decode (headers: Record<string, string>, isShed = false) {
  return decodeBackendSignals({ headers, isShed }, platformWire.headers)
}

test('what a backend server says is read from its headers', t => {
  t.is(decode({ 'content-length': '4' }), undefined)
  t.deepEqual(decode({ 'server-load': '3,5,4', 'server-leaving': '1', 'cold-ms': '1200' }), { isLeaving: true, pauseMs: undefined, coldMs: 1200, load: { running: 3, waiting: 5, slots: 4, slowdown: 1 } })
  t.deepEqual(decode({ 'server-load': ' 0, 0 ,4,260 ' })?.load, { running: 0, waiting: 0, slots: 4, slowdown: 2.6 })
  t.is(decode({ 'retry-after': '0.25' }, true)?.pauseMs, 250)
  t.is(decode({ 'retry-after': '1e9' }, true), undefined)
  t.is(decode({ 'retry-after': '86400' }, true)?.pauseMs, 10_000)
  t.is(decode({ 'retry-after': '2' }), undefined, 'only a refusal that declares that the request did not run asks for a pause')
})

test('malformed values count as absent', t => {
  for (const value of ['', ',', '1,2', '1,2,0', '-1,2,4', '1,2,4,', '1,2,4,0', '1,2,4,-5', '1,2,4,x', '1,2,4,100,1', '1.5,2,4', '99999999,1,4', 'NaN,1,4', '1,2,4, 1,2,4']) t.is(decode({ 'server-load': value }), undefined, value)
  for (const value of ['', '0', '-1', 'soon', 'Sun, 06 Dec 2026 22:00:00 GMT', 'Infinity', '1 2', '.', '9'.repeat(80)]) t.is(decode({ 'retry-after': value }, true), undefined, value)
  for (const value of ['', '0', 'true', '1, 1', 'yes']) t.is(decode({ 'server-leaving': value }), undefined, value)
  for (const value of ['', '-5', 'x']) t.is(decode({ 'cold-ms': value }), undefined, value)
})

testProp('no value throws, and what is read is within its limits', [fc.string(), fc.string(), fc.string(), fc.string()], (t, load, leaving, cold, pause) => {
  const signals = decode({ 'server-load': load, 'server-leaving': leaving, 'cold-ms': cold, 'retry-after': pause }, true)
  t.true((signals?.pauseMs ?? 1) > 0 && (signals?.pauseMs ?? 1) <= 10_000)
  t.true((signals?.load?.slots ?? 1) > 0 && (signals?.load?.slowdown ?? 1) > 0)
}, { seed: 41, numRuns: 300 })
