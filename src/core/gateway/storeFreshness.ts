import type { ChangeKind } from './changeLags.js'
import type { GatewayState } from './state.js'
import { dropColdShares } from './coldAdmission.js'
import { minSuspensionMs } from './limits.js'
import { findRelay } from './relaying.js'
import { applySuspendedTime } from './signalState.js'

/** Readings of both clocks at one moment, in milliseconds: the monotonic clock stops while the process is suspended, the wall clock does not. */
export type Clocks = { now: number, wall: number }

/** Records that all changes that the store had acknowledged at a time are known here. */
export function recordKnownAsOf (state: GatewayState, asOf: number): void {
  state.knownAsOf = Math.max(state.knownAsOf, asOf)
}

/**
 * Computes the time up to which all acknowledged changes of a kind are known here. Changes of
 * registrations and evacuations are also known up to `receivedAsOf`. A configuration may not be: it can be so large
 * that the granting host leaves it out of the changes it relays, and this host may still be reading it.
 */
export function computeKnownAsOf ({ knownAsOf, receivedAsOf }: GatewayState, change: ChangeKind): number {
  return change === 'configuration' ? knownAsOf : Math.max(knownAsOf, receivedAsOf)
}

/** Computes how long the process has been suspended since the clocks were last read, in milliseconds. */
export function computeSuspendedMs (last: Clocks | undefined, { now, wall }: Clocks): number {
  if (last === undefined) return 0
  const suspendedMs = (wall - last.wall) - (now - last.now)
  return suspendedMs > minSuspensionMs ? suspendedMs : 0
}

/** Reduces the times up to which the store is known by the time for which the process was suspended, since the monotonic clock did not count it. */
export function applySuspension (state: GatewayState, clocks: Clocks): void {
  // An event may be reduced after later ones, with readings that are older than theirs.
  if (state.clocks !== undefined && clocks.now < state.clocks.now) return
  const suspendedMs = computeSuspendedMs(state.clocks, clocks)
  state.clocks = { now: clocks.now, wall: clocks.wall }
  if (suspendedMs === 0) return
  state.knownAsOf -= suspendedMs
  state.receivedAsOf -= suspendedMs
  for (const evacuation of state.evacuations.zones.values()) evacuation.since -= suspendedMs
  state.granting.relayedAsOf -= suspendedMs
  state.collecting.relayedAsOf -= suspendedMs
  for (const renewals of state.collecting.renewals.values()) renewals.askedAt -= suspendedMs
  for (const shares of state.collecting.coldShares.values()) shares.askedAt -= suspendedMs
  state.granting.coldDealing.suspendedAt = clocks.now
  dropColdShares(state, clocks.now)
  state.disruptedAt = clocks.now
  applySuspendedTime(state, suspendedMs)
}

/** Computes the age of the oldest change that the store may have acknowledged and that was not relayed to the other hosts, in milliseconds. */
export function computeStoreAgeMs (state: GatewayState, clocks: Clocks): number {
  const { storeRevision, knownAsOf, clocks: last } = state
  const relay = findRelay(state) ?? state.granting
  const asOf = storeRevision <= relay.relayedRevision ? knownAsOf : relay.relayedAsOf
  return clocks.now - asOf + computeSuspendedMs(last, clocks)
}
