import type { LoadFigure } from './reportedLoad.js'
import type { GatewayState } from './state.js'

/** What one instance of a backend server has said about itself with its answers. */
export type SignalState = {
  /** Latest load that it reported; undefined if it reports none. */
  figure: LoadFigure | undefined
  /** Smoothed slowdown that it reported; 1 if it reports none. */
  usualSlowdown: number
  /** Time until which it wants no requests from this host. */
  pausedUntil: number
  /** Time after which its latest registration that says `ready` was written. */
  readyAsOf: number
}

/** Builds the state of an instance that has said nothing yet. */
export function buildSignalState (): SignalState {
  return { figure: undefined, usualSlowdown: 1, pausedUntil: -Infinity, readyAsOf: -Infinity }
}

/** Ages what backend servers said by the time for which the process was suspended, in milliseconds: the monotonic clock did not count it. */
export function applySuspendedTime (state: GatewayState, suspendedMs: number): void {
  for (const backend of state.backends.values()) {
    if (backend.figure !== undefined) backend.figure.at -= suspendedMs
    backend.pausedUntil -= suspendedMs
    backend.readyAsOf -= suspendedMs
    if (backend.leavingSince !== undefined && state.leavingMarks.get(backend.id)?.startedAt === backend.startedAt) backend.leavingSince -= suspendedMs
  }
  for (const mark of state.leavingMarks.values()) {
    mark.at -= suspendedMs
    mark.since -= suspendedMs
  }
}
