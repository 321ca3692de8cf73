import type { RouterRules } from '../src/core/router/rules.js'
import type { VirtualFleet } from '../spec/virtualFleet.js'
import { advance, createVirtualFleet, listCallers, listRuns, sendCaller } from '../spec/virtualFleet.js'
import { killBackend, killRouter, setFrozen } from '../spec/virtualFaults.js'
import { compareRecords } from '../src/load/reconcile.js'

/** A loss, by what it does to the fleet. */
type Loss = { name: string, strike: (fleet: VirtualFleet) => void }

const losses: readonly Loss[] = [
  { name: 'backend server killed', strike: fleet => killBackend(fleet, 'cat-1') },
  { name: 'backend server frozen', strike: fleet => setFrozen(fleet, 'cat-1', true) },
  { name: 'holder killed', strike: fleet => killRouter(fleet, findHolder(fleet)) },
  { name: 'holder and backend server killed', strike: fleet => { killRouter(fleet, findHolder(fleet)); killBackend(fleet, 'cat-1') } }
]

const keyCount = 40
const beforeMs = 1500
const afterMs = 4000
const stepMs = 5

/** Figures of a recovery: longest time a key went unanswered after the loss, and the record checks. */
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

/** Runs every loss with the store up and down, with and without succession. */
export function runRecoveryScenes (rules: RouterRules): RecoveryFigures[] {
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
  const fleet = createVirtualFleet({ routers: 4, checking: 3, trusting: 1, seed: 3 }, policy.rules)
  const holder = findHolder(fleet)
  const ingresses = [...fleet.routers.keys()].filter(name => name !== holder)
  sendSteadily(fleet, ingresses, beforeMs)
  fleet.store.down = store === 'down'
  const lossAt = fleet.now
  loss.strike(fleet)
  sendSteadily(fleet, ingresses, afterMs)
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

function sendSteadily (fleet: VirtualFleet, ingresses: readonly string[], ms: number): void {
  for (let step = 0; step * stepMs < ms; step++) {
    sendCaller(fleet, ingresses[step % ingresses.length] ?? '', 'catalogue', 'lookup', `key-${step % keyCount}`)
    advance(fleet, stepMs)
  }
}

/** For each key, the time from the loss, or its first request after it, to its first answer. */
function computeGaps (fleet: VirtualFleet, lossAt: number): number[] {
  const gaps: number[] = []
  for (let key = 0; key < keyCount; key++) {
    const own = listCallers(fleet).filter(record => record.key === `key-${key}` && record.sentAt >= lossAt)
    const answered = own.filter(record => record.outcome === 'answered').map(record => record.endedAt)
    const first = Math.min(...own.map(record => record.sentAt))
    gaps.push((answered.length === 0 ? lossAt + afterMs : Math.min(...answered)) - first)
  }
  return gaps
}
