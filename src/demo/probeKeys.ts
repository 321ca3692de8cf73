import type { CallerRecord } from '../load/callerRecord.js'
import type { TimerService } from '../runtime/timerService.js'
import { createCaller } from '../load/caller.js'

/** Delay before a probe that was not answered is retried, in milliseconds. */
const probeRetryMs = 10
/** Time after which probing of a key stops, in milliseconds after the loss. */
const probeTimeoutMs = 10_000

/** What to probe after the loss of a backend server. */
export type ProbeOptions = {
  addresses: readonly string[]
  host: string
  keys: readonly string[]
  /** Time of the loss by the timers' clock, in milliseconds. */
  unavailableSince: number
}

/** Retries a request for every key until it is answered; `unavailableMs` is the longest time from the loss to an answer, or to the end of probing. */
export async function sendProbesUntilAnswered (
  options: ProbeOptions,
  timers: TimerService
): Promise<{ unavailableMs: number, records: CallerRecord[] }> {
  const caller = createCaller(timers.clock)
  const records: CallerRecord[] = []
  const probe = (key: string, index: number): Promise<number> => new Promise(resolve => {
    let attemptCount = 0
    const send = () => {
      attemptCount += 1
      const planned = {
        requestId: `probe-${options.unavailableSince}-${key}-${attemptCount}`,
        rank: 'lookup' as const,
        key,
        host: options.host,
        address: options.addresses[index % options.addresses.length] ?? '',
        method: 'GET',
        path: `/items/${key}`,
        idempotent: true,
        bodyBytes: 0
      }
      caller.send(planned, record => {
        records.push(record)
        const elapsedMs = record.endedAt - options.unavailableSince
        if (record.outcome === 'answered' || elapsedMs > probeTimeoutMs) resolve(elapsedMs)
        else timers.schedule(probeRetryMs, send)
      })
    }
    send()
  })
  const answerDelays = await Promise.all(options.keys.map(probe))
  caller.close()
  return { unavailableMs: Math.max(0, ...answerDelays), records }
}
