import type { FleetLoad, GatewayEvent } from './events.js'
import type { PlacementChange } from './model.js'
import type { GatewayRules } from './rules.js'
import type { GatewayState, GatewayWork } from './state.js'
import { computeTrustedMs } from './limits.js'
import { applyFleetLoad } from './loadExchange.js'
import { setPlacement } from './placementWriting.js'
import { applyPlacementChange, isLaterVersion, isSameVersion } from './placementChange.js'
import { advanceWaiting } from './placing.js'
import { keepKnown } from './storeKnowledge.js'
import { applyRenewals } from './renewing.js'

/** Watches the store only while no granting host passes its changes on: each watch is a call that is paid for. */
export function advanceFollowing (work: GatewayWork): void {
  const { state } = work
  const next = isTold(work) ? 'told' : 'watched'
  if (next === state.storeSource) return
  state.storeSource = next
  work.effects.push({ kind: 'watch-store', isOn: next === 'watched' })
  work.effects.push({
    kind: 'log',
    event: 'storeSourceChanged',
    fields: { source: next, grantingHost: state.grantingHost?.host, storeRevision: state.storeRevision, toldAgeMs: state.toldAsOf === -Infinity ? undefined : Math.round(state.now - state.toldAsOf) }
  })
}

function isTold (work: GatewayWork): boolean {
  const { state } = work
  // After an outage each host hears the store itself first, so that it knows of what may have lapsed.
  if (state.granting.role === 'leading' || !state.storeUp) return false
  return state.now < computeToldUntil(state)
}

/** Computes until when this host relies on what the granting host has told: any change that it may have missed is later than that. */
export function computeToldUntil (state: GatewayState): number {
  return state.toldAsOf + computeTrustedMs(state.hosts)
}

/** Takes what the granting host says of its own knowledge of the store, and of the placement. */
function applyGrantingSign (work: GatewayWork, load: FleetLoad, reportedAt: number): void {
  const { state } = work
  // The answer was made after the report, so that its age counts from then at the earliest.
  const asOf = reportedAt - load.storeAgeMs
  if (load.storeRevision <= state.storeRevision) keepKnown(state, asOf)
  // Values that were left out are on their way from the store; a watch would bring them no sooner.
  if (load.storeRevision <= Math.max(state.storeRevision, state.toldRevision)) state.toldAsOf = Math.max(state.toldAsOf, asOf)
  if (isLaterVersion(load.placement, state.placementVersion)) askForPlacement(state)
}

/** Takes a change of owners from the granting host; one that doesn't fit is followed by the whole placement. */
export function handlePlacementChange (work: GatewayWork, change: PlacementChange, rules: GatewayRules): void {
  const { state } = work
  if (change.base !== undefined && !isSameVersion(change.base, state.placementVersion)) {
    // A host that watches the store may know the newer placement already.
    if (isLaterVersion(change.next, state.placementVersion)) askForPlacement(state)
    return
  }
  state.wantsPlacement = false
  setPlacement(work, applyPlacementChange(state.placement, change), change.next)
  advanceWaiting(work, rules, change.base === undefined ? undefined : change.changes)
}

function askForPlacement (state: GatewayState): void {
  if (state.wantsPlacement) return
  state.wantsPlacement = true
  state.reportAt = state.now
}

/** Notices that the granting host no longer answers. */
export function handleExchangeEnd (work: GatewayWork): void {
  work.state.toldAsOf = -Infinity
}

/** Takes the answer of the granting host to this host's report. */
export function handleFleetLoad (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'fleet-load-read' }>): void {
  applyGrantingSign(work, event.load, event.reportedAt)
  // A host that has missed a change might renew grants of keys that are on their way.
  const isBehind = isLaterVersion(event.load.placement, work.state.placementVersion)
  applyRenewals(work.state, isBehind ? [] : event.load.renewals, event.reportedAt)
  applyFleetLoad(work, event.load, event.reported)
}
