import type { ControlMessage } from '../domain/control.js'
import type { Refusal } from '../domain/outcome.js'
import type { Step } from '../step.js'
import type { RouterEffect } from './routerEffects.js'
import type { RouterEvent } from './routerEvents.js'
import type { RouterRules } from './rules.js'
import type { RouterState } from './routerState.js'
import { acceptRequest, tickBackend } from './dispatch.js'
import { cancelRequest, endDispatch } from './dispatchEnd.js'
import { advanceDrain, handleCallersClosed, handlePeersEnded, handleUnregistered, startDrain } from './drain.js'
import { applyGrantReply, renewGrants } from './grants.js'
import { advanceHandoffs } from './handoffAdvance.js'
import { retryLossAndLeaveHandoffs, retryWantedMoves } from './wantedMoves.js'
import { applyAssume, applyAssumeReply } from './handoffAssume.js'
import { advanceHolderMoves, applyHolderMoved, applyHolderMovedReply } from './holderMove.js'
import { applyHosts } from './hosts.js'
import { applyCallerRequest, applyIngressRefusal, applyPeerRefusal, cancelCaller, endAnswer, retryForwarded, retryWaiting, startAnswer, tickIngress } from './ingress.js'
import { applyRenewReply, renewLease, handleLeaseChange } from './lease.js'
import { applyRecord } from './records.js'
import { sendReportIfDue } from './report.js'
import { applyClaim, applyClaimReply, applyRenew, applyResign, tickGuardedPeers } from './guardedPeers.js'

/** Applies one event to the state of a router and returns the effects; every decision of a router is made here. */
export function reduceRouter (state: RouterState, event: RouterEvent, rules: RouterRules): Step<RouterState, RouterEffect> {
  state.now = Math.max(state.now, event.now)
  const effects = applyEvent(state, event, rules)
  for (let refused = state.holderRefusals.shift(); refused !== undefined; refused = state.holderRefusals.shift()) {
    effects.push(...handleRefusal(state, refused, rules))
  }
  return { state, effects }
}

/** Passes a refusal of this holder on: to the ingress of this router, or to the peer that forwarded the request. */
function handleRefusal (state: RouterState, refused: { id: string, refusal: Refusal }, rules: RouterRules): RouterEffect[] {
  const { id, refusal } = refused
  if (state.ingress.has(id)) return applyIngressRefusal(state, id, refusal, rules)
  return [
    { kind: 'count', count: { metric: 'refusals', reason: refusal.reason, outcome: refusal.outcome } },
    { kind: 'refuse', id, refusal }
  ]
}

function applyEvent (state: RouterState, event: RouterEvent, rules: RouterRules): RouterEffect[] {
  switch (event.kind) {
    case 'caller-request': return applyCallerRequest(state, event, rules)
    case 'peer-request': return acceptRequest(state, event.id, event.request, rules)
    case 'dispatch-ended': return endDispatch(state, event.id, event.attempt, event.result, rules)
    case 'answer-started': {
      startAnswer(state, event.id)
      return []
    }
    case 'answer-finished': return endAnswer(state, event.id, event.result)
    case 'forward-refused': return applyPeerRefusal(state, event, rules)
    case 'caller-gone': return cancelCaller(state, event.id)
    case 'peer-canceled': return cancelRequest(state, event.id)
    case 'tick': return applyTick(state, rules)
    case 'grants-replied': return applyGrantReply(state, event, rules)
    case 'control-received': return applyControl(state, event.from, event.message, rules)
    case 'store-changed': return [...applyRecord(state, event.record, rules), ...renewLease(state)]
    case 'hosts-listed': return applyHosts(state, event.hosts, rules)
    case 'peer-up': return applyPeerStatus(state, event.router, 'up', rules)
    case 'peer-down': return applyPeerStatus(state, event.router, 'down', rules)
    case 'drain-requested': return startDrain(state)
    case 'callers-closed': return handleCallersClosed(state)
    case 'unregistered': return handleUnregistered(state)
    case 'peers-ended': return handlePeersEnded(state)
  }
}

function applyPeerStatus (state: RouterState, router: string, status: 'up' | 'down', rules: RouterRules): RouterEffect[] {
  if (state.peers.get(router) === status) return []
  state.peers.set(router, status)
  retryWaiting(state)
  const effects: RouterEffect[] = [{ kind: 'log', event: status === 'up' ? 'peerUp' : 'peerDown', fields: { router } }]
  if (status === 'down') effects.push(...retryForwarded(state, router, rules))
  return effects
}

function applyTick (state: RouterState, rules: RouterRules): RouterEffect[] {
  const effects = [
    ...renewLease(state),
    ...handleLeaseChange(state, rules),
    ...tickGuardedPeers(state, rules),
    ...retryWantedMoves(state, rules),
    ...retryLossAndLeaveHandoffs(state, rules),
    ...renewGrants(state, rules),
    ...advanceHandoffs(state, rules),
    ...advanceHolderMoves(state, rules)
  ]
  for (const backend of state.backends.values()) effects.push(...tickBackend(state, backend, rules))
  effects.push(...tickIngress(state, rules))
  effects.push(...sendReportIfDue(state))
  effects.push(...advanceDrain(state, rules))
  return effects
}

function applyControl (state: RouterState, from: string, message: ControlMessage, rules: RouterRules): RouterEffect[] {
  const effects = applyMessage(state, from, message, rules)
  effects.push(...handleLeaseChange(state, rules))
  effects.push(...advanceHandoffs(state, rules))
  effects.push(...advanceHolderMoves(state, rules))
  effects.push(...renewLease(state))
  return effects
}

function applyMessage (state: RouterState, from: string, message: ControlMessage, rules: RouterRules): RouterEffect[] {
  switch (message.kind) {
    case 'renew': return applyRenew(state, message)
    case 'renew-reply': {
      applyRenewReply(state, message)
      return tickGuardedPeers(state, rules)
    }
    case 'claim': return applyClaim(state, from, message, rules)
    case 'claim-reply': return applyClaimReply(state, message, rules)
    case 'assume': return applyAssume(state, from, message, rules)
    case 'assume-reply': return applyAssumeReply(state, message, rules)
    case 'resign': return applyResign(state, message, rules)
    case 'holder-moved': return applyHolderMoved(state, from, message)
    case 'holder-moved-reply': return applyHolderMovedReply(state, message)
  }
}
