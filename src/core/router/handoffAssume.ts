import type { ControlMessage, UnitEpoch } from '../domain/control.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { controlResendMs } from '../limits.js'
import { sendQueued } from './dispatch.js'
import { buildGrantMessage } from './grantMessage.js'
import { addToJournal } from './journal.js'
import { findUnit, formatBackendId, formatUnitId, resolveHolder } from './ownership.js'
import { startHandoff } from './handoff.js'

type Assume = Extract<ControlMessage, { kind: 'assume' }>

type AssumeReply = Extract<ControlMessage, { kind: 'assume-reply' }>

/** Asks the new owners' holders to take over units, in one message per source, target and list of owners to avoid. */
export function sendAssumeMessages (state: RouterState, rules: RouterRules): RouterEffect[] {
  const batches = new Map<string, Assume>()
  for (const handoff of state.handoffs.values()) {
    if (handoff.phase !== 'assuming' || state.now < handoff.nextSendAt) continue
    handoff.nextSendAt = state.now + controlResendMs
    const { service, from, to, avoid } = handoff
    const id = [service, from, to, ...avoid].join(' ')
    const batch: Assume = batches.get(id) ?? { kind: 'assume', service, from, to, units: [], avoid }
    batch.units.push({ unit: handoff.unit, epoch: handoff.epoch })
    batches.set(id, batch)
  }
  return [...batches.values()].flatMap(batch => sendAssumeMessage(state, batch, rules))
}

function sendAssumeMessage (state: RouterState, message: Assume, rules: RouterRules): RouterEffect[] {
  const holder = resolveHolder(state, message.service, message.to)
  if (holder === undefined) return []
  if (holder.router === state.self) {
    return [...takeOverUnits(state, message, rules), ...finishHandoffs(state, message.service, message.units, rules)]
  }
  const to = state.peers.get(holder.router) === 'down' ? findSuccessor(state, holder.router) : holder.router
  return [{ kind: 'send-control', to, message }]
}

/** Finds the successor of an unreachable router; returns the router itself if it has none. */
export function findSuccessor (state: RouterState, router: string): string {
  return state.fleet.routers.get(router)?.successor ?? router
}

/** Takes over units when this router holds their new owner; replies once a guardian has acknowledged the journal. */
export function applyAssume (state: RouterState, from: string, message: Assume, rules: RouterRules): RouterEffect[] {
  const { service, to, units } = message
  const holder = resolveHolder(state, service, to)
  const isValid = rules.isLeaseValid(state, state.now)
  if (holder?.router !== state.self || !isValid) {
    return [{ kind: 'send-control', to: from, message: { kind: 'assume-reply', service, to, units, outcome: 'not-holder' } }]
  }
  const effects = takeOverUnits(state, message, rules)
  const id = `${service} ${to} ${units.map(entry => `${entry.unit}@${entry.epoch}`).join(' ')}`
  state.pendingAssumes.set(id, { service, to, units, from, journalRevision: state.lease.journalRevision })
  return [...effects, ...answerPendingAssumes(state, rules)]
}

/** Journals the new owner of units and grants it the units; starts another handoff if it is lost or leaving. */
function takeOverUnits (state: RouterState, message: Assume, rules: RouterRules): RouterEffect[] {
  const { service, from, to } = message
  const assignment = state.assignments.get(service)
  const backend = state.backends.get(formatBackendId(service, to))
  if (assignment === undefined || backend === undefined) return []
  const isNewer = ({ unit, epoch }: UnitEpoch) => (findUnit(state, assignment, unit, false)?.epoch ?? -1) < epoch
  const newer = message.units.filter(isNewer)
  if (newer.length > 0) {
    addToJournal(state, newer.map(({ unit, epoch }) => ({ kind: 'unit', service, unit, from, to, epoch })))
  }
  backend.grant.isStale = true
  const effects: RouterEffect[] = [
    { kind: 'log', event: 'unitAssumed', fields: { service, from, to, units: message.units.length, news: newer.length } }
  ]
  if (backend.status === 'ready') effects.push(buildGrantMessage(state, backend))
  if (backend.status !== 'lost' && backend.status !== 'leaving') return effects
  for (const { unit } of message.units) {
    effects.push(...startHandoff(state, backend, unit, undefined, backend.status === 'lost', message.avoid, rules))
  }
  return effects
}

export function answerPendingAssumes (state: RouterState, rules: RouterRules): RouterEffect[] {
  const effects: RouterEffect[] = []
  for (const [id, pending] of state.pendingAssumes) {
    if (!rules.isJournalReplicated(state, pending.journalRevision)) continue
    state.pendingAssumes.delete(id)
    const { service, to, units, from } = pending
    effects.push({ kind: 'send-control', to: from, message: { kind: 'assume-reply', service, to, units, outcome: 'assumed' } })
  }
  return effects
}

/** Finishes handoffs whose units the new owner's holder has taken over. */
export function applyAssumeReply (state: RouterState, message: AssumeReply, rules: RouterRules): RouterEffect[] {
  if (message.outcome !== 'assumed') return []
  return finishHandoffs(state, message.service, message.units, rules)
}

export function finishHandoffs (
  state: RouterState,
  service: string,
  units: readonly UnitEpoch[],
  rules: RouterRules
): RouterEffect[] {
  const effects: RouterEffect[] = []
  const affectedBackends = new Set<string>()
  for (const { unit, epoch } of units) {
    const handoff = state.handoffs.get(formatUnitId(service, unit))
    if (handoff === undefined || handoff.epoch !== epoch || handoff.phase !== 'assuming') continue
    handoff.phase = 'done'
    affectedBackends.add(formatBackendId(service, handoff.from)).add(formatBackendId(service, handoff.to))
    const { from, to, startedAt } = handoff
    effects.push({ kind: 'log', event: 'handoffDone', fields: { service, unit, from, to, epoch, ms: Math.round(state.now - startedAt) } })
  }
  for (const id of affectedBackends) {
    const backend = state.backends.get(id)
    if (backend === undefined) continue
    backend.isRecheckDue = true
    effects.push(...sendQueued(state, backend, rules))
  }
  return effects
}
