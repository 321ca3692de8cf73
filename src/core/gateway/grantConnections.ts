import type { GatewayState, GatewayWork } from './state.js'
import { leadershipTtlMs, movingLeaseShare } from './limits.js'
import { computeRenewerTimeoutMs } from './renewerAssignment.js'

/**
 * Connections over which a grant may be sent: any, opened for it if necessary, or only those that were kept open after
 * their backend server confirmed a grant on them.
 *
 * A backend server that starts again in place has forgotten its fencing tokens and accepts outdated grants. No
 * connection outlives a process, so a kept one proves that the server still knows the token of the grant on it. Hosts that
 * may have been replaced renew grants over kept connections only.
 */
export type GrantConnection = 'any' | 'kept'

/** Updates until when no other host can have become the granting host, and thus until when grants may be sent over new connections. */
export function updateConnectUntil (work: GatewayWork): void {
  const { state } = work
  const { granting } = state
  const before = granting.grantConnection
  granting.connectUntil = Math.max(granting.confirmedAt + leadershipTtlMs * movingLeaseShare, computeReportedUntil(state))
  granting.grantConnection = chooseGrantConnection(state)
  if (granting.grantConnection === before) return
  const silentHosts = [...granting.hostReportedAt].filter(([, at]) => state.now - at > computeRenewerTimeoutMs(state)).map(([host]) => host)
  work.effects.push({ kind: 'log', event: 'grantConnectionsChanged', fields: { connections: granting.grantConnection, unconfirmedMs: Math.round(state.now - granting.confirmedAt), silentHosts: silentHosts.slice(0, 5).join(' ') } })
}

/** Chooses the connections for the renewals of the granting host. */
export function chooseGrantConnection ({ granting, reducedAt }: GatewayState): GrantConnection {
  return reducedAt < granting.connectUntil ? 'any' : 'kept'
}

/** Computes for how much longer hosts that renew grants for this one may open connections for them, in milliseconds. */
export function computeConnectMs ({ granting, now }: GatewayState): number {
  return Math.max(0, granting.connectUntil - now)
}

/**
 * Computes until when the reports of the fleet prove that no other host grants keys: a host that reports here is not the
 * granting host itself. This keeps owners reachable in an outage of the store that all hosts see.
 */
function computeReportedUntil (state: GatewayState): number {
  const { granting } = state
  if (granting.hostReportedAt.size + 1 < granting.expectedHosts) return -Infinity
  return Math.min(...granting.hostReportedAt.values(), state.now) + computeRenewerTimeoutMs(state)
}
