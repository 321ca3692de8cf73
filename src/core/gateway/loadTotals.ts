import { collectedReportRetentionMs, reportRetentionMs } from './limits.js'

/** Last load reports of several hosts, with their sums. */
export type LoadTotals = {
  /** Last report of each reporting host; `hosts`: number of hosts that it speaks for. */
  reports: Map<string, { at: number, inFlight: Map<string, number>, hosts: number }>
  /** Requests in flight at each backend server, summed over the reports. */
  inFlight: Map<string, number>
  /** Number of hosts that the reports speak for. */
  hostCount: number
}

/** Builds totals without any report. */
export function buildLoadTotals (): LoadTotals {
  return { reports: new Map(), inFlight: new Map(), hostCount: 0 }
}

/** Adds the requests in flight of a report at time `now`, in place of those of the host's previous report. */
export function addReport (totals: LoadTotals, now: number, host: string, inFlight: Map<string, number>, hosts = 1): void {
  dropReport(totals, host)
  totals.reports.set(host, { at: now, inFlight, hosts })
  totals.hostCount += hosts
  for (const [id, count] of inFlight) addInFlight(totals, id, count)
}

/** Drops the reports of hosts that have not reported for too long. */
export function dropExpiredReports (totals: LoadTotals, now: number): void {
  for (const [host, report] of totals.reports) {
    if (now - report.at > (report.hosts > 1 ? collectedReportRetentionMs : reportRetentionMs)) dropReport(totals, host)
  }
}

/** Counts the requests in flight at a backend server in the last reports of all hosts but `excludedHost`. */
export function countInFlight (totals: LoadTotals, id: string, excludedHost?: string): number {
  const own = excludedHost === undefined ? 0 : countOwnInFlight(totals, id, excludedHost)
  return (totals.inFlight.get(id) ?? 0) - own
}

/** Counts the requests in flight at a backend server in the last report of one host. */
export function countOwnInFlight (totals: LoadTotals, id: string, host: string): number {
  return totals.reports.get(host)?.inFlight.get(id) ?? 0
}

/** Drops the report of a host, if there is one. */
export function dropReport (totals: LoadTotals, host: string): void {
  const known = totals.reports.get(host)
  if (known === undefined) return
  totals.reports.delete(host)
  totals.hostCount -= known.hosts
  for (const [id, count] of known.inFlight) addInFlight(totals, id, -count)
}

function addInFlight (totals: LoadTotals, id: string, count: number): void {
  const sum = (totals.inFlight.get(id) ?? 0) + count
  if (sum === 0) totals.inFlight.delete(id)
  else totals.inFlight.set(id, sum)
}
