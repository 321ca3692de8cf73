import type { Granting } from './grantingState.js'
import type { GatewayState } from './state.js'
import { keptReportMs } from './limits.js'

/** Takes the requests in flight that a host reported, in place of those that it reported before. */
export function addReport (state: GatewayState, host: string, inFlight: Map<string, number>): void {
  const { granting, now } = state
  dropReport(granting, host)
  // The report that came last is the last in order.
  granting.reports.set(host, { at: now, inFlight })
  for (const [id, count] of inFlight) addInFlight(granting, id, count)
}

/** Forgets the reports of hosts that have been silent for too long. */
export function dropOldReports (state: GatewayState): void {
  const { granting, now } = state
  for (const [host, report] of granting.reports) {
    if (now - report.at <= keptReportMs) return
    dropReport(granting, host)
  }
}

/** Counts the requests in flight at a backend server by the last reports of all hosts but one. */
export function countInFlight (granting: Granting, id: string, except?: string): number {
  const own = except === undefined ? 0 : granting.reports.get(except)?.inFlight.get(id) ?? 0
  return (granting.inFlight.get(id) ?? 0) - own
}

function dropReport (granting: Granting, host: string): void {
  const known = granting.reports.get(host)
  if (known === undefined) return
  granting.reports.delete(host)
  for (const [id, count] of known.inFlight) addInFlight(granting, id, -count)
}

function addInFlight (granting: Granting, id: string, count: number): void {
  const sum = (granting.inFlight.get(id) ?? 0) + count
  if (sum === 0) granting.inFlight.delete(id)
  else granting.inFlight.set(id, sum)
}
