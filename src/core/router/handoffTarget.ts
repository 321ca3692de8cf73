import type { Unit } from '../domain/assignment.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { findHostStatus, formatAddress } from '../domain/hostList.js'
import { formatBackendId, resolveHolder } from './ownership.js'

/** Chooses the new owner of a unit among the backend servers that are not known to be unavailable or leaving. */
export function chooseTarget (
  state: RouterState,
  service: string,
  unit: Unit,
  avoid: readonly string[],
  rules: RouterRules
): string | undefined {
  const serviceOfTeam = state.services.get(service)
  if (serviceOfTeam === undefined) return undefined
  const candidates: string[] = []
  for (const server of serviceOfTeam.service.backends) {
    if (avoid.includes(server.name)) continue
    if (isIneligibleTarget(state, service, server.name, formatAddress(server))) continue
    candidates.push(server.name)
  }
  return rules.chooseOwner(unit, listLeastLoaded(state, service, candidates), rules.hashKey)
}

/**
 * Lists the candidates with the fewest ranges and handoffs in progress to them, so
 * that the units of a lost backend server are spread evenly.
 */
function listLeastLoaded (state: RouterState, service: string, candidates: readonly string[]): string[] {
  const counts = new Map<string, number>(candidates.map(candidate => [candidate, 0]))
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return [...candidates]
  for (const entry of assignment.ranges) addCount(counts, entry.owner)
  for (const handoff of state.handoffs.values()) {
    if (handoff.service === service) addCount(counts, handoff.to)
  }
  const minCount = Math.min(...counts.values())
  return candidates.filter(candidate => counts.get(candidate) === minCount)
}

function addCount (counts: Map<string, number>, owner: string): void {
  const count = counts.get(owner)
  if (count !== undefined) counts.set(owner, count + 1)
}

function isIneligibleTarget (state: RouterState, service: string, backend: string, address: string): boolean {
  const backendState = state.backends.get(formatBackendId(service, backend))
  if (backendState?.isHeld === true && (backendState.status === 'lost' || backendState.status === 'leaving')) return true
  const hostStatus = findHostStatus(state.hosts, address)
  if (hostStatus === 'leaving' || hostStatus === 'gone') return true
  const holder = resolveHolder(state, service, backend)
  if (holder === undefined) return true
  if (holder.router === state.self) return false
  return state.peers.get(holder.router) === 'down'
}
