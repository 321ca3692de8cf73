import type { Turns } from './turns.js'
import { applyAccept, applyAcceptTurn, initialAcceptState } from '../core/policy/acceptTurns.js'

/** Lets a process accept the connections that wait before it goes on with other work. */
export type AcceptTurns = {
  /** Records that a connection was accepted. */
  recordAccept: () => void
  /** Turns of the other work, which waits while connections are accepted. */
  turns: Turns
}

/**
 * Creates the turns of accepting. Node.js accepts one connection in each turn of the event loop. With turns of some milliseconds, callers
 * would wait in the socket for seconds, where nothing is known of them.
 */
export function createAcceptTurns (turns: Turns): AcceptTurns {
  const { clock } = turns
  let state = initialAcceptState
  let hasAccepted = false
  let waiting: Array<() => void> = []
  const awaitTurn = () => turns.waitTurn(() => {
    state = applyAcceptTurn(state, clock.now(), hasAccepted)
    hasAccepted = false
    if (state.since !== undefined) return awaitTurn()
    const due = waiting
    waiting = []
    for (const resume of due) resume()
  })
  const isHeld = () => state.since !== undefined
  return {
    recordAccept: () => {
      hasAccepted = true
      if (isHeld()) return
      state = applyAccept(state, clock.now())
      if (isHeld()) awaitTurn()
    },
    turns: {
      ...turns,
      isHeld,
      waitTurn: resume => {
        if (isHeld()) waiting.push(resume)
        else turns.waitTurn(resume)
      }
    }
  }
}
