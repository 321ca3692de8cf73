import type { RefusalReason } from '../domain/outcome.js'
import type { Backend, GatewayRequest, GatewayState } from './state.js'
import { findPause } from './backendPauses.js'

/** Whether a request may be sent to a backend server, whatever its load. `waitMs`: time after which that may have changed, in milliseconds. */
export type Eligibility = { kind: 'eligible' } | Ineligibility

/** Why a request must not be sent to a backend server. */
export type Ineligibility = { kind: 'ineligible', reason: RefusalReason, waitMs: number }

const eligible: Eligibility = { kind: 'eligible' }

/** Checks whether a request may be sent to a backend server: first attempts, retries and owners of keys all pass here. */
export function checkEligibility (state: GatewayState, _request: GatewayRequest, backend: Backend): Eligibility {
  const pause = findPause(state, backend)
  if (pause !== undefined) return pause
  return eligible
}
