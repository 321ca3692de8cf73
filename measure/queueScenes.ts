import type { RouterRules } from '../src/core/router/rules.js'
import type { QueueFigures, QueueScenarioOptions } from './queueScene.js'
import { ranks } from '../src/core/domain/rank.js'
import { computeStaticLimit } from '../src/core/policy/limitPolicy.js'
import { admitByLength, chooseRankStrictly } from '../src/core/policy/queuePolicy.js'
import { runQueueScenario } from './queueScene.js'

const steadyLoad = { lookup: 1, confirmation: 1, upload: 1 }
const healthy = { slowness: 1, capacity: 1, isCold: false }

/** Load scenarios at one backend server. */
export const queueScenarios: readonly QueueScenarioOptions[] = [
  { name: 'steady', factors: steadyLoad, ...healthy },
  { name: 'flood of uploads x10', factors: { ...steadyLoad, upload: 10 }, ...healthy },
  { name: 'flood of confirmations x10', factors: { ...steadyLoad, confirmation: 10 }, ...healthy },
  { name: 'flood of lookups x10', factors: { ...steadyLoad, lookup: 10 }, ...healthy },
  { name: 'uploads and lookups x10', factors: { lookup: 10, confirmation: 1, upload: 10 }, ...healthy },
  { name: 'slow by 3, reports healthy', factors: steadyLoad, slowness: 3, capacity: 1, isCold: false },
  { name: 'cold start', factors: steadyLoad, slowness: 1, capacity: 1, isCold: true },
  { name: 'sheds above half its slots', factors: steadyLoad, slowness: 1, capacity: 0.5, isCold: false }
]

/** Lists the policies that are compared. */
export function listPolicies (rules: RouterRules): Array<{ name: string, rules: RouterRules }> {
  return [
    { name: 'floors', rules },
    { name: 'strict', rules: { ...rules, chooseRank: chooseRankStrictly, admit: admitByLength } },
    { name: 'fifo', rules: { ...rules, chooseRank: view => chooseLongestQueue(view.queued), admit: admitByLength, computeLimit: computeStaticLimit } }
  ]
}

/** Chooses the rank with the longest queue, which on average serves ranks in proportion to their queues, as one queue without ranks does. */
function chooseLongestQueue (queued: Record<string, number>) {
  let best: (typeof ranks)[number] | undefined
  for (const rank of ranks) {
    if ((queued[rank] ?? 0) > (best === undefined ? 0 : queued[best] ?? 0)) best = rank
  }
  return best
}

/** Runs every scenario under every policy. */
export function runQueueScenarios (rules: RouterRules): Array<{ scene: string, policy: string, figures: QueueFigures }> {
  return queueScenarios.flatMap(scenario => listPolicies(rules).map(policy => {
    return { scene: scenario.name, policy: policy.name, figures: runQueueScenario(scenario, policy.rules, 17) }
  }))
}
