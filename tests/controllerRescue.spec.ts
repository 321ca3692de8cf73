import type { ControllerEvent, ControllerState } from '../src/core/controller/controllerState.js'
import test from 'ava'
import { buildControllerRules, buildControllerState, reduceController } from '../src/core/index.js'
import { buildDocumentText } from '../src/demo/documentTemplate.js'
import { maxGraceMs } from '../src/core/limits.js'
import { parseDocument } from '../src/protocol/documentText.js'
import { loadHashKey } from '../src/runtime/hashKey.js'

const names = ['router-1', 'router-2', 'router-3', 'router-4']
const service = 'demo.catalogue'
const hashKey = await loadHashKey()

function post (state: ControllerState, event: ControllerEvent) {
  return reduceController(state, event, buildControllerRules(hashKey)).effects
}

function report (state: ControllerState, router: string, now: number, draining = false): void {
  const common = { generation: router === 'router-1' ? 1 : 2, intervalMs: 1000, loads: [], hotKeys: [], journal: [], backends: [] }
  post(state, { kind: 'report-received', now, report: { ...common, router, draining } })
}

/** Finds the holder of the only backend server in the assignment that is planned at `now`. */
function findPlannedHolder (state: ControllerState, now: number): string | undefined {
  const written = post(state, { kind: 'tick', now }).find(effect => effect.kind === 'write-assignment')
  return written === undefined ? undefined : written.assignment.holders.get('cat-1')?.router
}

/** Builds a controller that learns at time 0 that router-1 is gone. Router-1 held the only backend server and has not applied a fleet newer than generation 1. */
function buildStateAfterLoss (): ControllerState {
  const state = buildControllerState('controller')
  const text = buildDocumentText([{ name: 'cat-1', address: '10.0.0.1:9001', service: 'catalogue', zone: 'tbilisi-1' }])
  const document = parseDocument(text, 1)
  const record = (key: string, change: Extract<ControllerEvent, { kind: 'record-changed' }>['record']) => {
    post(state, { kind: 'record-changed', now: 0, key, modRevision: 1, record: change })
  }
  if (document.kind === 'valid') record('fulmar/documents/demo', { kind: 'document', document: document.value })
  const routers = names.map((router, index) => ({
    router,
    address: `10.1.0.${index}:1`,
    adminAddress: '',
    zone: 'tbilisi-1',
    generation: 2,
    successor: names[(index + 1) % 4],
    witness: names[(index + 2) % 4],
    pivot: names[(index + 2) % 4]
  }))
  for (const entry of routers) {
    const { router, address, adminAddress, zone } = entry
    record(`fulmar/routers/${router}`, { kind: 'registration', registration: { router, address, adminAddress, zone } })
  }
  record('fulmar/fleet', { kind: 'fleet', fleet: { revision: 1, operation: '', routers: new Map(routers.map(entry => [entry.router, entry])) } })
  const ranges = Array.from({ length: 64 }, () => ({ owner: 'cat-1', epoch: 1 }))
  const holders = new Map([['cat-1', { router: 'router-1', epoch: 1 }]])
  record(`fulmar/assignments/${service}`, { kind: 'assignment', assignment: { service, revision: 1, operation: '', ranges, keys: new Map(), holders } })
  for (const router of names) report(state, router, 0)
  post(state, { kind: 'leadership-changed', now: 0, leading: true })
  post(state, { kind: 'hosts-listed', now: 0, hosts: new Map([['10.1.0.0:1', 'gone']]) })
  return state
}

test('a lost router that never contacted its current guardians is succeeded by its named successor', t => {
  const state = buildStateAfterLoss()
  t.is(findPlannedHolder(state, 1500), undefined, 'a take-over may not be reported yet')
  for (const router of names.slice(1)) report(state, router, 1600)
  t.is(findPlannedHolder(state, 2000), 'router-2')
})

test('no router is named to succeed a lost router while the former successor of the lost one may be stopping', t => {
  const state = buildStateAfterLoss()
  for (const router of names.slice(1)) report(state, router, 1600, router === 'router-4')
  t.is(findPlannedHolder(state, 2000), undefined)
  post(state, { kind: 'record-changed', now: 2500, key: 'fulmar/routers/router-4', modRevision: 2, record: { kind: 'registration-removed', router: 'router-4' } })
  t.is(findPlannedHolder(state, 3000), undefined, 'who follows the stopped router may not have reported yet')
  for (const router of ['router-2', 'router-3']) report(state, router, 3100)
  t.is(findPlannedHolder(state, 3500), 'router-2')
})

test('a router that never finishes its stop delays the succession of a lost router no longer than a stop may take', t => {
  const state = buildStateAfterLoss()
  for (const router of names.slice(1)) report(state, router, maxGraceMs, router === 'router-4')
  t.is(findPlannedHolder(state, maxGraceMs + 900), undefined)
  t.is(findPlannedHolder(state, maxGraceMs + 1500), 'router-2')
})
