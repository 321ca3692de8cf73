import type { RefusalReason } from '../domain/outcome.js'
import type { Backend, GatewayRequest, GatewayState } from './state.js'
import { isInAllowedRegion, regionRetryMs } from './allowedRegions.js'
import { evacuationRetryMs, isBarredByEvacuation } from './evacuation.js'
import { computeColdWaitMs } from './coldAdmission.js'
import { findPause } from './backendPauses.js'

/** Whether a request may be sent to a backend server, whatever its load. `waitMs`: time after which that may have changed, in milliseconds. */
export type Eligibility = { kind: 'eligible' } | Ineligibility

/** Why a request must not be sent to a backend server. */
export type Ineligibility = { kind: 'ineligible', reason: RefusalReason, waitMs: number }

const eligible: Eligibility = { kind: 'eligible' }

/** Checks whether a request may be sent to a backend server: first attempts, retries and owners of keys all pass here. */
export function checkEligibility (state: GatewayState, request: GatewayRequest, backend: Backend): Eligibility {
  if (!isInAllowedRegion(state, request, backend)) return { kind: 'ineligible', reason: 'region-unavailable', waitMs: regionRetryMs }
  if (isBarredByEvacuation(state, request, backend)) return { kind: 'ineligible', reason: 'zone-evacuated', waitMs: evacuationRetryMs }
  const pause = findPause(state, backend)
  if (pause !== undefined) return pause
  const coldWaitMs = computeColdWaitMs(state, request, backend)
  if (coldWaitMs !== undefined) return { kind: 'ineligible', reason: 'backend-cold', waitMs: coldWaitMs }
  return eligible
}
