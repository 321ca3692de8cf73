import type { GatewayState, GatewayWork } from './state.js'
import { computeRelayMs } from './limits.js'

/** Progress of a host that relays the store's changes to hosts that report to it. */
export type Relay = {
  /** Revision of the store up to which changes were relayed. */
  relayedRevision: number
  /** At the last relay, this host knew every change that the store had acknowledged by this time. */
  relayedAsOf: number
  /** Earliest time of the next relay. */
  relayAt: number
}

/** Builds the progress of a host that has relayed nothing. */
export function buildRelay (now: number): Relay {
  return { relayedRevision: 0, relayedAsOf: -Infinity, relayAt: now }
}

/** Finds the progress of this host's relay; undefined while no host reports to it. */
export function findRelay ({ granting, collecting }: GatewayState): Relay | undefined {
  if (granting.role === 'leading') return granting
  return collecting.role === 'collecting' ? collecting : undefined
}

/** Relays the store's changes to the hosts that report to this one; changes within `computeRelayMs` of the last relay are batched. */
export function advanceRelay (work: GatewayWork): void {
  const { state } = work
  const relay = findRelay(state)
  if (relay === undefined || state.storeRevision <= relay.relayedRevision || state.now < relay.relayAt) return
  relay.relayedRevision = state.storeRevision
  relay.relayedAsOf = state.knownAsOf
  relay.relayAt = state.now + computeRelayMs(state.reporters)
  work.effects.push({ kind: 'relay-changes' })
}
