import type { FleetLoad } from '../src/core/gateway/events.js'
import type { KeyRange, Placement } from '../src/core/gateway/model.js'
import { fc, testProp } from '@fast-check/ava'
import { applyPlacementChange, buildPlacementChange } from '../src/core/gateway/placementChange.js'
import { decodePlacementChange, decodeFleetLoad, encodePlacementChange, encodeFleetLoad } from '../src/protocol/fleetUpdate.js'

/** Builds a placement that covers all keys, split at the given keys, whose ranges are owned by a few backend servers in turn. */
function buildPlacement (splitKeys: number[], owners: number[], fence: number): Placement {
  const starts = [...new Set([0, ...splitKeys])].sort((a, b) => a - b)
  const ranges = starts.map((from, index): KeyRange => ({
    from,
    to: (starts[index + 1] ?? 65_536) - 1,
    owner: { id: `server-${owners[index % owners.length] ?? 0}`, startedAt: 1, address: '127.0.0.1:1' },
    fence: fence + (owners[index % owners.length] ?? 0),
    phase: index % 3 === 0 ? 'moving' : 'held',
    previous: index % 3 === 0 ? { id: 'server-9', startedAt: 1, address: '127.0.0.1:9' } : undefined
  }))
  return { nextFence: fence + 100, services: new Map([['shards', ranges]]), memory: { hosts: 3, serviceMs: new Map([['server-1', 80]]) } }
}

const splitKeys = fc.array(fc.integer({ min: 1, max: 65_535 }), { maxLength: 12 })
const owners = fc.array(fc.nat({ max: 4 }), { minLength: 1, maxLength: 6 })

testProp('a placement change that is encoded, decoded and applied to its base gives the next placement, complete and sorted', [splitKeys, owners, splitKeys, owners], (t, splitKeysA, ownersA, splitKeysB, ownersB) => {
  const base = buildPlacement(splitKeysA, ownersA, 1)
  const next = buildPlacement(splitKeysB, ownersB, 3)
  const change = buildPlacementChange({ placement: base, version: { revision: 7, confirmations: 2 } }, { placement: next, version: { revision: 9, confirmations: 0 } })
  t.deepEqual(applyPlacementChange(base, decodePlacementChange(encodePlacementChange(change))), next)
}, { seed: 31, numRuns: 200 })

testProp('load views that are sent as deltas leave both ends with the same load, except for differences that are too small to be sent', [
  fc.array(fc.array(fc.record({ id: fc.nat({ max: 5 }), inFlight: fc.nat({ max: 12 }), serviceMs: fc.integer({ min: 10, max: 400 }) }), { maxLength: 6 }), { minLength: 1, maxLength: 8 })
], (t, views) => {
  const sent = new Map()
  const known = new Map()
  for (const entries of views) {
    const backends = [...new Map(entries.map(entry => [entry.id, { ...entry, id: `server-${entry.id}`, admitShare: 1 }])).values()]
    const load: FleetLoad = { hosts: 3, storeAgeMs: 0, storeRevision: 9, placement: { revision: 1, confirmations: 0 }, backends, renewals: ['server-1'] }
    const read = decodeFleetLoad(encodeFleetLoad(load, sent), known)
    t.deepEqual(read.backends.map(entry => entry.id).sort(), backends.map(entry => entry.id).sort())
    for (const entry of backends) {
      const found = read.backends.find(other => other.id === entry.id)
      t.true(Math.abs((found?.inFlight ?? 99) - entry.inFlight) <= 1)
      t.true(Math.abs((found?.serviceMs ?? 0) - entry.serviceMs) <= entry.serviceMs * 0.1)
    }
  }
}, { seed: 32, numRuns: 100 })
