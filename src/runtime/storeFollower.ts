import type { StoreChange, StoreClient } from './storeClient.js'
import type { TimerService } from './timerService.js'

/** Delay before the store is read again after a failure, in milliseconds. */
const retryDelayMs = 250
/** Interval between full reads, which find the changes that a watch missed when it was cut without notice, in milliseconds. */
const rereadIntervalMs = 3000

/** Callbacks of a store follower. */
export type FollowerListener = {
  onChange: (change: StoreChange) => void
  onHealth: (isUp: boolean) => void
}

/** Newest delivered state of a key; deleted keys are retained, so that a stale read cannot restore them. */
type DeliveredKey = { modRevision: number, isPresent: boolean }

/** Follows all keys under a prefix until stopped. */
export type StoreFollower = { refresh: () => void, stop: () => void }

/**
 * Follows keys by a read and a watch from the revision after it. The watch may be cut
 * without notice, so the prefix is also read again periodically; changes that were
 * delivered before are not delivered again.
 */
export function watchStore (
  store: StoreClient,
  prefix: string,
  timers: TimerService,
  listener: FollowerListener
): StoreFollower {
  const delivered = new Map<string, DeliveredKey>()
  let isStopped = false
  let cancelWatch = () => {}
  let isHealthy: boolean | undefined
  let isReading = false
  let needsWatch = true

  const reportHealth = (isUp: boolean) => {
    if (isHealthy === isUp) return
    isHealthy = isUp
    listener.onHealth(isUp)
  }
  const deliver = (change: StoreChange) => {
    if ((delivered.get(change.key)?.modRevision ?? 0) >= change.modRevision) return
    delivered.set(change.key, { modRevision: change.modRevision, isPresent: change.value !== undefined })
    listener.onChange(change)
  }
  const read = async (): Promise<void> => {
    if (isStopped || isReading) return
    isReading = true
    const outcome = await store.read(prefix)
    isReading = false
    if (isStopped) return
    reportHealth(outcome.kind === 'read')
    if (outcome.kind === 'unavailable') {
      needsWatch = true
      timers.schedule(retryDelayMs, () => { read() })
      return
    }
    for (const value of outcome.values) deliver(value)
    deliverDeletions(delivered, outcome.values.map(value => value.key), outcome.revision, deliver)
    if (needsWatch) startWatch(outcome.revision + 1)
  }
  const startWatch = (fromRevision: number) => {
    needsWatch = false
    cancelWatch()
    cancelWatch = store.watch(prefix, fromRevision, deliver, () => {
      reportHealth(false)
      needsWatch = true
      timers.schedule(retryDelayMs, () => { read() })
    })
  }
  const stopReread = timers.subscribe(rereadIntervalMs, () => { read() })
  read()
  return {
    refresh: () => { read() },
    stop: () => {
      isStopped = true
      stopReread()
      cancelWatch()
    }
  }
}

/** Delivers deletions that happened while no watch was open. */
function deliverDeletions (
  delivered: Map<string, DeliveredKey>,
  present: readonly string[],
  revision: number,
  deliver: (change: StoreChange) => void
): void {
  const keys = new Set(present)
  for (const [key, known] of [...delivered]) {
    if (!known.isPresent || keys.has(key) || known.modRevision > revision) continue
    deliver({ key, value: undefined, modRevision: revision })
  }
}
