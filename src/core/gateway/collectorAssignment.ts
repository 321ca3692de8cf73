import type { CollectorCandidate } from './collectorChoice.js'
import type { GatewayRules } from './rules.js'
import type { GatewayWork } from './state.js'
import { computeRenewerTimeoutMs } from './renewerAssignment.js'

/** Time between two choices of the collectors, in milliseconds. */
const chooseCollectorsMs = 200

/** Chooses the collectors of the availability zones from the hosts that report. */
export function advanceCollectors (work: GatewayWork, rules: GatewayRules): void {
  const { state } = work
  const { granting, identity, now } = state
  if (granting.role !== 'leading' || now < granting.chooseCollectorsAt) return
  granting.chooseCollectorsAt = now + chooseCollectorsMs
  const candidates: CollectorCandidate[] = []
  for (const [host, renewer] of granting.renewers) {
    if (now - renewer.reportedAt <= computeRenewerTimeoutMs(state)) candidates.push({ host, ...renewer })
  }
  granting.collectors = rules.chooseCollectors(candidates, identity, granting.collectors)
}
