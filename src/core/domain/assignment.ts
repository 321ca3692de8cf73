/** Part of a key space with one owner: `r<index>` is a hash range, `k<key>` is a single key. */
export type Unit = string

/** Ownership of a unit. Only the router that holds the backend server `owner` may raise `epoch`. */
export type UnitEntry = {
  owner: string
  epoch: number
  /** Backend server that the controller wants as the next owner; absent when the unit should stay. */
  wanted?: string
  /** For single keys: epoch of the range when the key got its own entry. */
  base?: number
}

/** The one router that may send requests to a backend server. */
export type HolderEntry = {
  router: string
  epoch: number
  /** Router that the controller wants as the next holder; absent when the holder should stay. */
  wanted?: string
}

/** Acknowledged ownership of the units and backend servers of one service, as stored. */
export type Assignment = {
  service: string
  /** Incremented by one with each accepted change. */
  revision: number
  /** Id of the write that created this revision; shows whether a write without a reply took effect. */
  operation: string
  ranges: UnitEntry[]
  keys: Map<string, UnitEntry>
  holders: Map<string, HolderEntry>
}

/** A running router and its guardians: the two peers that grant its lease. */
export type RouterEntry = {
  /** Instance id; a restarted router has a new one. */
  router: string
  /** Peer address `host:port`. */
  address: string
  /** Admin address `host:port`. */
  adminAddress: string
  zone: string
  /** Number of the guardian set in the fields below; incremented when the set changes. */
  generation: number
  /** Guardian that takes over the lease when it expires. */
  successor: string | undefined
  /** Guardian that confirms the expiry to the successor. */
  witness: string | undefined
  /** Guardian retained from the previous generation, so that the two sets overlap. */
  pivot: string | undefined
}

/** All routers, as stored. */
export type Fleet = {
  revision: number
  operation: string
  routers: Map<string, RouterEntry>
}

/** An ownership change made by a router that may not be in the store yet. */
export type JournalEntry =
  | { kind: 'unit', service: string, unit: Unit, from: string, to: string, epoch: number }
  | { kind: 'router', from: string, to: string, epoch: number }
  | { kind: 'holder', service: string, backend: string, from: string, to: string, epoch: number }

/** Step between the holder epochs that the controller assigns; routers use the epochs in between for changes of their own. */
export const holderEpochBlockSize = 1000

/** Builds the unit name of a hash range. */
export function formatRangeUnit (index: number): Unit {
  return `r${index}`
}

/** Builds the unit name of a single key. */
export function formatKeyUnit (key: string): Unit {
  return `k${key}`
}

/** Maps a 32-bit hash to a range index; `rangeCount` is a power of two. */
export function computeRangeIndex (hash: number, rangeCount: number): number {
  return Math.floor((hash / 0x100000000) * rangeCount)
}

/** Finds the entry of a unit in an assignment. */
export function findStoredEntry (assignment: Assignment, unit: Unit): UnitEntry | undefined {
  if (unit.startsWith('k')) return assignment.keys.get(unit.slice(1))
  return assignment.ranges[Number(unit.slice(1))]
}

/** Lists every unit of an assignment with its entry, ranges first. */
export function listUnits (assignment: Assignment): Array<[Unit, UnitEntry]> {
  const units: Array<[Unit, UnitEntry]> = assignment.ranges.map((entry, index) => [formatRangeUnit(index), entry])
  for (const [key, entry] of assignment.keys) units.push([formatKeyUnit(key), entry])
  return units
}
