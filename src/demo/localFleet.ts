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

/** Any free port on loopback. */
const anyPort = '127.0.0.1:0'

/** What a local fleet consists of. */
export type LocalFleetOptions = {
  zones: readonly string[]
  /** Stand-in backend servers of the service that checks grants, and of the one that does not. */
  checkingBackends: number
  trustingBackends: number
  routers: number
  workMs: number
  /** Time that a router has to stop, in milliseconds. */
  graceMs?: number
  log: LogEvent
  /** Opens the store for routers and controllers; replaced in tests of failures. */
  openStore?: (address: string) => StoreClient
  rules?: (hashKey: (key: string) => number) => RouterRules
}

/** Store, host list, backend servers, routers and a controller in this process, on loopback. */
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
  /** Waits until a condition holds; false after the time limit. */
  waitUntil: (condition: () => boolean, limitMs: number) => Promise<boolean>
  stop: () => void
}

/** Name of the team of a local fleet. */
export const localTeam = 'demo'
/** Service whose backend servers check grants. */
export const checkingService = 'catalogue'
/** Service whose backend servers check nobody. */
export const trustingService = 'bookings'

/** Starts a whole system on loopback and applies its document. */
export async function startLocalFleet (options: LocalFleetOptions, timers: TimerService): Promise<LocalFleet> {
  const hashKey = await loadHashKey()
  const store = expectStarted(await startStoreStandin(anyPort, timers), 'store')
  const hosts = expectStarted(await startHostListStandin(anyPort, timers), 'host list')
  const backends = await startBackends(options, timers)
  const operatorStore = createStoreClient(store.address)
  const tls = { 'insecure-loopback': true }
  const common = { store: { address: store.address }, hosts: { url: hosts.url, 'poll-ms': 250 }, tls, log: { level: 'off' as const } }
  const surroundings = { timers, log: options.log, openStore: options.openStore }
  const rules = options.rules ?? buildDefaultRules
  const startOneRouter = async (name: string, zone: string): Promise<RunningRouter> => {
    const router = { name, zone, listen: anyPort, 'peer-listen': anyPort, 'admin-listen': anyPort, 'grace-ms': options.graceMs ?? defaultGraceMs }
    return expectRunning(await startRouter({ ...common, router }, { ...surroundings, rules: rules(hashKey) }))
  }
  const startOneController = async (name: string): Promise<RunningController> => {
    const controller = { name, listen: anyPort, 'admin-listen': anyPort }
    return expectRunning(await startController({ ...common, controller }, { ...surroundings, rules: buildControllerRules(hashKey) }))
  }
  const documentText = buildDocumentText(backends.map((backend, index) => ({
    name: backend.name,
    address: backend.address,
    service: index < options.checkingBackends ? checkingService : trustingService,
    zone: chooseZone(options.zones, index)
  })))
  const applied = await applyDocument(operatorStore, { team: localTeam, text: documentText, base: 0, author: 'demo' }, timers)
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
    waitUntil: (condition, limitMs) => waitUntil(condition, limitMs, timers),
    stop: () => {
      for (const router of routers) router.kill()
      for (const controller of controllers) controller.stop()
      for (const backend of backends) backend.kill()
      operatorStore.close()
      hosts.stop()
      store.stop()
    }
  }
  const ready = await fleet.waitUntil(() => isReady(fleet), 20_000)
  expectStarted(ready || undefined, 'ready fleet')
  return fleet
}

async function startBackends (options: LocalFleetOptions, timers: TimerService): Promise<BackendStandin[]> {
  const backends: BackendStandin[] = []
  const count = options.checkingBackends + options.trustingBackends
  for (let index = 0; index < count; index++) {
    const checksGrants = index < options.checkingBackends
    const name = checksGrants ? `cat-${index + 1}` : `book-${index + 1 - options.checkingBackends}`
    const standin = await startBackendStandin({ name, address: anyPort, checksGrants, slots: 4, workMs: options.workMs, timers })
    backends.push(expectStarted(standin, `backend server ${name}`))
  }
  return backends
}

function chooseZone (zones: readonly string[], index: number): string {
  return zones[index % zones.length] ?? 'local-1'
}

/** Every router serves with a valid lease, guards are complete, and every backend server is ready at one holder. */
export function isReady (fleet: LocalFleet): boolean {
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

/** Waits until a condition holds, by looking from time to time. */
export function waitUntil (condition: () => boolean, limitMs: number, timers: TimerService): Promise<boolean> {
  const until = timers.clock.now() + limitMs
  return new Promise(resolve => {
    const stop = timers.subscribe(10, now => {
      const holds = condition()
      if (!holds && now < until) return
      stop()
      resolve(holds)
    })
  })
}

function expectStarted<T> (value: T | undefined, what: string): T {
  if (value === undefined) return stopWith(`the local fleet could not start its ${what}`)
  return value
}

function expectRunning<T> (outcome: StartOutcome<T>): T {
  return outcome.kind === 'running' ? outcome.program : stopWith(outcome.problem)
}

function stopWith (problem: string): never {
  console.error(problem)
  process.exit(1)
}
