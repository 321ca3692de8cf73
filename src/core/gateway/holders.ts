import type { Holder } from './model.js'
import type { GatewayState, GatewayWork } from './state.js'

/** Whether an owner's life has ended, or it can't be reached from here. */
export function isGone (work: GatewayWork, holder: Holder): boolean {
  const backend = work.state.backends.get(holder.id)
  if (backend === undefined || backend.startedAt !== holder.startedAt) return true
  return (work.state.granting.unreachableUntil.get(holder.id) ?? 0) > work.state.now
}

/** Whether a life of a backend server has ended, leaves, or can't be reached from here. */
export function isLost (work: GatewayWork, holder: Holder): boolean {
  return isGone(work, holder) || work.state.backends.get(holder.id)?.leaving === true
}

/** Asks former owners at an address for their keys at once: a backend server has just come there and can answer. */
export function resetReleases (state: GatewayState, address: string): void {
  for (const grant of state.granting.grants) {
    if (grant.step === 'keep' || grant.step === 'grant' || grant.range.previous?.address !== address) continue
    grant.askedAt = undefined
    grant.nextAt = state.now
  }
}
