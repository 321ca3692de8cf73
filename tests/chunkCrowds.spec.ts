import type { CrowdCaller } from './crowds/crowd.js'
import type { CrowdLimits } from './crowds/crowdHost.js'
import test from 'ava'
import { startCrowd } from './crowds/crowd.js'
import { startCrowdHost } from './crowds/crowdHost.js'
import { crowdService, startCrowdRouters } from './crowds/crowdRouter.js'
import { checkOutcome, maxCallerBytes, runCrowd } from './crowds/runCrowd.js'

/** Limits of the process: the memory of a host two thirds as large as the smallest one, of which Node.js may use about a third for old objects. */
const limits: CrowdLimits = { memoryMb: 140, descriptors: 640, heapMb: 48, bodyBytes: 1_000_000 }

/** Builds a caller that sends an upload in chunks of some bytes and doesn't end it. */
const sendChunks = (line: string, host: string, chunkBytes: number): CrowdCaller => ({
  start: `${line} HTTP/1.1\r\nHost: ${host}\r\nTransfer-Encoding: chunked\r\n\r\n`,
  block: `${chunkBytes.toString(16)}\r\n${'.'.repeat(chunkBytes)}\r\n`,
  maxBytes: maxCallerBytes
})

for (const [chunkBytes, callers] of [[1, 200], [16, 300]] as const) {
  test.serial(`a gateway outlives ${callers} callers that send uploads in chunks of ${chunkBytes} bytes, and serves others`, async t => {
    t.timeout(150_000)
    const host = await startCrowdHost(limits)
    t.teardown(host.stop)
    const order = { address: host.callers, path: '/orders/1', method: 'POST' } as const
    checkOutcome(t, await runCrowd(host, { start: () => startCrowd(host.callers, callers, sendChunks('POST /photos/1', 'shop.test', chunkBytes)), during: order, afterwards: order }), limits)
  })
}

for (const [chunkBytes, callers] of [[1, 40], [1, 200]] as const) {
  test.serial(`a router outlives ${callers} callers that send uploads in chunks of ${chunkBytes} bytes, and serves others`, async t => {
    t.timeout(150_000)
    const { router, stop } = await startCrowdRouters(limits)
    t.teardown(stop)
    const order = { address: router.callers, path: '/orders/1', method: 'POST', host: crowdService } as const
    checkOutcome(t, await runCrowd(router, { start: () => startCrowd(router.callers, callers, sendChunks('PUT /photos/1', crowdService, chunkBytes)), during: order, afterwards: order }), limits)
  })
}
