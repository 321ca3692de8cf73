import type { Assignment, UnitEntry } from '../domain/assignment.js'
import type { BackendStatus } from '../domain/control.js'
import type { Service } from '../domain/document.js'
import type { UnitLoad } from '../policy/placement.js'
import type { ControllerState } from './controllerState.js'
import type { ControllerRules } from './rules.js'
import { findHostStatus, formatAddress } from '../domain/hostList.js'
import { computeRangeIndex, listUnits } from '../domain/assignment.js'

/** Maximum number of pending moves in one service. */
export const maxConcurrentMoves = 8
/** Minimum time between two moves of the same unit, in milliseconds. */
export const moveCooldownMs = 5000
/** Load from which a key gets its own entry, as a share of the mean load of a backend server. */
const hotKeyLoadShare = 0.15
/** Maximum number of single-key entries in one service. */
export const maxKeyEntries = 512
/** Load added to every range, as a share of the mean range load, so that idle ranges are distributed evenly too. */
const baseRangeLoadShare = 0.1

/**
 * Plans moves that balance load, gives hot keys their own entries, and moves units off backend
 * servers that are no longer in the document.
 */
export function planBalance (
  state: ControllerState,
  service: Service,
  next: Assignment,
  rules: ControllerRules
): boolean {
  let isChanged = cancelObsoleteMoves(state, service, next)
  isChanged = moveUnitsOffUnlistedBackends(state, service, next, rules) || isChanged
  isChanged = addHotKeys(state, service, next, rules) || isChanged
  return planLoadMoves(state, service, next, rules) || isChanged
}

/** Cancels moves that have finished or whose target may no longer receive units. */
function cancelObsoleteMoves (state: ControllerState, service: Service, next: Assignment): boolean {
  const targets = listTargets(state, service)
  let isChanged = false
  for (const [, entry] of listUnits(next)) {
    if (entry.wanted === undefined) continue
    if (entry.wanted !== entry.owner && targets.includes(entry.wanted)) continue
    delete entry.wanted
    isChanged = true
  }
  return isChanged
}

/** Lists backend servers that may receive units. */
export function listTargets (state: ControllerState, service: Service): string[] {
  const targets: string[] = []
  for (const backend of service.backends) {
    const hostStatus = findHostStatus(state.hosts, formatAddress(backend))
    if (hostStatus === 'leaving' || hostStatus === 'gone') continue
    if (findBackendStatus(state, service.name, backend.name) !== 'ready') continue
    targets.push(backend.name)
  }
  return targets
}

function findBackendStatus (state: ControllerState, service: string, backend: string): BackendStatus {
  let status: BackendStatus = 'unknown'
  let latestAt = -Infinity
  for (const { report, receivedAt } of state.reports.values()) {
    for (const reported of report.backends) {
      if (reported.service !== service || reported.backend !== backend || receivedAt < latestAt) continue
      status = reported.state
      latestAt = receivedAt
    }
  }
  return status
}

function moveUnitsOffUnlistedBackends (
  state: ControllerState,
  service: Service,
  next: Assignment,
  rules: ControllerRules
): boolean {
  const listed = new Set(service.backends.map(backend => backend.name))
  const targets = listTargets(state, service)
  const unlistedUnits = listUnits(next).filter(([, entry]) => !listed.has(entry.owner) && entry.wanted === undefined)
  if (unlistedUnits.length === 0 || targets.length === 0) return false
  const placement = rules.placeUnits(unlistedUnits.map(([unit]) => unit), targets, rules.hashKey)
  for (const [unit, entry] of unlistedUnits) setWantedOwner(state, service.name, unit, entry, placement.get(unit))
  return true
}

function setWantedOwner (state: ControllerState, service: string, unit: string, entry: UnitEntry, to: string | undefined): void {
  if (to === undefined || to === entry.owner) return
  entry.wanted = to
  state.moveRequestedAt.set(`${service}/${unit}`, state.now)
}

/** Gives hot keys their own entries, which start with the owner and epoch of their range. */
function addHotKeys (state: ControllerState, service: Service, next: Assignment, rules: ControllerRules): boolean {
  const meanPerSecond = computeMeanRequests(state, service)
  if (meanPerSecond <= 0) return false
  let isChanged = false
  for (const hotKey of state.hotKeys.values()) {
    if (hotKey.service !== service.name || hotKey.perSecond < meanPerSecond * hotKeyLoadShare) continue
    if (next.keys.has(hotKey.key) || next.keys.size >= maxKeyEntries) continue
    const range = next.ranges[computeRangeIndex(rules.hashKey(hotKey.key), next.ranges.length)]
    if (range === undefined || range.wanted !== undefined) continue
    next.keys.set(hotKey.key, { owner: range.owner, epoch: range.epoch, base: range.epoch })
    isChanged = true
  }
  return isChanged
}

function computeMeanRequests (state: ControllerState, service: Service): number {
  let total = 0
  for (const load of state.loads.values()) {
    if (load.service === service.name) total += load.requestsPerSecond
  }
  return total / Math.max(1, service.backends.length)
}

function planLoadMoves (state: ControllerState, service: Service, next: Assignment, rules: ControllerRules): boolean {
  const targets = listTargets(state, service)
  const pendingCount = listUnits(next).filter(([, entry]) => entry.wanted !== undefined).length
  if (pendingCount >= maxConcurrentMoves) return false
  const loads = listLoads(state, service, next, rules)
  const moves = rules.planMoves(loads, targets, maxConcurrentMoves - pendingCount)
  const entries = new Map(listUnits(next))
  let isChanged = false
  for (const move of moves) {
    const entry = entries.get(move.unit)
    if (entry === undefined || entry.wanted !== undefined) continue
    if (state.now - (state.moveRequestedAt.get(`${service.name}/${move.unit}`) ?? -Infinity) < moveCooldownMs) continue
    setWantedOwner(state, service.name, move.unit, entry, move.to)
    isChanged = true
  }
  return isChanged
}

/**
 * Lists the load of every unit under its wanted owner. Routers report the load of a single key
 * under its range until the key first moves, so it is subtracted from the range here.
 */
function listLoads (state: ControllerState, service: Service, next: Assignment, rules: ControllerRules): UnitLoad[] {
  const loads = new Map<string, UnitLoad>()
  let total = 0
  for (const [unit, entry] of listUnits(next)) {
    const load = state.loads.get(`${service.name}/${unit}`)?.requestsPerSecond ?? 0
    loads.set(unit, { unit, owner: entry.wanted ?? entry.owner, load })
    total += load
  }
  splitKeyLoads(state, service, next, loads, rules)
  const baseLoad = Math.max(0.001, (total / Math.max(1, next.ranges.length)) * baseRangeLoadShare)
  for (const load of loads.values()) {
    if (load.unit.startsWith('r')) load.load += baseLoad
  }
  return [...loads.values()]
}

function splitKeyLoads (
  state: ControllerState,
  service: Service,
  next: Assignment,
  loads: Map<string, UnitLoad>,
  rules: ControllerRules
): void {
  for (const [key, entry] of next.keys) {
    if (entry.base === undefined || entry.epoch !== entry.base) continue
    const keyRate = state.hotKeys.get(`${service.name}/${key}`)?.perSecond ?? 0
    const rangeLoad = loads.get(`r${computeRangeIndex(rules.hashKey(key), next.ranges.length)}`)
    const keyLoad = loads.get(`k${key}`)
    if (rangeLoad === undefined || keyLoad === undefined) continue
    keyLoad.load = Math.max(keyLoad.load, keyRate)
    rangeLoad.load = Math.max(0, rangeLoad.load - keyRate)
  }
}
