import type { RouterEffect } from './routerEffects.js'
import type { RouterState } from './routerState.js'
import { reportIntervalMs } from '../limits.js'
import { listHotKeys, resetLoads } from './load.js'

/** Reports loads, hot keys, the journal and backend server states to the controller when a report is due. */
export function sendReportIfDue (state: RouterState): RouterEffect[] {
  if (state.now < state.nextReportAt) return []
  const intervalMs = state.now - state.loads.since
  state.nextReportAt = state.now + reportIntervalMs
  const report = {
    router: state.self,
    generation: state.lease.generation,
    draining: state.phase === 'draining' || state.phase === 'closing',
    intervalMs,
    loads: [...state.loads.requests.values()],
    hotKeys: listHotKeys(state),
    journal: [...state.lease.journal],
    backends: listBackendStates(state)
  }
  resetLoads(state)
  return [{ kind: 'report', report }]
}

function listBackendStates (state: RouterState): Array<{ service: string, backend: string, state: 'unknown' | 'ready' | 'lost' | 'leaving' }> {
  const held = [...state.backends.values()].filter(backend => backend.isHeld)
  return held.map(backend => ({ service: backend.service, backend: backend.server.name, state: backend.status }))
}
