import type { CrowdLimits } from './crowds/crowdHost.js'
import type { PeerCrowdCaller } from './crowds/peerCrowd.js'
import test from 'ava'
import { startCrowdHost } from './crowds/crowdHost.js'
import { crowdService, startCrowdRouters } from './crowds/crowdRouter.js'
import { startPeerCrowd } from './crowds/peerCrowd.js'
import { checkOutcome, runCrowd } from './crowds/runCrowd.js'

/** Limits of the process: the memory of a host two thirds as large as the smallest one, of which Node.js may use about a third for old objects. */
const limits: CrowdLimits = { memoryMb: 140, descriptors: 160, heapMb: 48, bodyBytes: 1_000_000 }
/** Clients of a crowd, each with 200 streams. */
const clients = 20

const sendStarts = (path: string): PeerCrowdCaller => ({ path, streams: 200, messageBytes: 3_000_000 })

for (const path of ['/fulmar.peer.FleetExchange/Follow', '/none/None']) {
  test.serial(`a gateway outlives ${clients} clients of its peer port with many streams of unfinished messages to ${path}`, async t => {
    t.timeout(150_000)
    const host = await startCrowdHost(limits)
    t.teardown(host.stop)
    const order = { address: host.callers, path: '/orders/1', method: 'POST' } as const
    checkOutcome(t, await runCrowd(host, { start: () => startPeerCrowd(host.peers, clients, sendStarts(path)), during: order, afterwards: order }), limits)
  })
}

test.serial(`a router outlives ${clients} clients of its peer port with many streams of unfinished messages`, async t => {
  t.timeout(150_000)
  const { router, stop } = await startCrowdRouters(limits)
  t.teardown(stop)
  const order = { address: router.callers, path: '/orders/1', method: 'POST', host: crowdService } as const
  checkOutcome(t, await runCrowd(router, { start: () => startPeerCrowd(router.peers, clients, sendStarts('/fulmar.peer.Peer/Exchange')), during: order, afterwards: order }), limits)
})

test.serial(`a controller outlives ${clients} clients of its port for reports with many streams of unfinished messages`, async t => {
  t.timeout(150_000)
  const { controller, stop } = await startCrowdRouters(limits)
  t.teardown(stop)
  const liveness = { address: controller.admin, path: '/livez', method: 'GET' } as const
  checkOutcome(t, await runCrowd(controller, { start: () => startPeerCrowd(controller.peers, clients, sendStarts('/fulmar.peer.Control/Report')), during: liveness, afterwards: liveness }), limits)
})
