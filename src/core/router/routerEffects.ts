import type { RouterEntry, Unit } from '../domain/assignment.js'
import type { ControlMessage, RouterReport } from '../domain/control.js'
import type { Refusal, RefusalReason, RetryReason } from '../domain/outcome.js'
import type { Rank } from '../domain/rank.js'
import type { PeerRequest } from './routerEvents.js'

/** Numbers of log events; docs/EVENTS.md lists what each means. */
export const eventNumbers = {
  documentApplied: 1001,
  documentIgnored: 1002,
  recordRejected: 1003,
  assignmentApplied: 1004,
  fleetApplied: 1005,
  leaseGained: 1101,
  leaseLapsed: 1102,
  claimStarted: 1103,
  routerSucceeded: 1104,
  claimConsented: 1105,
  resigned: 1106,
  deposed: 1107,
  backendReady: 1201,
  backendLost: 1202,
  backendLeaving: 1203,
  handoffStarted: 1204,
  handoffDone: 1205,
  unitAssumed: 1206,
  holderMoved: 1207,
  peerUp: 1301,
  peerDown: 1302,
  drainStarted: 1401,
  drainDone: 1402
} as const

/** Name of a numbered log event. */
export type EventName = keyof typeof eventNumbers

/** Counters that a router keeps; docs/METRICS.md lists what each means. */
export type RouterCount =
  | { metric: 'refusals', reason: RefusalReason, outcome: Refusal['outcome'] }
  | { metric: 'retries', reason: RetryReason }
  | { metric: 'requests', rank: Rank }
  | { metric: 'dispatches', rank: Rank }

/** What a backend server is told about one request. */
export type DispatchTarget = {
  service: string
  backend: string
  host: string
  port: number
  unit: Unit
  epoch: number
  holderEpoch: number
  key: string
  /** Moment by which the answer must have begun, by the router's clock, in milliseconds. */
  deadlineAt: number
  /** Moment after which nothing may be sent, by the router's clock: the end of the lease or grant. */
  sendBefore: number
  connections: number
}

/** Everything a router can ask its surroundings to do. */
export type RouterEffect =
  | { kind: 'forward', id: string, peer: string, request: PeerRequest }
  | { kind: 'dispatch', id: string, attempt: number, target: DispatchTarget }
  | { kind: 'refuse', id: string, refusal: Refusal }
  | { kind: 'cancel-forward', id: string, peer: string }
  | { kind: 'cancel-dispatch', id: string }
  | { kind: 'send-control', to: string, message: ControlMessage }
  | {
    kind: 'send-grants'
    backend: string
    host: string
    port: number
    checksGrants: boolean
    sentAt: number
    /** Until when requests may be sent under this grant, by the router's clock. */
    usableUntil: number
    boot: string | undefined
    holder: string
    holderEpoch: number
    /** Expiry by the backend server's own clock; 0 grants nothing and only asks for its clock. */
    notAfter: number
    set: number
    /** Whole set, or absent when the backend server acknowledged this set before. */
    units: Array<[Unit, number]> | undefined
    excludes: string[] | undefined
  }
  | { kind: 'connect-peers', routers: RouterEntry[] }
  | { kind: 'report', report: RouterReport }
  | { kind: 'count', count: RouterCount }
  | { kind: 'observe-latency', rank: Rank, ms: number }
  | { kind: 'log', event: EventName, fields: Record<string, string | number | boolean | undefined> }
  /** From now on each answer closes its connection. */
  | { kind: 'end-keep-alive' }
  /** Takes no connection any more and closes each once its answers are written; `callers-closed` follows. */
  | { kind: 'close-callers' }
  /** Takes this router off the list of the fleet; `unregistered` follows. */
  | { kind: 'unregister' }
  /** Takes no request of a peer any more and ends the streams of peers; `peers-ended` follows when they have read all. */
  | { kind: 'end-peers' }
  | { kind: 'stop' }
