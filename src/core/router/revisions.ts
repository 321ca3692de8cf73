import type { Revisions } from '../domain/control.js'
import type { RouterState } from './routerState.js'

/** Lists the revisions of all documents and assignments that this router has applied. */
export function listRevisions (state: RouterState): Revisions {
  const revisions: Revisions = new Map()
  for (const [team, document] of state.documents) revisions.set(`document:${team}`, document.revision)
  for (const [service, assignment] of state.assignments) revisions.set(`assignment:${service}`, assignment.revision)
  return revisions
}

/** Records the highest revisions that peers reported, so that older records are recognized as stale. */
export function updateKnownRevisions (state: RouterState, revisions: Revisions): void {
  for (const [name, revision] of revisions) {
    if (revision > (state.knownRevisions.get(name) ?? 0)) state.knownRevisions.set(name, revision)
  }
}

/** Returns whether this router has applied at least the given revisions. */
export function hasRevisions (state: RouterState, revisions: Revisions): boolean {
  const applied = listRevisions(state)
  for (const [name, revision] of revisions) {
    if ((applied.get(name) ?? 0) < revision) return false
  }
  return true
}
