import type { RouterCount } from '../core/router/routerEffects.js'
import type { Rank } from '../core/domain/rank.js'
import type { CallerCloseReason, CallerServerName } from './closeReasons.js'
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { refusalReasons, retryReasons } from '../core/domain/outcome.js'
import { callerCloseReasons, callerServerNames } from './closeReasons.js'

/** Bucket bounds of the latency histogram, in milliseconds. */
const latencyBoundsMs = [1, 2, 5, 10, 15, 25, 50, 100, 250, 500, 1000, 2500, 5000, 30_000]

/** Metrics of a router. */
export type RouterMetrics = {
  registry: Registry
  count: (count: RouterCount) => void
  observeLatency: (rank: Rank, ms: number) => void
  countMalformedFrame: () => void
  countClosedCaller: (reason: CallerCloseReason, server: CallerServerName) => void
  setGauges: (gauges: Record<RouterGauge, number>) => void
}

/** Names of a router's gauges. */
export const routerGauges = ['ingress_requests', 'egress_requests', 'held_backends', 'lease_valid', 'journal_entries', 'store_up', 'held_bytes', 'held_limit_bytes'] as const
/** Name of a router's gauge. */
export type RouterGauge = typeof routerGauges[number]

/** Creates the metrics of a router; every refusal and retry reason is exported from the start. */
export function createRouterMetrics (): RouterMetrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  const refusals = new Counter({
    name: 'fulmar_refusals_total',
    help: 'Requests refused or failed, by reason and outcome',
    labelNames: ['reason', 'outcome'],
    registers: [registry]
  })
  const retries = new Counter({ name: 'fulmar_retries_total', help: 'Requests sent or routed again, by reason', labelNames: ['reason'], registers: [registry] })
  const requests = new Counter({ name: 'fulmar_requests_total', help: 'Requests of callers, by rank', labelNames: ['rank'], registers: [registry] })
  const dispatches = new Counter({ name: 'fulmar_dispatches_total', help: 'Requests sent to backend servers, by rank', labelNames: ['rank'], registers: [registry] })
  const malformedFrames = new Counter({ name: 'fulmar_peer_rubbish_total', help: 'Frames of peers that made no sense', registers: [registry] })
  const closedCallers = new Counter({ name: 'fulmar_callers_closed_total', help: 'Connections of callers closed because of a limit, by reason and server', labelNames: ['reason', 'server'], registers: [registry] })
  const latency = new Histogram({
    name: 'fulmar_answer_ms',
    help: 'Time from request to the end of its answer, by rank, in milliseconds',
    labelNames: ['rank'],
    buckets: latencyBoundsMs,
    registers: [registry]
  })
  const gauges = new Map(routerGauges.map(name => {
    return [name, new Gauge({ name: `fulmar_${name}`, help: `Current ${name.replaceAll('_', ' ')}`, registers: [registry] })]
  }))
  for (const reason of callerCloseReasons) {
    for (const server of callerServerNames) closedCallers.inc({ reason, server }, 0)
  }
  for (const reason of refusalReasons) refusals.inc({ reason, outcome: 'not-run' }, 0)
  for (const reason of retryReasons) retries.inc({ reason }, 0)
  const counters = {
    refusals: (count: Extract<RouterCount, { metric: 'refusals' }>) => refusals.inc({ reason: count.reason, outcome: count.outcome }),
    retries: (count: Extract<RouterCount, { metric: 'retries' }>) => retries.inc({ reason: count.reason })
  }
  return {
    registry,
    count: count => {
      switch (count.metric) {
        case 'refusals': return counters.refusals(count)
        case 'retries': return counters.retries(count)
        case 'requests': return requests.inc({ rank: count.rank })
        case 'dispatches': return dispatches.inc({ rank: count.rank })
      }
    },
    observeLatency: (rank, ms) => latency.observe({ rank }, ms),
    countMalformedFrame: () => malformedFrames.inc(),
    countClosedCaller: (reason, server) => closedCallers.inc({ reason, server }),
    setGauges: values => {
      for (const [name, gauge] of gauges) gauge.set(values[name])
    }
  }
}

/** Metrics of a controller. */
export type ControllerMetrics = { registry: Registry, countWrite: (result: string) => void, setLeading: (leading: boolean) => void }

/** Creates the metrics of a controller. */
export function createControllerMetrics (): ControllerMetrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry })
  const writes = new Counter({ name: 'fulmar_store_writes_total', help: 'Writes to the store, by result', labelNames: ['result'], registers: [registry] })
  const leading = new Gauge({ name: 'fulmar_leading', help: '1 while this controller leads', registers: [registry] })
  return {
    registry,
    countWrite: result => writes.inc({ result }),
    setLeading: value => leading.set(value ? 1 : 0)
  }
}
