import type { StoreClient } from './storeClient.js'
import type { TimerService, Unsubscribe } from './timerService.js'
import * as z from 'zod'
import { isSocketAddress } from '../protocol/address.js'
import { leadershipKey } from '../protocol/storeRecords.js'

/** Time after which leadership expires without renewal, in seconds. */
const leadershipTtlSeconds = 3
/** Interval between renewals or attempts, in milliseconds. */
const campaignIntervalMs = 1000

const leadershipSchema = z.object({ controller: z.string(), address: z.string().refine(isSocketAddress) })

/** Name and address of the leading controller. */
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
 * Campaigns for leadership among controllers, which is bound to a lease of the
 * store. Leadership only avoids duplicate planning: every write is a
 * compare-and-swap, so two simultaneous leaders do no harm.
 */
export function runCampaign (
  store: StoreClient,
  own: Leadership,
  timers: TimerService,
  notify: (leading: boolean) => void
): Unsubscribe {
  let lease: number | undefined
  let leading = false
  let isAttempting = false
  const renewOrClaim = async (): Promise<void> => {
    if (lease !== undefined && !await store.renewLease(lease)) lease = undefined
    lease ??= await store.createLease(leadershipTtlSeconds)
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
    if (isAttempting) return
    isAttempting = true
    await renewOrClaim()
    isAttempting = false
  }
  attempt()
  return timers.subscribe(campaignIntervalMs, () => { attempt() })
}
