import test from 'ava'
import { createVirtualFleet, advance, postRouter, sendRequest } from '../spec/virtualFleet.js'
import { loadRules } from './support/hash.js'

test('a peer\'s refusal that arrives after its request was forwarded elsewhere is not taken for a refusal by the next peer', async t => {
  const fleet = createVirtualFleet({ routers: 4, checkingBackends: 3, nonCheckingBackends: 3, seed: 1 }, await loadRules())
  const router = fleet.routers.get('router-1')
  const ids = Array.from({ length: 6 }, (_, key) => sendRequest(fleet, 'router-1', 'bookings', 'lookup', `key-${key}`))
  const forwarded = ids.flatMap(id => {
    const request = router?.state.ingress.get(id)
    return request?.phase === 'forwarded' && request.peer !== undefined ? [{ id, peer: request.peer }] : []
  })
  t.true(forwarded.length > 0)
  for (const peer of new Set(forwarded.map(each => each.peer))) postRouter(fleet, 'router-1', { kind: 'peer-down', now: 0, router: peer })
  for (const { id, peer } of forwarded) {
    postRouter(fleet, 'router-1', { kind: 'forward-refused', now: 0, id, peer, refusal: { outcome: 'not-run', reason: 'queue-full' } })
    t.true(router?.state.ingress.has(id))
  }
  for (const peer of new Set(forwarded.map(each => each.peer))) postRouter(fleet, 'router-1', { kind: 'peer-up', now: 0, router: peer })
  advance(fleet, 1500)
  t.deepEqual(ids.filter(id => fleet.callers.get(id)?.outcome !== 'answered'), [])
})
