import type { RelayStep } from '../spec/gateway/relayHistories.js'
import { fc, testProp } from '@fast-check/ava'
import { runRelayHistory } from '../spec/gateway/relayHistories.js'

const kinds: ReadonlyArray<RelayStep['kind']> = [
  'change-backend', 'remove-backend', 'change-configuration', 'silence', 'forget', 'cut-watches', 'restart-host', 'read-beside', 'change-granting-host', 'toggle-watching'
]
const step = fc.record({ at: fc.nat({ max: 5500 }), forMs: fc.nat({ max: 3000 }), kind: fc.constantFrom(...kinds), pick: fc.nat({ max: 60 }) })
const ending = fc.record({ silentTo: fc.array(fc.nat({ max: 4 }), { maxLength: 3 }), outageMs: fc.nat({ max: 6000 }), isGrantingNew: fc.boolean(), routes: fc.constantFrom(1, 1500) })

testProp('whatever changes hosts have missed, all know the contents of the store within 2 s, including those that the store does not answer', [
  fc.array(step, { maxLength: 25 }), ending
], async (t, steps, end) => {
  t.deepEqual(await runRelayHistory(steps, end), [])
}, { seed: 51, numRuns: 60 })

const stepWithEvacuations = fc.record({ at: fc.nat({ max: 5500 }), forMs: fc.nat({ max: 3000 }), kind: fc.constantFrom(...kinds, 'toggle-evacuation' as const, 'toggle-evacuation' as const), pick: fc.nat({ max: 60 }) })

// Guards against an evacuation that begins or ends without a host learning of it, when its key is relayed, left out as too large, or gone at a full read.
testProp('whatever changes hosts have missed, all know which zones are evacuated within 2 s, including those that the store does not answer', [
  fc.array(stepWithEvacuations, { maxLength: 25 }), ending
], async (t, steps, end) => {
  t.deepEqual(await runRelayHistory(steps, end), [])
}, { seed: 52, numRuns: 60 })
