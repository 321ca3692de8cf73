import type { Specification } from './explore.js'

/**
 * Specification of a change of guardians, the two routers that grant a holder
 * its lease: the holder replaces its successor and keeps its witness (the pivot)
 * while leases run. The generation counts the sets of guardians. Renewals are
 * atomic here; holderSpec explores delayed and lost messages.
 */
export type GuardianState = {
  generation: 1 | 2
  hasSeenRecord: boolean
  /** Remaining ticks for which each guardian has promised the holder neither to claim nor to consent. */
  promises: { oldSuccessor: number, newSuccessor: number, witness: number }
  /** Remaining lease ticks as the holder counts them; those of the witness are separate for each generation. */
  leases: { oldSuccessor: number, oldWitness: number, newWitness: number, newSuccessor: number }
  witnessGeneration: 1 | 2
  hasWitnessAcked: boolean
  consentedGeneration: 0 | 1 | 2
  oldSuccessor: 'guarding' | 'holding'
  newSuccessor: 'unaware' | 'guarding' | 'holding'
}

/** Events of the specification. */
export type GuardianEvent =
  | { type: 'tick' }
  | { type: 'see-record' }
  | { type: 'renew', guardian: 'oldSuccessor' | 'newSuccessor' | 'witness' }
  | { type: 'consent', claimant: 'oldSuccessor' | 'newSuccessor' }

/** Protocol decisions that mutants override. */
export type GuardianRules = {
  requiresPivotAck: boolean
  mayAdoptGeneration: (state: GuardianState) => boolean
  mayConsent: (state: GuardianState, generation: 1 | 2) => boolean
}

const leaseTicks = 3
const marginTicks = 1

/** The correct protocol. */
export const guardianRules: GuardianRules = {
  requiresPivotAck: true,
  mayAdoptGeneration: state => state.consentedGeneration === 0,
  mayConsent: (state, generation) => generation >= state.witnessGeneration && state.promises.witness === 0 && state.consentedGeneration === 0
}

const start: GuardianState = {
  generation: 1,
  hasSeenRecord: false,
  promises: { oldSuccessor: 0, newSuccessor: 0, witness: 0 },
  leases: { oldSuccessor: 0, oldWitness: 0, newWitness: 0, newSuccessor: 0 },
  witnessGeneration: 1,
  hasWitnessAcked: false,
  consentedGeneration: 0,
  oldSuccessor: 'guarding',
  newSuccessor: 'unaware'
}

/** Builds the specification with the given rules. */
export function buildGuardianSpecification (rules: GuardianRules): Specification<GuardianState, GuardianEvent> {
  return {
    name: 'change of guardians',
    start,
    listEvents: state => listEvents(state, rules),
    reduce: (state, event) => reduce(state, event, rules),
    invariants: {
      'at most one router holds': state => countHolders(state, rules) <= 1
    },
    isServed: state => countHolders(state, rules) === 1,
    isFault: () => false,
    serialize: state => JSON.stringify(state)
  }
}

function countHolders (state: GuardianState, rules: GuardianRules): number {
  const ownCount = isLeaseValid(state, rules) ? 1 : 0
  return ownCount + (state.oldSuccessor === 'holding' ? 1 : 0) + (state.newSuccessor === 'holding' ? 1 : 0)
}

function isLeaseValid (state: GuardianState, rules: GuardianRules): boolean {
  const { leases } = state
  if (state.generation === 1) return leases.oldSuccessor > 0 || leases.oldWitness > 0
  if (rules.requiresPivotAck && !state.hasWitnessAcked) return false
  return leases.newSuccessor > 0 || leases.newWitness > 0
}

function listEvents (state: GuardianState, rules: GuardianRules): GuardianEvent[] {
  const events: GuardianEvent[] = [{ type: 'tick' }]
  if (state.generation === 1) events.push({ type: 'see-record' })
  events.push({ type: 'renew', guardian: 'witness' })
  events.push({ type: 'renew', guardian: state.generation === 1 ? 'oldSuccessor' : 'newSuccessor' })
  if (state.oldSuccessor === 'guarding' && state.promises.oldSuccessor === 0 && rules.mayConsent(state, 1)) events.push({ type: 'consent', claimant: 'oldSuccessor' })
  if (state.newSuccessor === 'guarding' && state.promises.newSuccessor === 0 && rules.mayConsent(state, 2)) events.push({ type: 'consent', claimant: 'newSuccessor' })
  return events
}

function reduce (state: GuardianState, event: GuardianEvent, rules: GuardianRules): GuardianState {
  switch (event.type) {
    case 'tick': return tick(state)
    case 'see-record': return { ...state, generation: 2, hasSeenRecord: true }
    case 'renew': return renew(state, event.guardian, rules)
    case 'consent': return applyConsent(state, event.claimant)
  }
}

function tick (state: GuardianState): GuardianState {
  const decrement = (value: number) => Math.max(0, value - 1)
  const { promises, leases } = state
  return {
    ...state,
    promises: { oldSuccessor: decrement(promises.oldSuccessor), newSuccessor: decrement(promises.newSuccessor), witness: decrement(promises.witness) },
    leases: { oldSuccessor: decrement(leases.oldSuccessor), oldWitness: decrement(leases.oldWitness), newWitness: decrement(leases.newWitness), newSuccessor: decrement(leases.newSuccessor) }
  }
}

function renew (state: GuardianState, guardian: 'oldSuccessor' | 'newSuccessor' | 'witness', rules: GuardianRules): GuardianState {
  const promises = { ...state.promises, [guardian]: leaseTicks }
  const lease = leaseTicks - marginTicks
  if (guardian === 'oldSuccessor') return state.oldSuccessor === 'holding' ? state : { ...state, promises, leases: { ...state.leases, oldSuccessor: lease } }
  if (guardian === 'newSuccessor') {
    if (state.newSuccessor === 'holding') return state
    return { ...state, newSuccessor: 'guarding', promises, leases: { ...state.leases, newSuccessor: lease } }
  }
  if (state.generation < state.witnessGeneration) return state
  if (state.consentedGeneration !== 0 && !(state.generation > state.consentedGeneration && rules.mayAdoptGeneration(state))) return state
  const witness = { ...state, promises, witnessGeneration: state.generation }
  if (state.generation === 1) return { ...witness, leases: { ...state.leases, oldWitness: lease } }
  return { ...witness, hasWitnessAcked: true, leases: { ...state.leases, newWitness: lease } }
}

function applyConsent (state: GuardianState, claimant: 'oldSuccessor' | 'newSuccessor'): GuardianState {
  if (claimant === 'oldSuccessor') return { ...state, consentedGeneration: 1, oldSuccessor: 'holding' }
  return { ...state, consentedGeneration: 2, newSuccessor: 'holding' }
}
