import test from 'ava'
import { grantingHostFaults, measureLateChange } from '../spec/gateway/lateChanges.js'

/** Half of the bound that the users set for fleets of this size, in milliseconds: the bound is 2 s with 12 hosts and 3 s with 75. */
const halfBounds = [{ hosts: 12, withinMs: 1000 }, { hosts: 75, withinMs: 1500 }]
/** Times between two reports of backend servers to the store, in milliseconds: as with some hundred backend servers, and with an almost idle store. */
const reportIntervalsMs = [20, 60_000]
/** Times from the harm to the granting host until the change, in milliseconds. */
const delaysMs = [0, 130, 390, 770, 1500]

for (const harm of grantingHostFaults) {
  for (const { hosts, withinMs } of halfBounds) {
    test(`no unharmed host learns of a leaving backend server or of a configuration later than half of the bound, in a fleet of ${hosts} hosts when the granting host is ${harm}`, async t => {
      for (const beatMs of reportIntervalsMs) {
        for (const afterMs of delaysMs) {
          const lateness = await measureLateChange({ hosts, fault: harm, reportIntervalMs: beatMs, afterMs })
          if ('problem' in lateness) return t.fail(lateness.problem)
          const details = `beat ${beatMs}, after ${afterMs}: ${JSON.stringify(lateness)}`
          t.true(lateness.configurationMs <= withinMs && lateness.leavingMs <= withinMs, details)
          t.true(lateness.boundMs >= lateness.configurationMs, `the host's own bound is too small: ${details}`)
        }
      }
    })
  }
}

for (const faultyHost of ['granting-host', 'collector'] as const) {
  for (const fault of grantingHostFaults) {
    test(`no unharmed host of a fleet with collectors learns of a change later than half of the bound when the ${faultyHost} is ${fault}`, async t => {
      for (const [reportIntervalMs, afterMs] of [[20, 0], [20, 390], [60_000, 1500]] as const) {
        const lateness = await measureLateChange({ hosts: 75, zones: 5, faultyHost, fault, reportIntervalMs, afterMs })
        if ('problem' in lateness) return t.fail(lateness.problem)
        const details = `reports ${reportIntervalMs}, after ${afterMs}: ${JSON.stringify(lateness)}`
        t.true(lateness.configurationMs <= 1500 && lateness.leavingMs <= 1500, details)
        t.true(lateness.boundMs >= lateness.configurationMs, `the host's own bound is too small: ${details}`)
      }
    })
  }
}
