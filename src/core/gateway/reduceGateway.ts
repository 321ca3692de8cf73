import type { Step } from '../step.js'
import type { GatewayEffect } from './effects.js'
import type { GatewayEvent, LoadReport } from './events.js'
import type { GatewayRules } from './rules.js'
import type { GatewayState, GatewayWork } from './state.js'
import { applyRegionChange } from './allowedRegions.js'
import { applyDeregistration, applyRegistration, removeExpiredBackends } from './backends.js'
import { advanceChangeLags, recordChangeLag } from './changeLags.js'
import { dropColdRecords } from './coldAdmission.js'
import { advanceColdShares } from './coldShares.js'
import { applyColdMarks } from './coldState.js'
import { applyCollectedReport } from './collecting.js'
import { advanceCollectors } from './collectorAssignment.js'
import { chooseGatewayLane } from './eventLane.js'
import { advanceEvacuations, applyEvacuation } from './evacuation.js'
import { advanceGranting, advanceAfterWrite } from './granting.js'
import { applyGrantResult, applyReleaseResult } from './grantSteps.js'
import { advanceLeadership, applyClaimResult, applyGrantingHost, applyLastGrantingHost, applyLeaseRenewal, applyReportedGrantingHost, checkPause } from './leadership.js'
import { gatewayTickMs, idleTickMs, minExpiryOutageMs } from './limits.js'
import { advanceReport, applyReport } from './loadExchange.js'
import { dropExpiredReports } from './loadTotals.js'
import { updateStoreSource, computeRelayFreshUntil, handleExchangeEnd, handleFleetLoad, handlePlacementChange } from './storeSource.js'
import { dropRequest, endOverdueRequests, handleAnswer, handleAnswerStart, handleTruncatedAnswer, handleNotRun, handleSendFailure, handleStrayBytes } from './answers.js'
import { isSameVersion } from './placementChange.js'
import { applyPlacementWrite, setPlacement } from './placementWriting.js'
import { acceptRequest, advanceWaiting, dropStaleFences } from './requestDispatch.js'
import { applyRenewerReport } from './renewerAssignment.js'
import { advanceRenewing, applyRenewalResult } from './delegatedRenewals.js'
import { advancePublishing } from './publishing.js'
import { advanceRelay } from './relaying.js'
import { applyFoundPlacement, applyRecoveryReport, applyRestores } from './restoredStore.js'
import { buildRouteIndex } from './routing.js'
import { applySuspension, recordKnownAsOf } from './storeFreshness.js'
import { applyAnswerLoad, applyReportedSignals, handleSignals } from './signalHandling.js'
import { countRestores } from './storeRestores.js'
import { advanceStop, handleCallersClosed, startStop } from './stopping.js'

/** Reducer of a gateway: makes every decision on requests, keys and leadership. `reducedAt`: time at which the event is reduced, later than `event.now` when it was queued; `wall`: the wall clock at that time, if it was read, so that a suspension is noticed before the next tick. */
export function reduceGateway (state: GatewayState, event: GatewayEvent, rules: GatewayRules, reducedAt = event.now, wall?: number): Step<GatewayState, GatewayEffect> {
  const work: GatewayWork = { state, effects: [] }
  const lane = chooseGatewayLane(event)
  const { laneNow } = state
  if (wall !== undefined) applySuspension(state, { now: reducedAt, wall })
  // A control event is reduced at its own lane's time: an event that was posted before a pause must not be taken for late.
  state.now = laneNow[lane]
  // Ticks come every few milliseconds, so a gap before any control event indicates that the process was paused.
  if (lane === 'control') checkPause(work, event.now, event.kind === 'tick' ? event.wall : state.wall + event.now - state.now)
  if (event.kind === 'tick') {
    applySuspension(state, event)
    state.wall = event.wall
  }
  laneNow[lane] = Math.max(laneNow[lane], event.now)
  state.now = laneNow[lane]
  state.reducedAt = Math.max(state.reducedAt, reducedAt)
  applyEvent(work, event, rules)
  return work
}

function applyEvent (work: GatewayWork, event: GatewayEvent, rules: GatewayRules): void {
  switch (event.kind) {
    case 'tick': return tickGateway(work, rules)
    case 'request-arrived': return acceptRequest(work, event, rules)
    case 'caller-gone': return dropRequest(work, event.id)
    case 'not-run-answered':
      applyAnswerLoad(work, event.reported)
      return handleNotRun(work, event, rules)
    case 'answer-whole':
      applyAnswerLoad(work, event.reported)
      return handleAnswer(work, event)
    case 'answer-streaming': return handleAnswerStart(work, event)
    case 'answer-cut': return handleTruncatedAnswer(work, event, rules)
    case 'stray-bytes-read': return handleStrayBytes(work, event.backend)
    case 'send-failed': return handleSendFailure(work, event, rules)
    case 'signals-read': return handleSignals(work, event)
    case 'evacuation-read': return applyEvacuation(work, event)
    case 'configuration-read': return applyConfiguration(work, event)
    case 'backend-read': return applyRegistration(work, event.backend)
    case 'backend-gone': return applyDeregistration(work, event.id, event.graceMs)
    case 'placement-read': return applyPlacement(work, event, rules)
    case 'granting-host-read': return applyGrantingHost(work, event)
    case 'last-granting-host-read': return applyLastGrantingHost(work, event)
    case 'store-synced': return applySync(work, event)
    case 'changes-told': return applyRelayedChanges(work, event)
    case 'store-known': return recordKnownAsOf(work.state, event.asOf)
    case 'store-restored': return applyRestores(work, event.restores)
    case 'store-lost': return applyStoreLoss(work, event)
    case 'leadership-claimed': return applyClaimResult(work, event)
    case 'lease-renewed': return applyLeaseRenewal(work, event)
    case 'placement-written': return applyWriteResult(work, event, rules)
    case 'grant-ended': return applyGrantEnd(work, event, rules)
    case 'release-ended': return applyReleaseResult(work, event)
    case 'load-reported': return applyHostReport(work, event.report)
    case 'fleet-load-read': return handleFleetLoad(work, event)
    case 'placement-changed': return handlePlacementChange(work, event.change, rules)
    case 'placement-found': return applyFoundPlacement(work, event.change)
    case 'exchange-ended': return handleExchangeEnd(work, event.address)
    case 'stop-asked': return startStop(work, event.graceMs)
    case 'callers-closed': return handleCallersClosed(work)
  }
}

function applyHostReport (work: GatewayWork, report: LoadReport): void {
  applyRestores(work, countRestores(Math.max(report.storeRevision, report.granting?.revision ?? 0)))
  applyReportedGrantingHost(work, report)
  for (const member of report.members ?? []) applyReportedGrantingHost(work, member)
  applyRecoveryReport(work, report)
  applyReport(work, report)
  applyCollectedReport(work, report)
  applyReportedSignals(work, report)
  applyRenewerReport(work, report)
  applyColdMarks(work, report.marks)
}

/** Computes when the tick after the one at `tickedAt` is due: an idle host needs few, and each one wakes its process. */
export function computeNextTickAt (state: GatewayState, tickedAt: number): number {
  const earliestAt = tickedAt + gatewayTickMs
  const isBusy = state.granting.role !== 'follower' || state.grantingHost === undefined || state.waiting.size > 0 || state.stop.phase !== 'serving'
  if (isBusy) return earliestAt
  const staleAt = state.storeSource === 'told' ? computeRelayFreshUntil(state) : Infinity
  return Math.max(earliestAt, Math.min(tickedAt + idleTickMs, state.reportAt, staleAt))
}

/** Whether a tick is due now. */
export function isTickDue (state: GatewayState, now: number, tickedAt: number): boolean {
  return now >= computeNextTickAt(state, tickedAt)
}

function tickGateway (work: GatewayWork, rules: GatewayRules): void {
  removeExpiredBackends(work)
  advanceEvacuations(work)
  endOverdueRequests(work, rules)
  advanceWaiting(work, rules)
  advanceLeadership(work)
  advancePublishing(work)
  advanceRelay(work)
  dropExpiredReports(work.state.granting, work.state.now)
  dropExpiredReports(work.state.collecting, work.state.now)
  advanceGranting(work, rules)
  advanceCollectors(work, rules)
  advanceColdShares(work)
  dropColdRecords(work.state)
  advanceRenewing(work)
  advanceReport(work)
  updateStoreSource(work)
  dropStaleFences(work)
  advanceStop(work)
  advanceChangeLags(work)
}

function applyConfiguration (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'configuration-read' }>): void {
  const { state } = work
  const { configuration, revision } = event
  const isTieBroken = countRestores(revision) > 0 && configuration.version === state.configuration?.version
  if (revision <= state.configurationRevision || (configuration.version <= (state.configuration?.version ?? -1) && !isTieBroken)) {
    if (configuration.version < (state.configuration?.version ?? -1)) {
      work.effects.push({ kind: 'log', event: 'configurationIgnored', fields: { version: configuration.version, revision, inForce: state.configuration?.version } })
    }
    return
  }
  const lagMs = recordChangeLag(work, 'configuration', String(configuration.version))
  state.configuration = configuration
  state.configurationRevision = revision
  state.routesByHost = buildRouteIndex(configuration)
  applyRegionChange(work, configuration)
  work.effects.push({ kind: 'set-caller-limits', limits: configuration.limits })
  work.effects.push({ kind: 'log', event: 'configurationInForce', fields: { version: configuration.version, revision, routes: configuration.routes.length, lagMs } })
}

function applyPlacement (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'placement-read' }>, rules: GatewayRules): void {
  setPlacement(work, event.placement, { revision: event.revision, confirmations: 0 })
  advancePublishing(work)
  advanceWaiting(work, rules)
}

function applyWriteResult (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'placement-written' }>, rules: GatewayRules): void {
  const { placement } = work.state
  applyPlacementWrite(work, event)
  if (work.state.placement === placement) return
  advanceAfterWrite(work)
  advanceWaiting(work, rules)
}

function applyGrantEnd (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'grant-ended' }>, rules: GatewayRules): void {
  // Other work on the grants waits for the next tick: with hundreds of owners, these events arrive constantly.
  if (work.state.granting.role !== 'leading') return applyRenewalResult(work, event)
  const { placementVersion } = work.state
  applyGrantResult(work, event)
  if (!isSameVersion(work.state.placementVersion, placementVersion)) advanceWaiting(work, rules, [{ service: event.service, range: event }])
}

function applySync (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'store-synced' }>): void {
  const { state } = work
  if (!state.storeUp) {
    const isFirst = !state.storeSynced
    const awayMs = event.now - state.storeLostAt
    if (!isFirst && awayMs >= minExpiryOutageMs) state.storeRegainedAt = event.now
    work.effects.push({ kind: 'log', event: 'storeRegained', fields: { first: isFirst, awayMs: isFirst ? undefined : Math.round(awayMs) } })
  }
  state.storeUp = true
  state.storeSynced = true
  state.syncStartedAt = Math.max(state.syncStartedAt, event.startedAt)
  applyStoreRevision(work, event.revision)
}

function applyRelayedChanges (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'changes-told' }>): void {
  work.state.receivedRevision = event.receivedRevision
  applyStoreRevision(work, event.revision)
}

function applyStoreRevision (work: GatewayWork, revision: number): void {
  const { state } = work
  applyRestores(work, countRestores(revision))
  if (revision <= state.storeRevision) return
  state.storeRevision = revision
  advanceRelay(work)
}

function applyStoreLoss (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'store-lost' }>): void {
  work.state.disruptedAt = event.now
  if (!work.state.storeUp) return
  work.state.storeUp = false
  work.state.storeLostAt = event.reachableAt
  work.effects.push({ kind: 'log', event: 'storeLost', fields: { configuration: work.state.configuration?.version, placement: work.state.placementVersion.revision } })
}

/** Whether this host is ready to receive callers' requests from the platform. */
export function isGatewayReady (state: GatewayState): boolean {
  if (state.stop.phase !== 'serving' || state.configuration === undefined || !state.storeSynced) return false
  for (const service of state.configuration.services.values()) {
    const hasBackends = (state.backendsByService.get(service.name)?.size ?? 0) > 0
    if (service.sharded && hasBackends && state.placement?.services.get(service.name) === undefined) return false
  }
  return true
}
