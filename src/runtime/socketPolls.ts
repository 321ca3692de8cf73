import type { Turns } from './turns.js'

/** Tells when the process has looked at its sockets again. */
export type SocketPolls = {
  /** Calls `resume` once everything that the sockets held when this was called has been read, except what is paused. */
  wait: (resume: () => void) => void
}

/** Options of the polls. `notifyTurn` is called with the duration of each turn of the event loop that was waited for, in milliseconds. */
export type SocketPollsOptions = Pick<Turns, 'clock' | 'waitTurn'> & { notifyTurn: (ms: number) => void }

/**
 * Creates the polls of a process. The event loop reads sockets, then runs what waits for a turn: what is asked for while sockets are
 * read, or later in that turn, is behind a whole further reading of the sockets only in the second turn from then.
 */
export function createSocketPolls ({ clock, waitTurn, notifyTurn }: SocketPollsOptions): SocketPolls {
  let next: Array<() => void> = []
  let isTurnAwaited = false
  const awaitTurn = () => {
    isTurnAwaited = true
    waitTurn(() => {
      const due = next
      const startedAt = clock.now()
      next = []
      isTurnAwaited = false
      waitTurn(() => {
        notifyTurn(clock.now() - startedAt)
        for (const resume of due) resume()
      })
    })
  }
  return {
    wait: resume => {
      next.push(resume)
      if (!isTurnAwaited) awaitTurn()
    }
  }
}
