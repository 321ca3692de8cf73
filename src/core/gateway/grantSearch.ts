import type { GrantingState, ManagedGrant } from './grantingState.js'

/** Identifies the range that an owner's answer refers to. The fencing token alone is not enough, since the parts of a split range share it. */
type AnsweredRange = { service: string, from: number, to: number, fence: number }

/** Finds the grant that an answer refers to. */
export function findGrant (granting: GrantingState, answered: AnsweredRange): ManagedGrant | undefined {
  const found = granting.grantLookupCache.get(answered.service) ?? new Map<number, ManagedGrant>()
  granting.grantLookupCache.set(answered.service, found)
  const known = found.get(answered.from)
  if (known !== undefined && isMatching(known, answered)) return known
  const grant = granting.grants.find(each => isMatching(each, answered))
  if (grant === undefined) found.delete(answered.from)
  else found.set(answered.from, grant)
  return grant
}

function isMatching ({ service, range }: ManagedGrant, answered: AnsweredRange): boolean {
  return range.from === answered.from && range.to === answered.to && range.fence === answered.fence && service === answered.service
}
