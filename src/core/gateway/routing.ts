import type { Configuration, GatewayRoute, KeyRange } from './model.js'
import type { GatewayState } from './state.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'

/** Number of turns among which a host chooses its starting point in a traffic split: weights are mostly given in hundredths. */
const maxInitialTurns = 100

/** Indexes routes by host name, the longest path prefix first. */
export function buildRouteIndex (configuration: Configuration): Map<string, GatewayRoute[]> {
  const index = new Map<string, GatewayRoute[]>()
  for (const route of configuration.routes) {
    const known = index.get(route.host)
    if (known === undefined) index.set(route.host, [route])
    else known.push(route)
  }
  for (const routes of index.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return index
}

/** Finds the route with the longest prefix that matches the path. */
export function findRoute (state: GatewayState, host: string, path: string): GatewayRoute | undefined {
  return state.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix))
}

/** Returns whether a request may run more than once; one without a route may not. */
export function isIdempotentRequest (state: GatewayState, host: string, path: string): boolean {
  return findRoute(state, host, path)?.idempotent === true
}

/** Chooses the service of a request by smooth weighted round robin, which keeps each share exact. */
export function chooseService (state: GatewayState, route: GatewayRoute): string {
  const only = route.targets[0]?.service ?? ''
  if (route.targets.length < 2) return only
  const id = `${route.name}\n${route.targets.map(target => `${target.service}=${target.weight}`).join(',')}`
  const credit = state.splitCredit.get(id) ?? buildSplitCredit(state, route)
  state.splitCredit.set(id, credit)
  return route.targets[takeTurn(route, credit)]?.service ?? only
}

/** Builds the round-robin state of a traffic split at a random turn: hosts that all started at the same turn would send their first requests to the same service. */
function buildSplitCredit (state: GatewayState, route: GatewayRoute): number[] {
  const credit = route.targets.map(() => 0)
  for (let turns = Math.floor(uniformFloat64(state.random) * maxInitialTurns); turns > 0; turns--) takeTurn(route, credit)
  return credit
}

/** Takes the next turn of a traffic split; returns the index of the chosen target. */
function takeTurn (route: GatewayRoute, credit: number[]): number {
  let total = 0
  let best = 0
  route.targets.forEach((target, index) => {
    total += target.weight
    credit[index] = (credit[index] ?? 0) + target.weight
    if ((credit[index] ?? 0) > (credit[best] ?? 0)) best = index
  })
  credit[best] = (credit[best] ?? 0) - total
  return best
}

/** Finds the range of a key by binary search; ranges are sorted and do not overlap. */
export function findRange (ranges: readonly KeyRange[], key: number): KeyRange | undefined {
  let low = 0
  let high = ranges.length - 1
  while (low <= high) {
    const middle = (low + high) >> 1
    const range = ranges[middle]
    if (range === undefined) return undefined
    if (key < range.from) high = middle - 1
    else if (key > range.to) low = middle + 1
    else return range
  }
  return undefined
}
