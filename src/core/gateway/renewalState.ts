import type { KeyRange, PlacementVersion } from './model.js'

/** A host that reports and may renew grants for the granting host, as the granting host knows it. */
export type RenewerHost = {
  zone: string
  /** Address for the exchange between hosts; empty while the host can't be a collector. */
  address: string
  processorShare: number
  linkMbps?: number | undefined
  isCollecting: boolean
  /** Collector through which it reports; undefined when it reports directly. */
  collector: string | undefined
  reportedAt: number
  /** Version of the placement in its last report. */
  placement: PlacementVersion
  /** Owners whose grants it is asked to renew. */
  owners: Set<string>
}

/** A grant that this host renews for the granting host. `confirmedAt`: when the last confirmed call was sent, `-Infinity` if there is none. */
export type RenewedGrant = { service: string, range: KeyRange, confirmedAt: number, nextAt: number }

/** State of the renewals that a host sends for the granting host. */
export type RenewalState = {
  owners: ReadonlySet<string>
  /** Until when it may renew without a new request from the granting host. */
  validUntil: number
  /** Until when it may open connections for renewals; after that it uses those that were kept open. */
  connectUntil: number
  /** Answers to reports sent before this time are ignored, because the process was paused in between. */
  ignoreReportsBefore: number
  grants: RenewedGrant[]
  /** Version of the placement from which `grants` was listed. */
  listedVersion: PlacementVersion | undefined
}

/** Builds the state of a host that renews no grants. */
export function buildRenewalState (): RenewalState {
  return { owners: new Set(), validUntil: -Infinity, connectUntil: -Infinity, ignoreReportsBefore: -Infinity, grants: [], listedVersion: undefined }
}
