import type { StoreClient } from './storeClient.js'
import type { TimerService, Unsubscribe } from './timerService.js'
import * as z from 'zod'
import { isConnectable } from '../protocol/address.js'
import { leadershipKey } from '../protocol/storeRecords.js'

/** Time a leadership lasts without renewal, in seconds. */
const leadershipTtlSeconds = 3
/** Time between two renewals or attempts, in milliseconds. */
const campaignIntervalMs = 1000

const leadershipSchema = z.object({ controller: z.string(), address: z.string().refine(isConnectable) })

/** Who leads and where it can be reached. */
export type Leadership = z.output<typeof leadershipSchema>

/** Decodes the leadership record; undefined when it is malformed. */
export function decodeLeadership (value: string): Leadership | undefined {
  try {
    const result = leadershipSchema.safeParse(JSON.parse(value))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Campaigns for the leadership among controllers, bound to a lease of the
 * store. Leadership only spares the store double planning: every write is a
 * compare-and-swap, so two leaders for a moment do no harm.
 */
export function runCampaign (
  store: StoreClient,
  own: Leadership,
  timers: TimerService,
  notify: (leading: boolean) => void
): Unsubscribe {
  let lease: number | undefined
  let leading = false
  let busy = false
  const round = async (): Promise<void> => {
    if (lease !== undefined && !await store.keepLease(lease)) lease = undefined
    lease ??= await store.grantLease(leadershipTtlSeconds)
    if (lease === undefined) return setLeading(false)
    const read = await store.read(leadershipKey)
    if (read.kind === 'unavailable') return setLeading(false)
    const current = read.values.find(value => value.key === leadershipKey)
    const leader = current === undefined ? undefined : decodeLeadership(current.value)
    if (leader?.controller === own.controller) return setLeading(true)
    if (current !== undefined && leader !== undefined) return setLeading(false)
    const result = await store.compareAndSwap(leadershipKey, current?.modRevision ?? 0, JSON.stringify(own), lease)
    setLeading(result === 'written')
  }
  const setLeading = (next: boolean) => {
    if (leading === next) return
    leading = next
    notify(next)
  }
  const attempt = async (): Promise<void> => {
    if (busy) return
    busy = true
    await round()
    busy = false
  }
  attempt()
  return timers.subscribe(campaignIntervalMs, () => { attempt() })
}
