import type { GatewayWork } from './state.js'
import { computeRelayMs } from './limits.js'

/** Passes the store's changes on to the other hosts; those that come soon after others go together. */
export function advanceRelay (work: GatewayWork): void {
  const { state } = work
  const { granting } = state
  if (granting.role !== 'leading' || state.storeRevision <= granting.relayedRevision || state.now < granting.relayAt) return
  granting.relayedRevision = state.storeRevision
  granting.relayedAsOf = state.knownAsOf
  granting.relayAt = state.now + computeRelayMs(state.hosts)
  work.effects.push({ kind: 'relay-changes' })
}
