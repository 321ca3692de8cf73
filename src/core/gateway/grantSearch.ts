import type { Granting, KeptGrant } from './grantingState.js'

/** What an answer of an owner tells of the range that it is about. Parts of a range that was divided bear the same fencing token. */
type AnsweredRange = { service: string, from: number, to: number, fence: number }

/** Finds the grant that an answer is about. */
export function findGrant (granting: Granting, answered: AnsweredRange): KeptGrant | undefined {
  const found = granting.foundGrants.get(answered.service) ?? new Map<number, KeptGrant>()
  granting.foundGrants.set(answered.service, found)
  const known = found.get(answered.from)
  if (known !== undefined && isAbout(known, answered)) return known
  const grant = granting.grants.find(each => isAbout(each, answered))
  if (grant === undefined) found.delete(answered.from)
  else found.set(answered.from, grant)
  return grant
}

function isAbout ({ service, range }: KeptGrant, answered: AnsweredRange): boolean {
  return range.from === answered.from && range.to === answered.to && range.fence === answered.fence && service === answered.service
}
