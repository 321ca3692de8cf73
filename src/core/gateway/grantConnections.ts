import type { GatewayState, GatewayWork } from './state.js'
import { forgottenHostMs, leadershipTtlMs, movingLeaseShare } from './limits.js'
import { computeRenewerTimeoutMs } from './renewerAssignment.js'

/** Maximum number of hosts that a log line names. */
const maxLoggedHosts = 5

/**
 * Connections over which a grant may be sent: any, opened for it if necessary, or only those that were kept open after
 * their backend server confirmed a grant on them.
 *
 * A backend server that starts again in place has forgotten its fencing tokens and accepts outdated grants. No
 * connection outlives a process, so a kept one proves that the server still knows the token of the grant on it. Hosts that
 * may have been replaced renew grants over kept connections only.
 */
export type GrantConnection = 'any' | 'kept'

/** Updates what the reports of the fleet prove, and logs when renewals have to do with kept connections or may open others again. */
export function updateGrantConnection (work: GatewayWork): void {
  const { state } = work
  const { granting, now } = state
  const before = granting.grantConnection
  granting.reportedUntil = computeReportedUntil(state)
  granting.grantConnection = chooseGrantConnection(state)
  if (granting.grantConnection === before) return
  const unconfirmedMs = Math.round(now - granting.confirmedAt)
  work.effects.push({ kind: 'log', event: 'grantConnectionsChanged', fields: { connections: granting.grantConnection, unconfirmedMs, silentHosts: listSilentHosts(state).slice(0, maxLoggedHosts).join(' ') } })
}

/** Chooses the connections for the grants of the granting host. */
export function chooseGrantConnection (state: GatewayState): GrantConnection {
  return state.reducedAt < computeConnectUntil(state) ? 'any' : 'kept'
}

/** Computes for how much longer hosts that renew grants for this one may open connections for them, in milliseconds. */
export function computeConnectMs (state: GatewayState): number {
  return Math.max(0, computeConnectUntil(state) - state.now)
}

/** Computes until when no other host can have become the granting host, by the lease or by the reports of the fleet. */
function computeConnectUntil ({ granting }: GatewayState): number {
  return Math.max(granting.confirmedAt + leadershipTtlMs * movingLeaseShare, granting.reportedUntil)
}

/**
 * Computes until when the reports of the fleet prove that no other host grants keys: a host that reports here is not the
 * granting host itself. This keeps owners reachable in an outage of the store that all hosts see.
 */
function computeReportedUntil (state: GatewayState): number {
  const { granting, now } = state
  const { hostReportedAt, expectedHosts, leaderSince } = granting
  const isHostMissing = hostReportedAt.size + 1 < expectedHosts && now - leaderSince < forgottenHostMs
  return isHostMissing ? -Infinity : Math.min(now, ...hostReportedAt.values()) + computeRenewerTimeoutMs(state)
}

function listSilentHosts (state: GatewayState): string[] {
  const timeoutMs = computeRenewerTimeoutMs(state)
  return [...state.granting.hostReportedAt].filter(([, reportedAt]) => state.now - reportedAt > timeoutMs).map(([host]) => host)
}
