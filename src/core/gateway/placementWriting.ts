import type { GatewayEvent } from './events.js'
import type { KeyRange, Placement, PlacementVersion } from './model.js'
import type { ManagedGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { writeResendMs } from './limits.js'
import { applyFleetEstimates, buildFleetEstimates } from './loadExchange.js'
import { isLaterVersion, isOlderContent, replaceRange } from './placementChange.js'
import { advancePublishing } from './publishing.js'
import { computeStoredRevision, countRestores } from './storeRestores.js'

/** Time after which a failed write of the placement is retried, in milliseconds. */
const failedWriteRetryMs = 200

/** Starts a write of the placement to the store if it has changed, or retries the write in flight if that is due. */
export function writePlacement (work: GatewayWork): void {
  const { state } = work
  const { granting } = state
  if (granting.pendingWrite !== undefined) return retryWrite(work, granting.pendingWrite)
  if (!granting.isDirty || state.now < granting.writeAt) return
  granting.isDirty = false
  granting.pendingWrite = buildPlacement(work)
  state.writesStarted += 1
  sendWrite(work, granting.pendingWrite)
}

/** Retries an unanswered write; it is conditional, so it takes effect at most once. */
function retryWrite (work: GatewayWork, placement: Placement): void {
  if (work.state.now >= work.state.granting.retryWriteAt) sendWrite(work, placement)
}

function sendWrite (work: GatewayWork, placement: Placement): void {
  const { state } = work
  state.granting.retryWriteAt = state.now + writeResendMs
  work.effects.push({ kind: 'write-placement', write: state.writesStarted, placement, revision: computeStoredRevision(state), leaderRevision: state.granting.leaderRevision })
}

function buildPlacement (work: GatewayWork): Placement {
  const { granting } = work.state
  const services = new Map<string, KeyRange[]>()
  for (const grant of granting.grants) {
    const ranges = services.get(grant.service) ?? []
    services.set(grant.service, ranges)
    ranges.push({ ...grant.range })
  }
  for (const ranges of services.values()) ranges.sort((a, b) => a.from - b.from)
  const restores = countRestores(granting.leaderRevision)
  return { nextFence: granting.nextFence, services, memory: buildFleetEstimates(work.state), ...(restores > 0 ? { restores } : {}) }
}

/** Applies the result of a write of the placement. */
export function applyPlacementWrite (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'placement-written' }>): void {
  const { state } = work
  const { granting } = state
  const written = granting.pendingWrite
  // A retried write may be answered more than once, even after the next write has started.
  if (written === undefined || event.write !== state.writesStarted) return
  if (event.outcome === 'written') {
    granting.pendingWrite = undefined
    setPlacement(work, written, { revision: event.revision, confirmations: 0 })
    advancePublishing(work)
    return
  }
  work.effects.push({ kind: 'log', event: 'placementConflict', fields: { outcome: event.outcome, revision: state.placementVersion.revision } })
  if (event.outcome !== 'rejected') work.effects.push({ kind: 'read-store' })
  if (event.outcome === 'unknown') {
    // The write may still take effect. A retry sends the same write, so at worst it conflicts with itself.
    granting.retryWriteAt = Math.min(granting.retryWriteAt, state.now + failedWriteRetryMs)
    return
  }
  granting.pendingWrite = undefined
  granting.isDirty = true
  // Writes to an unreachable store fail at once; the delay avoids a retry in every tick.
  granting.writeAt = state.now + failedWriteRetryMs
}

/** Puts a placement in force for routing, unless the one in force is as new or newer, by version or by content. */
export function setPlacement (work: GatewayWork, placement: Placement, version: PlacementVersion): void {
  const { state } = work
  if (!isLaterVersion(version, state.placementVersion)) return
  if (state.placement !== undefined && isOlderContent({ placement, version }, { placement: state.placement, version: state.placementVersion })) return refusePlacement(work, placement, version)
  state.knownNextFence = Math.max(state.knownNextFence, placement.nextFence)
  state.placement = placement
  state.placementVersion = version
  applyFleetEstimates(state, placement.memory)
  work.effects.push({ kind: 'log', event: 'placementInForce', fields: { ...version, nextFence: placement.nextFence } })
}

/** Keeps the placement in force instead of one that is older by content; the granting host writes its own again. */
function refusePlacement (work: GatewayWork, placement: Placement, version: PlacementVersion): void {
  const { state } = work
  if (version.revision <= state.refusedPlacementRevision) return
  state.refusedPlacementRevision = version.revision
  if (state.granting.isLoaded) state.granting.isDirty = true
  work.effects.push({ kind: 'log', event: 'placementRefused', fields: { ...version, nextFence: placement.nextFence, inForce: state.placement?.nextFence } })
}

/** Publishes to all hosts that an owner confirmed its grant, so that they need not wait for the store, which may be unreachable. */
export function sendConfirmation (work: GatewayWork, grant: ManagedGrant): void {
  const { state } = work
  const { revision, confirmations } = state.placementVersion
  if (state.placement === undefined || !isWritten(work, grant.range)) return
  const placement = takeWorkingCopy(work, state.placement)
  replaceRange(placement, grant.service, { ...grant.range })
  setPlacement(work, placement, { revision, confirmations: confirmations + 1 })
  advancePublishing(work)
}

/** Copies the placement in force before it is modified, once for all confirmations that are published together. */
function takeWorkingCopy (work: GatewayWork, placement: Placement): Placement {
  const { granting } = work.state
  if (granting.workingCopy === placement) return placement
  granting.workingCopy = { ...placement, services: new Map([...placement.services].map(([service, ranges]) => [service, [...ranges]])) }
  return granting.workingCopy
}

/** Whether the store contains a range; only then is it granted. */
export function isWritten (work: GatewayWork, range: KeyRange): boolean {
  return range.fence < (work.state.placement?.nextFence ?? 0)
}
