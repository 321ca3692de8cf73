import type { PlannedMove, UnitLoad } from '../policy/placement.js'
import { placeEvenly, planMoves } from '../policy/placement.js'

/** Placement policy of a controller, passed as functions. */
export type ControllerRules = {
  hashKey: (key: string) => number
  placeUnits: (
    units: readonly string[],
    backends: readonly string[],
    hashKey: (key: string) => number
  ) => Map<string, string>
  planMoves: (units: readonly UnitLoad[], targets: readonly string[], maxMoves: number) => PlannedMove[]
}

/** Builds the placement policy used in production. */
export function buildControllerRules (hashKey: (key: string) => number): ControllerRules {
  return { hashKey, placeUnits: placeEvenly, planMoves }
}
