import type { Specification } from './explore.js'

/**
 * Specification of exclusive ownership by grants: one key, two backend servers,
 * two hosts that may grant, and the store. Time advances in ticks. A server may
 * apply a grant late; the hold time counts from the arrival of the grant.
 */
export type GrantState = {
  servers: Server[]
  hosts: Host[]
  store: KeyRecord & { leader: number, remainingLeaseTicks: number }
  /** Grants that have arrived at a server and are not applied yet. */
  lateGrants: Array<{ to: number, fence: number, remainingTicks: number }>
  /** Whether a server took the key while the other held it with the same or a higher fencing token. */
  isFenceOrderViolated: boolean
  faults: number
}

type Server = { remainingHoldTicks: number, highestFence: number }
type KeyRecord = { owner: number, previous: number, fence: number, isMoving: boolean }
type Host = {
  isLeading: boolean
  isPaused: boolean
  isCutFromStore: boolean
  /** Server that the host cannot reach, or -1. */
  unreachableServer: number
  /** Ticks since the store last confirmed the leadership of the host. */
  ticksSinceConfirmed: number
  /** Ticks since this host last sent a grant; after a takeover, since its predecessor may have. */
  ticksSinceGrant: number
  ticksSinceTakeover: number
  knownRecord: KeyRecord
  isReleased: boolean
}

/** Events of the specification. */
export type GrantEvent =
  | { type: 'tick' }
  | { type: 'claim' | 'renew-lease' | 'renew-grant' | 'renew-grant-late' | 'start-move' | 'release' | 'expire-hold' | 'grant-new-owner' | 'grant-new-owner-late' | 'confirm', host: number }
  | { type: 'apply-late', index: number }
  | { type: 'pause' | 'resume' | 'kill' | 'cut' | 'heal', host: number }
  | { type: 'lose-server' | 'reach-server', host: number, server: number }

const holdTicks = 2
const leaseTicks = 1
const maxUnconfirmedTicks = 2
/** Upper bound of the counted ages; higher ages count as equal. */
const maxAgeTicks = 6

/** Bounds of an exploration: maximum number of faults in one run, and the highest fencing token. */
export type GrantBounds = { maxFaults: number, maxFence: number }

/** Protocol decisions that mutants override. */
export type GrantRules = {
  /** Computes the fencing token of a move. */
  nextFence: (fence: number) => number
  /** Computes the fencing token of a release. */
  releaseFence: (knownRecord: KeyRecord) => number
  /** Whether every grant to the former owner has expired, so that the key may move without a release. */
  hasHoldExpired: (host: Host) => boolean
  /** Whether the host may grant the key to its new owner. */
  mayGrantNewOwner: (host: Host) => boolean
  /** Whether a host may still renew a grant. */
  mayRenew: (host: Host) => boolean
  /** Whether a host may start a move. */
  mayStartMove: (host: Host) => boolean
  /** Computes the ticks without confirmation that a host assumes after a pause. */
  ticksSinceConfirmedAfterPause: (ticksSinceConfirmed: number) => number
  /** Ticks since the last grant of its predecessor that a new leader assumes. */
  assumedTicksSinceGrant: number
  /** Chooses the record that a new leader continues from. */
  adoptRecord: (stored: KeyRecord, known: KeyRecord) => KeyRecord
  /** Whether the store accepts a move only from the current leader. */
  writesConditionally: boolean
  /** Whether a server refuses a grant below the highest fencing token that it has seen. */
  checksFence: boolean
  /** Whether the hold time of a late grant counts from its arrival rather than its application. */
  isHoldCountedFromArrival: boolean
  /** Whether a host stops leading when a renewal shows that it no longer owns the lease. */
  resignsOnLostLease: boolean
}

/** The correct protocol. */
export const grantRules: GrantRules = {
  nextFence: fence => fence + 1,
  releaseFence: knownRecord => knownRecord.fence,
  hasHoldExpired: host => host.ticksSinceGrant > holdTicks && host.ticksSinceTakeover > maxUnconfirmedTicks + holdTicks,
  mayGrantNewOwner: host => host.isReleased && host.ticksSinceConfirmed < leaseTicks,
  mayRenew: host => host.ticksSinceConfirmed <= maxUnconfirmedTicks,
  mayStartMove: host => host.ticksSinceConfirmed < leaseTicks,
  ticksSinceConfirmedAfterPause: () => maxAgeTicks,
  assumedTicksSinceGrant: 0,
  adoptRecord: stored => stored,
  writesConditionally: true,
  checksFence: true,
  isHoldCountedFromArrival: true,
  resignsOnLostLease: true
}

const initialRecord: KeyRecord = { owner: 0, previous: -1, fence: 1, isMoving: false }

function buildHost (): Host {
  return {
    isLeading: false, isPaused: false, isCutFromStore: false, unreachableServer: -1, ticksSinceConfirmed: maxAgeTicks, ticksSinceGrant: 0, ticksSinceTakeover: 0, knownRecord: initialRecord, isReleased: false
  }
}

const start: GrantState = {
  servers: [{ remainingHoldTicks: 0, highestFence: 1 }, { remainingHoldTicks: 0, highestFence: 0 }],
  hosts: [buildHost(), buildHost()],
  store: { ...initialRecord, leader: -1, remainingLeaseTicks: 0 },
  lateGrants: [],
  isFenceOrderViolated: false,
  faults: 0
}

/** Builds the specification with the given rules and bounds. */
export function buildGrantSpecification (rules: GrantRules, bounds: GrantBounds): Specification<GrantState, GrantEvent> {
  return {
    name: 'sole ownership by grants',
    start,
    listEvents: state => listEvents(state, rules, bounds),
    reduce: (state, event) => reduce(state, event, rules),
    invariants: {
      'at most one backend server holds the key': state => state.servers.filter(server => server.remainingHoldTicks > 0).length <= 1,
      'a key is taken with a fencing token above all others\'': state => !state.isFenceOrderViolated
    },
    isServed: state => !state.store.isMoving && (state.servers[state.store.owner]?.remainingHoldTicks ?? 0) > 0,
    isFault: event => ['pause', 'kill', 'cut', 'lose-server', 'renew-grant-late', 'grant-new-owner-late'].includes(event.type),
    serialize: state => JSON.stringify(state)
  }
}

function listEvents (state: GrantState, rules: GrantRules, bounds: GrantBounds): GrantEvent[] {
  const events: GrantEvent[] = [{ type: 'tick' }]
  state.lateGrants.forEach((_, index) => events.push({ type: 'apply-late', index }))
  state.hosts.forEach((host, index) => {
    const isFaultAllowed = state.faults < bounds.maxFaults
    if (host.isPaused) {
      events.push({ type: 'resume', host: index })
      return
    }
    if (isFaultAllowed) {
      if (host.isLeading) events.push({ type: 'pause', host: index }, { type: 'kill', host: index })
      if (!host.isCutFromStore && host.isLeading) events.push({ type: 'cut', host: index })
      if (host.isLeading && host.unreachableServer < 0) events.push({ type: 'lose-server', host: index, server: host.knownRecord.isMoving ? host.knownRecord.previous : host.knownRecord.owner })
    }
    if (host.isCutFromStore) events.push({ type: 'heal', host: index })
    if (host.unreachableServer >= 0) events.push({ type: 'reach-server', host: index, server: host.unreachableServer })
    if (!host.isLeading) {
      if (!host.isCutFromStore && state.store.leader < 0) events.push({ type: 'claim', host: index })
      return
    }
    if (!host.isCutFromStore) events.push({ type: 'renew-lease', host: index })
    events.push(...listLeaderEvents(state, host, index, rules, isFaultAllowed, bounds))
  })
  return events
}

function listLeaderEvents (state: GrantState, host: Host, index: number, rules: GrantRules, isFaultAllowed: boolean, bounds: GrantBounds): GrantEvent[] {
  const events: GrantEvent[] = []
  const { knownRecord } = host
  if (!knownRecord.isMoving && rules.mayRenew(host) && host.unreachableServer !== knownRecord.owner) {
    events.push({ type: 'renew-grant', host: index })
    if (isFaultAllowed && state.lateGrants.length < 1) events.push({ type: 'renew-grant-late', host: index })
  }
  const mayWrite = !host.isCutFromStore && (state.store.leader === index || !rules.writesConditionally)
  if (!knownRecord.isMoving && knownRecord.fence < bounds.maxFence && rules.mayStartMove(host) && mayWrite) events.push({ type: 'start-move', host: index })
  if (knownRecord.isMoving && !host.isReleased && host.unreachableServer !== knownRecord.previous) events.push({ type: 'release', host: index })
  if (knownRecord.isMoving && !host.isReleased && rules.hasHoldExpired(host)) events.push({ type: 'expire-hold', host: index })
  if (knownRecord.isMoving && rules.mayGrantNewOwner(host) && host.unreachableServer !== knownRecord.owner) {
    events.push({ type: 'grant-new-owner', host: index })
    if (isFaultAllowed && state.lateGrants.length < 1) events.push({ type: 'grant-new-owner-late', host: index })
  }
  if (knownRecord.isMoving && host.isReleased && mayWrite && (state.servers[knownRecord.owner]?.remainingHoldTicks ?? 0) > 0) events.push({ type: 'confirm', host: index })
  return events
}

function reduce (state: GrantState, event: GrantEvent, rules: GrantRules): GrantState {
  const withHost = (index: number, change: Partial<Host>): GrantState => {
    return { ...state, hosts: state.hosts.map((host, hostIndex) => hostIndex === index ? { ...host, ...change } : host) }
  }
  if (event.type === 'tick') return advanceTick(state)
  if (event.type === 'apply-late') {
    const grant = state.lateGrants[event.index]
    const remaining = { ...state, lateGrants: state.lateGrants.filter((_, index) => index !== event.index) }
    return grant === undefined ? remaining : applyGrant(remaining, grant.to, grant.fence, rules.isHoldCountedFromArrival ? grant.remainingTicks : holdTicks, rules)
  }
  const host = state.hosts[event.host]
  if (host === undefined) return state
  const { knownRecord } = host
  const addFault = (next: GrantState): GrantState => ({ ...next, faults: next.faults + 1 })
  switch (event.type) {
    case 'claim': {
      const next = withHost(event.host, {
        isLeading: true, ticksSinceConfirmed: 0, ticksSinceGrant: rules.assumedTicksSinceGrant, ticksSinceTakeover: 0, knownRecord: rules.adoptRecord(pickRecord(state.store), knownRecord), isReleased: false
      })
      return { ...next, store: { ...state.store, leader: event.host, remainingLeaseTicks: leaseTicks } }
    }
    case 'renew-lease': {
      if (state.store.leader !== event.host) return rules.resignsOnLostLease ? withHost(event.host, { isLeading: false, ticksSinceConfirmed: maxAgeTicks }) : withHost(event.host, { ticksSinceConfirmed: 0 })
      return { ...withHost(event.host, { ticksSinceConfirmed: 0 }), store: { ...state.store, remainingLeaseTicks: leaseTicks } }
    }
    case 'renew-grant': return applyGrant(withHost(event.host, { ticksSinceGrant: 0 }), knownRecord.owner, knownRecord.fence, holdTicks, rules)
    case 'renew-grant-late': return addFault({ ...withHost(event.host, { ticksSinceGrant: 0 }), lateGrants: [...state.lateGrants, { to: knownRecord.owner, fence: knownRecord.fence, remainingTicks: holdTicks }] })
    case 'start-move': {
      const record: KeyRecord = { owner: 1 - knownRecord.owner, previous: knownRecord.owner, fence: rules.nextFence(knownRecord.fence), isMoving: true }
      return { ...withHost(event.host, { knownRecord: record, isReleased: false }), store: { ...state.store, ...record } }
    }
    case 'release': return endGrant(withHost(event.host, { isReleased: true }), knownRecord.previous, rules.releaseFence(knownRecord))
    case 'expire-hold': return withHost(event.host, { isReleased: true })
    case 'grant-new-owner': return applyGrant(withHost(event.host, { ticksSinceGrant: 0 }), knownRecord.owner, knownRecord.fence, holdTicks, rules)
    case 'grant-new-owner-late': return addFault({ ...withHost(event.host, { ticksSinceGrant: 0 }), lateGrants: [...state.lateGrants, { to: knownRecord.owner, fence: knownRecord.fence, remainingTicks: holdTicks }] })
    case 'confirm': {
      const record = { ...knownRecord, previous: -1, isMoving: false }
      return { ...withHost(event.host, { knownRecord: record }), store: { ...state.store, ...record } }
    }
    case 'pause': return addFault(withHost(event.host, { isPaused: true }))
    case 'resume': return withHost(event.host, { isPaused: false, ticksSinceConfirmed: rules.ticksSinceConfirmedAfterPause(host.ticksSinceConfirmed) })
    case 'kill': return addFault(withHost(event.host, buildHost()))
    case 'cut': return addFault(withHost(event.host, { isCutFromStore: true }))
    case 'heal': return withHost(event.host, { isCutFromStore: false })
    case 'lose-server': return addFault(withHost(event.host, { unreachableServer: event.server }))
    case 'reach-server': return withHost(event.host, { unreachableServer: -1 })
  }
}

function pickRecord (record: KeyRecord): KeyRecord {
  return { owner: record.owner, previous: record.previous, fence: record.fence, isMoving: record.isMoving }
}

function advanceTick (state: GrantState): GrantState {
  const remainingLeaseTicks = Math.max(0, state.store.remainingLeaseTicks - 1)
  const age = (ticks: number) => Math.min(maxAgeTicks, ticks + 1)
  return {
    ...state,
    servers: state.servers.map(server => ({ ...server, remainingHoldTicks: Math.max(0, server.remainingHoldTicks - 1) })),
    lateGrants: state.lateGrants.map(grant => ({ ...grant, remainingTicks: Math.max(0, grant.remainingTicks - 1) })),
    store: { ...state.store, remainingLeaseTicks, leader: remainingLeaseTicks === 0 ? -1 : state.store.leader },
    hosts: state.hosts.map(host => {
      // The ages of a paused host do not advance: its monotonic clock may stand still.
      if (host.isPaused) return host
      return { ...host, ticksSinceConfirmed: age(host.ticksSinceConfirmed), ticksSinceGrant: age(host.ticksSinceGrant), ticksSinceTakeover: age(host.ticksSinceTakeover) }
    })
  }
}

function applyGrant (state: GrantState, to: number, fence: number, remainingTicks: number, rules: GrantRules): GrantState {
  const server = state.servers[to]
  if (server === undefined || (rules.checksFence && fence < server.highestFence)) return state
  const other = state.servers[1 - to]
  const isOrderViolated = server.remainingHoldTicks === 0 && remainingTicks > 0 && other !== undefined && other.remainingHoldTicks > 0 && fence <= other.highestFence
  const servers = state.servers.map((each, index) => index === to ? { remainingHoldTicks: remainingTicks, highestFence: Math.max(each.highestFence, fence) } : each)
  return { ...state, servers, isFenceOrderViolated: state.isFenceOrderViolated || isOrderViolated }
}

function endGrant (state: GrantState, from: number, fence: number): GrantState {
  return { ...state, servers: state.servers.map((server, index) => index === from ? { remainingHoldTicks: 0, highestFence: Math.max(server.highestFence, fence) } : server) }
}
