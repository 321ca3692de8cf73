import type { GatewayState } from './state.js'
import { retryRatio, retryReserve } from './limits.js'

/** Adds the fraction of a retry that each request adds to the budget of its service. */
export function addRetryTokens (state: GatewayState, service: string): void {
  const tokens = state.retryTokens.get(service) ?? retryReserve
  state.retryTokens.set(service, Math.min(retryReserve + 6, tokens + retryRatio))
}

/** Takes one retry from a service's budget; returns false when the budget is spent. */
export function takeRetryToken (state: GatewayState, service: string): boolean {
  const tokens = state.retryTokens.get(service) ?? retryReserve
  if (tokens < 1) return false
  state.retryTokens.set(service, tokens - 1)
  return true
}
