import type { Server } from 'node:http'
import type { EndReason, GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { GatewayRules } from '../../core/gateway/rules.js'
import type { GatewayState } from '../../core/gateway/state.js'
import type { GatewaySettings } from '../../protocol/gatewaySettings.js'
import type { LogEvent } from '../log.js'
import type { TimerService } from '../timerService.js'
import type { FrontRefusal } from './callerFront.js'
import type { GatewayExchanges } from './exchanges.js'
import type { GatewayWire, MetadataStore } from './ports.js'
import { credentials, ServerCredentials } from '@grpc/grpc-js'
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'
import { chooseGatewayLane } from '../../core/gateway/eventLane.js'
import { computeExpiryGraceMs } from '../../core/gateway/backends.js'
import { gatewayEventNumbers } from '../../core/gateway/effects.js'
import { buildFleetLoad } from '../../core/gateway/loadExchange.js'
import { computeWatchPauseMs, gatewayTickMs } from '../../core/gateway/limits.js'
import { isGatewayReady, isTickDue, reduceGateway } from '../../core/gateway/reduceGateway.js'
import { buildGatewayState } from '../../core/gateway/state.js'
import { stopPhases } from '../../core/gateway/stop.js'
import { createAdminServer } from '../adminServer.js'
import { createPeerCredentials } from '../credentials.js'
import { listenHttp } from '../listen.js'
import { runtimeEventNumbers } from '../log.js'
import { startProgram } from '../program.js'
import { processTurns } from '../turns.js'
import { createBackendSender } from './backendSender.js'
import { createCallerFront } from './callerFront.js'
import { createFleetExchange } from './fleetExchange.js'
import { createGatewayMetrics } from './gatewayMetrics.js'
import { isCutByClose } from './exchanges.js'
import { interpretGatewayEffect } from './interpretEffect.js'
import { createGrantCaller } from './grantCaller.js'
import { createLogBudget } from './logBudget.js'
import { createLoopWatch } from './loopWatch.js'
import { readGatewayStatus } from './gatewayStatus.js'
import { followStore } from './storeFollower.js'

/** Delay before a stop that found the queue of events full is asked for again, in milliseconds. */
const stopAgainMs = 50

/** What a gateway is made of besides its settings. */
export type GatewayParts = { store: MetadataStore, wire: GatewayWire, timers: TimerService, rules: GatewayRules, log: LogEvent }

/** A running gateway. */
export type GatewayProgram = {
  /** Starts an orderly stop. */
  stop: () => void
  stopped: Promise<void>
  getState: () => GatewayState
  /** Addresses as bound, for settings with port 0. */
  addresses: { callers: string, probes: string, peers: string, admin: string }
}

/** Result of starting a gateway. */
export type GatewayStart = { kind: 'started', program: GatewayProgram } | { kind: 'failed', problem: string }

/** Starts a gateway: opens its ports, follows the store and serves callers. */
export async function startGateway (settings: GatewaySettings, parts: GatewayParts): Promise<GatewayStart> {
  const { store, wire, timers } = parts
  const { clock } = timers
  const { gateway } = settings
  const exchanges: GatewayExchanges = new Map()
  const identity = {
    host: gateway.name,
    zone: gateway.zone,
    region: gateway.region,
    regionOf: new Map(Object.entries(settings.regions)),
    address: gateway['peer-listen'],
    processorShare: gateway['processor-share'],
    drainMs: gateway['drain-s'] * 1000
  }
  const state = buildGatewayState(identity, randomBytes(4).readInt32LE(), clock.now())
  const post = (event: GatewayEvent): boolean => program.post(event)
  const metrics = createGatewayMetrics(() => {
    const now = program.getState()
    return {
      gateway_requests: now.requests.size,
      gateway_caller_connections: front.countConnections(),
      gateway_stop_phase: stopPhases.indexOf(now.stop.phase),
      gateway_store_up: now.storeUp ? 1 : 0,
      gateway_granting: now.granting.role === 'leading' ? 1 : 0,
      gateway_configuration_version: now.configuration?.version ?? 0,
      gateway_placement_revision: now.placementVersion.revision,
      gateway_store_revision: now.storeRevision,
      gateway_store_age_ms: now.knownAsOf === -Infinity ? 0 : Math.round(clock.now() - now.knownAsOf),
      gateway_told: now.storeSource === 'told' ? 1 : 0,
      gateway_events_waiting: program.countWaiting()
    }
  })
  const budget = createLogBudget({ timers, log: parts.log, countLeftOut: metrics.countLeftOut })
  const { log } = budget
  const noteRefusal = (refusal: FrontRefusal) => {
    metrics.countRefusal(refusal.reason, 'not-run')
    log(gatewayEventNumbers.requestRefused, 'requestRefused', refusal)
  }
  const front = createCallerFront({ timers, wire, exchanges, post, noteRefusal })
  const sender = createBackendSender({ wire, timers, post })
  const grants = createGrantCaller({ wire, timers, notifyStray: backend => { post({ kind: 'stray-bytes-read', now: clock.now(), backend }) } })
  const peerCredentials = settings.tls === undefined
    ? { client: credentials.createInsecure(), server: ServerCredentials.createInsecure(), readPem: undefined }
    : createPeerCredentials(settings.tls)
  const exchange = createFleetExchange({
    credentials: peerCredentials,
    timers,
    post,
    log,
    buildView: host => {
      const current = program.getState()
      if (current.granting.role !== 'leading') return undefined
      return buildFleetLoad(current, host, { now: clock.now(), wall: clock.wall() })
    },
    listChangesSince: revision => {
      const changes = follower.listChangesSince(revision)
      return changes === undefined ? undefined : { ...changes, graceMs: computeExpiryGraceMs(program.getState()) }
    },
    findEarlier: (key, revision) => follower.findEarlier(key, revision),
    takeRelayed: changes => follower.takeRelayed(changes)
  })
  const follower = followStore({
    store,
    wire,
    timers,
    post,
    log,
    getGatherMs: () => computeWatchPauseMs(program.getState().hosts),
    countRejected: metrics.countRejectedValue
  })
  const interpreters = { identity, clock, exchanges, front, sender, grants, exchange, store, wire, follower, metrics, post, log, end: (reason: EndReason, afterMs: number) => close(reason, afterMs) }
  const program = startProgram<GatewayState, GatewayEvent, GatewayEffect>({
    state,
    reduce: (current, event) => reduceGateway(current, event, parts.rules, clock.now()),
    interpret: effect => interpretGatewayEffect(effect, interpreters),
    chooseLane: chooseGatewayLane,
    turns: { ...processTurns, clock },
    watch: createLoopWatch({ clock, metrics, log })
  })
  const probes = createProbeServer(wire.readinessPath, () => isGatewayReady(program.getState()))
  const admin = createAdminServer({
    registry: metrics.registry,
    isReady: () => isGatewayReady(program.getState()),
    readStatus: () => readGatewayStatus(program.getState())
  }, peerCredentials, timers)
  const opened = await Promise.all([
    listenHttp(front.server, gateway.listen),
    listenHttp(probes, gateway['probe-listen']),
    exchange.listen(gateway['peer-listen']),
    listenHttp(admin, gateway['admin-listen'])
  ])
  const [callersAt, probesAt, peersAt, adminAt] = opened
  if (callersAt.kind === 'failed') return callersAt
  if (probesAt.kind === 'failed') return probesAt
  if (peersAt.kind === 'failed') return peersAt
  if (adminAt.kind === 'failed') return adminAt
  let tickedAt = -Infinity
  timers.subscribe(gatewayTickMs, now => {
    if (!isTickDue(program.getState(), now, tickedAt)) return
    tickedAt = now
    post({ kind: 'tick', now, wall: clock.wall() })
  })
  log(runtimeEventNumbers.started, 'started', { host: gateway.name, zone: gateway.zone, callers: callersAt.address, probes: probesAt.address, peers: peersAt.address, admin: adminAt.address })

  let isEnded = false
  let end = () => {}
  const stopped = new Promise<void>(resolve => { end = resolve })
  const close = (reason: EndReason, afterMs: number) => {
    const cuts = [...exchanges.values()].filter(isCutByClose)
    for (const cut of cuts) {
      metrics.countCut()
      log(runtimeEventNumbers.requestCut, 'requestCut', { requestId: cut.requestId, isSent: cut.sending !== undefined, isAnswered: cut.isAnswered, ageMs: Math.round(clock.now() - cut.startedAt) })
    }
    follower.stop()
    program.stop()
    for (const server of [front.server, probes, admin]) closeServer(server)
    sender.close()
    grants.close()
    exchange.close()
    store.close()
    budget.close()
    log(runtimeEventNumbers.stopped, 'stopped', { host: gateway.name, reason, afterMs: Math.round(afterMs), requests: cuts.length })
    isEnded = true
    end()
  }
  const stop = () => {
    if (isEnded || post({ kind: 'stop-asked', now: clock.now(), graceMs: gateway['grace-ms'] })) return
    timers.schedule(stopAgainMs, stop)
  }
  return {
    kind: 'started',
    program: {
      stop,
      stopped,
      getState: program.getState,
      addresses: { callers: callersAt.address, probes: probesAt.address, peers: peersAt.address, admin: adminAt.address }
    }
  }
}

function closeServer (server: Server): void {
  server.close()
  server.closeAllConnections()
}

/** Creates the server that tells the balancer whether callers may be sent here. */
function createProbeServer (path: string, isReady: () => boolean): Server {
  return createServer((request, response) => {
    const isProbe = request.url === path
    const status = isProbe ? (isReady() ? 200 : 503) : 404
    response.writeHead(status, { 'Content-Length': 0 })
    response.end()
  })
}
