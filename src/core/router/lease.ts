import type { RouterEntry } from '../domain/assignment.js'
import type { ControlMessage } from '../domain/control.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { leaseDurationMs, leaseMarginMs, leaseRenewIntervalMs, lostLeaseTimeoutMs } from '../limits.js'
import { updateHoldings } from './backends.js'
import { startDrainAfterLeaseLoss } from './drain.js'
import { retryWaiting } from './ingress.js'
import { updateKnownRevisions, listRevisions } from './revisions.js'

type RenewReply = Extract<ControlMessage, { kind: 'renew-reply' }>

/** Adopts the guardian set in this router's entry of the fleet record, if it is newer. */
export function applyOwnFleetEntry (state: RouterState, entry: RouterEntry): void {
  const lease = state.lease
  if (entry.generation <= lease.generation || lease.phase !== 'normal') return
  lease.generation = entry.generation
  lease.successor = entry.successor
  lease.witness = entry.witness
  lease.pivot = entry.pivot
  const names = [entry.successor, entry.witness].filter(name => name !== undefined)
  lease.guardians = names.map(router => {
    const previous = lease.guardians.find(guardian => guardian.router === router)
    return { router, ackedGeneration: 0, grantedUntil: 0, ackedJournal: previous?.ackedJournal ?? -1 }
  })
  lease.nextRenewAt = 0
}

/** Requests a lease renewal from the guardians when it is due. */
export function renewLease (state: RouterState): RouterEffect[] {
  const lease = state.lease
  if (state.now < lease.nextRenewAt) return []
  if (lease.generation === 0 || lease.phase !== 'normal') return []
  lease.nextRenewAt = state.now + leaseRenewIntervalMs
  return lease.guardians.map(guardian => ({
    kind: 'send-control',
    to: guardian.router,
    message: {
      kind: 'renew',
      router: state.self,
      generation: lease.generation,
      sentAt: state.now,
      successor: lease.successor,
      witness: lease.witness,
      pivot: lease.pivot,
      journalRevision: lease.journalRevision,
      journal: [...lease.journal],
      revisions: listRevisions(state)
    }
  }))
}

/** Records the lease granted by a guardian; its duration counts from the time the renewal was sent. */
export function applyRenewReply (state: RouterState, message: RenewReply): void {
  updateKnownRevisions(state, message.revisions)
  const lease = state.lease
  if (message.generation !== lease.generation || !message.granted) return
  const guardian = lease.guardians.find(candidate => candidate.router === message.guardian)
  if (guardian === undefined) return
  guardian.ackedGeneration = message.generation
  guardian.grantedUntil = Math.max(guardian.grantedUntil, message.sentAt + leaseDurationMs - leaseMarginMs)
  guardian.ackedJournal = Math.max(guardian.ackedJournal, message.journalRevision)
}

/** Logs when the lease is gained or expires, and updates the held backend servers when it is gained. */
export function handleLeaseChange (state: RouterState, rules: RouterRules): RouterEffect[] {
  const isValid = rules.isLeaseValid(state, state.now)
  if (isValid === state.lease.wasValid) return isValid ? [] : stopAfterLeaseTimeout(state)
  state.lease.changedAt = state.now
  state.lease.wasValid = isValid
  if (isValid) {
    updateHoldings(state)
    retryWaiting(state)
  }
  const event = isValid ? 'leaseGained' : 'leaseLapsed'
  return [{ kind: 'log', event, fields: { generation: state.lease.generation } }]
}

/**
 * Stops a router that has lost its lease and not regained it within `lostLeaseTimeoutMs`, so
 * that the controller can assign other holders; it restarts under a new instance name.
 */
function stopAfterLeaseTimeout (state: RouterState): RouterEffect[] {
  const lease = state.lease
  if (lease.changedAt === 0 || state.phase !== 'serving') return []
  if (state.now - lease.changedAt < lostLeaseTimeoutMs) return []
  return startDrainAfterLeaseLoss(state)
}
