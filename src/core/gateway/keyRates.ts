import type { DecayingSum, GrantingState } from './grantingState.js'
import { firstBalanceDelayMs, minCountedRequests, rateTimeConstantMs, minReportMs, minBurstCount, burstTimeConstantMs } from './limits.js'

/** Decayed count below which a key is removed. */
const minKeptCount = 0.05

/** Computes the requests a second of each recently requested key of a service; the result is cached for calls at the same time. */
export function computeKeyRates (granting: GrantingState, service: string, now: number): ReadonlyMap<number, number> {
  const cached = granting.keyRates.get(service)
  if (cached?.at === now) return cached.rates
  const rates = buildKeyRates(granting, service, now)
  granting.keyRates.set(service, { at: now, rates })
  return rates
}

function buildKeyRates (granting: GrantingState, service: string, now: number): Map<number, number> {
  const rates = new Map<number, number>()
  const known = granting.rates.get(service)
  const countedMs = now - (granting.countedSince.get(service) ?? now) + minReportMs
  const windowMs = rateTimeConstantMs * (1 - Math.exp(-countedMs / rateTimeConstantMs))
  let totalCount = 0
  for (const [key, sum] of known ?? []) {
    const value = sum.value * Math.exp((sum.at - now) / rateTimeConstantMs)
    totalCount += value
    if (value < minKeptCount) known?.delete(key)
    else rates.set(key, Math.max(value * 1000 / windowMs, computeBurstRate(sum, now)))
  }
  // Requests just after an outage are not representative, and moving keys away from an owner with a full queue takes seconds.
  if (totalCount < minCountedRequests || now - granting.leaderSince < firstBalanceDelayMs) rates.clear()
  return rates
}

function computeBurstRate (sum: DecayingSum, now: number): number {
  const burst = sum.burst * Math.exp((sum.at - now) / burstTimeConstantMs)
  return burst < minBurstCount ? 0 : burst * 1000 / burstTimeConstantMs
}
