import test from 'ava'
import { grantingHostFaults } from '../spec/gateway/lateChanges.js'
import { measureLateEvacuation } from '../spec/gateway/lateEvacuations.js'

/** Time after the store acknowledged an evacuation from which no request may reach the zone, in milliseconds: the users' bound. */
const boundMs = 5000
/** Time within which hosts must know a change of the store, in milliseconds: half of the users' bounds of 2 s with 12 hosts and 3 s with 75. */
const fleets = [{ hosts: 12, zones: 3, knownWithinMs: 1000 }, { hosts: 75, zones: 5, knownWithinMs: 1500 }]

for (const { hosts, zones, knownWithinMs } of fleets) {
  for (const fault of [undefined, ...grantingHostFaults]) {
    // Guards against requests that reach an evacuated zone after the bound because a host learned of the evacuation late or counted from the time at which it learned.
    test(`no request reaches an evacuated zone after the bound in a fleet of ${hosts} hosts when the granting host is ${fault ?? 'unharmed'}, though no key can be moved`, async t => {
      for (const afterMs of [0, 390, 1500]) {
        const delays = await measureLateEvacuation({ hosts, zones, ...(fault === undefined ? {} : { fault }), afterMs })
        if ('problem' in delays) return t.fail(delays.problem)
        const details = `after ${afterMs}: ${JSON.stringify(delays)}`
        t.true(delays.keyedMs <= boundMs && delays.plainMs <= knownWithinMs, details)
        t.is(delays.closedHosts, delays.healthyHosts, details)
        t.true(delays.returnedMs <= knownWithinMs, details)
      }
    })
  }
}

for (const fault of grantingHostFaults) {
  test(`no request reaches an evacuated zone after the bound when the collector of a zone is ${fault}`, async t => {
    const delays = await measureLateEvacuation({ hosts: 75, zones: 5, fault, faultyHost: 'collector', afterMs: 390 })
    if ('problem' in delays) return t.fail(delays.problem)
    t.true(delays.keyedMs <= boundMs && delays.plainMs <= 1500 && delays.returnedMs <= 1500, JSON.stringify(delays))
    t.is(delays.closedHosts, delays.healthyHosts)
  })
}

// Guards against owners that are cut off from their keys at once, before these have other owners.
test('owners in the zone get requests for their keys while these may still be moved', async t => {
  const delays = await measureLateEvacuation({ hosts: 12, zones: 3, afterMs: 0 })
  if ('problem' in delays) return t.fail(delays.problem)
  t.true(delays.keyedMs > 1000, JSON.stringify(delays))
})
