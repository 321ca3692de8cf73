/** Longest time that a process goes on accepting connections while other work waits, in milliseconds. */
export const maxAcceptMs = 10
/** Time that the other work has after that before it waits again, in milliseconds: its usual turn. */
const workMs = 15

/** When the process began to accept connections one after the other, and until when other work goes first; both in milliseconds. */
export type AcceptState = { since: number | undefined, workUntil: number }

/** State of a process that has accepted nothing. */
export const initialAcceptState: AcceptState = { since: undefined, workUntil: -Infinity }

/** Applies a connection that was accepted at `now`. */
export function applyAccept (state: AcceptState, now: number): AcceptState {
  return state.since !== undefined || now < state.workUntil ? state : { ...state, since: now }
}

/** Applies the end of a turn at `now` in which a connection was or was not accepted; without one, none is left to accept. */
export function applyAcceptTurn (state: AcceptState, now: number, hasAccepted: boolean): AcceptState {
  if (state.since === undefined) return state
  if (!hasAccepted) return { since: undefined, workUntil: state.workUntil }
  return now - state.since < maxAcceptMs ? state : { since: undefined, workUntil: now + workMs }
}
