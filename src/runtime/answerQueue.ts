import type { TimerService } from './timerService.js'
import { computeAnswerPauseMs } from '../core/policy/answerPause.js'

/** Produces answers one after the other. */
export type AnswerQueue = {
  /** Calls `answer` in its turn; the next one waits until it has settled. */
  add: (answer: () => Promise<void>) => void
}

/**
 * Creates a queue for answers that cost processor time, such as pages of metrics. After each answer it pauses, so that
 * clients that keep asking leave time for the rest of the process.
 */
export function createAnswerQueue (timers: TimerService): AnswerQueue {
  const { clock } = timers
  const waiting: Array<() => Promise<void>> = []
  let isBusy = false
  let nextAt = -Infinity
  const advance = () => {
    const answer = isBusy ? undefined : waiting.shift()
    if (answer === undefined) return
    isBusy = true
    const startedAt = clock.now()
    if (startedAt < nextAt) {
      waiting.unshift(answer)
      timers.schedule(nextAt - startedAt, finish)
      return
    }
    answer().finally(() => {
      const endedAt = clock.now()
      nextAt = endedAt + computeAnswerPauseMs(endedAt - startedAt)
      finish()
    })
  }
  const finish = () => {
    isBusy = false
    advance()
  }
  return {
    add: answer => {
      waiting.push(answer)
      advance()
    }
  }
}
