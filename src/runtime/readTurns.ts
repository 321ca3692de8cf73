import type { WaitingRead } from '../core/policy/readTurns.js'
import type { Turns } from './turns.js'
import { chooseExcessRead, chooseNextRead, computeExcessMs, computeTurnUsed, maxTurnMs } from '../core/policy/readTurns.js'

/**
 * A connection that can be read. `read` reads for a bounded time and returns the number of bytes; `close` closes it because reading takes too long;
 * `queuedAt` is the time since which it has waited, set while it waits.
 */
export type TurnReader = WaitingRead & { read: () => number, close: () => void, queuedAt?: number | undefined }

/** Called when a connection that had to wait is read, with the time that it has waited, in milliseconds, and the number of those that still wait. */
export type ReadWatch = (waitedMs: number, waiting: number) => void

/** Decides when connections are read, for all servers of a process. */
export type ReadTurns = {
  /** Reads from a connection now if reading has not taken long lately, otherwise in a later turn; returns whether it has read. */
  read: (reader: TurnReader) => boolean
  /** Reads from a connection in a later turn. */
  queue: (reader: TurnReader) => void
  /** Takes back a request: the connection has closed. */
  cancel: (reader: TurnReader) => void
  /** Returns the number of connections that wait. */
  countWaiting: () => number
}

/**
 * Creates the turns of reading. Parsing bytes of callers takes at most some milliseconds at once, however many connections have
 * received some; then sockets, timers and events have their turn.
 */
export function createReadTurns ({ clock, waitTurn, isHeld = () => false }: Omit<Turns, 'turnMs'>, watch: ReadWatch = () => {}): ReadTurns {
  const waiting: TurnReader[] = []
  let usedMs = 0
  let endedAt = clock.now()
  let reads = 0
  let isTurnAwaited = false
  let queued = 0
  /** When a turn first left connections waiting that it had no time for; undefined when the last one left none. */
  let behindAt: number | undefined
  const drop = (reader: TurnReader) => {
    if (reader.queuedAt !== undefined) queued -= 1
    reader.queuedAt = undefined
  }
  const run = (reader: TurnReader) => {
    const startedAt = clock.now()
    usedMs = computeTurnUsed(usedMs, startedAt - endedAt)
    const { queuedAt } = reader
    drop(reader)
    if (queuedAt !== undefined) watch(startedAt - queuedAt, queued)
    const bytes = reader.read()
    endedAt = clock.now()
    usedMs += endedAt - startedAt
    reader.excessMs += computeExcessMs(endedAt - startedAt, bytes)
    reads += 1
  }
  const isTurnLeft = () => computeTurnUsed(usedMs, clock.now() - endedAt) < maxTurnMs
  const awaitTurn = () => {
    if (isTurnAwaited || waiting.length === 0) return
    isTurnAwaited = true
    waitTurn(runTurn)
  }
  const closeExcess = (isBehind: boolean) => {
    const now = clock.now()
    behindAt = isBehind ? behindAt ?? now : undefined
    const index = behindAt === undefined ? undefined : chooseExcessRead(waiting, now - behindAt)
    const [reader] = index === undefined ? [] : waiting.splice(index, 1)
    if (reader === undefined) return
    drop(reader)
    reader.close()
  }
  const runTurn = () => {
    isTurnAwaited = false
    if (isHeld()) return awaitTurn()
    usedMs = 0
    endedAt = clock.now()
    // Connections that become readable meanwhile, such as the same ones again, belong to the next turn.
    const due = waiting.splice(0)
    while (due.length > 0 && isTurnLeft()) {
      const [reader] = due.splice(chooseNextRead(due, reads), 1)
      if (reader !== undefined) run(reader)
    }
    waiting.unshift(...due)
    closeExcess(due.length > 0)
    awaitTurn()
  }
  const queue = (reader: TurnReader) => {
    if (reader.queuedAt === undefined) {
      reader.queuedAt = clock.now()
      waiting.push(reader)
      queued += 1
    }
    awaitTurn()
  }
  return {
    read: reader => {
      if (waiting.length > 0 || !isTurnLeft() || isHeld()) {
        queue(reader)
        return false
      }
      run(reader)
      return true
    },
    queue,
    cancel: reader => {
      const index = waiting.indexOf(reader)
      if (index >= 0) waiting.splice(index, 1)
      drop(reader)
    },
    countWaiting: () => queued
  }
}
