import type { FleetLoad, GatewayEvent } from './events.js'
import type { PlacementChange } from './model.js'
import type { GatewayRules } from './rules.js'
import type { GatewayState, GatewayWork } from './state.js'
import { applyColdShares } from './coldAdmission.js'
import { keepMemberColdShares } from './coldShares.js'
import { applyColdMarks } from './coldState.js'
import { applyCollectorChoice, dropCollector, keepMemberRenewals } from './collecting.js'
import { computeRelayFreshMs, maxRelayFreshMs } from './limits.js'
import { applyFleetLoad, countRelatedHosts } from './loadExchange.js'
import { setPlacement } from './placementWriting.js'
import { applyPlacementChange, isLaterVersion, isSameVersion } from './placementChange.js'
import { advanceWaiting } from './requestDispatch.js'
import { applySharedSignals } from './signalHandling.js'
import { recordKnownAsOf } from './storeFreshness.js'
import { applyRenewalRequest } from './delegatedRenewals.js'

/** Watches the store only while no granting host relays its changes: each watch is a billed call. */
export function updateStoreSource (work: GatewayWork): void {
  const { state } = work
  const next = hasFreshRelay(work) ? 'told' : 'watched'
  if (next === state.storeSource) return
  state.storeSource = next
  work.effects.push({ kind: 'watch-store', isOn: next === 'watched' })
  work.effects.push({
    kind: 'log',
    event: 'storeSourceChanged',
    fields: { source: next, grantingHost: state.grantingHost?.host, storeRevision: state.storeRevision, toldAgeMs: state.receivedAsOf === -Infinity ? undefined : Math.round(state.now - state.receivedAsOf) }
  })
}

function hasFreshRelay (work: GatewayWork): boolean {
  const { state } = work
  // After an outage each host first reads the store itself, so that it knows which registrations may have expired.
  if (state.granting.role === 'leading' || !state.storeUp) return false
  return state.now < computeRelayFreshUntil(state)
}

/** Computes until when this host relies on the changes relayed by the granting host, counted from the time up to which they are complete. */
export function computeRelayFreshUntil (state: GatewayState): number {
  // What a collector relays is older by its own exchange with the granting host. The collector turns to the store first, so that its hosts need not.
  return state.receivedAsOf + (state.collector === undefined ? computeRelayFreshMs(state.reporters, countRelatedHosts(state)) : maxRelayFreshMs)
}

/** Applies what the granting host reports about its own progress in the store's changes and the placement. */
function applyGrantingHostProgress (work: GatewayWork, load: FleetLoad, reportedAt: number): void {
  const { state } = work
  // The granting host answered after the report was sent, so an age counted from the report never overstates freshness.
  const asOf = reportedAt - load.storeAgeMs
  if (load.storeRevision <= state.storeRevision) recordKnownAsOf(state, asOf)
  // Values that were left out are already being read from the store; a watch would not deliver them sooner.
  if (load.storeRevision <= Math.max(state.storeRevision, state.receivedRevision)) state.receivedAsOf = Math.max(state.receivedAsOf, asOf)
  if (isLaterVersion(load.placement, state.placementVersion)) schedulePlacementRequest(state)
}

/** Applies a change of owners from the granting host; when its base is not the version known here, the whole placement is requested. */
export function handlePlacementChange (work: GatewayWork, change: PlacementChange, rules: GatewayRules): void {
  const { state } = work
  if (change.base !== undefined && !isSameVersion(change.base, state.placementVersion)) {
    // A host that watches the store may know the newer placement already.
    if (isLaterVersion(change.next, state.placementVersion)) schedulePlacementRequest(state)
    return
  }
  state.wantsPlacement = false
  setPlacement(work, applyPlacementChange(state.placement, change), change.next)
  if (state.collecting.role === 'collecting') work.effects.push({ kind: 'publish-placement', change, host: undefined })
  advanceWaiting(work, rules, change.base === undefined ? undefined : change.changes)
}

function schedulePlacementRequest (state: GatewayState): void {
  if (state.wantsPlacement) return
  state.wantsPlacement = true
  state.reportAt = state.now
}

/** Handles the end of the exchange with the granting host or the collector: its relayed changes are no longer relied on. */
export function handleExchangeEnd (work: GatewayWork, address: string | undefined): void {
  work.state.receivedAsOf = -Infinity
  dropCollector(work, address)
}

/** Handles the granting host's answer to this host's report. */
export function handleFleetLoad (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'fleet-load-read' }>): void {
  applyGrantingHostProgress(work, event.load, event.reportedAt)
  // A host that has missed a change might renew grants of keys that are moving to another owner.
  const isBehind = isLaterVersion(event.load.placement, work.state.placementVersion)
  applyRenewalRequest(work.state, isBehind ? [] : event.load.renewals, event.reportedAt - (event.load.renewalsAgeMs ?? 0), event.load.connectMs)
  keepMemberRenewals(work.state, isBehind ? { ...event.load, memberRenewals: [] } : event.load, event.reportedAt)
  applyFleetLoad(work, event.load, event.reported)
  applyColdMarks(work, event.load.marks)
  applyColdShares(work.state, event.load.coldShares, event.reportedAt)
  keepMemberColdShares(work.state, event.load, event.reportedAt)
  applySharedSignals(work, event.load, event.reportedAt)
  applyCollectorChoice(work, event.load)
}
