import type { KeyRange, PlacementVersion } from './model.js'

/** A host, as the granting host knows it, that renews grants for it. */
export type RenewerHost = {
  zone: string
  reportedAt: number
  /** Placement that its last report went by. */
  placement: PlacementVersion
  /** Owners whose grants it is to renew. */
  owners: Set<string>
}

/** A grant that this host renews for the granting host. `confirmedAt`: when the last confirmed call was sent, `-Infinity` before. */
export type RenewedGrant = { service: string, range: KeyRange, confirmedAt: number, nextAt: number }

/** What a host renews for the granting host. */
export type Renewing = {
  owners: ReadonlySet<string>
  /** Until when it may renew without further word. */
  until: number
  /** Reports sent before this time are answered too late to be acted on: this process has been paused since. */
  notBefore: number
  grants: RenewedGrant[]
  /** Placement that `grants` was listed from. */
  listedFrom: PlacementVersion | undefined
}

/** Builds the state of a host that renews nothing. */
export function buildRenewing (): Renewing {
  return { owners: new Set(), until: -Infinity, notBefore: -Infinity, grants: [], listedFrom: undefined }
}
