import type { SoakFault, SoakSizes, SoakStep } from './soakPlan.js'
import type { SoakFleet, SoakHost } from './soakFleet.js'
import { buildConfiguration, callGateway, waitFor } from '../support/platform/platformFleet.js'
import { isReady, startSoakFleet } from './soakFleet.js'
import { planSoak } from './soakPlan.js'

/** Time after a fault for which guarantees with a time bound do not apply to what it affected, in milliseconds: the users' stable_window_s. */
const stableMs = 3000
/** Time within which a configuration must be in force, in milliseconds: the users' config_apply_s. */
const applyMs = 2000
/** Time for which a leaving backend server may get new requests, in milliseconds: the users' drain_s. */
const drainMs = 2000
/** Maximum time for which two backend servers may hold a key without both running requests for it, in milliseconds: half a second by the users' rules. */
const sharedHoldMs = 500
/** Time within which all keys must be served again after the last fault, in milliseconds: the users' recovery_s. */
const recoveryMs = 15_000
/** Interval between calls, in milliseconds. */
const callIntervalMs = 6
/** Keys that are checked, spread evenly over all keys. */
const watchedKeys = Array.from({ length: 48 }, (_, index) => Math.floor((index + 0.5) * 65_536 / 48))

type Call = { requestId: string, host: SoakHost, isOrder: boolean, sentAt: number, endedAt: number, status: number, complete: boolean, body: string, stamp: string }

/** Result of a soak. `broken`: descriptions of the guarantees that were violated, empty when all held. */
export type SoakResult = { seed: number, steps: SoakStep[], broken: string[], calls: number, answered: number, directory: string }

/** Runs one soak with real processes and lists the guarantees that were violated. */
export async function playSoak (program: string, seed: number, sizes: SoakSizes): Promise<SoakResult> {
  const steps = planSoak(seed, sizes)
  const shards = Math.ceil(sizes.backends / 2)
  const fleet = await startSoakFleet(program, { hosts: sizes.hosts, shards, plain: sizes.backends - shards })
  const broken: string[] = []
  const calls: Call[] = []
  try {
    if (!await waitUntilServed(fleet, recoveryMs)) broken.push(`not served ${recoveryMs} ms after the start`)
    const startedAt = performance.now()
    const pending: Array<Promise<void>> = []
    for (const step of steps) pending.push(delay(step.at).then(async () => await applyStep(fleet, step, broken)))
    const stopWatching = watchHolds(fleet, broken)
    while (performance.now() - startedAt < sizes.lengthMs) {
      pending.push(callOnce(fleet, calls))
      await delay(callIntervalMs)
    }
    await Promise.all(pending)
    for (const host of fleet.hosts) if (host.process === undefined) fleet.startHost(host)
    if (!await waitUntilServed(fleet, recoveryMs)) broken.push(`not served again ${recoveryMs} ms after the last fault`)
    stopWatching()
    checkCalls(fleet, calls, broken)
  } finally {
    await fleet.stop()
  }
  return { seed, steps, broken, calls: calls.length, answered: calls.filter(call => call.status === 200).length, directory: fleet.directory }
}

async function delay (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/**
 * Waits until each host serves every watched key in one round. The keys are looked up one after the other
 * per host: all at once could overload one owner, which may refuse them.
 */
async function waitUntilServed (fleet: SoakFleet, withinMs: number): Promise<boolean> {
  const end = performance.now() + withinMs
  while (performance.now() < end) {
    const served = await Promise.all(fleet.hosts.map(async host => await isServingAll(host)))
    if (served.every(Boolean)) return true
    await delay(200)
  }
  return false
}

async function isServingAll (host: SoakHost): Promise<boolean> {
  for (const key of watchedKeys) {
    const answer = await callGateway(host.callers, { path: '/reads/1', key, fresh: true })
    if (answer.status !== 200) return false
  }
  return true
}

async function callOnce (fleet: SoakFleet, calls: Call[]): Promise<void> {
  const index = calls.length
  const host = fleet.hosts[index % fleet.hosts.length]
  if (host === undefined) return
  const isOrder = index % 3 === 0
  const sentAt = performance.now()
  const requestId = `soak-${process.pid}-${Math.floor(sentAt)}-${index}`
  const call: Call = { requestId, host, isOrder, sentAt, endedAt: Infinity, status: -1, complete: false, body: '', stamp: '' }
  calls.push(call)
  const key = (index * 7919) % 65_536
  const result = await callGateway(host.callers, isOrder ? { path: '/orders/1', method: 'POST', body: `order ${requestId}`, requestId } : { path: '/reads/1', key, requestId })
  Object.assign(call, { endedAt: performance.now(), status: result.status, complete: result.complete, body: result.body, stamp: String(result.headers['response-stamp'] ?? '') })
}

/** Injects the fault of one step, ends it after its duration and checks its guarantees meanwhile. */
async function applyStep (fleet: SoakFleet, step: SoakStep, broken: string[]): Promise<void> {
  const { fault, forMs } = step
  const setAffected = (host: SoakHost) => { host.affectedUntil = Math.max(host.affectedUntil, performance.now() + forMs + stableMs) }
  switch (fault.kind) {
    case 'kill-host':
    case 'stop-host':
    case 'pause-host':
    case 'reload-host': return await signalHost(fleet, fault, forMs, setAffected)
    case 'cut-host-from-store': {
      const host = fleet.hosts[fault.host]
      if (host === undefined) return
      setAffected(host)
      host.storeLink.setMode(fault.mode)
      await delay(forMs)
      host.storeLink.setMode('pass')
      return
    }
    case 'disrupt-store': {
      for (const host of fleet.hosts) {
        setAffected(host)
        host.storeLink.setMode(fault.mode)
      }
      await delay(forMs)
      for (const host of fleet.hosts) host.storeLink.setMode('pass')
      return
    }
    case 'disrupt-backend-link': {
      const backend = fleet.backends[fault.backend]
      if (backend === undefined) return
      backend.affectedUntil = performance.now() + forMs + stableMs
      backend.link.setMode(fault.mode)
      await delay(forMs)
      backend.link.setMode('pass')
      return
    }
    case 'corrupt-answers': {
      fleet.backends[fault.backend]?.server.faults.nextRequests.push(fault.how, fault.how)
      return
    }
    case 'drain-backend': return await drainBackend(fleet, fault)
    case 'change-configuration': return await changeConfiguration(fleet, broken, fault.isWithoutEvents)
  }
}

async function signalHost (fleet: SoakFleet, fault: Extract<SoakFault, { host: number }>, forMs: number, setAffected: (host: SoakHost) => void): Promise<void> {
  const host = fleet.hosts[fault.host]
  const child = host?.process
  if (host === undefined || child === undefined) return
  if (fault.kind === 'reload-host') {
    child.kill('SIGHUP')
    return
  }
  setAffected(host)
  const now = performance.now()
  if (fault.kind === 'kill-host') host.interruptions.push({ from: now, to: now })
  if (fault.kind === 'pause-host') {
    host.interruptions.push({ from: now, to: now + forMs + stableMs })
    child.kill('SIGSTOP')
    await delay(forMs)
    child.kill('SIGCONT')
    return
  }
  child.kill(fault.kind === 'kill-host' ? 'SIGKILL' : 'SIGTERM')
  await waitFor(() => host.process !== child, 20_000)
  await delay(forMs)
  setAffected(host)
  if (host.process === undefined) fleet.startHost(host)
}

/** Makes a backend server announce that it leaves and then removes its registration. It does not return: at least two others stay for its service. */
async function drainBackend (fleet: SoakFleet, fault: Extract<SoakFault, { kind: 'drain-backend' }>): Promise<void> {
  const backend = fleet.backends[fault.backend]
  if (backend === undefined || backend.leavingAt !== undefined) return
  const staying = fleet.backends.filter(other => other.service === backend.service && other.leavingAt === undefined)
  if (staying.length < 3) return
  backend.leavingAt = performance.now()
  changeStore(fleet, fault.isWithoutEvents, () => fleet.register(backend, 'draining'))
  await delay(drainMs + 500)
  fleet.store.remove(`servers/${backend.server.id}`)
}

function changeStore (fleet: SoakFleet, isWithoutEvents: boolean, change: () => void): void {
  if (isWithoutEvents) fleet.store.changeWithoutEvents(change)
  else change()
}

async function changeConfiguration (fleet: SoakFleet, broken: string[], isWithoutEvents: boolean): Promise<void> {
  fleet.version += 1
  const { version } = fleet
  const route = { host: 'shop.test', path_prefix: `/added-${version}/`, kind: 'safe', timeout_s: 1, target_latency_s: 0.5, priority: 0, service: 'plain', max_attempts: 2 }
  changeStore(fleet, isWithoutEvents, () => fleet.store.put('op/config', buildConfiguration(version, { [`added-${version}`]: route })))
  await delay(applyMs)
  if (version !== fleet.version) return
  for (const host of fleet.hosts) {
    if (host.affectedUntil > performance.now() || !await isReady(host)) continue
    const answer = await callGateway(host.callers, { path: `/added-${version}/x`, fresh: true })
    if (answer.status === 404 && version === fleet.version && host.affectedUntil < performance.now()) broken.push(`${host.name} does not know configuration ${version} after ${applyMs} ms`)
  }
}

/** Checks periodically, by the backend servers' own clocks, that no key is served by two holders or has two holders for too long. */
function watchHolds (fleet: SoakFleet, broken: string[]): () => void {
  const sharedSinceByKey = new Map<number, number>()
  const timer = setInterval(() => {
    const now = performance.now()
    for (const key of watchedKeys) {
      const holders = fleet.backends.filter(backend => backend.service === 'shards' && backend.server.holds(key))
      if (holders.length < 2) {
        sharedSinceByKey.delete(key)
        continue
      }
      const sharedSince = sharedSinceByKey.get(key) ?? now
      sharedSinceByKey.set(key, sharedSince)
      const running = holders.filter(backend => backend.server.runs.some(run => run.key === key && run.at >= sharedSince))
      if (running.length > 1) broken.push(`key ${key} runs at ${running.map(backend => backend.server.id).join(' and ')}`)
      if (now - sharedSince > sharedHoldMs) broken.push(`key ${key} is held by ${holders.map(backend => backend.server.id).join(' and ')} for ${Math.round(now - sharedSince)} ms`)
    }
  }, 25)
  return () => clearInterval(timer)
}

/** Compares the answers that callers got with the requests that the backend servers executed. */
function checkCalls (fleet: SoakFleet, calls: readonly Call[], broken: string[]): void {
  const runs = new Map<string, number>()
  const callOf = new Map(calls.map(call => [call.requestId, call]))
  for (const backend of fleet.backends) {
    for (const run of backend.server.runs) {
      runs.set(run.requestId, (runs.get(run.requestId) ?? 0) + 1)
      const { leavingAt } = backend
      const call = callOf.get(run.requestId)
      const isBound = fleet.hosts.every(host => host.affectedUntil < (leavingAt ?? 0)) || (call !== undefined && call.host.affectedUntil < call.sentAt)
      if (leavingAt !== undefined && run.at > leavingAt + drainMs && isBound) broken.push(`${backend.server.id} got ${run.requestId} ${Math.round(run.at - leavingAt)} ms after it began to leave`)
    }
  }
  for (const call of calls) {
    const ran = runs.get(call.requestId) ?? 0
    if (call.isOrder && ran > 1) broken.push(`order ${call.requestId} ran ${ran} times`)
    if (call.isOrder && call.status === 503 && ran > 0) broken.push(`order ${call.requestId} was refused as not run, and ran`)
    const isInterrupted = call.host.interruptions.some(each => each.from <= call.endedAt && each.to >= call.sentAt)
    if (call.status === 0 && ran > 0 && !isInterrupted) broken.push(`${call.requestId} ran, and ${call.host.name} closed its connection without an answer after ${Math.round(call.endedAt - call.sentAt)} ms`)
    if (call.status !== 200 || !call.complete) continue
    if (call.body !== `answer to ${call.requestId} by ${call.stamp}`) broken.push(`${call.requestId} got the answer "${call.body}"`)
  }
}
