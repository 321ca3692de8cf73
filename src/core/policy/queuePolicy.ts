import type { Rank } from '../domain/rank.js'
import type { Admission, QueueView } from '../router/rules.js'
import { ranks } from '../domain/rank.js'
import { slotUsageWindowMs } from '../limits.js'

/** Time after the last arrival of a rank during which slots stay reserved for it, in milliseconds. */
const demandWindowMs = 2000
/** Share of a more urgent rank's target; a rank whose mean slot time exceeds it leaves slots free for that rank. */
const maxBlockedTargetShare = 0.5

/** Share of its target that a request may be estimated to take, so that it meets the target even if requests ahead of it are slow. */
const plannedTargetShare = 0.6

/**
 * Chooses the next rank to serve: the one with the largest shortfall below its floor (its reserved
 * share of slot time), else the most urgent one. Ranks with long requests leave free the slots
 * that more urgent ranks have used recently.
 */
export function chooseRankWithFloors (view: QueueView): Rank | undefined {
  const waiting = ranks.filter(rank => view.queued[rank] > 0 && hasFreeSlot(view, rank))
  if (waiting.length <= 1) return waiting[0]
  const total = ranks.reduce((sum, rank) => sum + view.busyMs[rank], 0)
  let mostBelowFloor: Rank | undefined
  let largestShortfall = 0
  for (const rank of waiting) {
    const shortfall = view.floors[rank] * total - view.busyMs[rank]
    if (shortfall <= largestShortfall) continue
    largestShortfall = shortfall
    mostBelowFloor = rank
  }
  return mostBelowFloor ?? waiting[0]
}

/** Always serves the most urgent rank; baseline for measurements. */
export function chooseRankStrictly (view: QueueView): Rank | undefined {
  return ranks.find(rank => view.queued[rank] > 0)
}

/** Whether a rank may take one more slot. A rank that is not above its floor may always have one request in flight. */
function hasFreeSlot (view: QueueView, rank: Rank): boolean {
  const moreUrgent = ranks.slice(0, ranks.indexOf(rank))
  let reserved = 0
  for (const urgent of moreUrgent) {
    const isBlocking = view.meanBusyMs[rank] > view.targetsMs[urgent] * maxBlockedTargetShare
    if (!isBlocking) continue
    if (view.sinceLastArrivalMs[urgent] > demandWindowMs) continue
    reserved += Math.min(view.floors[urgent] * view.limit, view.busyMs[urgent] / slotUsageWindowMs)
  }
  const free = view.limit - Math.ceil(reserved)
  if (view.inFlight[rank] < free) return true
  const total = ranks.reduce((sum, each) => sum + view.busyMs[each], 0)
  return view.inFlight[rank] === 0 && view.busyMs[rank] <= view.floors[rank] * total
}

/**
 * Admits a request when its estimated wait fits its target and its remaining
 * time, so that an overloaded queue stays short enough to answer in time.
 */
export function admitByEstimate (view: QueueView, rank: Rank, queueLimit: number, remainingMs: number): Admission {
  const queued = view.queued[rank]
  if (queued === 0) return 'admit'
  if (queued >= queueLimit) return 'queue-full'
  const waitMs = estimateWaitMs(view, rank)
  if (waitMs + view.meanBusyMs[rank] > remainingMs) return 'deadline-unreachable'
  if (queued >= view.limit && waitMs + view.meanBusyMs[rank] > view.targetsMs[rank] * plannedTargetShare) return 'queue-full'
  return 'admit'
}

/** Admits until the queue is full; baseline for measurements. */
export function admitByLength (view: QueueView, rank: Rank, queueLimit: number): Admission {
  return view.queued[rank] < queueLimit ? 'admit' : 'queue-full'
}

/**
 * Estimates the wait of a request that joins the queue of its rank now, in
 * milliseconds, from the recent average number of slots used by the rank.
 */
export function estimateWaitMs (view: QueueView, rank: Rank): number {
  const usedSlots = view.busyMs[rank] / slotUsageWindowMs
  const slots = Math.min(view.limit, Math.max(usedSlots, view.floors[rank] * view.limit))
  return (view.queued[rank] * view.meanBusyMs[rank]) / Math.max(0.05, slots)
}
