import type { Specification } from './explore.js'

/**
 * Specification of the ownership protocol for one range: its owner, the next
 * owner, and the holder (the router that sends the owner its grants and
 * requests) with the two guardians that grant the holder its lease, the
 * successor and the witness.
 *
 * Leases, promises and permissions expire by ticks. A permission lets the owner
 * act: for a server that checks grants it is the rest of its grant by its own
 * clock, for one that does not, the rest of the deadline of a request already
 * sent to it. Both expire without a message, and both also run down while in
 * flight (`sentPermissionTicksLeft`). A message that is not delivered before it
 * expires is lost.
 */
export type HolderState = {
  holder: 'running' | 'paused' | 'dead'
  successor: 'guarding' | 'claiming' | 'holding' | 'dead'
  witness: 'granting' | 'consented' | 'dead'
  /** Remaining ticks for which the successor may not claim; that of the witness, for which it may not consent. */
  successorPromiseTicks: number
  witnessPromiseTicks: number
  successorLeaseTicks: number
  witnessLeaseTicks: number
  successorRenewal: Renewal | null
  witnessRenewal: Renewal | null
  claim: 'none' | 'asked' | 'consented' | 'denied'
  isJournaledInClaim: boolean
  isJournaledAtSuccessor: boolean
  isJournaledAtWitness: boolean
  holderHandoff: 'none' | 'fencing' | 'journaled' | 'notified'
  isJournalAcked: boolean
  permissionTicksLeft: number
  sentPermissionTicksLeft: number
  /** Remaining ticks until every permission that the holder sent has expired, plus the margin. */
  holderFenceTicks: number
  successorFenceTicks: number
  successorHandoff: 'none' | 'fencing' | 'notified'
  /** Whether the next owner was notified that it may act. */
  isNextOwnerNotified: boolean
  kills: number
  pauses: number
}

/** A lease renewal in flight to a guardian, or its reply in flight to the holder. */
export type Renewal = { direction: 'request' | 'reply', age: number, isJournaled: boolean }

type Guardian = 'successor' | 'witness'

/** Events of the specification. */
export type HolderEvent =
  | { type: 'tick' }
  | { type: 'send-renewal', guardian: Guardian }
  | { type: 'deliver', guardian: Guardian }
  | { type: 'duplicate', guardian: Guardian }
  | { type: 'permit' }
  | { type: 'deliver-permission' }
  | { type: 'declare-lost' }
  | { type: 'journal' }
  | { type: 'notify-next-owner' }
  | { type: 'pause' }
  | { type: 'resume' }
  | { type: 'kill', router: 'holder' | 'successor' | 'witness' }
  | { type: 'claim' }
  | { type: 'answer-claim' }
  | { type: 'drop-claim' }
  | { type: 'take-over' }
  | { type: 'back-off' }
  | { type: 'successor-permit' }
  | { type: 'successor-declare-lost' }
  | { type: 'successor-notify-next-owner' }

/** Protocol decisions that mutants override. */
export type HolderRules = {
  isLeaseValid: (state: HolderState) => boolean
  mayClaim: (state: HolderState) => boolean
  mayConsent: (state: HolderState) => boolean
  mayTakeOver: (state: HolderState) => boolean
  computeLeaseTicks: (age: number) => number
  isFenceOver: (fence: number) => boolean
  initialSuccessorFenceTicks: number
  isJournalSafe: (state: HolderState) => boolean
  mergeJournal: (own: boolean, witness: boolean) => boolean
  mayGrant: (phase: HolderState['successor'] | HolderState['witness']) => boolean
  /** Whether a claiming successor that grants a renewal withdraws its claim. */
  resumesGuarding: boolean
  mayPermit: (state: HolderState) => boolean
}

/** Length of a lease, in ticks. */
const leaseTicks = 3
/** Safety margin at the end of a lease that the holder does not use, in ticks. */
const marginTicks = 1
/** Length of a permission, in ticks. */
const permissionTicks = 3
/** Time for which a handoff waits beyond the end of a permission, in ticks. */
const fenceMarginTicks = 1

/** The correct protocol. */
export const holderRules: HolderRules = {
  isLeaseValid: state => state.successorLeaseTicks > 0 || state.witnessLeaseTicks > 0,
  mayClaim: state => state.successorPromiseTicks === 0,
  mayConsent: state => state.witnessPromiseTicks === 0,
  mayTakeOver: state => state.claim === 'consented',
  computeLeaseTicks: age => leaseTicks - marginTicks - age,
  isFenceOver: fence => fence === 0,
  initialSuccessorFenceTicks: permissionTicks + fenceMarginTicks,
  isJournalSafe: state => state.isJournalAcked,
  mergeJournal: (own, witness) => own || witness,
  mayGrant: phase => phase === 'guarding' || phase === 'claiming' || phase === 'granting',
  resumesGuarding: true,
  mayPermit: state => state.holderHandoff === 'none'
}

const start: HolderState = {
  holder: 'running',
  successor: 'guarding',
  witness: 'granting',
  successorPromiseTicks: 0,
  witnessPromiseTicks: 0,
  successorLeaseTicks: 0,
  witnessLeaseTicks: 0,
  successorRenewal: null,
  witnessRenewal: null,
  claim: 'none',
  isJournaledInClaim: false,
  isJournaledAtSuccessor: false,
  isJournaledAtWitness: false,
  holderHandoff: 'none',
  isJournalAcked: false,
  permissionTicksLeft: 0,
  sentPermissionTicksLeft: 0,
  holderFenceTicks: 0,
  successorFenceTicks: 0,
  successorHandoff: 'none',
  isNextOwnerNotified: false,
  kills: 0,
  pauses: 0
}

/** Maximum number of killed routers and of pauses in one run, and whether renewals and their replies may be duplicated. */
export type HolderBounds = { kills: number, pauses: number, duplicates: boolean }

/** Builds the specification with the given rules and bounds. */
export function buildHolderSpecification (
  rules: HolderRules,
  bounds: HolderBounds
): Specification<HolderState, HolderEvent> {
  return {
    name: 'holder lease, succession and hand-off',
    start,
    listEvents: state => listHolderEvents(state, rules, bounds),
    reduce: (state, event) => reduceHolder(state, event, rules),
    invariants: {
      'at most one backend server acts': state => !(state.isNextOwnerNotified && state.permissionTicksLeft > 0),
      'at most one router holds': state => !(state.successor === 'holding' && state.holder !== 'dead' && rules.isLeaseValid(state) && state.holder === 'running'),
      'a decided hand-off survives': state => !(state.isNextOwnerNotified && state.successor === 'holding' && !state.isJournaledAtSuccessor && state.successorHandoff !== 'notified')
    },
    serialize: formatHolderState,
    isServed: state => state.isNextOwnerNotified || state.permissionTicksLeft > 0,
    isFault: event => ['pause', 'kill', 'drop-claim'].includes(event.type)
  }
}

/** Serializes a state to a short key. */
function formatHolderState (state: HolderState): string {
  const { successorRenewal, witnessRenewal, ...rest } = state
  return [...Object.values(rest), formatRenewal(successorRenewal), formatRenewal(witnessRenewal)].join()
}

function formatRenewal (renewal: Renewal | null): string {
  return renewal === null ? '-' : `${renewal.direction}${renewal.age}${renewal.isJournaled}`
}

function listHolderEvents (state: HolderState, rules: HolderRules, bounds: HolderBounds): HolderEvent[] {
  const events: HolderEvent[] = [{ type: 'tick' }]
  const isHolding = state.holder === 'running' && rules.isLeaseValid(state)
  for (const guardian of ['successor', 'witness'] as const) {
    const renewal = guardian === 'successor' ? state.successorRenewal : state.witnessRenewal
    if (renewal === null) {
      if (state.holder === 'running') events.push({ type: 'send-renewal', guardian })
      continue
    }
    events.push({ type: 'deliver', guardian })
    if (bounds.duplicates) events.push({ type: 'duplicate', guardian })
  }
  if (isHolding && rules.mayPermit(state) && state.sentPermissionTicksLeft === 0) events.push({ type: 'permit' })
  if (state.sentPermissionTicksLeft > 0) events.push({ type: 'deliver-permission' })
  if (isHolding && state.holderHandoff === 'none') events.push({ type: 'declare-lost' })
  if (isHolding && state.holderHandoff === 'fencing' && rules.isFenceOver(state.holderFenceTicks)) events.push({ type: 'journal' })
  if (isHolding && state.holderHandoff === 'journaled' && rules.isJournalSafe(state)) events.push({ type: 'notify-next-owner' })
  if (state.holder === 'running' && state.pauses < bounds.pauses) events.push({ type: 'pause' })
  if (state.holder === 'paused') events.push({ type: 'resume' })
  events.push(...listKills(state, bounds), ...listSuccessorEvents(state, rules))
  return events
}

function listKills (state: HolderState, bounds: HolderBounds): HolderEvent[] {
  if (state.kills >= bounds.kills) return []
  const events: HolderEvent[] = []
  if (state.holder !== 'dead') events.push({ type: 'kill', router: 'holder' })
  if (state.successor !== 'dead' && state.successor !== 'holding') events.push({ type: 'kill', router: 'successor' })
  if (state.witness !== 'dead') events.push({ type: 'kill', router: 'witness' })
  return events
}

function listSuccessorEvents (state: HolderState, rules: HolderRules): HolderEvent[] {
  const events: HolderEvent[] = []
  if (state.successor === 'guarding' && rules.mayClaim(state)) events.push({ type: 'claim' })
  if (state.successor === 'claiming' && state.claim === 'none') events.push({ type: 'claim' })
  if (state.claim === 'asked' && state.witness !== 'dead') events.push({ type: 'answer-claim' })
  if (state.claim !== 'none') events.push({ type: 'drop-claim' })
  if (state.successor === 'claiming' && state.claim === 'denied') events.push({ type: 'back-off' })
  if (state.successor === 'claiming' && rules.mayTakeOver(state)) events.push({ type: 'take-over' })
  if (state.successor !== 'holding') return events
  if (state.isJournaledAtSuccessor) {
    if (!state.isNextOwnerNotified) events.push({ type: 'successor-notify-next-owner' })
    return events
  }
  if (state.successorHandoff === 'none') {
    if (state.sentPermissionTicksLeft === 0) events.push({ type: 'successor-permit' })
    events.push({ type: 'successor-declare-lost' })
  }
  if (state.successorHandoff === 'fencing' && rules.isFenceOver(state.successorFenceTicks)) events.push({ type: 'successor-notify-next-owner' })
  return events
}

function reduceHolder (state: HolderState, event: HolderEvent, rules: HolderRules): HolderState {
  switch (event.type) {
    case 'tick': return tick(state)
    case 'send-renewal': {
      const isJournaled = state.holderHandoff === 'journaled' || state.holderHandoff === 'notified'
      return setRenewal(state, event.guardian, { direction: 'request', age: 0, isJournaled })
    }
    case 'deliver': return setRenewal(applyDelivery(state, event.guardian, rules, true), event.guardian, resolveNextRenewal(state, event.guardian, rules))
    case 'duplicate': return applyDelivery(state, event.guardian, rules, false)
    case 'permit': return { ...state, sentPermissionTicksLeft: permissionTicks, holderFenceTicks: permissionTicks + fenceMarginTicks }
    case 'deliver-permission': {
      return { ...state, permissionTicksLeft: Math.max(state.permissionTicksLeft, state.sentPermissionTicksLeft), sentPermissionTicksLeft: 0 }
    }
    case 'declare-lost': return { ...state, holderHandoff: 'fencing' }
    case 'journal': return { ...state, holderHandoff: 'journaled' }
    case 'notify-next-owner': return { ...state, holderHandoff: 'notified', isNextOwnerNotified: true }
    case 'pause': return { ...state, holder: 'paused', pauses: state.pauses + 1 }
    case 'resume': return { ...state, holder: 'running' }
    case 'kill': return kill(state, event.router)
    case 'claim': return { ...state, successor: 'claiming', claim: 'asked' }
    case 'answer-claim': return answerClaim(state, rules)
    case 'drop-claim': return { ...state, claim: 'none', isJournaledInClaim: false }
    case 'back-off': return { ...state, successor: 'guarding', claim: 'none', isJournaledInClaim: false }
    case 'take-over': return takeOver(state, rules)
    case 'successor-permit': return { ...state, sentPermissionTicksLeft: permissionTicks, successorFenceTicks: permissionTicks + fenceMarginTicks }
    case 'successor-declare-lost': return { ...state, successorHandoff: 'fencing' }
    case 'successor-notify-next-owner': return { ...state, successorHandoff: 'notified', isJournaledAtSuccessor: true, isNextOwnerNotified: true }
  }
}

function tick (state: HolderState): HolderState {
  const decrement = (value: number) => Math.max(0, value - 1)
  return {
    ...state,
    successorPromiseTicks: decrement(state.successorPromiseTicks),
    witnessPromiseTicks: decrement(state.witnessPromiseTicks),
    successorLeaseTicks: decrement(state.successorLeaseTicks),
    witnessLeaseTicks: decrement(state.witnessLeaseTicks),
    permissionTicksLeft: decrement(state.permissionTicksLeft),
    sentPermissionTicksLeft: decrement(state.sentPermissionTicksLeft),
    holderFenceTicks: decrement(state.holderFenceTicks),
    successorFenceTicks: decrement(state.successorFenceTicks),
    successorRenewal: tickRenewal(state.successorRenewal),
    witnessRenewal: tickRenewal(state.witnessRenewal)
  }
}

/** Ages a renewal; one that is older than a lease can no longer grant anything and is dropped. */
function tickRenewal (renewal: Renewal | null): Renewal | null {
  if (renewal === null || renewal.age >= leaseTicks) return null
  return { ...renewal, age: renewal.age + 1 }
}

function setRenewal (state: HolderState, guardian: Guardian, renewal: Renewal | null): HolderState {
  return guardian === 'successor' ? { ...state, successorRenewal: renewal } : { ...state, witnessRenewal: renewal }
}

/** Resolves what follows a delivery: a renewal becomes its reply if the guardian grants it. */
function resolveNextRenewal (state: HolderState, guardian: Guardian, rules: HolderRules): Renewal | null {
  const renewal = guardian === 'successor' ? state.successorRenewal : state.witnessRenewal
  if (renewal === null || renewal.direction === 'reply') return null
  if (!rules.mayGrant(guardian === 'successor' ? state.successor : state.witness)) return null
  return { ...renewal, direction: 'reply' }
}

function applyDelivery (state: HolderState, guardian: Guardian, rules: HolderRules, isLastCopy: boolean): HolderState {
  const renewal = guardian === 'successor' ? state.successorRenewal : state.witnessRenewal
  if (renewal === null) return state
  if (renewal.direction === 'request') return grantLease(state, guardian, renewal, rules)
  if (state.holder === 'dead' || (state.holder === 'paused' && isLastCopy)) return state
  const lease = Math.max(0, rules.computeLeaseTicks(renewal.age))
  const acked = state.isJournalAcked || renewal.isJournaled
  if (guardian === 'successor') return { ...state, successorLeaseTicks: Math.max(state.successorLeaseTicks, lease), isJournalAcked: acked }
  return { ...state, witnessLeaseTicks: Math.max(state.witnessLeaseTicks, lease), isJournalAcked: acked }
}

function grantLease (state: HolderState, guardian: Guardian, renewal: Renewal, rules: HolderRules): HolderState {
  if (!rules.mayGrant(guardian === 'successor' ? state.successor : state.witness)) return state
  const resumes = rules.resumesGuarding && state.successor === 'claiming'
  if (guardian === 'successor') return { ...state, successor: resumes ? 'guarding' : state.successor, successorPromiseTicks: leaseTicks, isJournaledAtSuccessor: state.isJournaledAtSuccessor || renewal.isJournaled }
  return { ...state, witnessPromiseTicks: leaseTicks, isJournaledAtWitness: state.isJournaledAtWitness || renewal.isJournaled }
}

function kill (state: HolderState, router: 'holder' | 'successor' | 'witness'): HolderState {
  const kills = state.kills + 1
  if (router === 'holder') return { ...state, kills, holder: 'dead' }
  if (router === 'successor') return { ...state, kills, successor: 'dead', claim: 'none', isJournaledInClaim: false }
  return { ...state, kills, witness: 'dead' }
}

function answerClaim (state: HolderState, rules: HolderRules): HolderState {
  if (state.witness !== 'consented' && !rules.mayConsent(state)) return { ...state, claim: 'denied' }
  return { ...state, witness: 'consented', claim: 'consented', isJournaledInClaim: state.isJournaledAtWitness }
}

function takeOver (state: HolderState, rules: HolderRules): HolderState {
  return {
    ...state,
    successor: 'holding',
    claim: 'none',
    isJournaledInClaim: false,
    isJournaledAtSuccessor: rules.mergeJournal(state.isJournaledAtSuccessor, state.isJournaledInClaim),
    successorFenceTicks: rules.initialSuccessorFenceTicks
  }
}
