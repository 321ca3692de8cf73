import type { CrowdCaller } from './crowds/crowd.js'
import type { CrowdHost, CrowdLimits } from './crowds/crowdHost.js'
import test from 'ava'
import { startCrowd } from './crowds/crowd.js'
import { startCrowdHost } from './crowds/crowdHost.js'
import { callGateway } from './support/platform/platformFleet.js'

/** Limits of the process: the memory of a host two thirds as large as the smallest one, of which Node.js may use about a third for old objects. */
const limits: CrowdLimits = { memoryMb: 140, descriptors: 160, heapMb: 48, bodyBytes: 1_000_000 }
/** Time for which a crowd writes, in milliseconds, unless the process ends before. */
const crowdMs = 6000
/** Most that one caller writes, in bytes. */
const maxBytes = 24_000_000
/** Time after which a request is given up, in milliseconds: far above every deadline and pause of the gateway, since no time is checked. */
const giveUpMs = 30_000

type CrowdCase = { name: string, callers: number, address: 'callers' | 'probes', caller: CrowdCaller }

const head = (line: string, rest = '') => `${line} HTTP/1.1\r\nHost: shop.test\r\n${rest}\r\n`
const sendAhead = (path: string): CrowdCaller => ({ start: '', block: head(`GET ${path}`), maxBytes })

const crowds: CrowdCase[] = [
  { name: 'GETs sent ahead to a route, without the usual headers and with their answers unread', callers: 10, address: 'callers', caller: sendAhead('/reads/1') },
  { name: 'GETs sent ahead to a host and path that no route has', callers: 10, address: 'callers', caller: { start: '', block: 'GET /none HTTP/1.1\r\nHost: none.test\r\n\r\n', maxBytes } },
  { name: 'GETs sent ahead to the readiness path, at the address of callers', callers: 10, address: 'callers', caller: sendAhead('/-/readiness') },
  { name: 'GETs sent ahead to the readiness path, at the address of probes', callers: 200, address: 'probes', caller: sendAhead('/-/readiness') },
  { name: 'POSTs in chunks without end', callers: 150, address: 'callers', caller: { start: head('POST /photos/1', 'Transfer-Encoding: chunked\r\n'), block: `4000\r\n${'.'.repeat(16_384)}\r\n`, maxBytes } },
  { name: 'POSTs that announce 3 GB', callers: 200, address: 'callers', caller: { start: head('POST /photos/1', 'Content-Length: 3000000000\r\n'), block: '.'.repeat(16_384), maxBytes } },
  { name: 'uploads of 360 kB in chunks of one byte', callers: 10, address: 'callers', caller: { start: head('POST /photos/1', 'Request-Id: tiny\r\nDeadline-Ms: 8000\r\nTransfer-Encoding: chunked\r\n'), block: '1\r\n.\r\n', maxBytes: 360_000 * 6 } }
]

for (const { name, callers, address, caller } of crowds) {
  test.serial(`a host outlives ${callers} callers that send ${name}, answers probes meanwhile and callers afterwards`, async t => {
    t.timeout(120_000)
    const host = await startCrowdHost(limits)
    t.teardown(host.stop)
    const crowd = startCrowd(host[address], callers, caller)
    let descriptors = 0
    const watching = setInterval(() => {
      descriptors = Math.max(descriptors, host.countDescriptors())
      host.readPeakMb()
    }, 20)
    t.teardown(() => clearInterval(watching))
    await pause(crowdMs / 4)
    const probe = await callOnce(host.probes, '/-/readiness', 'GET')
    await waitWhile(() => host.isAlive(), crowdMs * 3 / 4)
    const endedAlive = host.isAlive()
    crowd.end()
    await pause(1500)
    const order = await callOnce(host.callers, '/orders/1', 'POST')
    const peakMb = host.readPeakMb()
    t.log({ isAlive: host.isAlive(), peakMb: Math.round(peakMb), descriptors, probe, order, directory: host.directory })
    t.true(endedAlive && host.isAlive(), 'the process ended')
    t.true(peakMb <= limits.memoryMb, `${Math.round(peakMb)} MB`)
    t.true(descriptors <= limits.descriptors, `${descriptors} descriptors`)
    t.is(probe, 200, 'the probe during the crowd')
    t.is(order, 200, 'the request after the crowd')
    t.is(countDoubled(host), 0)
  })
}

/** Returns the status of one request on a connection of its own, 0 when there is no answer. */
async function callOnce (address: string, path: string, method: string): Promise<number> {
  const answer = callGateway(address, { path, method, ...(method === 'POST' ? { body: 'order' } : {}), timeoutMs: giveUpMs, fresh: true })
  const givenUp = pause(giveUpMs).then(() => ({ status: 0 }))
  return (await Promise.race([answer, givenUp])).status
}

/** Counts requests that are not idempotent and ran more than once. */
function countDoubled (host: CrowdHost): number {
  const ids = host.backends.flatMap(backend => backend.runs).filter(run => run.path === '/orders/1').map(run => run.requestId)
  return ids.length - new Set(ids).size
}

async function waitWhile (isTrue: () => boolean, forMs: number): Promise<void> {
  const end = performance.now() + forMs
  while (isTrue() && performance.now() < end) await pause(20)
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
