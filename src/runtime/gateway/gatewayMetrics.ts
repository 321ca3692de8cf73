import type { ChangeKind } from '../../core/gateway/changeLags.js'
import type { GatewayEffect } from '../../core/gateway/effects.js'
import type { GatewayEvent } from '../../core/gateway/events.js'
import type { CallerCloseReason, CallerServerName } from '../closeReasons.js'
import type { StoreCallReason } from './storeCallCounts.js'
import type { RefusalReason, RetryReason } from '../../core/domain/outcome.js'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { changeLagBoundsMs } from '../../core/gateway/changeLags.js'
import { refusalReasons, retryReasons } from '../../core/domain/outcome.js'
import { callerCloseReasons, callerServerNames } from '../closeReasons.js'
import { storeCallReasons } from './storeCallCounts.js'

/** Bounds of the latency histogram, in milliseconds: closely spaced around the latency targets of lookups and bookings. */
const latencyBoundsMs = [5, 15, 25, 50, 100, 150, 200, 250, 300, 400, 500, 800, 1200, 2000, 5000]

/** Bounds of the histograms of delays within the process, in milliseconds. */
const delayBoundsMs = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000]

/** Names of a gateway's gauges. */
export const gatewayGauges = [
  'gateway_requests', 'gateway_caller_connections', 'gateway_stop_phase', 'gateway_store_up', 'gateway_granting', 'gateway_configuration_version', 'gateway_placement_revision',
  'gateway_store_revision', 'gateway_store_age_ms', 'gateway_store_restores', 'gateway_told', 'gateway_events_waiting', 'gateway_reporting_hosts',
  'gateway_evacuated_zones', 'gateway_cold_backends', 'gateway_cold_shares',
  'gateway_marked_backends', 'gateway_paused_backends',
  'gateway_held_bytes', 'gateway_held_limit_bytes', 'gateway_probe_held_bytes', 'gateway_reads_waiting'
] as const
/** Name of a gateway's gauge. */
export type GatewayGauge = typeof gatewayGauges[number]

/** Measured work of the event loop: reducing an event or running an effect. */
type WorkType = 'event' | 'effect'
type WorkKind = GatewayEvent['kind'] | GatewayEffect['kind']

/** How far a request was when its caller left: its bytes waited to be read, it was read, or a backend server had begun to get it. */
export const abandonedPhases = ['unread', 'unsent', 'sent'] as const
/** How far a request was when its caller left. */
export type AbandonedPhase = typeof abandonedPhases[number]

/** Metrics of a gateway. */
export type GatewayMetrics = {
  registry: Registry
  countRefusal: (reason: RefusalReason, outcome: 'not-run' | 'unknown') => void
  countRetry: (reason: RetryReason) => void
  countRejectedValue: () => void
  countStoreCall: (reason: StoreCallReason) => void
  countLeftOutLine: (event: string) => void
  countCutRequest: () => void
  countClosedCaller: (reason: CallerCloseReason, server: CallerServerName) => void
  countWork: (type: WorkType, kind: WorkKind, ms: number) => void
  countLost: (kind: GatewayEvent['kind']) => void
  observeAnswer: (service: string, ms: number) => void
  observeChange: (change: ChangeKind, ms: number) => void
  /** Observes the duration of a turn of the event loop. */
  observeTurn: (ms: number) => void
  /** Observes for how long received bytes have waited to be read. */
  observeReadWait: (ms: number) => void
  countAbandoned: (phase: AbandonedPhase) => void
}

/** Creates the metrics of a gateway. The counters of all reasons are exposed from the start, with the value 0. */
export function createGatewayMetrics (readGauges: () => Record<GatewayGauge, number>): GatewayMetrics {
  const registry = new Registry()
  const registers = [registry]
  // The gauges come first, so that a collector that truncates the page still gets the state of this host.
  for (const name of gatewayGauges) {
    const gauge: Gauge = new Gauge({ name: `fulmar_${name}`, help: `Current ${name.replaceAll('_', ' ')}`, registers, collect: () => { gauge.set(readGauges()[name]) } })
  }
  const workCounters = { event: createWorkCounter('event', registers), effect: createWorkCounter('effect', registers) }
  const lostEvents = new Counter({ name: 'fulmar_gateway_events_lost_total', help: 'Events refused because too many waited, by kind', labelNames: ['kind'], registers })
  const refusals = new Counter({ name: 'fulmar_gateway_refusals_total', help: 'Requests refused or failed, by reason and outcome', labelNames: ['reason', 'outcome'], registers })
  const retries = new Counter({ name: 'fulmar_gateway_retries_total', help: 'Requests sent again, by reason', labelNames: ['reason'], registers })
  const rejectedValues = new Counter({ name: 'fulmar_gateway_rejected_values_total', help: 'Values of the store that could not be decoded', registers })
  const storeCalls = new Counter({ name: 'fulmar_gateway_store_calls_total', help: 'Calls to the store, by reason', labelNames: ['reason'], registers })
  const leftOutLines = new Counter({ name: 'fulmar_gateway_log_lines_left_out_total', help: 'Log lines left out within the budgets, by event', labelNames: ['event'], registers })
  const cutRequests = new Counter({ name: 'fulmar_gateway_requests_cut_total', help: 'Requests in flight when the process ended', registers })
  const closedCallers = new Counter({ name: 'fulmar_gateway_callers_closed_total', help: 'Connections of callers closed because of a limit, by reason and server', labelNames: ['reason', 'server'], registers })
  const answers = new Histogram({
    name: 'fulmar_gateway_answer_ms',
    help: 'Time from request to answer, by service, in milliseconds',
    labelNames: ['service'],
    buckets: latencyBoundsMs,
    registers
  })
  const changeLags = new Histogram({
    name: 'fulmar_gateway_change_lag_ms',
    help: 'Longest time that can have passed from the acknowledgement of a change by the store until it was in force, by kind, in milliseconds',
    labelNames: ['change'],
    buckets: [...changeLagBoundsMs],
    registers
  })
  const turns = new Histogram({ name: 'fulmar_gateway_turn_ms', help: 'Duration of the turns of the event loop in which requests were read, in milliseconds', buckets: delayBoundsMs, registers })
  const readWaits = new Histogram({ name: 'fulmar_gateway_read_wait_ms', help: 'Time for which received bytes of callers waited to be read, if they had to, in milliseconds', buckets: delayBoundsMs, registers })
  const abandoned = new Counter({ name: 'fulmar_gateway_abandoned_total', help: 'Requests whose callers left, by how far they were', labelNames: ['phase'], registers })
  for (const phase of abandonedPhases) abandoned.inc({ phase }, 0)
  for (const reason of refusalReasons) refusals.inc({ reason, outcome: 'not-run' }, 0)
  for (const reason of retryReasons) retries.inc({ reason }, 0)
  for (const reason of callerCloseReasons) {
    for (const server of callerServerNames) closedCallers.inc({ reason, server }, 0)
  }
  for (const reason of storeCallReasons) storeCalls.inc({ reason }, 0)
  return {
    registry,
    countRefusal: (reason, outcome) => refusals.inc({ reason, outcome }),
    countRetry: reason => retries.inc({ reason }),
    countRejectedValue: () => rejectedValues.inc(),
    countStoreCall: reason => storeCalls.inc({ reason }),
    countCutRequest: () => cutRequests.inc(),
    countClosedCaller: (reason, server) => closedCallers.inc({ reason, server }),
    countWork: (type, kind, ms) => workCounters[type](kind, ms),
    countLost: kind => lostEvents.inc({ kind }),
    countLeftOutLine: event => leftOutLines.inc({ event }),
    observeChange: (change, ms) => changeLags.observe({ change }, ms),
    observeTurn: ms => turns.observe(ms),
    observeReadWait: ms => readWaits.observe(ms),
    countAbandoned: phase => abandoned.inc({ phase }),
    observeAnswer: (service, ms) => answers.observe({ service }, ms)
  }
}

/** Creates counters of work by kind. Only kinds that occurred are exposed; labels are resolved when the metrics are collected, not in the event loop. */
function createWorkCounter (type: WorkType, registers: Registry[]): (kind: WorkKind, ms: number) => void {
  const counts = new Map<WorkKind, { count: number, ms: number }>()
  const seconds: Counter = new Counter({
    name: `fulmar_gateway_${type}_seconds_total`,
    help: `Time of ${type}s`,
    labelNames: ['kind'],
    registers,
    collect: () => {
      seconds.reset()
      for (const [kind, { ms }] of counts) seconds.inc({ kind }, Math.round(ms) / 1000)
    }
  })
  const total: Counter = new Counter({
    name: `fulmar_gateway_${type}_total`,
    help: `Number of ${type}s`,
    labelNames: ['kind'],
    registers,
    collect: () => {
      total.reset()
      for (const [kind, { count }] of counts) total.inc({ kind }, count)
    }
  })
  return (kind, ms) => {
    const totals = counts.get(kind)
    if (totals === undefined) {
      counts.set(kind, { count: 1, ms })
      return
    }
    totals.count += 1
    totals.ms += ms
  }
}
