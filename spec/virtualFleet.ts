import type { ControllerEffect, ControllerEvent, ControllerRecord, ControllerState } from '../src/core/controller/controllerState.js'
import type { HostStatus } from '../src/core/domain/hostList.js'
import type { Refusal } from '../src/core/domain/outcome.js'
import type { Rank } from '../src/core/domain/rank.js'
import type { RouterEffect } from '../src/core/router/routerEffects.js'
import type { DispatchResult, RouterEvent, StoreRecord } from '../src/core/router/routerEvents.js'
import type { RouterRules } from '../src/core/router/rules.js'
import type { RouterState } from '../src/core/router/routerState.js'
import type { CallerRecord } from '../src/load/callerRecord.js'
import type { BackendEffect, BackendEvent, BackendState, RunRecord } from '../src/standins/backendReducer.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { EventQueue } from './eventQueue.js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { buildControllerRules, buildControllerState, buildRouterState, reduceController, reduceRouter } from '../src/core/index.js'
import { buildDocumentText, formatServiceHost } from '../src/demo/documentTemplate.js'
import { parseDocument } from '../src/protocol/documentText.js'
import { buildBackendState, reduceBackend } from '../src/standins/backendReducer.js'
import { createEventQueue, runUntil, scheduleIn } from './eventQueue.js'

/** The production reducers of routers and a controller, and the reducer of the stand-in backend servers, on a virtual clock with a simulated network and store. */
export type VirtualFleet = EventQueue & {
  random: RandomGenerator
  routers: Map<string, VirtualRouter>
  backends: Map<string, VirtualBackend>
  controller: { state: ControllerState, isAlive: boolean }
  store: VirtualStore
  hosts: Map<string, HostStatus>
  cutLinks: Set<string>
  messageLossShare: number
  callers: Map<string, CallerRecord & { isSettled: boolean, router: string }>
  forwards: Map<string, { origin: string, id: string, peer: string }>
  currentForwardIds: Map<string, string>
  dispatches: Map<string, VirtualDispatch>
  hashKey: (key: string) => number
  rules: RouterRules
  documentText: string
  requestCount: number
}

/** A router; events that reach it while it is paused are queued in order. */
type VirtualRouter = { state: RouterState, isAlive: boolean, pausedUntil: number, pendingEvents: RouterEvent[], zone: string }
type VirtualBackend = { state: BackendState, isAlive: boolean, port: number, records: RunRecord[], bootCount: number, checksGrants: boolean }
type VirtualStore = { isDown: boolean, revision: number, records: Map<string, { modRevision: number, record: ControllerRecord }> }
type VirtualDispatch = { router: string, id: string, attempt: number, backend: string, isOpen: boolean }

/** Size of a virtual fleet: routers, backend servers that check grants and those that do not, and the random seed. */
export type VirtualOptions = { routers: number, checkingBackends: number, nonCheckingBackends: number, seed: number }

const tickMs = 20
const controllerTickMs = 100
const workMs = 2
const silenceTimeoutMs = 250
const zones = ['tbilisi-1', 'imereti-1', 'adjara-1', 'tbilisi-2', 'imereti-2', 'adjara-2']

/** Builds a virtual fleet and runs it until its first assignments are in force. */
export function createVirtualFleet (options: VirtualOptions, rules: RouterRules): VirtualFleet {
  const fleet: VirtualFleet = {
    ...createEventQueue(),
    now: 1000,
    random: xoroshiro128plus(options.seed),
    routers: new Map(),
    backends: new Map(),
    controller: { state: buildControllerState('controller'), isAlive: true },
    store: { isDown: false, revision: 0, records: new Map() },
    hosts: new Map(),
    cutLinks: new Set(),
    messageLossShare: 0,
    callers: new Map(),
    forwards: new Map(),
    currentForwardIds: new Map(),
    dispatches: new Map(),
    hashKey: rules.hashKey,
    rules,
    documentText: '',
    requestCount: 0
  }
  addBackends(fleet, options)
  writeDocument(fleet, 1)
  for (let index = 0; index < options.routers; index++) addRouter(fleet, `router-${index + 1}`, zones[index % zones.length] ?? '')
  postController(fleet, { kind: 'leadership-changed', now: 0, leading: true })
  scheduleControllerTick(fleet)
  advance(fleet, 3000)
  return fleet
}

function addBackends (fleet: VirtualFleet, options: VirtualOptions): void {
  const documentBackends = []
  for (let index = 0; index < options.checkingBackends + options.nonCheckingBackends; index++) {
    const checksGrants = index < options.checkingBackends
    const name = checksGrants ? `cat-${index + 1}` : `book-${index + 1 - options.checkingBackends}`
    const port = 9001 + index
    fleet.backends.set(name, { state: buildBackendState(name, `${name}-1`, checksGrants, 4), isAlive: true, port, records: [], bootCount: 1, checksGrants })
    documentBackends.push({ name, address: `10.0.0.1:${port}`, service: checksGrants ? 'catalogue' : 'bookings', zone: zones[index % 3] ?? '' })
  }
  fleet.documentText = buildDocumentText(documentBackends)
}

/** Writes the document of the fleet's team to the store under a revision. */
export function writeDocument (fleet: VirtualFleet, revision: number): void {
  const parsed = parseDocument(fleet.documentText, revision)
  if (parsed.kind === 'valid') writeRecord(fleet, 'fulmar/documents/demo', { kind: 'document', document: parsed.value })
}

/** Starts a router under a new instance name. */
export function addRouter (fleet: VirtualFleet, name: string, zone: string): void {
  fleet.routers.set(name, { state: buildRouterState(name, zone), isAlive: true, pausedUntil: 0, pendingEvents: [], zone })
  const registration = { router: name, address: `10.1.0.${fleet.routers.size}:1`, adminAddress: '', zone }
  writeRecord(fleet, `fulmar/routers/${name}`, { kind: 'registration', registration })
  for (const { record } of fleet.store.records.values()) sendRecord(fleet, name, record)
  scheduleTick(fleet, name)
}

/** Schedules a callback after a delay of virtual time. */
export function schedule (fleet: VirtualFleet, delayMs: number, run: () => void): void {
  scheduleIn(fleet, delayMs, run)
}

/** Advances virtual time and runs what is due. */
export function advance (fleet: VirtualFleet, ms: number): void {
  runUntil(fleet, fleet.now + ms)
}

function computeLatency (fleet: VirtualFleet): number {
  return 0.5 + uniformFloat64(fleet.random) * 2
}

function scheduleTick (fleet: VirtualFleet, name: string): void {
  schedule(fleet, tickMs, () => {
    const router = fleet.routers.get(name)
    if (router?.isAlive !== true) return
    postRouter(fleet, name, { kind: 'tick', now: 0 })
    scheduleTick(fleet, name)
  })
}

function scheduleControllerTick (fleet: VirtualFleet): void {
  schedule(fleet, controllerTickMs, () => {
    postController(fleet, { kind: 'tick', now: 0 })
    postController(fleet, { kind: 'hosts-listed', now: 0, hosts: new Map(fleet.hosts) })
    for (const name of fleet.routers.keys()) postRouter(fleet, name, { kind: 'hosts-listed', now: 0, hosts: new Map(fleet.hosts) })
    scheduleControllerTick(fleet)
  })
}

/** Posts an event to a router, now or when its pause ends. */
export function postRouter (fleet: VirtualFleet, name: string, event: RouterEvent): void {
  const router = fleet.routers.get(name)
  if (router === undefined || !router.isAlive) return
  if (router.pausedUntil > fleet.now || router.pendingEvents.length > 0) {
    router.pendingEvents.push(event)
    if (router.pendingEvents.length === 1) schedule(fleet, router.pausedUntil - fleet.now, () => resumeRouter(fleet, name))
    return
  }
  const step = reduceRouter(router.state, { ...event, now: fleet.now }, fleet.rules)
  router.state = step.state
  for (const effect of step.effects) runRouterEffect(fleet, name, effect)
}

/** Posts the events that were queued while a router was paused. */
export function resumeRouter (fleet: VirtualFleet, name: string): void {
  const router = fleet.routers.get(name)
  if (router === undefined) return
  const pendingEvents = router.pendingEvents
  router.pendingEvents = []
  for (const event of pendingEvents) postRouter(fleet, name, event)
}

function isLinkCut (fleet: VirtualFleet, from: string, to: string): boolean {
  return fleet.cutLinks.has(`${from} ${to}`)
}

function runRouterEffect (fleet: VirtualFleet, name: string, effect: RouterEffect): void {
  switch (effect.kind) {
    case 'send-control': {
      if (isLinkCut(fleet, name, effect.to) || uniformFloat64(fleet.random) < fleet.messageLossShare) return
      const copies = uniformFloat64(fleet.random) < fleet.messageLossShare ? 2 : 1
      const message = structuredClone(effect.message)
      for (let copy = 0; copy < copies; copy++) {
        const delay = computeLatency(fleet) * (copy === 1 ? 100 : 1)
        schedule(fleet, delay, () => postRouter(fleet, effect.to, { kind: 'control-received', now: 0, from: name, message: structuredClone(message) }))
      }
      return
    }
    case 'send-grants': return sendGrants(fleet, name, effect)
    case 'forward': return runForward(fleet, name, effect)
    case 'dispatch': return runDispatch(fleet, name, effect)
    case 'refuse': return refuse(fleet, name, effect.id, effect.refusal)
    case 'cancel-forward': return cancelForward(fleet, effect.id)
    case 'cancel-dispatch': return cancelDispatch(fleet, name, effect.id)
    case 'report': {
      const report = structuredClone(effect.report)
      schedule(fleet, computeLatency(fleet), () => postController(fleet, { kind: 'report-received', now: 0, report }))
      return
    }
    case 'close-callers': return schedule(fleet, 0, () => postRouter(fleet, name, { kind: 'callers-closed', now: 0 }))
    case 'unregister': {
      dropRecord(fleet, `fulmar/routers/${name}`, { kind: 'registration-removed', router: name })
      return schedule(fleet, computeLatency(fleet), () => postRouter(fleet, name, { kind: 'unregistered', now: 0 }))
    }
    case 'end-peers': return schedule(fleet, computeLatency(fleet), () => postRouter(fleet, name, { kind: 'peers-ended', now: 0 }))
    case 'stop': {
      const router = fleet.routers.get(name)
      if (router !== undefined) router.isAlive = false
    }
  }
}

function sendGrants (fleet: VirtualFleet, name: string, effect: Extract<RouterEffect, { kind: 'send-grants' }>): void {
  const { backend: id, sentAt, usableUntil, notAfter } = effect
  const backendName = id.slice(id.indexOf('/') + 1)
  const backend = fleet.backends.get(backendName)
  const reply = (event: RouterEvent & { kind: 'grants-replied' }) => schedule(fleet, computeLatency(fleet), () => postRouter(fleet, name, event))
  const commonFields = { kind: 'grants-replied' as const, now: 0, backend: id, sentAt, usableUntil, notAfter }
  if (backend === undefined || !backend.isAlive) {
    reply({ ...commonFields, reply: { kind: 'connection-refused' } })
    return
  }
  const { holder, holderEpoch, boot, set, units, excludes } = effect
  const message = { holder, holderEpoch, boot, notAfter, set, units, excludes }
  let isAnswered = false
  schedule(fleet, computeLatency(fleet), () => {
    const event: BackendEvent = effect.checksGrants
      ? { kind: 'grant', now: fleet.now, id: `g${fleet.lastSequence}`, message }
      : { kind: 'health', now: fleet.now, id: `g${fleet.lastSequence}` }
    postBackend(fleet, backendName, event, answer => {
      isAnswered = true
      if (answer.kind === 'reply-health') reply({ ...commonFields, reply: { kind: 'alive' } })
      if (answer.kind !== 'reply-grant') return
      const { result, boot: answerBoot, clock, set: answerSet } = answer.answer
      reply({ ...commonFields, reply: { kind: result, boot: answerBoot, clock, set: answerSet } })
    })
  })
  schedule(fleet, 200, () => {
    if (!isAnswered) postRouter(fleet, name, { ...commonFields, reply: { kind: 'failed' } })
  })
}

const effectCallbacks = new WeakMap<BackendState, Map<string, (effect: BackendEffect) => void>>()

/** Posts an event to a backend server; `onEffect` receives the effect that answers it. */
export function postBackend (fleet: VirtualFleet, name: string, event: BackendEvent, onEffect?: (effect: BackendEffect) => void): void {
  const backend = fleet.backends.get(name)
  if (backend === undefined || !backend.isAlive) return
  const callbacks = effectCallbacks.get(backend.state) ?? new Map<string, (effect: BackendEffect) => void>()
  effectCallbacks.set(backend.state, callbacks)
  if (onEffect !== undefined && 'id' in event) callbacks.set(event.id, onEffect)
  const state = backend.state
  const step = reduceBackend(state, event)
  for (const effect of step.effects) {
    if (effect.kind === 'start-work') {
      schedule(fleet, effect.workMs, () => {
        if (backend.state === state) postBackend(fleet, name, { kind: 'work-done', now: fleet.now, id: effect.id, bytes: 0 })
      })
      continue
    }
    callbacks.get(effect.id)?.(effect)
    callbacks.delete(effect.id)
  }
}

function runForward (fleet: VirtualFleet, name: string, effect: Extract<RouterEffect, { kind: 'forward' }>): void {
  fleet.lastSequence += 1
  const egressId = `${effect.id}@${fleet.lastSequence}`
  fleet.forwards.set(egressId, { origin: name, id: effect.id, peer: effect.peer })
  fleet.currentForwardIds.set(effect.id, egressId)
  const peer = fleet.routers.get(effect.peer)
  if (peer?.isAlive !== true) {
    const refusal: Refusal = { outcome: 'not-run', reason: 'peer-unreachable' }
    schedule(fleet, 1, () => refuseForward(fleet, egressId, refusal))
    schedule(fleet, 1, () => postRouter(fleet, name, { kind: 'peer-down', now: 0, router: effect.peer }))
    return
  }
  if (isLinkCut(fleet, name, effect.peer)) {
    schedule(fleet, silenceTimeoutMs, () => {
      if (isLinkCut(fleet, name, effect.peer)) postRouter(fleet, name, { kind: 'peer-down', now: 0, router: effect.peer })
    })
    return
  }
  const request = { ...effect.request }
  schedule(fleet, computeLatency(fleet), () => postRouter(fleet, effect.peer, { kind: 'peer-request', now: 0, id: egressId, request }))
  schedule(fleet, silenceTimeoutMs, () => {
    const isSilent = peer.pausedUntil > fleet.now || isLinkCut(fleet, effect.peer, name)
    if (isSilent && fleet.currentForwardIds.get(effect.id) === egressId) postRouter(fleet, name, { kind: 'peer-down', now: 0, router: effect.peer })
  })
}

/** Ends a forwarded request with a refusal if it is still the current attempt of its request. */
export function refuseForward (fleet: VirtualFleet, egressId: string, refusal: Refusal): void {
  const forward = fleet.forwards.get(egressId)
  if (forward === undefined || fleet.currentForwardIds.get(forward.id) !== egressId) return
  if (isLinkCut(fleet, forward.peer, forward.origin)) return
  fleet.forwards.delete(egressId)
  fleet.currentForwardIds.delete(forward.id)
  postRouter(fleet, forward.origin, { kind: 'forward-refused', now: 0, id: forward.id, peer: forward.peer, refusal })
}

function cancelForward (fleet: VirtualFleet, id: string): void {
  const egressId = fleet.currentForwardIds.get(id)
  if (egressId === undefined) return
  fleet.currentForwardIds.delete(id)
  const peer = fleet.forwards.get(egressId)?.peer ?? ''
  schedule(fleet, computeLatency(fleet), () => postRouter(fleet, peer, { kind: 'peer-canceled', now: 0, id: egressId }))
}

function refuse (fleet: VirtualFleet, name: string, id: string, refusal: Refusal): void {
  const caller = fleet.callers.get(id)
  if (caller === undefined) {
    schedule(fleet, computeLatency(fleet), () => refuseForward(fleet, id, refusal))
    return
  }
  if (caller.isSettled) return
  caller.isSettled = true
  caller.endedAt = fleet.now
  caller.outcome = refusal.outcome === 'not-run' ? 'refused-not-run' : 'unknown'
  caller.reason = refusal.reason
}

function runDispatch (fleet: VirtualFleet, name: string, effect: Extract<RouterEffect, { kind: 'dispatch' }>): void {
  const { id, attempt, target } = effect
  const key = `${name} ${id}`
  const record: VirtualDispatch = { router: name, id, attempt, backend: target.backend, isOpen: true }
  fleet.dispatches.set(key, record)
  const endDispatch = (result: DispatchResult) => {
    if (!record.isOpen) return
    record.isOpen = false
    postRouter(fleet, name, { kind: 'dispatch-ended', now: 0, id, attempt, result })
  }
  const backend = fleet.backends.get(target.backend)
  if (backend?.isAlive !== true) {
    schedule(fleet, 1, () => endDispatch('connect-failed'))
    return
  }
  const backendState = backend.state
  const callerId = fleet.forwards.get(id)?.id ?? id
  const request = {
    requestId: callerId,
    host: target.service,
    key: target.key,
    unit: target.unit,
    epoch: target.epoch,
    holderEpoch: target.holderEpoch,
    deadline: target.deadlineAt,
    workMs
  }
  schedule(fleet, Math.max(1, target.deadlineAt - fleet.now), () => endDispatch('deadline'))
  schedule(fleet, computeLatency(fleet), () => {
    if (backend.state !== backendState || !backend.isAlive) {
      endDispatch('failed-after-send')
      return
    }
    fleet.lastSequence += 1
    postBackend(fleet, target.backend, { kind: 'request', now: fleet.now, wall: fleet.now, id: `x${fleet.lastSequence}`, request }, answer => {
      schedule(fleet, computeLatency(fleet), () => {
        if (!record.isOpen || fleet.routers.get(name)?.isAlive !== true) return
        if (answer.kind === 'refuse') endDispatch(answer.reason === 'fenced' ? 'fenced' : 'shed')
        if (answer.kind !== 'reply') return
        endDispatch('answered')
        answerCaller(fleet, name, id)
      })
    })
  })
}

function answerCaller (fleet: VirtualFleet, holder: string, id: string): void {
  const forward = fleet.forwards.get(id)
  const origin = forward?.origin ?? holder
  const callerId = forward?.id ?? id
  if (forward !== undefined && fleet.currentForwardIds.get(callerId) !== id) return
  if (isLinkCut(fleet, holder, origin)) return
  if (fleet.routers.get(origin)?.isAlive !== true) return
  const caller = fleet.callers.get(callerId)
  if (caller === undefined || caller.isSettled) return
  caller.isSettled = true
  caller.outcome = 'answered'
  caller.endedAt = fleet.now
  postRouter(fleet, origin, { kind: 'answer-started', now: 0, id: callerId })
  postRouter(fleet, origin, { kind: 'answer-finished', now: 0, id: callerId, result: 'complete' })
}

function cancelDispatch (fleet: VirtualFleet, name: string, id: string): void {
  const record = fleet.dispatches.get(`${name} ${id}`)
  if (record === undefined || !record.isOpen) return
  record.isOpen = false
  postRouter(fleet, name, { kind: 'dispatch-ended', now: 0, id, attempt: record.attempt, result: 'canceled' })
}

function postController (fleet: VirtualFleet, event: ControllerEvent): void {
  const { controller } = fleet
  if (!controller.isAlive) return
  const step = reduceController(controller.state, { ...event, now: fleet.now }, buildControllerRules(fleet.hashKey))
  controller.state = step.state
  for (const effect of step.effects) runControllerEffect(fleet, effect)
}

function runControllerEffect (fleet: VirtualFleet, effect: ControllerEffect): void {
  if (effect.kind === 'delete-registration') {
    dropRecord(fleet, `fulmar/routers/${effect.router}`, { kind: 'registration-removed', router: effect.router })
    return
  }
  if (effect.kind !== 'write-assignment' && effect.kind !== 'write-fleet') return
  const record: StoreRecord = effect.kind === 'write-fleet'
    ? { kind: 'fleet', fleet: structuredClone(effect.fleet) }
    : { kind: 'assignment', assignment: structuredClone(effect.assignment) }
  if (fleet.store.isDown) return
  const modRevision = fleet.store.records.get(effect.key)?.modRevision ?? 0
  if (modRevision === effect.expected) writeRecord(fleet, effect.key, record)
}

function writeRecord (fleet: VirtualFleet, key: string, record: ControllerRecord): void {
  fleet.store.revision += 1
  const modRevision = fleet.store.revision
  fleet.store.records.set(key, { modRevision, record })
  const propagate = () => {
    if (fleet.store.isDown) {
      schedule(fleet, silenceTimeoutMs, propagate)
      return
    }
    postController(fleet, { kind: 'record-changed', now: 0, key, modRevision, record: structuredClone(record) })
    for (const name of fleet.routers.keys()) sendRecord(fleet, name, record)
  }
  schedule(fleet, computeLatency(fleet), propagate)
}

function dropRecord (fleet: VirtualFleet, key: string, record: ControllerRecord): void {
  if (!fleet.store.records.has(key)) return
  writeRecord(fleet, key, record)
  fleet.store.records.delete(key)
}

function sendRecord (fleet: VirtualFleet, name: string, record: ControllerRecord): void {
  if (record.kind === 'registration' || record.kind === 'registration-removed') return
  const copy = structuredClone(record)
  schedule(fleet, computeLatency(fleet), () => postRouter(fleet, name, { kind: 'store-changed', now: 0, record: copy }))
}

/** Sends a caller's request to a router, and returns its id. */
export function sendRequest (fleet: VirtualFleet, router: string, service: string, rank: Rank, key: string): string {
  fleet.requestCount += 1
  const id = `${router}-${fleet.requestCount}`
  const routes = { lookup: ['GET', `/items/${key}`], confirmation: ['POST', `/orders/${key}`], upload: ['PUT', `/photos/${key}`] } as const
  const [method, path] = routes[rank]
  const isAlive = fleet.routers.get(router)?.isAlive === true
  fleet.callers.set(id, {
    requestId: id,
    rank,
    key,
    idempotent: rank === 'lookup',
    sentAt: fleet.now,
    endedAt: fleet.now,
    outcome: isAlive ? 'unknown' : 'refused-not-run',
    reason: isAlive ? 'no answer' : 'no router',
    hasWrongContent: false,
    isSettled: !isAlive,
    router
  })
  const request = { host: formatServiceHost(service), method, path, headers: {}, replayable: true }
  postRouter(fleet, router, { kind: 'caller-request', now: 0, id, request })
  return id
}

/** Lists the requests that ran on backend servers, including those before a restart. */
export function listRuns (fleet: VirtualFleet): RunRecord[] {
  return [...fleet.backends.values()].flatMap(backend => backend.isAlive ? [...backend.records, ...backend.state.records] : backend.records)
}

/** Lists the records of all callers. */
export function listCallers (fleet: VirtualFleet): CallerRecord[] {
  return [...fleet.callers.values()]
}
