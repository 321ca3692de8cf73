import test from 'ava'
import { buildConfiguration, startPlatformFleet, waitFor } from './support/platform/platformFleet.js'

/** Maximum time until a change is in force after an outage, in milliseconds: required by the users for configurations. */
const maxLagMs = 2000

test('a configuration is in force within 2 s after a store that did not answer is back, whenever the last call to it began', async t => {
  for (const silentMs of [3000, 3700, 4400, 5100]) {
    const fleet = await startPlatformFleet({ gateways: 1, shards: 0, plain: 1 })
    try {
      fleet.store.faults.down = 'silent'
      await new Promise(resolve => setTimeout(resolve, silentMs))
      fleet.store.put('op/config', buildConfiguration(2))
      fleet.store.faults.down = 'no'
      await waitFor(() => fleet.gateways[0]?.getState().configuration?.version === 2, maxLagMs)
    } finally {
      await fleet.stop()
    }
  }
  t.pass()
})
