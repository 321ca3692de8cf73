import type { JournalEntry } from '../domain/assignment.js'
import type { ControlMessage } from '../domain/control.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { RouterState, GuardedPeer } from './routerState.js'
import { controlResendMs, leaseDurationMs } from '../limits.js'
import { addInheritedRequests, updateHoldings } from './backends.js'
import { startInheritedHandoffs } from './handoff.js'
import { startInheritedHolderMoves } from './holderMove.js'
import { addToJournal, isSameEntry } from './journal.js'
import { hasRevisions, updateKnownRevisions, listRevisions } from './revisions.js'
import { applyJournal, isEntryStored } from './ownership.js'

type Renew = Extract<ControlMessage, { kind: 'renew' }>
type Claim = Extract<ControlMessage, { kind: 'claim' }>
type ClaimReply = Extract<ControlMessage, { kind: 'claim-reply' }>
type Resign = Extract<ControlMessage, { kind: 'resign' }>

/** Grants or refuses a lease to a peer that names this router as its guardian. */
export function applyRenew (state: RouterState, message: Renew): RouterEffect[] {
  updateKnownRevisions(state, message.revisions)
  const peer = findOrAddGuardedPeer(state, message)
  // An unfinished claim is abandoned when the peer renews its lease again.
  if (peer.phase === 'claiming' && !peer.hasResigned) peer.phase = 'granting'
  const isGranted = applyGuardianSet(state, peer, message) && peer.phase === 'granting'
  if (isGranted) {
    peer.grantedUntil = state.now + leaseDurationMs
    peer.journal = buildMergedJournal(state, peer.journal, message.journal)
    peer.revisions = message.revisions
  }
  return [{
    kind: 'send-control',
    to: message.router,
    message: {
      kind: 'renew-reply',
      guardian: state.self,
      generation: message.generation,
      sentAt: message.sentAt,
      journalRevision: message.journalRevision,
      granted: isGranted,
      revisions: listRevisions(state)
    }
  }]
}

function findOrAddGuardedPeer (state: RouterState, message: Renew): GuardedPeer {
  const existing = state.guardedPeers.get(message.router)
  if (existing !== undefined) return existing
  const peer: GuardedPeer = {
    router: message.router,
    generation: message.generation,
    successor: message.successor,
    witness: message.witness,
    grantedUntil: 0,
    phase: 'granting',
    journal: [],
    revisions: new Map(),
    nextSendAt: 0,
    journalRevision: 0,
    hasResigned: false
  }
  state.guardedPeers.set(message.router, peer)
  return peer
}

/**
 * Applies a newer guardian set of the peer; returns whether this router is on the
 * generation of the message. A guardian that has claimed the succession or consented
 * to it keeps its set if it is the pivot, and always once the succession is journaled.
 */
function applyGuardianSet (state: RouterState, peer: GuardedPeer, message: Renew): boolean {
  if (message.generation < peer.generation) return false
  if (message.generation === peer.generation) return true
  if (peer.phase === 'journaling' || peer.phase === 'succeeded') return false
  if (peer.phase !== 'granting' && message.pivot === state.self) return false
  peer.generation = message.generation
  peer.successor = message.successor
  peer.witness = message.witness
  peer.phase = 'granting'
  return true
}

/** Merges two journals, without the entries that the records applied by this router already include. */
function buildMergedJournal (
  state: RouterState,
  current: readonly JournalEntry[],
  received: readonly JournalEntry[]
): JournalEntry[] {
  const merged = current.filter(entry => !isEntryStored(state, entry))
  for (const entry of received) {
    if (merged.some(existing => isSameEntry(existing, entry))) continue
    if (!isEntryStored(state, entry)) merged.push(entry)
  }
  return merged
}

/** Takes over from guarded peers whose lease has expired, if this router is their successor. */
export function tickGuardedPeers (state: RouterState, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const peer of state.guardedPeers.values()) {
    if (peer.successor !== state.self) continue
    effects.push(...tickGuardedPeer(state, peer, rules))
  }
  return effects
}

function tickGuardedPeer (state: RouterState, peer: GuardedPeer, rules: RouterRules): RouterEffect[] {
  if (peer.phase === 'granting' && rules.mayClaim(peer, state.now)) {
    peer.phase = 'claiming'
    peer.nextSendAt = 0
    const log: RouterEffect = { kind: 'log', event: 'claimStarted', fields: { router: peer.router, generation: peer.generation } }
    return [log, ...sendClaim(state, peer, rules)]
  }
  if (peer.phase === 'claiming' && state.now >= peer.nextSendAt) return sendClaim(state, peer, rules)
  if (peer.phase === 'journaling') return finishSuccession(state, peer, rules)
  return []
}

function sendClaim (state: RouterState, peer: GuardedPeer, rules: RouterRules): RouterEffect[] {
  peer.nextSendAt = state.now + controlResendMs
  if (peer.hasResigned || peer.witness === undefined) return startSuccession(state, peer, rules)
  const message: Claim = { kind: 'claim', router: peer.router, generation: peer.generation, claimant: state.self }
  return [{ kind: 'send-control', to: peer.witness, message }]
}

/** Answers a successor's claim; consents only after the lease granted by this router has expired. */
export function applyClaim (state: RouterState, from: string, message: Claim, rules: RouterRules): RouterEffect[] {
  const peer = state.guardedPeers.get(message.router)
  const hasConsented = peer === undefined || applyConsent(peer, message, state.now, rules)
  const reply: ClaimReply = {
    kind: 'claim-reply',
    router: message.router,
    generation: message.generation,
    outcome: hasConsented ? 'consented' : 'denied',
    journal: hasConsented ? [...peer?.journal ?? []] : [],
    revisions: hasConsented ? listRevisions(state) : new Map()
  }
  if (peer === undefined) reply.outcome = 'denied'
  const effects: RouterEffect[] = [{ kind: 'send-control', to: from, message: reply }]
  if (reply.outcome === 'consented') {
    effects.push({ kind: 'log', event: 'claimConsented', fields: { router: message.router, claimant: message.claimant } })
  }
  return effects
}

function applyConsent (peer: GuardedPeer, message: Claim, now: number, rules: RouterRules): boolean {
  if (peer.phase === 'consented') return message.generation >= peer.generation
  if (peer.phase !== 'granting') return false
  if (!rules.mayConsent(peer, message.generation, now)) return false
  peer.phase = 'consented'
  peer.generation = message.generation
  return true
}

/** Continues or abandons a succession after the witness's answer, or completes this router's own resignation. */
export function applyClaimReply (state: RouterState, message: ClaimReply, rules: RouterRules): RouterEffect[] {
  if (message.router === state.self) return applyResignReply(state, message)
  const peer = state.guardedPeers.get(message.router)
  if (peer === undefined || peer.phase !== 'claiming' || message.generation !== peer.generation) return []
  if (message.outcome !== 'consented') {
    peer.phase = 'granting'
    return []
  }
  peer.journal = buildMergedJournal(state, peer.journal, message.journal)
  for (const [name, revision] of message.revisions) {
    peer.revisions.set(name, Math.max(revision, peer.revisions.get(name) ?? 0))
  }
  return startSuccession(state, peer, rules)
}

/** Journals the succession once this router has applied all revisions that the peer and the witness reported. */
function startSuccession (state: RouterState, peer: GuardedPeer, rules: RouterRules): RouterEffect[] {
  if (!hasRevisions(state, peer.revisions)) return []
  if (!rules.isLeaseValid(state, state.now)) return []
  peer.phase = 'journaling'
  const succession: JournalEntry = { kind: 'router', from: peer.router, to: state.self, epoch: peer.generation }
  peer.journalRevision = addToJournal(state, [...peer.journal, succession])
  return finishSuccession(state, peer, rules)
}

/** Starts to act for the peer once a guardian of this router has acknowledged the journaled succession. */
function finishSuccession (state: RouterState, peer: GuardedPeer, rules: RouterRules): RouterEffect[] {
  if (!rules.isJournalReplicated(state, peer.journalRevision)) return []
  peer.phase = 'succeeded'
  applyJournal(state)
  updateHoldings(state)
  addResignedRequests(state, peer)
  startInheritedHandoffs(state, peer.journal)
  startInheritedHolderMoves(state, peer.journal)
  const effects: RouterEffect[] = [{
    kind: 'log',
    event: 'routerSucceeded',
    fields: { router: peer.router, generation: peer.generation, resigned: peer.hasResigned }
  }]
  if (peer.hasResigned) effects.push(buildResignReply(peer))
  return effects
}

function addResignedRequests (state: RouterState, peer: GuardedPeer): void {
  const requests = state.resignedInFlight.get(peer.router)
  if (requests === undefined) return
  state.resignedInFlight.delete(peer.router)
  const byBackend = new Map<string, typeof requests>()
  for (const request of requests) byBackend.set(request.backend, [...byBackend.get(request.backend) ?? [], request])
  for (const [id, backend] of state.backends) {
    if (backend.isHeld && byBackend.has(id)) addInheritedRequests(state, backend, byBackend.get(id) ?? [])
  }
}

/** Takes over from a peer that resigns, without waiting for its lease to expire. */
export function applyResign (state: RouterState, message: Resign, rules: RouterRules): RouterEffect[] {
  const peer = state.guardedPeers.get(message.router)
  if (peer === undefined || peer.successor !== state.self) return []
  if (peer.phase === 'succeeded') return [buildResignReply(peer)]
  if (peer.phase === 'journaling') return []
  peer.hasResigned = true
  peer.phase = 'claiming'
  peer.journal = buildMergedJournal(state, peer.journal, message.journal)
  peer.revisions = message.revisions
  state.resignedInFlight.set(message.router, message.inFlight)
  return startSuccession(state, peer, rules)
}

function buildResignReply (peer: GuardedPeer): RouterEffect {
  return {
    kind: 'send-control',
    to: peer.router,
    message: {
      kind: 'claim-reply',
      router: peer.router,
      generation: peer.generation,
      outcome: 'succeeded',
      journal: [],
      revisions: new Map()
    }
  }
}

function applyResignReply (state: RouterState, message: ClaimReply): RouterEffect[] {
  const lease = state.lease
  if (message.outcome !== 'succeeded' || lease.phase !== 'resigning') return []
  const successor = lease.successor
  if (successor === undefined) return []
  lease.phase = 'resigned'
  addToJournal(state, [{ kind: 'router', from: state.self, to: successor, epoch: lease.generation }])
  return [{ kind: 'log', event: 'resigned', fields: { successor } }]
}

/** Removes peers that this router has succeeded, once neither the fleet nor this router's journal lists them. */
export function dropDepartedPeers (state: RouterState): void {
  for (const [router, peer] of state.guardedPeers) {
    if (state.fleet.routers.has(router)) continue
    if (peer.phase === 'journaling') continue
    const isSuccessionInJournal = state.lease.journal.some(entry => entry.kind === 'router' && entry.from === router)
    if (!isSuccessionInJournal && peer.phase === 'succeeded') state.guardedPeers.delete(router)
  }
}
