import test from 'ava'
import { grantingHarms, playLateChange } from '../spec/gateway/lateChanges.js'

/** Half of the users' bound for fleets of this size, in milliseconds: 2 s with 12 hosts, 3 s with 75. */
const halfBounds = [{ hosts: 12, withinMs: 1000 }, { hosts: 75, withinMs: 1500 }]
/** Times between two reports of backend servers, in milliseconds: some hundred of them, or a store that rests. */
const beats = [20, 60_000]
/** Times from the harm to the change, in milliseconds. */
const delays = [0, 130, 390, 770, 1500]

for (const harm of grantingHarms) {
  for (const { hosts, withinMs } of halfBounds) {
    test(`no host in touch hears of a leaving backend server or of a configuration later than half of the bound, of ${hosts} hosts when the granting host is ${harm}`, async t => {
      for (const beatMs of beats) {
        for (const afterMs of delays) {
          const lateness = await playLateChange({ hosts, harm, beatMs, afterMs })
          if ('problem' in lateness) return t.fail(lateness.problem)
          const what = `beat ${beatMs}, after ${afterMs}: ${JSON.stringify(lateness)}`
          t.true(lateness.configurationMs <= withinMs && lateness.leavingMs <= withinMs, what)
          t.true(lateness.boundMs >= lateness.configurationMs, `the host's own bound is too small: ${what}`)
        }
      }
    })
  }
}
