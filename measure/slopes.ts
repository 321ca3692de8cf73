import type { Assignment } from '../src/core/domain/assignment.js'
import type { RouterRules } from '../src/core/router/rules.js'
import type { RouterState } from '../src/core/router/routerState.js'
import { assertInvariant } from '../src/core/assertInvariant.js'
import { buildRouterState, reduceRouter } from '../src/core/index.js'
import { buildDocumentText, formatServiceHost } from '../src/demo/documentTemplate.js'
import { parseDocument } from '../src/protocol/documentText.js'
import { Frame, RouterReport } from '../src/protocol/gen/peer.js'
import { encodeControl, encodeRouterReport } from '../src/protocol/peerCodec.js'
import { encodeAssignment } from '../src/protocol/storeRecords.js'

/** A linear fit of cost over size: `perUnit` is the cost of one more unit, `fixed` the cost at size 0, `fit` the coefficient of determination. */
export type Slope = { slope: string, perUnit: number, unit: string, fixed: number, points: string, fit: number }

/** Measures the slopes on which the capacity estimates of docs/CAPACITY.md are based. */
export function measureSlopes (rules: RouterRules): Slope[] {
  return [
    computeSlope('reducer time of a request at its holder', 'us', [20_000, 40_000, 80_000, 160_000], count => measureRequests(rules, count) * 1000),
    computeSlope('tick time of a held backend server', 'us', [4, 16, 64, 128], count => measureTicks(rules, count) * 1000),
    computeSlope('memory of a range', 'bytes', [4096, 16_384, 65_536, 131_072], measureRangeMemory),
    computeSlope('record bytes of a range', 'bytes', [64, 256, 1024, 4096], count => encodeAssignment(buildAssignment(count, 20)).length),
    computeSlope('renewal bytes of a journal entry', 'bytes', [0, 10, 100, 1000], measureRenewalBytes),
    computeSlope('grant message bytes of a unit', 'bytes', [16, 64, 256, 1024], measureGrantBytes),
    computeSlope('report bytes of a loaded unit', 'bytes', [16, 64, 256, 1024], measureReportBytes),
    computeSlope('document bytes of a backend server', 'bytes', [10, 40, 160, 640], measureDocumentBytes)
  ]
}

/** Fits a line to the measured points by least squares. */
function computeSlope (slope: string, unit: string, sizes: readonly number[], measure: (size: number) => number): Slope {
  const points = sizes.map(size => ({ size, value: measure(size) }))
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanSize = mean(points.map(point => point.size))
  const meanValue = mean(points.map(point => point.value))
  const covariance = mean(points.map(point => (point.size - meanSize) * (point.value - meanValue)))
  const variance = mean(points.map(point => (point.size - meanSize) ** 2))
  const perUnit = covariance / variance
  const fixed = meanValue - perUnit * meanSize
  const residual = mean(points.map(point => (point.value - fixed - perUnit * point.size) ** 2))
  const total = mean(points.map(point => (point.value - meanValue) ** 2))
  const round = (value: number) => Math.round(value * 1000) / 1000
  const text = points.map(point => `${point.size}:${round(point.value)}`).join(' ')
  return { slope, perUnit: round(perUnit), unit, fixed: round(fixed), points: text, fit: round(1 - residual / total) }
}

function buildAssignment (ranges: number, backends: number): Assignment {
  const entries = Array.from({ length: ranges }, (_, index) => ({ owner: `book-${index % Math.max(1, backends) + 1}`, epoch: 1 }))
  const holders = new Map(Array.from({ length: backends }, (_, index) => [`book-${index + 1}`, { router: 'router-1', epoch: 1 }]))
  return { service: 'demo.bookings', revision: 1, operation: 'x', ranges: entries, keys: new Map(), holders }
}

/** Builds a router that is the only holder of all backend servers, each of them ready. */
function buildHoldingRouter (rules: RouterRules, backends: number): RouterState {
  const listed = Array.from({ length: backends }, (_, index) => ({ name: `book-${index + 1}`, address: `10.0.${index >> 8}.${index & 255}:9001`, service: 'bookings', zone: 'a-1' }))
  const parsed = parseDocument(buildDocumentText(listed), 1)
  const state = buildRouterState('router-1', 'a-1')
  if (parsed.kind === 'invalid') return state
  const entry = { router: 'router-1', address: '', adminAddress: '', zone: 'a-1', generation: 1, successor: undefined, witness: undefined, pivot: undefined }
  const records = [
    { kind: 'document' as const, document: parsed.value },
    { kind: 'fleet' as const, fleet: { revision: 1, operation: '', routers: new Map([['router-1', entry]]) } },
    { kind: 'assignment' as const, assignment: buildAssignment(64, backends) },
    { kind: 'assignment' as const, assignment: { ...buildAssignment(64, 0), service: 'demo.catalogue' } }
  ]
  for (const record of records) reduceRouter(state, { kind: 'store-changed', now: 0, record }, rules)
  for (const listedBackend of listed) {
    const backend = `demo.bookings/${listedBackend.name}`
    reduceRouter(state, { kind: 'grants-replied', now: 1, backend, sentAt: 0, usableUntil: 0, notAfter: 0, reply: { kind: 'alive' } }, rules)
  }
  return state
}

/** Measures the time that the reducer takes for the events of `count` requests (caller-request, dispatch-ended, answer-finished), in milliseconds. */
function measureRequests (rules: RouterRules, count: number): number {
  const state = buildHoldingRouter(rules, 20)
  const request = { host: formatServiceHost('bookings'), method: 'GET', path: '', headers: {}, replayable: true }
  const startedAt = performance.now()
  for (let index = 0; index < count; index++) {
    const id = `c${index}`
    const now = 2 + index / 100
    const step = reduceRouter(state, { kind: 'caller-request', now, id, request: { ...request, path: `/items/key-${index % 5000}` } }, rules)
    assertInvariant(step.effects.some(effect => effect.kind === 'dispatch'), 'a measured request is dispatched')
    reduceRouter(state, { kind: 'dispatch-ended', now, id, attempt: 1, result: 'answered' }, rules)
    reduceRouter(state, { kind: 'answer-finished', now, id, result: 'complete' }, rules)
  }
  return performance.now() - startedAt
}

function measureTicks (rules: RouterRules, backends: number): number {
  const state = buildHoldingRouter(rules, backends)
  const rounds = 500
  const startedAt = performance.now()
  for (let index = 0; index < rounds; index++) {
    const now = 10 + index * 20
    reduceRouter(state, { kind: 'tick', now }, rules)
    for (const backend of state.backends.values()) backend.lastReplyAt = now
  }
  return (performance.now() - startedAt) / rounds
}

function measureRangeMemory (ranges: number): number {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const assignments = Array.from({ length: 8 }, () => buildAssignment(ranges, 20))
  globalThis.gc?.()
  const used = process.memoryUsage().heapUsed - before
  return assignments.length === 0 ? 0 : used / assignments.length
}

function buildEntries (count: number) {
  return Array.from({ length: count }, (_, index) => ({ kind: 'unit' as const, service: 'wheelwise.catalogue', unit: `r${index}`, from: 'catalogue-3', to: 'catalogue-11', epoch: 4 }))
}

function measureRenewalBytes (entries: number): number {
  const body = encodeControl({
    kind: 'renew',
    router: 'entry-1.9f3a2b1c',
    generation: 3,
    sentAt: 123_456.789,
    successor: 'entry-4.11223344',
    witness: 'entry-9.55667788',
    pivot: 'entry-4.11223344',
    journalRevision: 12,
    journal: buildEntries(entries),
    revisions: new Map([['document:wheelwise', 31], ['assignment:wheelwise.catalogue', 412]])
  })
  return Frame.encode({ id: 0, body }).finish().length
}

function measureGrantBytes (units: number): number {
  const list = Array.from({ length: units }, (_, index) => [`r${index}`, 4])
  return JSON.stringify({ holder: 'entry-1.9f3a2b1c', holderEpoch: 3, boot: 'b71', notAfter: 81_250.5, set: 12, units: list, excludes: [] }).length
}

function measureReportBytes (units: number): number {
  const loads = Array.from({ length: units }, (_, index) => ({ service: 'wheelwise.catalogue', unit: `r${index}`, requests: 17, busyMs: 81.5 }))
  const report = { router: 'entry-1.9f3a2b1c', generation: 3, draining: false, intervalMs: 1000, loads, hotKeys: [], journal: [], backends: [] }
  return RouterReport.encode(encodeRouterReport(report)).finish().length
}

function measureDocumentBytes (backends: number): number {
  const listed = Array.from({ length: backends }, (_, index) => ({ name: `catalogue-${index + 1}`, address: '10.1.2.3:8080', service: 'catalogue', zone: 'tbilisi-1' }))
  return buildDocumentText(listed).length
}
