import type { RouterState } from './routerState.js'
import { maxReportedHotKeys } from '../limits.js'

/** Maximum number of keys counted between two reports; beyond it, all counts are halved and the rarest keys dropped. */
const maxCountedKeys = 2000

/** Counts a request under its unit and key for the next report. */
export function countLoad (state: RouterState, request: { service: string, unit: string, key: string }): void {
  const id = `${request.service}/${request.unit}`
  const counter = state.loads.requests.get(id)
  if (counter === undefined) {
    state.loads.requests.set(id, { service: request.service, unit: request.unit, requests: 1, busyMs: 0 })
  } else {
    counter.requests += 1
  }
  countKey(state, request.service, request.key)
}

/** Adds the slot time of a request to its unit. */
export function addBusyTime (state: RouterState, request: { service: string, unit: string }, busyMs: number): void {
  const counter = state.loads.requests.get(`${request.service}/${request.unit}`)
  if (counter !== undefined) counter.busyMs += busyMs
}

function countKey (state: RouterState, service: string, key: string): void {
  const id = `${service}/${key}`
  const counter = state.loads.keys.get(id)
  if (counter !== undefined) {
    counter.requests += 1
    return
  }
  if (state.loads.keys.size >= maxCountedKeys) dropRareKeys(state)
  state.loads.keys.set(id, { service, key, requests: 1 })
}

/** Halves all counts and drops those that reach zero, so that frequent keys stay (lossy counting). */
function dropRareKeys (state: RouterState): void {
  for (const [id, entry] of state.loads.keys) {
    entry.requests = Math.floor(entry.requests / 2)
    if (entry.requests === 0) state.loads.keys.delete(id)
  }
}

/** Lists the most requested keys since the last report. */
export function listHotKeys (state: RouterState): Array<{ service: string, key: string, requests: number }> {
  const keys = [...state.loads.keys.values()]
  keys.sort((left, right) => right.requests - left.requests)
  return keys.slice(0, maxReportedHotKeys)
}

/** Resets all counters after a report. */
export function resetLoads (state: RouterState): void {
  state.loads = { requests: new Map(), keys: new Map(), since: state.now }
}
