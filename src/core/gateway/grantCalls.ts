import type { GatewayEffect } from './effects.js'
import type { GrantConnection } from './grantConnections.js'
import type { KeyOwner, KeyRange } from './model.js'
import type { GatewayState } from './state.js'
import { holdMs } from './limits.js'

/** Time after which a failed grant or release is retried, in milliseconds. */
export const failedCallRetryMs = 150

/** Builds the call that grants a range to its owner or renews the grant. */
export function buildGrantEffect (service: string, range: KeyRange, handover: string | undefined, connection: GrantConnection): GatewayEffect {
  const { owner, from, to, fence } = range
  return { kind: 'grant', service, backend: owner.id, address: owner.address, from, to, fence, holdMs, handover, connection }
}

/** Whether a newer instance of a backend server, or a newer backend server at the same address, proves that this instance has ended. */
export function hasInstanceEnded ({ backends, backendsByAddress, configuration }: GatewayState, owner: KeyOwner): boolean {
  const backend = backends.get(owner.id)
  if (backend !== undefined && backend.startedAt > owner.startedAt) return true
  for (const id of backendsByAddress.get(owner.address) ?? []) {
    const other = backends.get(id)
    // Anybody may have registered an unknown service, so its registration is no proof.
    if (other !== undefined && other.startedAt > owner.startedAt && configuration?.services.has(other.service) === true) return true
  }
  return false
}
