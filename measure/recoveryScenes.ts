import type { RouterRules } from '../src/core/router/rules.js'
import type { VirtualFleet } from '../spec/virtualFleet.js'
import { advance, createVirtualFleet, listCallers, listRuns, sendRequest } from '../spec/virtualFleet.js'
import { killBackend, killRouter, setFrozen } from '../spec/virtualFaults.js'
import { compareRecords } from '../src/load/reconcile.js'

/** A loss, and the function that causes it in a fleet. */
type Loss = { name: string, cause: (fleet: VirtualFleet) => void }

const losses: readonly Loss[] = [
  { name: 'backend server killed', cause: fleet => killBackend(fleet, 'cat-1') },
  { name: 'backend server frozen', cause: fleet => setFrozen(fleet, 'cat-1', true) },
  { name: 'holder killed', cause: fleet => killRouter(fleet, findHolder(fleet)) },
  { name: 'holder and backend server killed', cause: fleet => { killRouter(fleet, findHolder(fleet)); killBackend(fleet, 'cat-1') } }
]

const keyCount = 40
const beforeLossMs = 1500
const afterLossMs = 4000
const requestIntervalMs = 5

/** Figures of a recovery: the longest and the total time for which keys were unavailable after the loss, in milliseconds, and what comparing the records of callers and backend servers found. */
export type RecoveryFigures = {
  loss: string
  store: 'up' | 'down'
  policy: string
  longestGapMs: number
  unavailableKeyMs: number
  answeredShare: number
  lost: number
  doubled: number
  wrongOwner: number
}

/** Runs every loss with the store up and down, with and without succession (takeover by a successor router). */
export function runRecoveryScenarios (rules: RouterRules): RecoveryFigures[] {
  const policies = [
    { name: 'succession', rules },
    { name: 'none', rules: { ...rules, mayClaim: () => false, chooseOwner: () => undefined } }
  ]
  const stores = ['up', 'down'] as const
  return losses.flatMap(loss => stores.flatMap(store => policies.map(policy => runRecovery(loss, store, policy))))
}

function findHolder (fleet: VirtualFleet): string {
  for (const [name, router] of fleet.routers) {
    if (router.state.backends.get('demo.catalogue/cat-1')?.isHeld === true) return name
  }
  return ''
}

function runRecovery (loss: Loss, store: 'up' | 'down', policy: { name: string, rules: RouterRules }): RecoveryFigures {
  const fleet = createVirtualFleet({ routers: 4, checkingBackends: 3, nonCheckingBackends: 1, seed: 3 }, policy.rules)
  const holder = findHolder(fleet)
  const ingresses = [...fleet.routers.keys()].filter(name => name !== holder)
  sendAtSteadyRate(fleet, ingresses, beforeLossMs)
  fleet.store.isDown = store === 'down'
  const lossAt = fleet.now
  loss.cause(fleet)
  sendAtSteadyRate(fleet, ingresses, afterLossMs)
  advance(fleet, 2000)
  const gaps = computeGaps(fleet, lossAt)
  const figures = compareRecords(listCallers(fleet), listRuns(fleet))
  return {
    loss: loss.name,
    store,
    policy: policy.name,
    longestGapMs: Math.round(Math.max(...gaps)),
    unavailableKeyMs: Math.round(gaps.reduce((sum, gap) => sum + gap, 0)),
    answeredShare: Math.round(figures.answered / figures.sent * 1000) / 1000,
    lost: figures.lost,
    doubled: figures.doubled,
    wrongOwner: figures.wrongOwner
  }
}

function sendAtSteadyRate (fleet: VirtualFleet, ingresses: readonly string[], ms: number): void {
  for (let step = 0; step * requestIntervalMs < ms; step++) {
    sendRequest(fleet, ingresses[step % ingresses.length] ?? '', 'catalogue', 'lookup', `key-${step % keyCount}`)
    advance(fleet, requestIntervalMs)
  }
}

/** Computes for each key the time from its first request after the loss to its first answer, in milliseconds. */
function computeGaps (fleet: VirtualFleet, lossAt: number): number[] {
  const gaps: number[] = []
  for (let key = 0; key < keyCount; key++) {
    const records = listCallers(fleet).filter(record => record.key === `key-${key}` && record.sentAt >= lossAt)
    const answered = records.filter(record => record.outcome === 'answered').map(record => record.endedAt)
    const first = Math.min(...records.map(record => record.sentAt))
    gaps.push((answered.length === 0 ? lossAt + afterLossMs : Math.min(...answered)) - first)
  }
  return gaps
}
