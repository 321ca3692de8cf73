import type { AdmitRequest, BackendChoice } from './backendChoice.js'
import type { ChooseCollectors } from './collectorChoice.js'
import type { PlannerInput, PlannedMove } from './planner.js'
import type { GatewayRequest, GatewayState } from './state.js'
import { admitRequest } from './admission.js'
import { chooseBackend } from './backendChoice.js'
import { buildCollectorChoice, collectorLimits } from './collectorChoice.js'
import { planMoves } from './planner.js'

/** Behaviour that differs between production, baselines for measurements and tests with injected faults. */
export type GatewayRules = {
  admit: AdmitRequest
  choose: (state: GatewayState, request: GatewayRequest, admit: AdmitRequest) => BackendChoice
  planMoves: (input: PlannerInput) => PlannedMove[]
  chooseCollectors: ChooseCollectors
}

/** Builds the rules that are used in production. */
export function buildGatewayRules (): GatewayRules {
  return { admit: admitRequest, choose: chooseBackend, planMoves, chooseCollectors: buildCollectorChoice(collectorLimits) }
}
