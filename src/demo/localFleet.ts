import type { TimerService } from '../runtime/timerService.js'
import type { RunningController } from '../runtime/controllerProgram.js'
import type { RouterRules } from '../core/router/rules.js'
import type { RunningRouter, StartOutcome } from '../runtime/routerProgram.js'
import type { LogEvent } from '../runtime/log.js'
import type { BackendStandin } from '../standins/backendStandin.js'
import type { HostListStandin } from '../standins/hostListStandin.js'
import type { StoreStandin } from '../standins/storeStandin.js'
import type { StoreClient } from '../runtime/storeClient.js'
import { defaultGraceMs } from '../core/limits.js'
import { buildControllerRules } from '../core/controller/rules.js'
import { buildDefaultRules } from '../core/router/defaultRules.js'
import { applyDocument } from '../operator/applyDocument.js'
import { startController } from '../runtime/controllerProgram.js'
import { loadHashKey } from '../runtime/hashKey.js'
import { startRouter } from '../runtime/routerProgram.js'
import { createStoreClient } from '../runtime/storeClient.js'
import { startBackendStandin } from '../standins/backendStandin.js'
import { startHostListStandin } from '../standins/hostListStandin.js'
import { startStoreStandin } from '../standins/storeStandin.js'
import { buildDocumentText } from './documentTemplate.js'

/** Loopback address whose port the operating system chooses. */
const anyLoopbackAddress = '127.0.0.1:0'

/** Options of a local fleet. */
export type LocalFleetOptions = {
  zones: readonly string[]
  /** Numbers of stand-in backend servers that check grants, and of those that do not. */
  grantCheckingBackends: number
  nonCheckingBackends: number
  routers: number
  workMs: number
  /** Time limit for a router to stop, in milliseconds. */
  graceMs?: number
  log: LogEvent
  /** Connects routers and controllers to the store; tests of failures replace it. */
  openStore?: (address: string) => StoreClient
  buildRules?: (hashKey: (key: string) => number) => RouterRules
}

/** Stand-ins for the store, the host list and the backend servers, with routers and controllers, all in this process on loopback. */
export type LocalFleet = {
  store: StoreStandin
  hosts: HostListStandin
  backends: BackendStandin[]
  routers: RunningRouter[]
  controllers: RunningController[]
  operatorStore: StoreClient
  documentText: string
  startRouter: (name: string, zone: string) => Promise<RunningRouter>
  startController: (name: string) => Promise<RunningController>
  /** Waits until a condition is met; resolves with false after the timeout. */
  waitUntil: (condition: () => boolean, timeoutMs: number) => Promise<boolean>
  stop: () => void
}

/** Team whose document a local fleet uses. */
export const localTeam = 'demo'
/** Service whose backend servers check grants. */
export const grantCheckingService = 'catalogue'
/** Service whose backend servers do not check grants. */
export const nonCheckingService = 'bookings'

/** Starts a complete system on loopback, applies its document and waits until it is ready. */
export async function startLocalFleet (options: LocalFleetOptions, timers: TimerService): Promise<LocalFleet> {
  const hashKey = await loadHashKey()
  const store = expectStarted(await startStoreStandin(anyLoopbackAddress, timers), 'store')
  const hosts = expectStarted(await startHostListStandin(anyLoopbackAddress, timers), 'host list')
  const backends = await startBackends(options, timers)
  const operatorStore = createStoreClient(store.address)
  const tls = { 'insecure-loopback': true }
  const commonSettings = { store: { address: store.address }, hosts: { url: hosts.url, 'poll-ms': 250 }, tls, log: { level: 'off' as const } }
  const programOptions = { timers, log: options.log, openStore: options.openStore }
  const buildRules = options.buildRules ?? buildDefaultRules
  const startOneRouter = async (name: string, zone: string): Promise<RunningRouter> => {
    const router = { name, zone, listen: anyLoopbackAddress, 'peer-listen': anyLoopbackAddress, 'admin-listen': anyLoopbackAddress, 'grace-ms': options.graceMs ?? defaultGraceMs, 'memory-mb': 350, 'max-descriptors': 4096 }
    return expectRunning(await startRouter({ ...commonSettings, router }, { ...programOptions, rules: buildRules(hashKey) }))
  }
  const startOneController = async (name: string): Promise<RunningController> => {
    const controller = { name, listen: anyLoopbackAddress, 'admin-listen': anyLoopbackAddress, 'memory-mb': 350, 'max-descriptors': 4096 }
    return expectRunning(await startController({ ...commonSettings, controller }, { ...programOptions, rules: buildControllerRules(hashKey) }))
  }
  const documentText = buildDocumentText(backends.map((backend, index) => ({
    name: backend.name,
    address: backend.address,
    service: index < options.grantCheckingBackends ? grantCheckingService : nonCheckingService,
    zone: chooseZone(options.zones, index)
  })))
  const applied = await applyDocument(operatorStore, { team: localTeam, text: documentText, baseRevision: 0, author: 'demo' }, timers)
  expectStarted(applied.kind === 'accepted' ? applied : undefined, 'document')
  const controllers = [await startOneController('controller-1')]
  const routers: RunningRouter[] = []
  for (let index = 0; index < options.routers; index++) {
    routers.push(await startOneRouter(`router-${index + 1}`, chooseZone(options.zones, index)))
  }
  const fleet: LocalFleet = {
    store,
    hosts,
    backends,
    routers,
    controllers,
    operatorStore,
    documentText,
    startRouter: startOneRouter,
    startController: startOneController,
    waitUntil: (condition, timeoutMs) => waitUntil(condition, timeoutMs, timers),
    stop: () => {
      for (const router of routers) router.kill()
      for (const controller of controllers) controller.stop()
      for (const backend of backends) backend.kill()
      operatorStore.close()
      hosts.stop()
      store.stop()
    }
  }
  const isReady = await fleet.waitUntil(() => isFleetReady(fleet), 20_000)
  expectStarted(isReady || undefined, 'ready fleet')
  return fleet
}

async function startBackends (options: LocalFleetOptions, timers: TimerService): Promise<BackendStandin[]> {
  const backends: BackendStandin[] = []
  const count = options.grantCheckingBackends + options.nonCheckingBackends
  for (let index = 0; index < count; index++) {
    const checksGrants = index < options.grantCheckingBackends
    const name = checksGrants ? `cat-${index + 1}` : `book-${index + 1 - options.grantCheckingBackends}`
    const standin = await startBackendStandin({ name, address: anyLoopbackAddress, checksGrants, slots: 4, workMs: options.workMs, timers })
    backends.push(expectStarted(standin, `backend server ${name}`))
  }
  return backends
}

function chooseZone (zones: readonly string[], index: number): string {
  return zones[index % zones.length] ?? 'local-1'
}

/** Whether every router serves with a valid lease and enough guardians, no move is in progress, and every backend server is ready at a holder and has acknowledged its grants. */
export function isFleetReady (fleet: LocalFleet): boolean {
  const expectedGuardians = Math.min(2, fleet.routers.length - 1)
  const ready = new Set<string>()
  for (const router of fleet.routers) {
    const state = router.getState()
    if (state.phase !== 'serving' || !state.lease.wasValid) return false
    if (state.lease.guardians.length < expectedGuardians) return false
    if (state.handoffs.size > 0 || state.holderMoves.size > 0) return false
    for (const backend of state.backends.values()) {
      if (!backend.isHeld || backend.status !== 'ready') continue
      if (backend.checksGrants && backend.grant.ackedSet !== backend.grant.set) continue
      ready.add(backend.server.name)
    }
  }
  return ready.size === fleet.backends.length
}

/** Checks a condition every 10 ms until it is met; resolves with false after the timeout. */
export function waitUntil (condition: () => boolean, timeoutMs: number, timers: TimerService): Promise<boolean> {
  const deadline = timers.clock.now() + timeoutMs
  return new Promise(resolve => {
    const stopPolling = timers.subscribe(10, now => {
      const isMet = condition()
      if (!isMet && now < deadline) return
      stopPolling()
      resolve(isMet)
    })
  })
}

function expectStarted<T> (value: T | undefined, part: string): T {
  if (value === undefined) return endProcess(`the local fleet could not start its ${part}`)
  return value
}

function expectRunning<T> (outcome: StartOutcome<T>): T {
  return outcome.kind === 'running' ? outcome.program : endProcess(outcome.problem)
}

function endProcess (problem: string): never {
  console.error(problem)
  process.exit(1)
}
