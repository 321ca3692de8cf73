import type { TimerService } from '../runtime/timerService.js'
import type { CallerRecord } from './callerRecord.js'
import type { LoadEffect, LoadEvent, LoadPlan, LoadState } from './loadReducer.js'
import { startProgram } from '../runtime/program.js'
import { createCaller } from './caller.js'
import { buildLoadState, reduceLoad } from './loadReducer.js'

/** Interval at which due requests are sent, in milliseconds. */
const sendIntervalMs = 5

/** Sends the requests of a plan and resolves with the callers' records when every request has ended. */
export function runLoad (plan: LoadPlan, timers: TimerService): Promise<readonly CallerRecord[]> {
  const caller = createCaller(timers.clock)
  return new Promise(resolve => {
    const interpret = (effect: LoadEffect): void => {
      if (effect.kind === 'send') {
        caller.send(effect.planned, record => { program.post({ kind: 'request-ended', record }) })
        return
      }
      stopTicks()
      caller.close()
      program.stop()
      resolve(program.getState().records)
    }
    const program = startProgram<LoadState, LoadEvent, LoadEffect>({
      state: buildLoadState(plan, timers.clock.now()),
      reduce: reduceLoad,
      interpret
    })
    const stopTicks = timers.subscribe(sendIntervalMs, now => { program.post({ kind: 'tick', now }) })
  })
}
