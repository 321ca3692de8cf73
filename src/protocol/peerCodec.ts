import type { JournalEntry } from '../core/domain/assignment.js'
import type { AssumeOutcome, ClaimOutcome, ControlMessage, Revisions, RouterReport } from '../core/domain/control.js'
import type { Outcome, Refusal, RefusalReason } from '../core/domain/outcome.js'
import type { PeerRequest } from '../core/router/routerEvents.js'
import type {
  Frame, JournalEntry as WireEntry, RequestHead, RevisionOf, RouterReport as WireReport, Refusal as WireRefusal
} from './gen/peer.js'
import { refusalReasons } from '../core/domain/outcome.js'
import { ranks } from '../core/domain/rank.js'

/** Body of a frame: one case of the protocol's union of messages. */
export type FrameBody = NonNullable<Frame['body']>

/** Name and value of an HTTP header. */
export type HeaderPair = { name: string, value: string }

/** Encodes a control message as a frame body. */
export function encodeControl (message: ControlMessage): FrameBody {
  switch (message.kind) {
    case 'renew': return { $case: 'renew', renew: encodeRenew(message) }
    case 'renew-reply': return { $case: 'renewReply', renewReply: { ...message, revisions: encodeRevisions(message.revisions) } }
    case 'claim': return { $case: 'claim', claim: { ...message, resigned: false } }
    case 'claim-reply': return {
      $case: 'claimReply',
      claimReply: { ...message, journal: message.journal.map(encodeJournalEntry), revisions: encodeRevisions(message.revisions) }
    }
    case 'assume': return { $case: 'assume', assume: message }
    case 'assume-reply': return { $case: 'assumeReply', assumeReply: message }
    case 'resign': return {
      $case: 'resign',
      resign: { ...message, journal: message.journal.map(encodeJournalEntry), revisions: encodeRevisions(message.revisions) }
    }
    case 'holder-moved': return { $case: 'holderMoved', holderMoved: { ...message, units: message.units.map(encodeJournalEntry) } }
    case 'holder-moved-reply': return { $case: 'holderMovedReply', holderMovedReply: message }
  }
}

function encodeRenew (message: Extract<ControlMessage, { kind: 'renew' }>) {
  return {
    ...message,
    successor: message.successor ?? '',
    witness: message.witness ?? '',
    pivot: message.pivot ?? '',
    journal: message.journal.map(encodeJournalEntry),
    revisions: encodeRevisions(message.revisions)
  }
}

/** Decodes a frame body into a control message; undefined for other or malformed bodies. */
export function decodeControl (body: FrameBody): ControlMessage | undefined {
  switch (body.$case) {
    case 'renew': return decodeRenew(body.renew)
    case 'renewReply': {
      return { ...body.renewReply, kind: 'renew-reply', revisions: decodeRevisions(body.renewReply.revisions) }
    }
    case 'claim': {
      const { router, generation, claimant } = body.claim
      return { kind: 'claim', router, generation, claimant }
    }
    case 'claimReply': return decodeClaimReply(body.claimReply)
    case 'assume': return { kind: 'assume', ...body.assume }
    case 'assumeReply': {
      const outcome = parseEnumValue<AssumeOutcome>(body.assumeReply.outcome, ['assumed', 'not-holder'])
      return outcome === undefined ? undefined : { ...body.assumeReply, kind: 'assume-reply', outcome }
    }
    case 'resign': return {
      kind: 'resign',
      router: body.resign.router,
      generation: body.resign.generation,
      journal: decodeEntries(body.resign.journal),
      inFlight: body.resign.inFlight,
      revisions: decodeRevisions(body.resign.revisions)
    }
    case 'holderMoved': return { ...body.holderMoved, kind: 'holder-moved', units: decodeEntries(body.holderMoved.units) }
    case 'holderMovedReply': return { kind: 'holder-moved-reply', ...body.holderMovedReply }
    default: return undefined
  }
}

function decodeRenew (renew: Extract<FrameBody, { $case: 'renew' }>['renew']): ControlMessage {
  return {
    kind: 'renew',
    router: renew.router,
    generation: renew.generation,
    sentAt: renew.sentAt,
    successor: renew.successor === '' ? undefined : renew.successor,
    witness: renew.witness === '' ? undefined : renew.witness,
    pivot: renew.pivot === '' ? undefined : renew.pivot,
    journalRevision: renew.journalRevision,
    journal: decodeEntries(renew.journal),
    revisions: decodeRevisions(renew.revisions)
  }
}

function decodeClaimReply (reply: Extract<FrameBody, { $case: 'claimReply' }>['claimReply']): ControlMessage | undefined {
  const outcome = parseEnumValue<ClaimOutcome>(reply.outcome, ['consented', 'denied', 'succeeded'])
  if (outcome === undefined) return undefined
  return {
    kind: 'claim-reply',
    router: reply.router,
    generation: reply.generation,
    outcome,
    journal: decodeEntries(reply.journal),
    revisions: decodeRevisions(reply.revisions)
  }
}

function encodeRevisions (revisions: Revisions): RevisionOf[] {
  return [...revisions].map(([name, revision]) => ({ name, revision }))
}

function decodeRevisions (revisions: readonly RevisionOf[]): Revisions {
  return new Map(revisions.map(({ name, revision }) => [name, revision]))
}

/** Encodes a journal entry. */
export function encodeJournalEntry (entry: JournalEntry): WireEntry {
  if (entry.kind === 'router') return { ...entry, service: '', unit: '' }
  if (entry.kind === 'holder') return { ...entry, unit: entry.backend }
  return entry
}

function decodeEntries (entries: readonly WireEntry[]): JournalEntry[] {
  return entries.flatMap((entry): JournalEntry[] => {
    const { service, unit, from, to, epoch } = entry
    if (entry.kind === 'unit') return [{ kind: 'unit', service, unit, from, to, epoch }]
    if (entry.kind === 'router') return [{ kind: 'router', from, to, epoch }]
    if (entry.kind === 'holder') return [{ kind: 'holder', service, backend: unit, from, to, epoch }]
    return []
  })
}

function parseEnumValue<T extends string> (text: string, allowed: readonly T[]): T | undefined {
  return allowed.find(value => value === text)
}

/** Encodes the head of a request between routers with the buffered start of its body; `end` means that this is the whole body. */
export function encodeRequestHead (
  request: PeerRequest,
  http: { method: string, path: string, headers: HeaderPair[] },
  body: Buffer,
  end: boolean
): RequestHead {
  const { service, key, unit, owner, epoch, rank, idempotent, deadlineMs } = request
  return { service, key, unit, owner, epoch, rank, idempotent, deadlineMs, ...http, body, end }
}

/** Decodes the head of a request; undefined when its rank is unknown or its service or owner is missing. */
export function decodeRequestHead (head: RequestHead): PeerRequest | undefined {
  const rank = parseEnumValue(head.rank, ranks)
  if (rank === undefined || head.service === '' || head.owner === '') return undefined
  const { service, key, unit, owner, epoch, idempotent, deadlineMs } = head
  return { service, key, unit, owner, epoch, rank, idempotent, deadlineMs, replayable: head.end }
}

/** Encodes a refusal. */
export function encodeRefusal (refusal: Refusal): WireRefusal {
  const { outcome, reason, owner = '', epoch = 0, unit = '', holder = '', mayHaveRun = false } = refusal
  return { outcome, reason, owner, epoch, unit, holder, mayHaveRun }
}

/** Decodes a refusal; an outcome or reason that this version does not know is treated as outcome `unknown`, and such a reason becomes `peer-lost`. */
export function decodeRefusal (wire: WireRefusal): Refusal {
  const outcome = parseEnumValue<Outcome>(wire.outcome, ['not-run', 'unknown', 'ran']) ?? 'unknown'
  const reason = parseEnumValue<RefusalReason>(wire.reason, refusalReasons)
  if (reason === undefined) return { outcome: 'unknown', reason: 'peer-lost' }
  const refusal: Refusal = { outcome, reason }
  if (wire.unit !== '') Object.assign(refusal, { unit: wire.unit, owner: wire.owner, epoch: wire.epoch })
  if (wire.holder !== '') refusal.holder = wire.holder
  if (wire.mayHaveRun) refusal.mayHaveRun = true
  return refusal
}

/** Encodes a report to the controller. */
export function encodeRouterReport (report: RouterReport): WireReport {
  return { ...report, journal: report.journal.map(encodeJournalEntry) }
}

/** Decodes a report from a router. */
export function decodeRouterReport (wire: WireReport): RouterReport {
  const states = ['unknown', 'ready', 'lost', 'leaving'] as const
  return {
    router: wire.router,
    generation: wire.generation,
    draining: wire.draining,
    intervalMs: wire.intervalMs,
    loads: wire.loads,
    hotKeys: wire.hotKeys,
    journal: decodeEntries(wire.journal),
    backends: wire.backends.map(backend => ({ ...backend, state: parseEnumValue(backend.state, states) ?? 'unknown' }))
  }
}
