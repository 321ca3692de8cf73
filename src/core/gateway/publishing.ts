import type { GatewayWork } from './state.js'
import { computePublishMs } from './limits.js'
import { buildPlacementChange, isSameVersion } from './placementChange.js'

/** Tells the other hosts what changed in the placement; changes that come soon after others are told together. */
export function advancePublishing (work: GatewayWork): void {
  if (work.state.now >= work.state.granting.publishAt) sendPlacementChange(work)
}

/** Tells the other hosts at once what changed since they were last told. */
export function sendPlacementChange (work: GatewayWork): void {
  const { state } = work
  const { granting, placement, placementVersion } = state
  if (granting.role !== 'leading' || placement === undefined) return
  if (granting.published !== undefined && isSameVersion(granting.published.version, placementVersion)) return
  const next = { placement, version: placementVersion }
  work.effects.push({ kind: 'publish-placement', change: buildPlacementChange(granting.published, next), host: undefined })
  granting.published = next
  granting.ownCopy = undefined
  granting.publishAt = state.now + computePublishMs(state.hosts)
}
