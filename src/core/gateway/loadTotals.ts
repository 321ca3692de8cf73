import type { GrantingState } from './grantingState.js'
import type { GatewayState } from './state.js'
import { reportRetentionMs } from './limits.js'

/** Adds the requests in flight of a host's report, in place of those of its previous report. */
export function addReport (state: GatewayState, host: string, inFlight: Map<string, number>): void {
  const { granting, now } = state
  dropReport(granting, host)
  // The map stays ordered by time of arrival, since the previous report of the host has been deleted.
  granting.reports.set(host, { at: now, inFlight })
  for (const [id, count] of inFlight) addInFlight(granting, id, count)
}

/** Drops the reports of hosts that have not reported for too long. */
export function dropExpiredReports (state: GatewayState): void {
  const { granting, now } = state
  for (const [host, report] of granting.reports) {
    if (now - report.at <= reportRetentionMs) return
    dropReport(granting, host)
  }
}

/** Counts the requests in flight at a backend server in the last reports of all hosts but `excludedHost`. */
export function countInFlight (granting: GrantingState, id: string, excludedHost?: string): number {
  const own = excludedHost === undefined ? 0 : granting.reports.get(excludedHost)?.inFlight.get(id) ?? 0
  return (granting.inFlight.get(id) ?? 0) - own
}

function dropReport (granting: GrantingState, host: string): void {
  const known = granting.reports.get(host)
  if (known === undefined) return
  granting.reports.delete(host)
  for (const [id, count] of known.inFlight) addInFlight(granting, id, -count)
}

function addInFlight (granting: GrantingState, id: string, count: number): void {
  const sum = (granting.inFlight.get(id) ?? 0) + count
  if (sum === 0) granting.inFlight.delete(id)
  else granting.inFlight.set(id, sum)
}
