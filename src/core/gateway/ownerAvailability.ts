import type { KeyOwner } from './model.js'
import type { GatewayState, GatewayWork } from './state.js'
import { isEvacuated } from './evacuation.js'

/** Whether an owner has ended or was replaced by a newer instance, or this host can't reach it. */
export function isUnavailable (work: GatewayWork, owner: KeyOwner): boolean {
  const backend = work.state.backends.get(owner.id)
  if (backend === undefined || backend.startedAt !== owner.startedAt) return true
  return (work.state.granting.unreachableUntil.get(owner.id) ?? 0) > work.state.now
}

/** Whether an owner is unavailable, leaving, or in an evacuated availability zone. */
export function isUnavailableOrLeaving (work: GatewayWork, owner: KeyOwner): boolean {
  const backend = work.state.backends.get(owner.id)
  return isUnavailable(work, owner) || backend?.leaving === true || isEvacuated(work.state, backend)
}

/** Makes releases to former owners at an address due at once, because a backend server has just started there and can answer. */
export function resetReleaseBackoff (state: GatewayState, address: string): void {
  for (const grant of state.granting.grants) {
    if (grant.step === 'renew' || grant.step === 'grant' || grant.range.previous?.address !== address) continue
    grant.stepCalledAt = undefined
    grant.nextAt = state.now
  }
}
