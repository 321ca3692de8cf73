import type { Server } from 'node:http'
import type { EndReason, GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { GatewayRules } from '../../core/gateway/rules.js'
import type { GatewayState } from '../../core/gateway/state.js'
import type { GatewaySettings } from '../../protocol/gatewaySettings.js'
import type { LogEvent } from '../log.js'
import type { CallerConnectionsOptions } from '../callerConnections.js'
import type { CallerServerName } from '../closeReasons.js'
import type { TimerService } from '../timerService.js'
import type { EarlyRefusal } from './callerServer.js'
import type { GatewayExchanges } from './exchanges.js'
import type { GatewayWire, MetadataStore } from './ports.js'
import { credentials, ServerCredentials } from '@grpc/grpc-js'
import { randomBytes } from 'node:crypto'
import { chooseGatewayLane } from '../../core/gateway/eventLane.js'
import { computeExpiryGraceMs } from '../../core/gateway/backends.js'
import { gatewayEventNumbers } from '../../core/gateway/effects.js'
import { countColdBackends, countColdShares, hasColdShares } from '../../core/gateway/coldAdmission.js'
import { countPauses } from '../../core/gateway/backendPauses.js'
import { countMarks } from '../../core/gateway/leavingMarks.js'
import { buildLoadAnswer, countReportingHosts } from '../../core/gateway/loadExchange.js'
import { computeWatchPauseMs, idleTickMs } from '../../core/gateway/limits.js'
import { computeNextTickAt, isGatewayReady, reduceGateway } from '../../core/gateway/reduceGateway.js'
import { isIdempotentRequest } from '../../core/gateway/routing.js'
import { buildGatewayState } from '../../core/gateway/state.js'
import { stopPhases } from '../../core/gateway/stop.js'
import { buildNewerPlacement } from '../../core/gateway/restoredStore.js'
import { createAcceptTurns } from '../acceptTurns.js'
import { createAdminServer } from '../adminServer.js'
import { createPeerCredentials } from '../credentials.js'
import { listenTcp } from '../listen.js'
import { createPeerConnections } from '../peerConnections.js'
import { createReadTurns } from '../readTurns.js'
import { createSocketPolls } from '../socketPolls.js'
import { runtimeEventNumbers } from '../log.js'
import { startProgram } from '../program.js'
import { processTurns } from '../turns.js'
import { computeAdminLimits, computeCallerLimits, computeProbeLimits } from '../../core/policy/memoryBudget.js'
import { computePeerLimits } from '../../core/policy/peerBudget.js'
import { createBackendSender } from './backendSender.js'
import { createCallerServer } from './callerServer.js'
import { createFleetExchange } from './fleetExchange.js'
import { createGatewayMetrics } from './gatewayMetrics.js'
import { isInterruptedByClose } from './exchanges.js'
import { interpretGatewayEffect } from './interpretEffect.js'
import { createGrantClient } from './grantClient.js'
import { createLogBudget } from './logBudget.js'
import { createLoopWatch } from './loopWatch.js'
import { createProbeServer } from './probeServer.js'
import { readGatewayStatus } from './gatewayStatus.js'
import { buildCountedStore } from './storeCallCounts.js'
import { followStore } from './storeFollower.js'
import { createTicks } from './ticks.js'

/** Delay before a stop request is retried that was rejected because the event queue was full, in milliseconds. */
const stopRetryDelayMs = 50

/** Dependencies of a gateway besides its settings. */
export type GatewayParts = { store: MetadataStore, wire: GatewayWire, timers: TimerService, rules: GatewayRules, log: LogEvent }

/** A running gateway. */
export type GatewayProgram = {
  /** Starts a graceful shutdown. */
  stop: () => void
  stopped: Promise<void>
  getState: () => GatewayState
  /** Addresses that were bound, with the actual ports where the settings have port 0. */
  addresses: { callers: string, probes: string, peers: string, admin: string }
}

/** Result of starting a gateway. */
export type GatewayStart = { kind: 'started', program: GatewayProgram } | { kind: 'failed', problem: string }

/** Starts a gateway: binds its ports, follows the store and serves callers. */
export async function startGateway (settings: GatewaySettings, parts: GatewayParts): Promise<GatewayStart> {
  const { wire, timers } = parts
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
    linkMbps: gateway['link-mbps'],
    drainMs: gateway['drain-s'] * 1000,
    evacuationMs: gateway['evacuation-s'] * 1000,
    coldRequestsFactor: gateway['cold-requests-factor'],
    coldRequestsExtra: gateway['cold-requests-extra']
  }
  const state = buildGatewayState(identity, randomBytes(4).readInt32LE(), clock.now())
  const post = (event: GatewayEvent): boolean => program.post(event)
  const metrics = createGatewayMetrics(() => {
    const current = program.getState()
    return {
      gateway_requests: current.requests.size,
      gateway_caller_connections: callerServer.countConnections(),
      gateway_held_bytes: callerServer.countHeldBytes(),
      gateway_held_limit_bytes: callerLimits.heldBytes,
      gateway_probe_held_bytes: probes.countHeldBytes(),
      gateway_reads_waiting: readTurns.countWaiting(),
      gateway_stop_phase: stopPhases.indexOf(current.stop.phase),
      gateway_store_up: current.storeUp ? 1 : 0,
      gateway_granting: current.granting.role === 'leading' ? 1 : 0,
      gateway_configuration_version: current.configuration?.version ?? 0,
      gateway_placement_revision: current.placementVersion.revision,
      gateway_store_revision: current.storeRevision,
      gateway_store_restores: current.restores,
      gateway_store_age_ms: current.knownAsOf === -Infinity ? 0 : Math.round(clock.now() - current.knownAsOf),
      gateway_told: current.storeSource === 'told' ? 1 : 0,
      gateway_events_waiting: program.countWaiting(),
      gateway_reporting_hosts: countReportingHosts(current),
      gateway_evacuated_zones: current.evacuations.zones.size,
      gateway_cold_backends: countColdBackends(current),
      gateway_cold_shares: countColdShares(current),
      gateway_marked_backends: countMarks(current),
      gateway_paused_backends: countPauses(current)
    }
  })
  const store = buildCountedStore(parts.store, metrics.countStoreCall)
  const logBudget = createLogBudget({ timers, log: parts.log, countLeftOutLine: metrics.countLeftOutLine })
  const { log } = logBudget
  const recordRefusal = (refusal: EarlyRefusal) => {
    metrics.countRefusal(refusal.reason, 'not-run')
    log(gatewayEventNumbers.requestRefused, 'requestRefused', refusal)
  }
  const notifyClosed = (server: CallerServerName): CallerConnectionsOptions['notifyClosed'] => (reason, closed) => {
    metrics.countClosedCaller(reason, server)
    log(runtimeEventNumbers.callerClosed, 'callerClosed', { reason, server, ...closed })
  }
  const loopWatch = createLoopWatch({ clock, metrics, log })
  const { turns, recordAccept } = createAcceptTurns({ ...processTurns, clock })
  const readTurns = createReadTurns(turns, loopWatch.observeRead)
  const polls = createSocketPolls({ ...processTurns, clock, notifyTurn: loopWatch.observeTurn })
  const callerLimits = computeCallerLimits(gateway['memory-mb'], gateway['max-descriptors'])
  const callerServer = createCallerServer({
    timers,
    wire,
    exchanges,
    post,
    recordRefusal,
    limits: callerLimits,
    readTurns,
    polls,
    recordAccept,
    countAbandoned: metrics.countAbandoned,
    notifyClosed: notifyClosed('callers'),
    isIdempotent: (host, path) => isIdempotentRequest(program.getState(), host, path)
  })
  const sender = createBackendSender({ wire, timers, post })
  const grantClient = createGrantClient({
    wire,
    timers,
    notifyStrayBytes: backend => { post({ kind: 'stray-bytes-read', now: clock.now(), backend }) },
    notifySignals: ({ backend, address }, signals) => {
      // A call may go to an earlier instance, to which keys were granted.
      const known = program.getState().backends.get(backend)
      if (known?.address === address) post({ kind: 'signals-read', now: clock.now(), backend, startedAt: known.startedAt, signals })
    }
  })
  const peerCredentials = settings.tls === undefined
    ? { client: credentials.createInsecure(), server: ServerCredentials.createInsecure(), readPem: undefined }
    : createPeerCredentials(settings.tls)
  const fleetExchange = createFleetExchange({
    credentials: peerCredentials,
    connections: createPeerConnections({
      timers,
      limits: computePeerLimits(gateway['memory-mb'], gateway['max-descriptors']),
      notifyClosed: notifyClosed('peers')
    }),
    timers,
    post,
    log,
    buildLoadAnswer: host => buildLoadAnswer(program.getState(), host, { now: clock.now(), wall: clock.wall() }),
    buildNewerPlacement: report => buildNewerPlacement(program.getState(), report),
    listChangesSince: revision => {
      const changes = storeFollower.listChangesSince(revision)
      return changes === undefined ? undefined : { ...changes, graceMs: computeExpiryGraceMs(program.getState()) }
    },
    findEarlier: (key, revision) => storeFollower.findEarlierValue(key, revision),
    applyRelayedChanges: changes => storeFollower.applyRelayedChanges(changes)
  })
  const storeFollower = followStore({
    store,
    wire,
    timers,
    post,
    log,
    getWatchPauseMs: () => computeWatchPauseMs(program.getState().hosts),
    countRejectedValue: metrics.countRejectedValue
  })
  const interpreterParts = { identity, clock, exchanges, callerServer, sender, grantClient, fleetExchange, store, wire, storeFollower, metrics, post, log, end: (reason: EndReason, afterMs: number) => close(reason, afterMs) }
  const ticks = createTicks({
    timers,
    computeNextAt: tickedAt => computeNextTickAt(program.getState(), tickedAt),
    maxIntervalMs: idleTickMs,
    notify: now => { post({ kind: 'tick', now, wall: clock.wall() }) }
  })
  const program = startProgram<GatewayState, GatewayEvent, GatewayEffect>({
    state,
    reduce: (current, event) => {
      const step = reduceGateway(current, event, parts.rules, clock.now(), hasColdShares(current) ? clock.wall() : undefined)
      ticks.update()
      return step
    },
    interpret: effect => interpretGatewayEffect(effect, interpreterParts),
    chooseLane: chooseGatewayLane,
    turns,
    watch: loopWatch
  })
  const probes = createProbeServer(wire.readinessPath, () => isGatewayReady(program.getState()), {
    timers,
    limits: computeProbeLimits(gateway['memory-mb'], gateway['max-descriptors']),
    readTurns,
    notifyClosed: notifyClosed('probes')
  })
  const admin = createAdminServer({
    timers,
    limits: computeAdminLimits(gateway['memory-mb'], gateway['max-descriptors']),
    readTurns,
    notifyClosed: notifyClosed('admin'),
    registry: metrics.registry,
    isReady: () => isGatewayReady(program.getState()),
    readStatus: () => readGatewayStatus(program.getState())
  }, peerCredentials)
  const listenOutcomes = await Promise.all([
    listenTcp(callerServer.httpServer, gateway.listen),
    listenTcp(probes.httpServer, gateway['probe-listen']),
    fleetExchange.listen(gateway['peer-listen']),
    listenTcp(admin, gateway['admin-listen'])
  ])
  const [callerOutcome, probeOutcome, peerOutcome, adminOutcome] = listenOutcomes
  if (callerOutcome.kind === 'failed') return callerOutcome
  if (probeOutcome.kind === 'failed') return probeOutcome
  if (peerOutcome.kind === 'failed') return peerOutcome
  if (adminOutcome.kind === 'failed') return adminOutcome
  ticks.start()
  log(runtimeEventNumbers.started, 'started', { host: gateway.name, zone: gateway.zone, callers: callerOutcome.address, probes: probeOutcome.address, peers: peerOutcome.address, admin: adminOutcome.address })

  let isEnded = false
  let resolveStopped = () => {}
  const stopped = new Promise<void>(resolve => { resolveStopped = resolve })
  const close = (reason: EndReason, afterMs: number) => {
    const cutExchanges = [...exchanges.values()].filter(isInterruptedByClose)
    for (const cut of cutExchanges) {
      metrics.countCutRequest()
      log(runtimeEventNumbers.requestCut, 'requestCut', { requestId: cut.requestId, isSent: cut.sendAttempt !== undefined, isAnswered: cut.isAnswered, ageMs: Math.round(clock.now() - cut.startedAt) })
    }
    storeFollower.stop()
    ticks.stop()
    program.stop()
    for (const server of [callerServer.httpServer, probes.httpServer, admin]) closeServer(server)
    sender.close()
    grantClient.close()
    fleetExchange.close()
    store.close()
    logBudget.close()
    log(runtimeEventNumbers.stopped, 'stopped', { host: gateway.name, reason, afterMs: Math.round(afterMs), requests: cutExchanges.length })
    isEnded = true
    resolveStopped()
  }
  const stop = () => {
    if (isEnded || post({ kind: 'stop-asked', now: clock.now(), graceMs: gateway['grace-ms'] })) return
    timers.schedule(stopRetryDelayMs, stop)
  }
  return {
    kind: 'started',
    program: {
      stop,
      stopped,
      getState: program.getState,
      addresses: { callers: callerOutcome.address, probes: probeOutcome.address, peers: peerOutcome.address, admin: adminOutcome.address }
    }
  }
}

function closeServer (server: Server): void {
  server.close()
  server.closeAllConnections()
}
