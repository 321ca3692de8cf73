import type { RouterState } from './routerState.js'
import { retryBurst } from '../limits.js'

/** Adds to a service's retry budget the fraction of a retry that each new request earns. */
export function addRetryTokens (state: RouterState, service: string): void {
  const tokensPerRequest = state.services.get(service)?.service.retryBudget ?? 0
  const budget = state.retryBudgets.get(service) ?? { tokens: retryBurst }
  budget.tokens = Math.min(retryBurst, budget.tokens + tokensPerRequest)
  state.retryBudgets.set(service, budget)
}

/** Takes one retry from a service's retry budget; returns false if none is left. */
export function takeRetryToken (state: RouterState, service: string): boolean {
  const budget = state.retryBudgets.get(service) ?? { tokens: retryBurst }
  state.retryBudgets.set(service, budget)
  if (budget.tokens < 1) return false
  budget.tokens -= 1
  return true
}
