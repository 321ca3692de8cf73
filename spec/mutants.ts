import type { Search } from './explore.js'
import { reduceApply } from '../src/core/operator/applyReducer.js'
import { buildDocumentSpecification, documentRules } from './documentSpec.js'
import { findViolation } from './explore.js'
import { buildGrantSpecification, grantRules } from './grantSpec.js'
import { buildGuardianSpecification, guardianRules } from './guardianSpec.js'
import { buildHolderSpecification, holderRules } from './holderSpec.js'
import { buildRequestSpecification, requestRules } from './requestSpec.js'
import { buildTakeoverSpecification, takeoverRules } from './takeoverSpec.js'

/** A fault seeded into the protocol, and the search for the invariant that it violates. */
export type Mutant = { name: string, search: () => Search }

/** Maximum number of states searched for one mutant. */
const maxMutantStates = 900_000

const holderBounds = { kills: 1, pauses: 0, duplicates: true }
const searchHolder = (rules: Partial<typeof holderRules>) => () => {
  return findViolation(buildHolderSpecification({ ...holderRules, ...rules }, holderBounds), maxMutantStates)
}
const searchGuardian = (rules: Partial<typeof guardianRules>) => () => {
  return findViolation(buildGuardianSpecification({ ...guardianRules, ...rules }), maxMutantStates)
}
const searchRequest = (rules: Partial<typeof requestRules>) => () => {
  return findViolation(buildRequestSpecification({ ...requestRules, ...rules }), maxMutantStates)
}
const searchDocument = (rules: Partial<typeof documentRules>) => () => {
  return findViolation(buildDocumentSpecification({ ...documentRules, ...rules }), maxMutantStates)
}

const searchGrant = (rules: Partial<typeof grantRules>) => () => {
  return findViolation(buildGrantSpecification({ ...grantRules, ...rules }, { maxFaults: 2, maxFence: 2 }), maxMutantStates)
}

const searchTakeover = (rules: Partial<typeof takeoverRules>) => () => {
  return findViolation(buildTakeoverSpecification({ ...takeoverRules, ...rules }, { faults: 3 }), maxMutantStates)
}

/** Seeded faults; each must violate an invariant. */
export const mutants: readonly Mutant[] = [
  { name: 'move a key with the fencing token that it had', search: searchGrant({ nextFence: fence => fence }) },
  { name: 'release with the former fencing token', search: searchGrant({ releaseFence: record => record.fence - 1 }) },
  { name: 'grant the next owner before the release', search: searchGrant({ mayGrantNewOwner: host => host.ticksSinceConfirmed < 1 }) },
  { name: 'move without waiting for the hold to run out', search: searchGrant({ hasHoldExpired: () => true }) },
  { name: 'wait one tick less than the hold', search: searchGrant({ hasHoldExpired: host => host.ticksSinceGrant >= 2 && host.ticksSinceTakeover > 4 }) },
  { name: 'forget that a predecessor may go on renewing', search: searchGrant({ hasHoldExpired: host => host.ticksSinceGrant > 2 }) },
  { name: 'assume that a predecessor granted long ago', search: searchGrant({ assumedTicksSinceGrant: 9, hasHoldExpired: host => host.ticksSinceGrant > 2 }) },
  { name: 'renew for ever without word from the store', search: searchGrant({ mayRenew: () => true }) },
  { name: 'trust leadership after a pause', search: searchGrant({ ticksSinceConfirmedAfterPause: ticksSinceConfirmed => ticksSinceConfirmed }) },
  { name: 'take up what was known instead of what is stored', search: searchGrant({ adoptRecord: (_, known) => known }) },
  { name: 'write a move without the condition of leading', search: searchGrant({ writesConditionally: false, mayStartMove: () => true }) },
  { name: 'a server that checks no fencing token', search: searchGrant({ checksFence: false }) },
  { name: 'a late grant holds from when it is applied', search: searchGrant({ isHoldCountedFromArrival: false }) },
  { name: 'go on leading although the lease is another\'s', search: searchGrant({ resignsOnLostLease: false }) },
  { name: 'remember only the last granting host', search: searchTakeover({ listUnsettledHosts: record => 1 << record.host }) },
  { name: 'take over as if nobody had granted before', search: searchTakeover({ listUnsettledHosts: () => 0 }) },
  { name: 'replace a record of granting hosts that was not read', search: searchTakeover({ comparesRecord: false }) },
  { name: 'take any report for a proof that its sender stopped', search: searchTakeover({ isProofOfStop: () => true }) },
  { name: 'call earlier granting hosts stopped without a proof', search: searchTakeover({ maySettle: () => true }) },
  { name: 'go on granting although told of a later claim', search: searchTakeover({ stopsOnLaterClaim: false }) },
  { name: 'renew after a pause without looking at the clock', search: searchHolder({ isLeaseValid: () => true }) },
  { name: 'take over before the own promise is out', search: searchHolder({ mayClaim: () => true }) },
  { name: 'consent before the own promise is out', search: searchHolder({ mayConsent: () => true }) },
  { name: 'take over without the witness', search: searchHolder({ mayTakeOver: () => true }) },
  { name: 'take over although the witness denied', search: searchHolder({ mayTakeOver: state => state.claim !== 'none' && state.claim !== 'asked' }) },
  { name: 'count a lease from the reply instead of the request', search: searchHolder({ computeLeaseTicks: () => 3 }) },
  { name: 'use the whole lease without a margin, counted late', search: searchHolder({ computeLeaseTicks: age => Math.max(1, 3 - age) + 1 }) },
  { name: 'hand off before the grant or deadline is out', search: searchHolder({ isFenceOver: () => true }) },
  { name: 'successor forgets grants of the earlier holder', search: searchHolder({ initialSuccessorFenceTicks: 0 }) },
  { name: 'tell the next owner before a guardian has the journal', search: searchHolder({ isJournalSafe: () => true }) },
  { name: 'ignore the witness\'s journal at a take-over', search: searchHolder({ mergeJournal: own => own }) },
  { name: 'grant the lease while claiming', search: searchHolder({ resumesGuarding: false }) },
  { name: 'go on granting units in hand-off', search: searchHolder({ mayPermit: () => true }) },
  { name: 'trust new guardians before the pivot moved', search: searchGuardian({ requiresPivotAck: false }) },
  { name: 'pivot moves on after its consent', search: searchGuardian({ mayAdoptGeneration: () => true }) },
  { name: 'witness consents for an old generation', search: searchGuardian({ mayConsent: state => state.promises.witness === 0 && state.consentedGeneration === 0 }) },
  { name: 'resend after bytes were sent', search: searchRequest({ afterBrokenExchange: 'resend' }) },
  { name: 'call a broken exchange not run', search: searchRequest({ afterBrokenExchange: 'not-run' }) },
  { name: 'call a broken link not run', search: searchRequest({ afterBrokenLink: 'not-run' }) },
  { name: 'route again after a broken link', search: searchRequest({ afterBrokenLink: 'routing' }) },
  { name: 'accept an older revision', search: searchDocument({ mayAcceptRevision: () => true }) },
  { name: 'write without comparing', search: searchDocument({ isExpected: () => true }) },
  {
    name: 'take a lost reply for a success',
    search: searchDocument({
      reduceApply: (state, event) => {
        const isReplyLost = event.kind === 'write-ended' && event.result === 'unknown'
        return reduceApply(state, isReplyLost ? { kind: 'write-ended', result: 'written' } : event)
      }
    })
  },
  {
    name: 'take a lost reply for a conflict of another',
    search: searchDocument({
      reduceApply: (state, event) => {
        if (event.kind !== 'read' || state.phase !== 'verifying') return reduceApply(state, event)
        return reduceApply({ ...state, phase: 'reading' }, event)
      }
    })
  }
]
