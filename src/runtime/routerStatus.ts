import type { RouterRules } from '../core/router/rules.js'
import type { RouterState } from '../core/router/routerState.js'
import { resolveHolder, resolveKey } from '../core/router/ownership.js'

/** Status of a router as shown to operators. */
export type RouterStatus = {
  router: string
  zone: string
  phase: string
  lease: { generation: number, valid: boolean, successor?: string, witness?: string }
  documents: Record<string, number>
  assignments: Record<string, number>
  fleet: number
  holds: Array<{ service: string, backend: string, status: string, inFlight: number, waiting: number }>
  handoffs: number
  journal: number
  ingress: number
}

/** Reads the status of a router from its state. */
export function readRouterStatus (state: RouterState): RouterStatus {
  const held = [...state.backends.values()].filter(backend => backend.isHeld)
  return {
    router: state.self,
    zone: state.zone,
    phase: state.phase,
    lease: {
      generation: state.lease.generation,
      valid: state.lease.wasValid,
      successor: state.lease.successor,
      witness: state.lease.witness
    },
    documents: Object.fromEntries([...state.documents].map(([team, document]) => [team, document.revision])),
    assignments: Object.fromEntries([...state.assignments].map(([service, record]) => [service, record.revision])),
    fleet: state.fleet.revision,
    holds: held.map(backend => ({
      service: backend.service,
      backend: backend.server.name,
      status: backend.status,
      inFlight: backend.inFlight.size,
      waiting: backend.pending.length + Object.values(backend.queues).reduce((sum, queue) => sum + queue.length, 0)
    })),
    handoffs: [...state.handoffs.values()].filter(handoff => handoff.phase !== 'done').length,
    journal: state.lease.journal.length,
    ingress: state.ingress.size
  }
}

/** Explains which unit, owner and holder a key has according to this router's state. */
export function explainKey (state: RouterState, service: string, key: string, rules: RouterRules): unknown {
  const assignment = state.assignments.get(service)
  if (assignment === undefined) return undefined
  const resolved = resolveKey(state, assignment, key, rules.hashKey(key), true)
  if (resolved === undefined) return undefined
  const holder = resolveHolder(state, service, resolved.entry.owner)
  return {
    service,
    key,
    unit: resolved.unit,
    owner: resolved.entry.owner,
    epoch: resolved.entry.epoch,
    wanted: resolved.entry.wanted,
    holder: holder?.router,
    holderEpoch: holder?.epoch,
    revision: assignment.revision
  }
}
