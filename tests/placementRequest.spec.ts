import type { GatewayEvent, LoadReport } from '../src/core/gateway/events.js'
import type { KeyRange } from '../src/core/gateway/model.js'
import { credentials, ServerCredentials } from '@grpc/grpc-js'
import test from 'ava'
import { buildNewerPlacement } from '../src/core/gateway/restoredStore.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { computePeerLimits } from '../src/core/policy/peerBudget.js'
import { systemClock } from '../src/runtime/clock.js'
import { createFleetExchange } from '../src/runtime/gateway/fleetExchange.js'
import { createPeerConnections } from '../src/runtime/peerConnections.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { findPort, waitFor } from './support/platform/platformFleet.js'

const range: KeyRange = { from: 0, to: 65_535, owner: { id: 'a', startedAt: 1, address: 'a:80' }, fence: 39, phase: 'held', previous: undefined }

test('a granting host that requests the placement of another host gets it whole over the exchange between hosts', async t => {
  const timers = createTimerService(systemClock)
  const known = buildGatewayState({ host: 'host-2', zone: 'zone-1', region: 'region-1', regionOf: new Map(), address: 'host-2:1', processorShare: 1 }, 1, 0)
  known.placement = { nextFence: 40, services: new Map([['shards', [range]]]), memory: { hosts: 1, serviceMs: new Map() } }
  known.placementVersion = { revision: 30, confirmations: 2 }
  const events: GatewayEvent[] = []
  const create = (post: (event: GatewayEvent) => boolean) => createFleetExchange({
    credentials: { client: credentials.createInsecure(), server: ServerCredentials.createInsecure(), readPem: undefined },
    connections: createPeerConnections({ timers, limits: computePeerLimits(350, 4096), notifyClosed: () => {} }),
    timers,
    post,
    buildLoadAnswer: () => undefined,
    buildNewerPlacement: report => buildNewerPlacement(known, report),
    listChangesSince: () => undefined,
    findEarlier: () => undefined,
    applyRelayedChanges: () => {},
    log: () => {}
  })
  const other = create(() => true)
  const granting = create(event => {
    events.push(event)
    return true
  })
  const address = `127.0.0.1:${await findPort()}`
  t.is((await other.listen(address)).kind, 'listening')
  const report: LoadReport = {
    host: 'host-1', backends: [], keys: [], renewed: [], zone: 'zone-1', storeRevision: 0, placement: { revision: 0, confirmations: 0 }, wantsPlacement: true, nextFence: 7, granting: { host: { host: 'host-1', address: 'host-1:1' }, revision: 9 }
  }
  granting.notify(address, report)
  await waitFor(() => events.length > 0, 3000)
  const [event] = events
  if (event?.kind !== 'placement-found') return t.fail('the placement must be found')
  t.deepEqual(event.change, { base: undefined, next: { revision: 30, confirmations: 2 }, nextFence: 40, changes: [{ service: 'shards', range }] })
  granting.close()
  other.close()
  timers.close()
})
