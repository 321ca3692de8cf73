import type { GatewayWork } from './state.js'
import { computePublishMs } from './limits.js'
import { buildPlacementChange, isSameVersion } from './placementChange.js'
import { isRecovering } from './storeRestores.js'

/** Publishes the changes of the placement to the other hosts; changes in quick succession are published together. */
export function advancePublishing (work: GatewayWork): void {
  if (work.state.now >= work.state.granting.publishAt) sendPlacementChange(work)
}

/** Publishes the changes since the last publication to the other hosts at once. */
export function sendPlacementChange (work: GatewayWork): void {
  const { state } = work
  const { granting, placement, placementVersion } = state
  if (granting.role !== 'leading' || placement === undefined || isRecovering(state)) return
  if (granting.published !== undefined && isSameVersion(granting.published.version, placementVersion)) return
  const next = { placement, version: placementVersion }
  work.effects.push({ kind: 'publish-placement', change: buildPlacementChange(granting.published, next), host: undefined })
  granting.published = next
  granting.workingCopy = undefined
  granting.publishAt = state.now + computePublishMs(state.reporters)
}
