import type { Clock } from './clock.js'
import type { Reducer } from '../core/step.js'
import csp from 'js-csp'

/** Events that may wait for the reducer. */
const channelCapacity = 65_536

/** A running program: one channel of events, one reducer, one interpreter of effects. */
export type Program<State, Event> = {
  /** Queues an event; false when the program is overloaded or has stopped. */
  post: (event: Event) => boolean
  /** Reads the current state; callers must not change it. */
  getState: () => State
  /** Counts the events that wait for the reducer. */
  countWaiting: () => number
  stop: () => void
}

/** Follows what a program spends its time on, in milliseconds. */
export type ProgramWatch<Event, Effect> = {
  clock: Clock
  /** `ms`: time of the reducer; `waitedMs`: time between posting and reducing; `waiting`: events behind this one. */
  countEvent: (event: Event, ms: number, waitedMs: number, waiting: number) => void
  countEffect: (effect: Effect, ms: number) => void
  /** An event was refused because too many wait. */
  countLost: (event: Event) => void
}

type Posted<Event> = { event: Event, postedAt: number }

/** What a program is made of. */
export type ProgramParts<State, Event, Effect> = {
  state: State
  reduce: Reducer<State, Event, Effect>
  interpret: (effect: Effect) => void
  watch?: ProgramWatch<Event, Effect>
}

/** Starts a program; the loop waits on its channel and never spins. */
export function startProgram<State, Event, Effect> (parts: ProgramParts<State, Event, Effect>): Program<State, Event> {
  const { watch } = parts
  const now = watch?.clock.now ?? (() => 0)
  const events = csp.chan<Posted<Event>>(csp.buffers.fixed(channelCapacity))
  let state = parts.state
  let waiting = 0
  let stopped = false
  const run = ({ event, postedAt }: Posted<Event>) => {
    const startedAt = now()
    const step = parts.reduce(state, event)
    state = step.state
    let at = now()
    watch?.countEvent(event, at - startedAt, startedAt - postedAt, waiting)
    for (const effect of step.effects) {
      parts.interpret(effect)
      const doneAt = now()
      watch?.countEffect(effect, doneAt - at)
      at = doneAt
    }
  }
  csp.go(function * () {
    while (true) {
      const posted = (yield csp.take(events)) as Posted<Event> | null
      // Effects of events that were still waiting would reach for resources already given back.
      if (posted === csp.CLOSED || stopped) return
      waiting -= 1
      run(posted as Posted<Event>)
    }
  })
  return {
    post: event => {
      if (stopped) return false
      if (waiting >= channelCapacity) {
        watch?.countLost(event)
        return false
      }
      waiting += 1
      csp.putAsync(events, { event, postedAt: now() })
      return true
    },
    getState: () => state,
    countWaiting: () => waiting,
    stop: () => {
      if (stopped) return
      stopped = true
      events.close()
    }
  }
}
