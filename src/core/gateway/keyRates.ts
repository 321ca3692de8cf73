import type { DecayingSum, Granting } from './grantingState.js'
import { firstCountMs, leastCounted, rateMemoryMs, reportMs, suddenCount, suddenMemoryMs } from './limits.js'

/** Decayed count below which a key is forgotten. */
const forgottenCount = 0.05

/** Computes the requests a second of each key of a service that was asked for lately; once for all that ask in the same moment. */
export function computeKeyRates (granting: Granting, service: string, now: number): ReadonlyMap<number, number> {
  const kept = granting.keyRates.get(service)
  if (kept?.at === now) return kept.rates
  const rates = buildKeyRates(granting, service, now)
  granting.keyRates.set(service, { at: now, rates })
  return rates
}

function buildKeyRates (granting: Granting, service: string, now: number): Map<number, number> {
  const rates = new Map<number, number>()
  const known = granting.rates.get(service)
  const countedMs = now - (granting.countedSince.get(service) ?? now) + reportMs
  const windowMs = rateMemoryMs * (1 - Math.exp(-countedMs / rateMemoryMs))
  let counted = 0
  for (const [key, sum] of known ?? []) {
    const value = sum.value * Math.exp((sum.at - now) / rateMemoryMs)
    counted += value
    if (value < forgottenCount) known?.delete(key)
    else rates.set(key, Math.max(value * 1000 / windowMs, computeSuddenRate(sum, now)))
  }
  // What callers ask for in the first moment after an outage tells little, and a move away from a full queue takes seconds.
  if (counted < leastCounted || now - granting.ledSince < firstCountMs) rates.clear()
  return rates
}

function computeSuddenRate (sum: DecayingSum, now: number): number {
  const sudden = sum.sudden * Math.exp((sum.at - now) / suddenMemoryMs)
  return sudden < suddenCount ? 0 : sudden * 1000 / suddenMemoryMs
}
