import type { ExecutionContext } from 'ava'
import type { Crowd } from './crowd.js'
import type { CrowdLimits } from './crowdHost.js'
import type { CrowdProcess } from './crowdProcess.js'
import { callGateway } from '../support/platform/platformFleet.js'

/** Time for which a crowd writes, in milliseconds, unless the process ends before. */
const crowdMs = 6000
/** Most that one caller writes, in bytes. */
export const maxCallerBytes = 24_000_000
/** Time after which a request is given up, in milliseconds: far above every deadline and pause of the programs, since no time is checked. */
const giveUpMs = 30_000

/** One request of an ordinary caller. */
export type OrdinaryCall = { address: string, path: string, method: 'GET' | 'POST', host?: string }

/** A crowd, the request that is sent while it writes, and the one after it has left. */
export type CrowdRun = { start: () => Crowd, during: OrdinaryCall, afterwards: OrdinaryCall }

/** What became of the process and of the two requests; a status is 0 when there was no answer. */
export type CrowdOutcome = { outlivedCrowd: boolean, isAlive: boolean, peakMb: number, descriptors: number, during: number, afterwards: number }

/** Lets a crowd write to a process. */
export async function runCrowd (target: Pick<CrowdProcess, 'isAlive' | 'readPeakMb' | 'countDescriptors'>, run: CrowdRun): Promise<CrowdOutcome> {
  const crowd = run.start()
  let descriptors = 0
  const watching = setInterval(() => {
    descriptors = Math.max(descriptors, target.countDescriptors())
    target.readPeakMb()
  }, 20)
  await pause(crowdMs / 4)
  const during = await callOnce(run.during)
  await waitWhile(target.isAlive, crowdMs * 3 / 4)
  const outlivedCrowd = target.isAlive()
  crowd.end()
  await pause(1500)
  const afterwards = await callOnce(run.afterwards)
  clearInterval(watching)
  return { outlivedCrowd, isAlive: target.isAlive(), peakMb: Math.round(target.readPeakMb()), descriptors, during, afterwards }
}

/** Checks that a process outlived a crowd within its limits, and that ordinary callers were answered. */
export function checkOutcome (t: ExecutionContext, outcome: CrowdOutcome, limits: CrowdLimits): void {
  t.log(outcome)
  t.true(outcome.outlivedCrowd && outcome.isAlive, 'the process ended')
  t.true(outcome.peakMb <= limits.memoryMb, `${outcome.peakMb} MB`)
  t.true(outcome.descriptors <= limits.descriptors, `${outcome.descriptors} descriptors`)
  t.is(outcome.during, 200, 'the request during the crowd')
  t.is(outcome.afterwards, 200, 'the request after the crowd')
}

/** Returns the status of one request on a connection of its own, 0 when there is no answer. */
async function callOnce ({ address, path, method, host }: OrdinaryCall): Promise<number> {
  const answer = callGateway(address, { path, method, ...(host === undefined ? {} : { host }), ...(method === 'POST' ? { body: 'order' } : {}), timeoutMs: giveUpMs, fresh: true })
  const givenUp = pause(giveUpMs).then(() => ({ status: 0 }))
  return (await Promise.race([answer, givenUp])).status
}

async function waitWhile (isTrue: () => boolean, forMs: number): Promise<void> {
  const end = performance.now() + forMs
  while (isTrue() && performance.now() < end) await pause(20)
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
