/** Callbacks in order of virtual time, in milliseconds; those due at the same time run in the order of scheduling. */
export type EventQueue = { now: number, entries: Array<{ at: number, sequence: number, run: () => void }>, lastSequence: number }

export function createEventQueue (): EventQueue {
  return { now: 0, entries: [], lastSequence: 0 }
}

/** Schedules a callback after a delay in virtual milliseconds. */
export function scheduleIn (queue: EventQueue, delayMs: number, run: () => void): void {
  queue.lastSequence += 1
  const entry = { at: queue.now + delayMs, sequence: queue.lastSequence, run }
  let low = 0
  let high = queue.entries.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((queue.entries[middle]?.at ?? 0) <= entry.at) low = middle + 1
    else high = middle
  }
  queue.entries.splice(low, 0, entry)
}

/** Runs the callbacks that are due up to a virtual time, then sets the clock to it. */
export function runUntil (queue: EventQueue, until: number): void {
  while ((queue.entries[0]?.at ?? Infinity) <= until) {
    const next = queue.entries.shift()
    if (next === undefined) break
    queue.now = next.at
    next.run()
  }
  queue.now = until
}
