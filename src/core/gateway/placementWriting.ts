import type { GatewayEvent } from './events.js'
import type { KeyRange, Placement, PlacementVersion } from './model.js'
import type { KeptGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { writeAgainMs } from './limits.js'
import { applyFleetMemory, buildFleetMemory } from './loadExchange.js'
import { isLaterVersion, replaceRange } from './placementChange.js'
import { advancePublishing } from './publishing.js'

/** Time after which a placement that could not be written is written again, in milliseconds. */
const writeRetryMs = 200

/** Writes the placement to the store when it has changed. */
export function writePlacement (work: GatewayWork): void {
  const { state } = work
  const { granting } = state
  if (granting.writing !== undefined) return sendWriteAgain(work, granting.writing)
  if (!granting.dirty || state.now < granting.writeAt) return
  granting.dirty = false
  granting.writing = buildPlacement(work)
  state.writesBegun += 1
  sendWrite(work, granting.writing)
}

/** Sends an unanswered write once more: it is conditional, so that it takes effect once at most. */
function sendWriteAgain (work: GatewayWork, placement: Placement): void {
  if (work.state.now >= work.state.granting.writeAgainAt) sendWrite(work, placement)
}

function sendWrite (work: GatewayWork, placement: Placement): void {
  const { state } = work
  state.granting.writeAgainAt = state.now + writeAgainMs
  work.effects.push({ kind: 'write-placement', write: state.writesBegun, placement, revision: state.placementVersion.revision, leaderRevision: state.granting.leaderRevision })
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
  return { nextFence: granting.nextFence, services, memory: buildFleetMemory(work.state) }
}

/** Takes the result of writing the placement. */
export function applyPlacementWrite (work: GatewayWork, event: Extract<GatewayEvent, { kind: 'placement-written' }>): void {
  const { state } = work
  const { granting } = state
  const written = granting.writing
  // Each write may be answered more than once, also after the next one has begun.
  if (written === undefined || event.write !== state.writesBegun) return
  if (event.outcome === 'written') {
    granting.writing = undefined
    setPlacement(work, written, { revision: event.revision, confirmations: 0 })
    advancePublishing(work)
    return
  }
  work.effects.push({ kind: 'log', event: 'placementConflict', fields: { outcome: event.outcome, revision: state.placementVersion.revision } })
  if (event.outcome !== 'rejected') work.effects.push({ kind: 'read-store' })
  if (event.outcome === 'unknown') {
    // It may be carried out late. Sent again it is the same write, and in conflict with itself at worst.
    granting.writeAgainAt = Math.min(granting.writeAgainAt, state.now + writeRetryMs)
    return
  }
  granting.writing = undefined
  granting.dirty = true
  // A store that can't be reached fails at once: it is not asked again in every tick.
  granting.writeAt = state.now + writeRetryMs
}

/** Puts a placement in force for routing, unless a newer one is. */
export function setPlacement (work: GatewayWork, placement: Placement, version: PlacementVersion): void {
  const { state } = work
  if (!isLaterVersion(version, state.placementVersion)) return
  state.placement = placement
  state.placementVersion = version
  applyFleetMemory(state, placement.memory)
  work.effects.push({ kind: 'log', event: 'placementInForce', fields: { ...version, nextFence: placement.nextFence } })
}

/** Tells all hosts that an owner confirmed its keys: they need not wait for the store, which may be away. */
export function sendConfirmation (work: GatewayWork, grant: KeptGrant): void {
  const { state } = work
  const { revision, confirmations } = state.placementVersion
  if (state.placement === undefined || !isWritten(work, grant.range)) return
  const placement = takeOwnCopy(work, state.placement)
  replaceRange(placement, grant.service, { ...grant.range })
  setPlacement(work, placement, { revision, confirmations: confirmations + 1 })
  advancePublishing(work)
}

/** Copies the placement in force before it is changed, once for all confirmations that are told together. */
function takeOwnCopy (work: GatewayWork, placement: Placement): Placement {
  const { granting } = work.state
  if (granting.ownCopy === placement) return placement
  granting.ownCopy = { ...placement, services: new Map([...placement.services].map(([service, ranges]) => [service, [...ranges]])) }
  return granting.ownCopy
}

/** Whether the store holds a range: only then is it granted. */
export function isWritten (work: GatewayWork, range: KeyRange): boolean {
  return range.fence < (work.state.placement?.nextFence ?? 0)
}
