import type { Lane, LaneCounts } from '../core/lane.js'
import type { Reducer } from '../core/step.js'
import type { Turns } from './turns.js'
import csp from 'js-csp'
import { chooseNextLane, computeCallerExcess } from '../core/lane.js'
import { processTurns } from './turns.js'

/** Maximum number of events queued in each lane. */
export const laneCapacity = 65_536

/** A running program: lanes of events, one reducer, one interpreter of effects. */
export type Program<State, Event> = {
  /** Queues an event; false when the program is overloaded or has stopped. */
  post: (event: Event) => boolean
  /** Reads the current state; callers must not change it. */
  getState: () => State
  /** Returns the number of events queued for the reducer. */
  countWaiting: () => number
  stop: () => void
}

/** Measures what a program spends its time on, in milliseconds. */
export type ProgramWatch<Event, Effect> = {
  /** `ms`: time in the reducer; `waitedMs`: time between posting and reducing; `waiting`: events still queued. */
  countEvent: (event: Event, ms: number, waitedMs: number, waiting: number) => void
  countEffect: (effect: Effect, ms: number) => void
  /** Called when an event is rejected because its lane is full. */
  countLost: (event: Event) => void
}

/** Parts of a program. */
export type ProgramParts<State, Event, Effect> = {
  state: State
  reduce: Reducer<State, Event, Effect>
  interpret: (effect: Effect) => void
  /** Selects the lane of an event; all events share one lane when absent. */
  chooseLane?: (event: Event) => Lane
  turns?: Turns
  watch?: ProgramWatch<Event, Effect>
}

type Posted<Event> = { event: Event, postedAt: number }

/** Starts a program; the loop waits on its lanes and never spins. */
export function startProgram<State, Event, Effect> (parts: ProgramParts<State, Event, Effect>): Program<State, Event> {
  const { watch, turns = processTurns, chooseLane = () => 'control' } = parts
  const { now } = turns.clock
  const isHeld = () => turns.isHeld?.() === true
  const channels = { callers: createLane<Event>(), control: createLane<Event>() }
  const waiting: LaneCounts = { callers: 0, control: 0 }
  const wakeUps = csp.chan<true>(csp.buffers.sliding(1))
  let state = parts.state
  let isIdle = true
  let isStopped = false
  const run = ({ event, postedAt }: Posted<Event>, startedAt: number) => {
    const step = parts.reduce(state, event)
    state = step.state
    if (watch === undefined) {
      for (const effect of step.effects) parts.interpret(effect)
      return
    }
    let at = now()
    watch.countEvent(event, at - startedAt, startedAt - postedAt, waiting.callers + waiting.control)
    for (const effect of step.effects) {
      parts.interpret(effect)
      const doneAt = now()
      watch.countEffect(effect, doneAt - at)
      at = doneAt
    }
  }
  csp.go(function * () {
    let startedAt = now()
    let turnEndsAt = startedAt + turns.turnMs
    let callerExcessMs = 0
    while (true) {
      // Queued events are dropped: their effects would use resources that have been released.
      if (isStopped) return
      if (waiting.callers + waiting.control === 0) {
        isIdle = true
        yield csp.take(wakeUps)
        startedAt = now()
        turnEndsAt = startedAt + turns.turnMs
        continue
      }
      if (startedAt >= turnEndsAt || isHeld()) {
        yield csp.take(createTurn(turns))
        startedAt = now()
        turnEndsAt = startedAt + turns.turnMs
        continue
      }
      const lane = chooseNextLane(waiting, callerExcessMs, turns.turnMs)
      waiting[lane] -= 1
      run(csp.poll(channels[lane]) as Posted<Event>, startedAt)
      const endedAt = now()
      callerExcessMs = computeCallerExcess(callerExcessMs, lane, endedAt - startedAt, waiting, turns.turnMs)
      startedAt = endedAt
    }
  })
  return {
    post: event => {
      if (isStopped) return false
      const lane = chooseLane(event)
      if (waiting[lane] >= laneCapacity) {
        watch?.countLost(event)
        return false
      }
      waiting[lane] += 1
      csp.putAsync(channels[lane], { event, postedAt: now() })
      if (isIdle) csp.putAsync(wakeUps, true)
      isIdle = false
      return true
    },
    getState: () => state,
    countWaiting: () => waiting.callers + waiting.control,
    stop: () => {
      if (isStopped) return
      isStopped = true
      for (const channel of [channels.callers, channels.control, wakeUps]) channel.close()
    }
  }
}

function createLane<Event> (): csp.Channel<Posted<Event>> {
  return csp.chan(csp.buffers.fixed(laneCapacity))
}

/** Creates a channel that delivers a value once sockets and timers had their turn. */
function createTurn (turns: Turns): csp.Channel<true> {
  const turn = csp.chan<true>()
  turns.waitTurn(() => { csp.putAsync(turn, true) })
  return turn
}
