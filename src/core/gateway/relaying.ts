import type { GatewayWork } from './state.js'
import { computeRelayMs } from './limits.js'

/** Relays the store's changes to the other hosts; changes within `computeRelayMs` of the last relay are batched. */
export function advanceRelay (work: GatewayWork): void {
  const { state } = work
  const { granting } = state
  if (granting.role !== 'leading' || state.storeRevision <= granting.relayedRevision || state.now < granting.relayAt) return
  granting.relayedRevision = state.storeRevision
  granting.relayedAsOf = state.knownAsOf
  granting.relayAt = state.now + computeRelayMs(state.hosts)
  work.effects.push({ kind: 'relay-changes' })
}
