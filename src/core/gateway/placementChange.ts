import type { KeyRange, Placement, PlacementChange, PlacementVersion } from './model.js'
import { findRange } from './routing.js'
import { countRestores } from './storeRestores.js'

/** A placement with its version. */
export type VersionedPlacement = { placement: Placement, version: PlacementVersion }

/** Builds the difference between two placements, or a whole placement when there is no base. */
export function buildPlacementChange (base: VersionedPlacement | undefined, next: VersionedPlacement): PlacementChange {
  const changes: PlacementChange['changes'] = []
  for (const [service, ranges] of next.placement.services) {
    const known = new Map(base?.placement.services.get(service)?.map(range => [range.from, range]))
    for (const range of ranges) {
      const before = known.get(range.from)
      if (before === undefined || !isSameRange(before, range)) changes.push({ service, range })
    }
  }
  return { base: base?.version, next: next.version, nextFence: next.placement.nextFence, changes }
}

function isSameRange (a: KeyRange, b: KeyRange): boolean {
  return a.to === b.to && a.fence === b.fence && a.phase === b.phase && a.owner.id === b.owner.id && a.owner.startedAt === b.owner.startedAt &&
    a.previous?.id === b.previous?.id && a.previous?.startedAt === b.previous?.startedAt
}

/** Applies a change: the changed ranges replace the ranges of the base that they overlap. */
export function applyPlacementChange (base: Placement | undefined, change: PlacementChange): Placement {
  const services = new Map(change.base === undefined ? [] : base?.services ?? [])
  const changed = new Map<string, KeyRange[]>()
  for (const { service, range } of change.changes) {
    const ranges = changed.get(service) ?? []
    ranges.push(range)
    changed.set(service, ranges)
  }
  for (const [service, ranges] of changed) services.set(service, mergeRanges(services.get(service) ?? [], ranges))
  const restores = countRestores(change.next.revision)
  return { nextFence: change.nextFence, services, memory: base?.memory ?? { hosts: 1, serviceMs: new Map() }, ...(restores > 0 ? { restores } : {}) }
}

/** Lists the changed ranges and those that they do not overlap, sorted by first key. */
function mergeRanges (ranges: readonly KeyRange[], changed: readonly KeyRange[]): KeyRange[] {
  const kept = ranges.filter(range => !changed.some(other => other.from <= range.to && other.to >= range.from))
  return [...kept, ...changed].sort((a, b) => a.from - b.from)
}

/** Replaces the ranges that a range overlaps; modifies the placement in place. */
export function replaceRange (placement: Placement, service: string, range: KeyRange): void {
  const ranges = placement.services.get(service) ?? []
  const known = findRange(ranges, range.from)
  if (known?.from === range.from && known.to === range.to) ranges[ranges.indexOf(known)] = range
  else placement.services.set(service, mergeRanges(ranges, [range]))
}

/** Whether one version of a placement comes after another. */
export function isLaterVersion (version: PlacementVersion, than: PlacementVersion): boolean {
  if (version.revision !== than.revision) return version.revision > than.revision
  return version.confirmations > than.confirmations
}

/**
 * Whether a placement is older by content than the one in force although its version is later: the store was restored
 * from an older copy. Without a restore, versions decide.
 */
export function isOlderContent (next: VersionedPlacement, inForce: VersionedPlacement): boolean {
  const restores = countRestores(next.version.revision)
  if (restores === 0) return false
  const { nextFence } = inForce.placement
  return restores > countRestores(inForce.version.revision) ? next.placement.nextFence <= nextFence : next.placement.nextFence < nextFence
}

/** Whether two versions are the same. */
export function isSameVersion (a: PlacementVersion, b: PlacementVersion): boolean {
  return a.revision === b.revision && a.confirmations === b.confirmations
}
