import type { CallerRecord } from '../load/callerRecord.js'
import type { Reconciliation } from '../load/reconcile.js'
import type { LogEvent } from '../runtime/log.js'
import type { TimerService } from '../runtime/timerService.js'
import type { LocalFleet } from './localFleet.js'
import { compareRecords } from '../load/reconcile.js'
import { runLoad } from '../load/runLoad.js'
import { applyDocument } from '../operator/applyDocument.js'
import { formatServiceHost, setLookupTarget } from './documentTemplate.js'
import { grantCheckingService, localTeam, startLocalFleet, nonCheckingService } from './localFleet.js'
import { sendProbesUntilAnswered } from './probeKeys.js'

/** Duration of the demo's load, in milliseconds. */
const loadDurationMs = 9000
/** Times of the three events, in milliseconds after the start of the load. */
const killAtMs = 2000
const drainAtMs = 4500
const changeAtMs = 7000
/** Time limit for the changed document to be in force on every running router, in milliseconds. */
const documentTimeoutMs = 10_000
/** Number of keys that are probed after the backend server is killed. */
const probedKeyCount = 40
/** Time limit for the drained router to stop, in milliseconds. */
const drainTimeoutMs = 10_000

/** Measurements of a demo run. */
export type DemoResult = Reconciliation & {
  unavailableMs: number
  configInForceMs: number
  drained: boolean
  drainMs: number
}

/** Runs a system under load while a backend server is killed, a router is drained and a document is changed; returns the measurements. */
export async function runDemo (timers: TimerService, log: LogEvent, writeLine: (line: string) => void): Promise<DemoResult> {
  writeLine('starting a store, a host list, 6 backend servers in 3 availability zones, 3 routers and a controller')
  const fleet = await startLocalFleet({
    zones: ['tbilisi-1', 'imereti-1', 'adjara-1'],
    grantCheckingBackends: 3,
    nonCheckingBackends: 3,
    routers: 3,
    workMs: 2,
    log
  }, timers)
  const startedAt = timers.clock.now()
  const drainedRouter = fleet.routers[2]
  const loads = [grantCheckingService, nonCheckingService].map((service, index) => runLoad({
    routers: fleet.routers.slice(0, 2).map(router => router.address),
    host: { lookup: formatServiceHost(service), confirmation: formatServiceHost(service), upload: formatServiceHost(service) },
    requestsPerSecond: { lookup: 30, confirmation: 10, upload: 1 },
    uploadBytes: 200_000,
    keyCount: 500,
    durationMs: loadDurationMs,
    seed: 7 + index,
    requestIdPrefix: `${service}-`
  }, timers))
  const drainLoad = runLoad(buildDrainLoadPlan(drainedRouter?.address ?? ''), timers)

  await waitUntilTime(timers, startedAt + killAtMs)
  const killedBackend = fleet.backends[0]
  writeLine(`killing backend server ${killedBackend?.name}`)
  const killedAt = timers.clock.now()
  killedBackend?.kill()
  const probesPromise = sendProbesUntilAnswered({
    addresses: fleet.routers.slice(0, 2).map(router => router.address),
    host: formatServiceHost(grantCheckingService),
    keys: Array.from({ length: probedKeyCount }, (_, index) => `key-${index}`),
    unavailableSince: killedAt
  }, timers)

  await waitUntilTime(timers, startedAt + drainAtMs)
  writeLine(`draining router ${drainedRouter?.router}`)
  const drainStartedAt = timers.clock.now()
  drainedRouter?.drain()
  const drained = await waitWithTimeout(drainedRouter?.stopped ?? Promise.resolve(), drainTimeoutMs, timers)
  const drainMs = timers.clock.now() - drainStartedAt

  await waitUntilTime(timers, startedAt + changeAtMs)
  writeLine('applying a changed document')
  const configInForceMs = await applyChange(fleet, timers)

  const callerRecords: CallerRecord[] = (await Promise.all([...loads, drainLoad])).flat()
  const probes = await probesPromise
  const runs = fleet.backends.flatMap(backend => [...backend.getRecords()])
  fleet.stop()
  const result = compareRecords([...callerRecords, ...probes.records], runs)
  return { ...result, unavailableMs: Math.round(probes.unavailableMs), configInForceMs, drained, drainMs: Math.round(drainMs) }
}

/** Plans the load on the router that is drained. It ends 200 ms after the drain starts, as behind a load balancer that has seen the router become unready. */
function buildDrainLoadPlan (address: string) {
  const host = formatServiceHost(grantCheckingService)
  return {
    routers: [address],
    host: { lookup: host, confirmation: host, upload: host },
    requestsPerSecond: { lookup: 20, confirmation: 5, upload: 1 },
    uploadBytes: 400_000,
    keyCount: 500,
    durationMs: drainAtMs + 200,
    seed: 99,
    requestIdPrefix: 'drained-'
  }
}

/** Changes the document and returns the time until it is in force on every running router, in milliseconds. */
async function applyChange (fleet: LocalFleet, timers: TimerService): Promise<number> {
  const changedAt = timers.clock.now()
  const text = setLookupTarget(fleet.documentText, 40)
  const outcome = await applyDocument(fleet.operatorStore, { team: localTeam, text, baseRevision: 1, author: 'demo' }, timers)
  if (outcome.kind !== 'accepted') return documentTimeoutMs
  const runningRouters = fleet.routers.filter(router => router.getState().phase === 'serving')
  await fleet.waitUntil(() => {
    return runningRouters.every(router => router.getState().documents.get(localTeam)?.revision === outcome.revision)
  }, documentTimeoutMs)
  return Math.round(timers.clock.now() - changedAt)
}

function waitUntilTime (timers: TimerService, time: number): Promise<void> {
  return new Promise(resolve => { timers.schedule(Math.max(0, time - timers.clock.now()), () => resolve()) })
}

/** Waits for a promise; resolves with false if the timeout passes first. */
function waitWithTimeout (promise: Promise<void>, timeoutMs: number, timers: TimerService): Promise<boolean> {
  return new Promise(resolve => {
    const cancelTimeout = timers.schedule(timeoutMs, () => resolve(false))
    promise.then(() => {
      cancelTimeout()
      resolve(true)
    })
  })
}
