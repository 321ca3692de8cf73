import type { GatewayState } from '../../core/gateway/state.js'
import { findMark } from '../../core/gateway/leavingMarks.js'

/** Builds the status of a gateway that operators see, as JSON data. */
export function readGatewayStatus (state: GatewayState): unknown {
  return {
    host: state.identity.host,
    zone: state.identity.zone,
    stopping: state.stop.phase !== 'serving',
    storeUp: state.storeUp,
    configuration: { version: state.configuration?.version, revision: state.configurationRevision },
    placement: {
      revision: state.placementVersion.revision,
      nextFence: state.placement?.nextFence,
      services: Object.fromEntries([...state.placement?.services ?? []].map(([name, ranges]) => [name, ranges.map(range => {
        return { from: range.from, to: range.to, owner: range.owner.id, fence: range.fence, phase: range.phase }
      })]))
    },
    grantingHost: state.grantingHost,
    grantingHere: state.granting.role === 'leading',
    backends: [...state.backends.values()].map(backend => ({
      id: backend.id,
      service: backend.service,
      zone: backend.zone,
      leaving: backend.leaving,
      marked: findMark(state, backend) !== undefined,
      pausedForMs: Math.max(0, Math.round(backend.pausedUntil - state.now)),
      reportedLoad: backend.figure === undefined ? undefined : { ...backend.figure.load, ageMs: Math.round(state.now - backend.figure.at) },
      inFlight: backend.inFlight,
      othersInFlight: backend.othersInFlight,
      serviceMs: Math.round(backend.serviceMs),
      avoidedForMs: Math.max(0, Math.round(backend.avoidUntil - state.now))
    }))
  }
}
