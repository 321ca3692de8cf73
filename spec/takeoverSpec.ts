import type { Specification } from './explore.js'

/** What one host believes about leadership. Claim revisions are those of the leadership record. */
export type TakeoverHost = {
  /** Whether it renews grants. */
  isGranting: boolean
  /** Revision of its own claim. */
  claimRevision: number
  /** Highest claim revision that it knows of. */
  knownClaimRevision: number
  /** Whether its last read showed no lease in force. */
  hasSeenNoLease: boolean
  /** Revision at which it last read the record of granting hosts. */
  recordRevision: number
  /** Bit mask of the earlier hosts that may still be granting. */
  unsettledHosts: number
  /** Whether it knows that all earlier hosts have stopped granting. */
  isOnlyGrantingHost: boolean
}

/** State of three hosts, the store and the reports in flight. */
export type TakeoverState = {
  hosts: readonly TakeoverHost[]
  /** Host whose lease is in force, -1 for none. */
  leader: number
  revision: number
  record: { revision: number, host: number, unsettledHosts: number }
  /** Report in flight for each pair of sender and receiver: the highest claim revision that the sender knew; 0 for none. */
  reports: readonly number[]
  faults: number
}

/** Events of the specification. */
export type TakeoverEvent = { type: 'expire-lease' | 'settle' } | { type: 'read' | 'claim' | 'stop-granting' | 'finish-wait' | 'restart', host: number } | { type: 'report' | 'deliver', host: number, to: number }

/** Protocol decisions that mutants override. */
export type TakeoverRules = {
  /** Bit mask of the hosts that may still be granting after a takeover, according to the stored record. */
  listUnsettledHosts: (record: { host: number, unsettledHosts: number }) => number
  /** Whether a claim is written only if the record is still at the revision that its host read. */
  comparesRecord: boolean
  /** Whether a report proves that its sender has stopped. */
  isProofOfStop: (knownClaimRevision: number, claim: number) => boolean
  /** Whether a host may record in the store that all earlier hosts have stopped. */
  maySettle: (host: TakeoverHost) => boolean
  /** Whether a host stops granting when it learns of a later claim. */
  stopsOnLaterClaim: boolean
}

/** The correct protocol. */
export const takeoverRules: TakeoverRules = {
  listUnsettledHosts: record => (1 << record.host) | record.unsettledHosts,
  comparesRecord: true,
  isProofOfStop: (knownClaimRevision, claim) => knownClaimRevision >= claim,
  maySettle: host => host.isOnlyGrantingHost,
  stopsOnLaterClaim: true
}

const hostCount = 3
const idleHost: TakeoverHost = { isGranting: false, claimRevision: 0, knownClaimRevision: 0, hasSeenNoLease: false, recordRevision: 0, unsettledHosts: 0, isOnlyGrantingHost: false }
const start: TakeoverState = {
  hosts: Array.from({ length: hostCount }, () => idleHost),
  leader: -1,
  revision: 0,
  record: { revision: 0, host: 0, unsettledHosts: 0 },
  reports: Array.from({ length: hostCount * hostCount }, () => 0),
  faults: 0
}

/** Builds the specification of a takeover, with leases that expire at any time, hosts that restart and reports that arrive late. */
export function buildTakeoverSpecification (rules: TakeoverRules, bounds: { faults: number }): Specification<TakeoverState, TakeoverEvent> {
  return {
    name: 'take-over of granting',
    start,
    listEvents: state => listEvents(state, rules, bounds.faults),
    reduce: (state, event) => reduce(state, event, rules),
    invariants: {
      'a host that takes itself for the only one is the only one of its time': state => state.hosts.every(host => {
        return !host.isGranting || !host.isOnlyGrantingHost || state.hosts.every(other => other === host || !other.isGranting || other.claimRevision > host.claimRevision)
      })
    },
    isServed: state => state.leader >= 0 && state.hosts[state.leader]?.isGranting === true && state.hosts[state.leader]?.isOnlyGrantingHost === true,
    isFault: event => event.type === 'expire-lease' || event.type === 'restart',
    serialize: state => JSON.stringify(state)
  }
}

function listEvents (state: TakeoverState, rules: TakeoverRules, faults: number): TakeoverEvent[] {
  const events: TakeoverEvent[] = []
  if (state.faults < faults && state.leader >= 0) events.push({ type: 'expire-lease' })
  const leader = state.hosts[state.leader]
  if (leader?.isGranting === true && rules.maySettle(leader) && state.record.unsettledHosts !== 0 && state.record.host === state.leader) events.push({ type: 'settle' })
  state.hosts.forEach((host, index) => {
    if (!isUpToDate(state, host)) events.push({ type: 'read', host: index })
    if (state.leader < 0 && host.hasSeenNoLease) events.push({ type: 'claim', host: index })
    if (host.isGranting && state.leader !== index) events.push({ type: 'stop-granting', host: index })
    // Earlier hosts stop by themselves within the longest time that this host waits.
    if (host.isGranting && !host.isOnlyGrantingHost && state.hosts.every(other => !other.isGranting || other.claimRevision >= host.claimRevision)) events.push({ type: 'finish-wait', host: index })
    if (state.faults < faults && host !== idleHost) events.push({ type: 'restart', host: index })
    state.hosts.forEach((other, to) => {
      if (to === index) return
      if (other.isGranting && host.knownClaimRevision > 0 && state.reports[index * hostCount + to] !== host.knownClaimRevision) events.push({ type: 'report', host: index, to })
      if (state.reports[index * hostCount + to] !== 0) events.push({ type: 'deliver', host: index, to })
    })
  })
  return events
}

function isUpToDate (state: TakeoverState, host: TakeoverHost): boolean {
  return host.knownClaimRevision === state.revision && host.hasSeenNoLease === (state.leader < 0) && host.recordRevision === state.record.revision
}

function reduce (state: TakeoverState, event: TakeoverEvent, rules: TakeoverRules): TakeoverState {
  switch (event.type) {
    case 'expire-lease': return { ...state, leader: -1, faults: state.faults + 1 }
    case 'settle': return { ...state, record: { ...state.record, revision: state.record.revision + 1, unsettledHosts: 0 } }
    case 'read': return updateHost(state, event.host, host => ({ ...applyLaterClaim(host, state.revision, rules), hasSeenNoLease: state.leader < 0, recordRevision: state.record.revision }))
    case 'claim': return applyClaim(state, event.host, rules)
    case 'stop-granting': return updateHost(state, event.host, host => ({ ...host, isGranting: false, isOnlyGrantingHost: false }))
    case 'finish-wait': return updateHost(state, event.host, host => ({ ...host, isOnlyGrantingHost: true, unsettledHosts: 0 }))
    case 'restart': return { ...updateHost(state, event.host, () => idleHost), faults: state.faults + 1 }
    case 'report': return setReport(state, event.host, event.to, state.hosts[event.host]?.knownClaimRevision ?? 0)
    case 'deliver': return deliver(state, event.host, event.to, rules)
  }
}

function updateHost (state: TakeoverState, index: number, change: (host: TakeoverHost) => TakeoverHost): TakeoverState {
  return { ...state, hosts: state.hosts.map((host, hostIndex) => hostIndex === index ? change(host) : host) }
}

function setReport (state: TakeoverState, from: number, to: number, knownClaimRevision: number): TakeoverState {
  return { ...state, reports: state.reports.map((value, reportIndex) => reportIndex === from * hostCount + to ? knownClaimRevision : value) }
}

/** Records a claim revision; a host that learns of a later claim than its own stops granting. */
function applyLaterClaim (host: TakeoverHost, knownClaimRevision: number, rules: TakeoverRules): TakeoverHost {
  if (knownClaimRevision <= host.knownClaimRevision) return host
  const stops = host.isGranting && knownClaimRevision > host.claimRevision && rules.stopsOnLaterClaim
  return { ...host, knownClaimRevision, isGranting: host.isGranting && !stops, isOnlyGrantingHost: host.isOnlyGrantingHost && !stops, hasSeenNoLease: false }
}

function applyClaim (state: TakeoverState, index: number, rules: TakeoverRules): TakeoverState {
  const claimant = state.hosts[index] ?? idleHost
  if (rules.comparesRecord && claimant.recordRevision !== state.record.revision) return updateHost(state, index, host => ({ ...host, hasSeenNoLease: false }))
  const revision = state.revision + 1
  // Without the comparison, the claimant may have read an earlier record, and the hosts of the current one are lost.
  const isRead = claimant.recordRevision === state.record.revision && state.record.revision > 0
  const unsettledHosts = isRead ? rules.listUnsettledHosts(state.record) & ~(1 << index) : 0
  const leading: TakeoverHost = { isGranting: true, claimRevision: revision, knownClaimRevision: revision, hasSeenNoLease: false, recordRevision: state.record.revision + 1, unsettledHosts, isOnlyGrantingHost: unsettledHosts === 0 }
  return {
    ...updateHost(state, index, () => leading),
    leader: index,
    revision,
    record: { revision: state.record.revision + 1, host: index, unsettledHosts }
  }
}

function deliver (state: TakeoverState, from: number, to: number, rules: TakeoverRules): TakeoverState {
  const knownClaimRevision = state.reports[from * hostCount + to] ?? 0
  const delivered = setReport(state, from, to, 0)
  return updateHost(delivered, to, receiver => {
    const host = applyLaterClaim(receiver, knownClaimRevision, rules)
    if (!host.isGranting || !rules.isProofOfStop(knownClaimRevision, host.claimRevision)) return host
    const unsettledHosts = host.unsettledHosts & ~(1 << from)
    return { ...host, unsettledHosts, isOnlyGrantingHost: host.isOnlyGrantingHost || unsettledHosts === 0 }
  })
}
