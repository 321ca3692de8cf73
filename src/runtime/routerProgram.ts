import type { Registration } from '../core/controller/controllerState.js'
import type { RouterReport } from '../core/domain/control.js'
import type { RouterEffect } from '../core/router/routerEffects.js'
import type { RouterEvent } from '../core/router/routerEvents.js'
import type { RouterRules } from '../core/router/rules.js'
import type { RouterState } from '../core/router/routerState.js'
import type { CallerConnectionsOptions } from './callerConnections.js'
import type { CallerServerName } from './closeReasons.js'
import type { ExchangeTable } from './exchange.js'
import type { ListenOutcome } from './listen.js'
import type { LogEvent } from './log.js'
import type { StoreChange, StoreClient } from './storeClient.js'
import type { TimerService } from './timerService.js'
import type { RouterSettings } from '../protocol/settings.js'
import { Server } from '@grpc/grpc-js'
import { randomBytes } from 'node:crypto'
import { eventNumbers } from '../core/router/routerEffects.js'
import { computeAdminLimits, computeCallerLimits } from '../core/policy/memoryBudget.js'
import { computePeerLimits } from '../core/policy/peerBudget.js'
import { isIdempotentRequest } from '../core/router/ingress.js'
import { reduceRouter } from '../core/router/reduceRouter.js'
import { buildRouterState } from '../core/router/routerState.js'
import { PeerService } from '../protocol/gen/peer.js'
import { decodeDeletion, decodeRecord, encodeRegistration, keyPrefix, leadershipKey, registrationPrefix } from '../protocol/storeRecords.js'
import { createAdminServer } from './adminServer.js'
import { createBackendClient } from './backendClient.js'
import { createCallerServer } from './callerServer.js'
import { createPeerCredentials } from './credentials.js'
import { watchHostList } from './hostListPoller.js'
import { listenTcp } from './listen.js'
import { createIntervalLog, runtimeEventNumbers } from './log.js'
import { createRouterMetrics } from './metrics.js'
import { createPeerLinks } from './peerClient.js'
import { createPeerConnections, peerServerOptions } from './peerConnections.js'
import { createPeerService } from './peerServer.js'
import { startProgram } from './program.js'
import { createReadTurns } from './readTurns.js'
import { createSocketPolls } from './socketPolls.js'
import { createReportClient } from './reportClient.js'
import { explainKey, readRouterStatus } from './routerStatus.js'
import { createStoreClient } from './storeClient.js'
import { watchStore } from './storeFollower.js'
import { processTurns } from './turns.js'

/** Time between two ticks of a router, in milliseconds. */
const tickIntervalMs = 20
/** Delay before a failed registration is tried again, in milliseconds. */
const registerRetryMs = 500
/** Largest gRPC message accepted from a peer, in bytes. */
const maxPeerMessageBytes = 4 * 1024 * 1024

/** Delay before a drain request is retried after the event queue was full, in milliseconds. */
const drainRetryMs = 50
/** Time for sending the last answers, which report cut requests, before the process closes, in milliseconds: some round trips inside a region. */
const finalWriteGraceMs = 100

/** A running router. */
export type RunningRouter = {
  router: string
  address: string
  peerAddress: string
  adminAddress: string
  getState: () => RouterState
  /** Starts a graceful shutdown; `stopped` resolves at its end. */
  drain: () => void
  /** Stops immediately, as a crash would. */
  kill: () => void
  stopped: Promise<void>
}

/** Result of starting a router. */
export type StartOutcome<T> = { kind: 'running', program: T } | { kind: 'failed', problem: string }

/** Dependencies of a router besides its settings. */
export type RouterDependencies = {
  timers: TimerService
  log: LogEvent
  rules: RouterRules
  /** Opens the store; tests of failures replace it. */
  openStore?: (address: string) => StoreClient
}

/** Starts a router: its program, its ports and its streams to peers. */
export async function startRouter (settings: RouterSettings, dependencies: RouterDependencies): Promise<StartOutcome<RunningRouter>> {
  const { timers, log, rules } = dependencies
  const router = `${settings.router.name}.${randomBytes(4).toString('hex')}`
  const credentials = createPeerCredentials(settings.tls)
  const metrics = createRouterMetrics()
  const exchanges: ExchangeTable = new Map()
  const store = (dependencies.openStore ?? createStoreClient)(settings.store.address)
  const reports = createReportClient(credentials.client)
  let onStopped = () => {}
  const stopped = new Promise<void>(resolve => { onStopped = resolve })
  const post = (event: RouterEvent) => program.post(event)
  const links = createPeerLinks({ self: router, credentials: credentials.client, timers, post })
  const backends = createBackendClient(timers, post)
  const interpret = (effect: RouterEffect): void => {
    switch (effect.kind) {
      case 'forward': {
        const exchange = exchanges.get(effect.id)
        if (exchange !== undefined) links.forward(exchange, effect.peer, effect.request)
        return
      }
      case 'dispatch': {
        const exchange = exchanges.get(effect.id)
        if (exchange !== undefined) backends.dispatch(exchange, effect.target, effect.attempt)
        else post({ kind: 'dispatch-ended', now: timers.clock.now(), id: effect.id, attempt: effect.attempt, result: 'canceled' })
        return
      }
      case 'refuse': return exchanges.get(effect.id)?.refuse(effect.refusal)
      case 'cancel-forward': return exchanges.get(effect.id)?.cancelForward?.()
      case 'cancel-dispatch': return exchanges.get(effect.id)?.cancelDispatch?.()
      case 'send-control': return links.sendControl(effect.to, effect.message)
      case 'send-grants': return backends.sendGrants(effect)
      case 'connect-peers': return links.setPeers(effect.routers)
      case 'report': return sendReport(effect.report)
      case 'count': return metrics.count(effect.count)
      case 'observe-latency': return metrics.observeLatency(effect.rank, effect.ms)
      case 'log': return log(eventNumbers[effect.event], effect.event, effect.fields)
      case 'end-keep-alive': return callerServer.endKeepAlive()
      case 'close-callers': return callerServer.close(() => { post({ kind: 'callers-closed', now: timers.clock.now() }) })
      case 'unregister': {
        unregister()
        return
      }
      case 'end-peers': return peerService.finish(() => { post({ kind: 'peers-ended', now: timers.clock.now() }) })
      case 'stop': {
        // The answers of this turn are written first.
        timers.schedule(finalWriteGraceMs, close)
      }
    }
  }
  const sendReport = (report: RouterReport) => {
    updateGauges()
    reports.send(report)
  }
  const program = startProgram<RouterState, RouterEvent, RouterEffect>({
    state: buildRouterState(router, settings.router.zone, settings.router['grace-ms']),
    reduce: (state, event) => reduceRouter(state, event, rules),
    interpret
  })
  let isStoreUp = false
  const updateGauges = () => {
    const state = program.getState()
    metrics.setGauges({
      ingress_requests: state.ingress.size,
      egress_requests: state.egress.size,
      held_backends: [...state.backends.values()].filter(backend => backend.isHeld).length,
      lease_valid: state.lease.wasValid ? 1 : 0,
      journal_entries: state.lease.journal.length,
      store_up: isStoreUp ? 1 : 0,
      held_bytes: callerServer.countHeldBytes(),
      held_limit_bytes: callerLimits.heldBytes
    })
  }

  const logClosedCaller = createIntervalLog(timers.clock, log, 'callerClosed')
  const notifyClosed = (server: CallerServerName): CallerConnectionsOptions['notifyClosed'] => (reason, closed) => {
    metrics.countClosedCaller(reason, server)
    logClosedCaller({ reason, server, ...closed })
  }
  const peerConnections = createPeerConnections({
    timers,
    limits: computePeerLimits(settings.router['memory-mb'], settings.router['max-descriptors']),
    notifyClosed: notifyClosed('peers')
  })
  const peerServer = new Server({ ...peerServerOptions, 'grpc.max_receive_message_length': maxPeerMessageBytes })
  const peerService = createPeerService({
    self: router,
    watchMessages: peerConnections.watchMessages,
    timers,
    exchanges,
    post,
    reportMalformedFrame: (peer, detail) => {
      metrics.countMalformedFrame()
      log(runtimeEventNumbers.peerRefused, 'peerRefused', { peer, detail })
    }
  })
  peerServer.addService(PeerService, peerService.service)
  const isReady = () => program.getState().phase === 'serving'
  const callerLimits = computeCallerLimits(settings.router['memory-mb'], settings.router['max-descriptors'])
  const readTurns = createReadTurns({ ...processTurns, clock: timers.clock })
  const callerServer = createCallerServer({
    timers,
    exchanges,
    post,
    idPrefix: 'c',
    isReady,
    limits: callerLimits,
    readTurns,
    polls: createSocketPolls({ ...processTurns, clock: timers.clock, notifyTurn: () => {} }),
    notifyClosed: notifyClosed('callers'),
    isIdempotent: request => isIdempotentRequest(program.getState(), request),
    countRefusal: reason => metrics.count({ metric: 'refusals', reason, outcome: 'not-run' })
  })
  const adminServer = createAdminServer({
    timers,
    limits: computeAdminLimits(settings.router['memory-mb'], settings.router['max-descriptors']),
    readTurns,
    notifyClosed: notifyClosed('admin'),
    registry: metrics.registry,
    isReady,
    readStatus: () => readRouterStatus(program.getState()),
    explain: (service, key) => explainKey(program.getState(), service, key, rules),
    drain: () => drain()
  }, credentials)

  const ports = await Promise.all([
    listenTcp(callerServer.server, settings.router.listen),
    peerConnections.listen(peerServer, settings.router['peer-listen'], credentials.server),
    listenTcp(adminServer, settings.router['admin-listen'])
  ])
  const closePorts = () => {
    callerServer.server.close()
    callerServer.server.closeAllConnections()
    adminServer.close()
    adminServer.closeAllConnections()
    peerServer.forceShutdown()
    peerConnections.close()
  }
  const failed = ports.find(port => port.kind === 'failed')
  if (failed?.kind === 'failed') {
    closePorts()
    links.close()
    backends.close()
    store.close()
    program.stop()
    return failed
  }
  const [address, peerAddress, adminAddress] = ports.map(readAddress)
  const registration: Registration = {
    router,
    address: settings.router['peer-address'] ?? peerAddress ?? '',
    adminAddress: adminAddress ?? '',
    zone: settings.router.zone
  }

  const subscriptions = [timers.subscribe(tickIntervalMs, now => { post({ kind: 'tick', now }) })]
  if (settings.hosts !== undefined) {
    subscriptions.push(watchHostList(settings.hosts, timers, hosts => { post({ kind: 'hosts-listed', now: timers.clock.now(), hosts }) }))
  }
  const follower = watchStore(store, keyPrefix, timers, {
    onChange: change => applyChange(change),
    onHealth: isUp => {
      isStoreUp = isUp
      log(isUp ? runtimeEventNumbers.storeUp : runtimeEventNumbers.storeDown, isUp ? 'storeUp' : 'storeDown', {})
    }
  })
  const applyChange = (change: StoreChange) => {
    if (change.key === leadershipKey) {
      reports.setTarget(change.value)
      return
    }
    const record = change.value === undefined ? decodeDeletion(change.key) : decodeRecord(change.key, change.value)
    if (record === undefined || record.kind === 'registration' || record.kind === 'registration-removed') return
    post({ kind: 'store-changed', now: timers.clock.now(), record })
  }

  let isClosed = false
  const registrationKey = registrationPrefix + router
  const register = async (): Promise<void> => {
    if (isClosed) return
    const result = await store.compareAndSwap(registrationKey, 0, encodeRegistration(registration))
    // A conflict means that an earlier attempt was written although its reply was lost.
    if (result === 'written' || result === 'conflict') return
    timers.schedule(registerRetryMs, () => { register() })
  }
  const close = () => {
    if (isClosed) return
    isClosed = true
    for (const unsubscribe of subscriptions) unsubscribe()
    follower.stop()
    program.stop()
    links.close()
    reports.close()
    backends.close()
    closePorts()
    store.close()
    log(runtimeEventNumbers.stopped, 'stopped', { router })
    onStopped()
  }
  const unregister = async (): Promise<void> => {
    const read = await store.read(registrationKey)
    const known = read.kind === 'read' ? read.values.find(value => value.key === registrationKey) : undefined
    if (known !== undefined) await store.compareAndSwap(registrationKey, known.modRevision, undefined)
    post({ kind: 'unregistered', now: timers.clock.now() })
  }
  const drain = () => {
    if (isClosed || post({ kind: 'drain-requested', now: timers.clock.now() })) return
    timers.schedule(drainRetryMs, drain)
  }
  register()
  log(runtimeEventNumbers.started, 'started', { router, address, peerAddress, adminAddress })
  return {
    kind: 'running',
    program: {
      router,
      address: address ?? '',
      peerAddress: peerAddress ?? '',
      adminAddress: adminAddress ?? '',
      getState: program.getState,
      drain,
      kill: close,
      stopped
    }
  }
}

function readAddress (port: ListenOutcome): string {
  return port.kind === 'listening' ? port.address : ''
}
