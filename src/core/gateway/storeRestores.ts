import type { GatewayState } from './state.js'

/** Revisions reserved for the time between two restores of the store: at 1,200 writes a second it lasts for 29 years. */
export const revisionsPerRestore = 2 ** 40
/** Fencing tokens that the next granting host leaves out after each restore: at 1,000 tokens a second, those of 16 minutes that the restored copy lacks. */
export const fencesPerRestore = 1_000_000

/** Counts the restores of the store from an older copy that came before a revision; the revisions in the core are joined with this count, so that they only grow. */
export function countRestores (revision: number): number {
  return Math.floor(revision / revisionsPerRestore)
}

/** Whether the known placement, which may be absent, was last written before the restore after which this host became the granting host. */
export function isPlacementOutdated ({ granting, placement }: GatewayState): boolean {
  return countRestores(granting.leaderRevision) > (placement?.restores ?? 0)
}

/** Whether this host leads but must not grant yet, because grants that it does not know may be in force since before a restore of the store. */
export function isRecovering (state: GatewayState): boolean {
  const { granting } = state
  return granting.role === 'leading' && state.reducedAt < granting.recoverUntil && isPlacementOutdated(state)
}

/** Computes the first fencing token of a new granting host: after a restore of the store it lies above all that can have been given out. */
export function computeFirstFence (state: GatewayState): number {
  const { granting, placement, knownNextFence } = state
  const restores = countRestores(granting.leaderRevision)
  if (restores === 0) return placement?.nextFence ?? 1
  return Math.max(1, placement?.nextFence ?? 1, knownNextFence) + fencesPerRestore * Math.max(0, restores - (placement?.restores ?? 0))
}

/** Computes the revision of the stored placement on which a write is conditional; 0 if there is none since the last restore. */
export function computeStoredRevision ({ granting, placementVersion, refusedPlacementRevision }: GatewayState): number {
  const revision = Math.max(placementVersion.revision, refusedPlacementRevision)
  return countRestores(revision) < countRestores(granting.leaderRevision) ? 0 : revision
}
