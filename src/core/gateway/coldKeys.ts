import type { GatewayState } from './state.js'
import { computeColdAllowance, isLimitedByCold } from './coldAdmission.js'
import { computeKeyRates } from './keyRates.js'

/** Share of a service's requests that may be refused because the keys of cold servers are asked for at hosts without a share of them. */
const maxRefusedShare = 0.01

/** What limits the keys of a cold server; rates in requests a second. `hosts`: number of hosts at which requests arrive; `coldServers`: number of cold servers of the service. */
export type ColdKeyLimits = { perSecond: number, allowance: number, hosts: number, serviceRate: number, coldServers: number }

/**
 * Computes the rate of requests that the keys given to a cold server may bring, in requests a second. A request arrives
 * at any host, and where there are more hosts than requests in the allowance, it is refused at those without a share.
 */
export function computeColdKeyRate ({ perSecond, allowance, hosts, serviceRate, coldServers }: ColdKeyLimits): number {
  if (allowance === 0) return 0
  const refusedShare = 1 - Math.min(1, allowance / Math.max(1, hosts))
  if (refusedShare === 0) return perSecond
  return Math.min(perSecond, serviceRate * maxRefusedShare / Math.max(1, coldServers) / refusedShare)
}

/** Lists the cold servers of a service with the rate of requests that keys given to each of them may bring, in requests a second; empty if the service states no limit. */
export function listColdKeyRates (state: GatewayState, service: string): Map<string, number> {
  const allowance = computeColdAllowance(state, service)
  const perSecond = state.configuration?.services.get(service)?.coldRequestsPerSecond
  if (allowance === undefined || perSecond === undefined) return new Map()
  const ids = [...state.backendsByService.get(service) ?? []].filter(id => {
    const backend = state.backends.get(id)
    return backend !== undefined && isLimitedByCold(state, backend)
  })
  if (ids.length === 0) return new Map()
  let serviceRate = 0
  for (const rate of computeKeyRates(state.granting, service, state.now).values()) serviceRate += rate
  const rate = computeColdKeyRate({ perSecond, allowance, hosts: state.hosts, serviceRate, coldServers: ids.length })
  return new Map(ids.map(id => [id, rate]))
}
