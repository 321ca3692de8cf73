import type { CrowdCaller } from './crowds/crowd.js'
import type { CrowdLimits } from './crowds/crowdHost.js'
import test from 'ava'
import { startCrowd } from './crowds/crowd.js'
import { startCrowdHost } from './crowds/crowdHost.js'
import { crowdService, startCrowdRouters } from './crowds/crowdRouter.js'
import { checkOutcome, maxCallerBytes, runCrowd } from './crowds/runCrowd.js'

/** Limits of the process: the memory of a host two thirds as large as the smallest one, of which Node.js may use about a third for old objects. */
const limits: CrowdLimits = { memoryMb: 140, descriptors: 160, heapMb: 48, bodyBytes: 1_000_000 }

type AdminCrowd = { name: string, callers: number, caller: CrowdCaller }

const sendAhead = (path: string): CrowdCaller => ({ start: '', block: `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`, maxBytes: maxCallerBytes })
const metrics: AdminCrowd = { name: 'GETs sent ahead to the metrics', callers: 10, caller: sendAhead('/metrics') }
const readiness: AdminCrowd = { name: 'GETs sent ahead to the readiness path', callers: 40, caller: sendAhead('/readyz') }
const status: AdminCrowd = { name: 'GETs sent ahead to the status', callers: 40, caller: sendAhead('/status') }
const unknown: AdminCrowd = { name: 'GETs sent ahead to an unknown path', callers: 40, caller: sendAhead('/none') }
const bodies: AdminCrowd = {
  name: 'POSTs in chunks without end',
  callers: 40,
  caller: { start: 'POST /status HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n', block: `4000\r\n${'.'.repeat(16_384)}\r\n`, maxBytes: maxCallerBytes }
}

for (const { name, callers, caller } of [metrics, readiness, status, unknown, bodies]) {
  test.serial(`a gateway outlives ${callers} clients of its admin port that send ${name}`, async t => {
    t.timeout(150_000)
    const host = await startCrowdHost(limits)
    t.teardown(host.stop)
    const order = { address: host.callers, path: '/orders/1', method: 'POST' } as const
    checkOutcome(t, await runCrowd(host, { start: () => startCrowd(host.admin, callers, caller), during: order, afterwards: order }), limits)
  })
}

for (const { name, callers, caller } of [metrics, readiness, status, unknown, bodies]) {
  test.serial(`a router outlives ${callers} clients of its admin port that send ${name}`, async t => {
    t.timeout(150_000)
    const { router, stop } = await startCrowdRouters(limits)
    t.teardown(stop)
    const order = { address: router.callers, path: '/orders/1', method: 'POST', host: crowdService } as const
    checkOutcome(t, await runCrowd(router, { start: () => startCrowd(router.admin, callers, caller), during: order, afterwards: order }), limits)
  })
}

for (const { name, callers, caller } of [metrics, readiness]) {
  test.serial(`a controller outlives ${callers} clients of its admin port that send ${name}`, async t => {
    t.timeout(150_000)
    const { controller, stop } = await startCrowdRouters(limits)
    t.teardown(stop)
    const liveness = { address: controller.admin, path: '/livez', method: 'GET' } as const
    checkOutcome(t, await runCrowd(controller, { start: () => startCrowd(controller.admin, callers, caller), during: liveness, afterwards: liveness }), limits)
  })
}
