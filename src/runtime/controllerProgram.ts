import type { ControllerEffect, ControllerEvent, ControllerState, WriteResult } from '../core/controller/controllerState.js'
import type { ControllerRules } from '../core/controller/rules.js'
import type { ControlServer } from '../protocol/gen/peer.js'
import type { ControllerSettings } from '../protocol/settings.js'
import type { LogEvent } from './log.js'
import type { StartOutcome } from './routerProgram.js'
import type { StoreChange, StoreClient } from './storeClient.js'
import type { TimerService } from './timerService.js'
import { Server } from '@grpc/grpc-js'
import { randomBytes } from 'node:crypto'
import { buildControllerState, controllerEventNumbers } from '../core/controller/controllerState.js'
import { computeAdminLimits } from '../core/policy/memoryBudget.js'
import { computePeerLimits } from '../core/policy/peerBudget.js'
import { reduceController } from '../core/controller/reduceController.js'
import { ControlService } from '../protocol/gen/peer.js'
import { decodeRouterReport } from '../protocol/peerCodec.js'
import { decodeDeletion, decodeRecord, encodeAssignment, encodeFleet, keyPrefix, registrationPrefix } from '../protocol/storeRecords.js'
import { createAdminServer } from './adminServer.js'
import { createPeerCredentials } from './credentials.js'
import { watchHostList } from './hostListPoller.js'
import { runCampaign } from './leadership.js'
import { listenTcp } from './listen.js'
import { createIntervalLog, runtimeEventNumbers } from './log.js'
import { createControllerMetrics } from './metrics.js'
import { createPeerConnections, peerServerOptions } from './peerConnections.js'
import { startProgram } from './program.js'
import { createReadTurns } from './readTurns.js'
import { createStoreClient } from './storeClient.js'
import { watchStore } from './storeFollower.js'
import { processTurns } from './turns.js'

/** Time between two ticks of a controller, in milliseconds. */
const tickIntervalMs = 100

/** A running controller. */
export type RunningController = {
  controller: string
  address: string
  adminAddress: string
  getState: () => ControllerState
  stop: () => void
}

/** Dependencies of a controller besides its settings. */
export type ControllerDependencies = {
  timers: TimerService
  log: LogEvent
  rules: ControllerRules
  openStore?: (address: string) => StoreClient
}

/** Starts a controller: its program, its ports and its campaign for leadership. */
export async function startController (
  settings: ControllerSettings,
  dependencies: ControllerDependencies
): Promise<StartOutcome<RunningController>> {
  const { timers, log, rules } = dependencies
  const controller = `${settings.controller.name}.${randomBytes(4).toString('hex')}`
  const credentials = createPeerCredentials(settings.tls)
  const metrics = createControllerMetrics()
  const store = (dependencies.openStore ?? createStoreClient)(settings.store.address)
  const post = (event: ControllerEvent) => program.post(event)
  const now = () => timers.clock.now()
  const write = async (key: string, expected: number, operation: string, value: string): Promise<void> => {
    const result: WriteResult = await store.compareAndSwap(key, expected, value)
    post({ kind: 'write-ended', now: now(), key, operation, result })
  }
  const interpret = (effect: ControllerEffect): void => {
    switch (effect.kind) {
      case 'write-assignment': {
        write(effect.key, effect.expected, effect.assignment.operation, encodeAssignment(effect.assignment))
        return
      }
      case 'write-fleet': {
        write(effect.key, effect.expected, effect.fleet.operation, encodeFleet(effect.fleet))
        return
      }
      case 'delete-registration': {
        removeKey(store, registrationPrefix + effect.router)
        return
      }
      case 'refresh': return follower.refresh()
      case 'count': return metrics.countWrite(effect.result)
      case 'log': return log(controllerEventNumbers[effect.event], effect.event, effect.fields)
    }
  }
  const program = startProgram<ControllerState, ControllerEvent, ControllerEffect>({
    state: buildControllerState(controller),
    reduce: (state, event) => reduceController(state, event, rules),
    interpret
  })
  const applyChange = (change: StoreChange) => {
    const record = change.value === undefined ? decodeDeletion(change.key) : decodeRecord(change.key, change.value)
    if (record === undefined) return
    post({ kind: 'record-changed', now: now(), key: change.key, modRevision: change.modRevision, record })
  }
  const follower = watchStore(store, keyPrefix, timers, {
    onChange: applyChange,
    onHealth: isUp => log(isUp ? runtimeEventNumbers.storeUp : runtimeEventNumbers.storeDown, isUp ? 'storeUp' : 'storeDown', {})
  })
  const { 'memory-mb': memoryMb, 'max-descriptors': descriptors } = settings.controller
  const logClosedCaller = createIntervalLog(timers.clock, log, 'callerClosed')
  const connections = createPeerConnections({
    timers,
    limits: computePeerLimits(memoryMb, descriptors),
    notifyClosed: (reason, closed) => logClosedCaller({ reason, server: 'peers', ...closed })
  })
  const controlServer = new Server(peerServerOptions)
  const controlService: ControlServer = {
    report: (call, callback) => {
      connections.watchMessages(call.getPeer())()
      post({ kind: 'report-received', now: now(), report: decodeRouterReport(call.request) })
      callback(null, { leading: program.getState().leading })
    }
  }
  controlServer.addService(ControlService, controlService)
  const adminServer = createAdminServer({
    timers,
    limits: computeAdminLimits(memoryMb, descriptors),
    readTurns: createReadTurns({ ...processTurns, clock: timers.clock }),
    notifyClosed: (reason, closed) => logClosedCaller({ reason, server: 'admin', ...closed }),
    registry: metrics.registry,
    isReady: () => program.getState().fleet.revision > 0 || program.getState().leading,
    readStatus: () => readControllerStatus(program.getState())
  }, credentials)
  const ports = await Promise.all([
    connections.listen(controlServer, settings.controller.listen, credentials.server),
    listenTcp(adminServer, settings.controller['admin-listen'])
  ])
  const subscriptions = [timers.subscribe(tickIntervalMs, time => { post({ kind: 'tick', now: time }) })]
  const stop = () => {
    for (const unsubscribe of subscriptions) unsubscribe()
    follower.stop()
    program.stop()
    controlServer.forceShutdown()
    connections.close()
    adminServer.close()
    adminServer.closeAllConnections()
    store.close()
    log(runtimeEventNumbers.stopped, 'stopped', { controller })
  }
  const failed = ports.find(port => port.kind === 'failed')
  if (failed?.kind === 'failed') {
    stop()
    return failed
  }
  const [address, adminAddress] = ports.map(port => port.kind === 'listening' ? port.address : '')
  if (settings.hosts !== undefined) {
    subscriptions.push(watchHostList(settings.hosts, timers, hosts => { post({ kind: 'hosts-listed', now: now(), hosts }) }))
  }
  subscriptions.push(runCampaign(store, { controller, address: address ?? '' }, timers, leading => {
    metrics.setLeading(leading)
    post({ kind: 'leadership-changed', now: now(), leading })
  }))
  log(runtimeEventNumbers.started, 'started', { controller, address, adminAddress })
  return {
    kind: 'running',
    program: { controller, address: address ?? '', adminAddress: adminAddress ?? '', getState: program.getState, stop }
  }
}

async function removeKey (store: StoreClient, key: string): Promise<void> {
  const read = await store.read(key)
  const known = read.kind === 'read' ? read.values.find(value => value.key === key) : undefined
  if (known !== undefined) await store.compareAndSwap(key, known.modRevision, undefined)
}

function readControllerStatus (state: ControllerState): unknown {
  return {
    controller: state.self,
    leading: state.leading,
    fleet: state.fleet.revision,
    routers: [...state.fleet.routers.keys()],
    assignments: Object.fromEntries([...state.assignments].map(([service, record]) => [service, record.revision])),
    reports: state.reports.size,
    hotKeys: [...state.hotKeys.values()].sort((left, right) => right.perSecond - left.perSecond).slice(0, 10)
  }
}
