import type { RouterRules } from './rules.js'
import { computeLimitWithSlowStart } from '../policy/limitPolicy.js'
import { admitByEstimate, chooseRankWithFloors } from '../policy/queuePolicy.js'
import { chooseByRendezvous } from '../policy/rendezvous.js'
import { isLeaseValid } from './leaseValidity.js'

/** Builds the rules used in production; `hashKey` maps a string to a 32-bit hash. */
export function buildDefaultRules (hashKey: (key: string) => number): RouterRules {
  return {
    hashKey,
    chooseRank: chooseRankWithFloors,
    admit: admitByEstimate,
    computeLimit: computeLimitWithSlowStart,
    chooseOwner: chooseByRendezvous,
    isLeaseValid,
    mayClaim: (peer, now) => now > peer.grantedUntil,
    mayConsent: (peer, generation, now) => generation >= peer.generation && now > peer.grantedUntil,
    mayAcceptRevision: (current, offered) => offered > current,
    mayResend: request => request.idempotent && request.replayable,
    isFenceOver: (fenceUntil, now) => now > fenceUntil,
    mayServe: (entry, backend, requestEpoch) => entry.owner === backend && entry.epoch >= requestEpoch,
    isJournalReplicated: (state, journalRevision) => {
      if (state.lease.guardians.length === 0) return true
      return state.lease.guardians.some(guardian => guardian.ackedJournal >= journalRevision)
    }
  }
}
