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
export type RouterLogEventName = keyof typeof eventNumbers

/** Increment of a counter; docs/METRICS.md lists what each counter means. */
export type RouterCount =
  | { metric: 'refusals', reason: RefusalReason, outcome: Refusal['outcome'] }
  | { metric: 'retries', reason: RetryReason }
  | { metric: 'requests', rank: Rank }
  | { metric: 'dispatches', rank: Rank }

/** Destination of a request and the metadata sent with it. */
export type DispatchTarget = {
  service: string
  backend: string
  host: string
  port: number
  unit: Unit
  epoch: number
  holderEpoch: number
  key: string
  /** Time by which the answer must have started, on the router's clock, in milliseconds. */
  deadlineAt: number
  /** Time from which the request may no longer be sent, on the router's clock, in milliseconds: the end of the lease or grant. */
  sendBefore: number
  connections: number
}

/** All side effects that a router requests from the runtime. */
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
    /** Time until which requests may be sent under this grant, on the router's clock, in milliseconds. */
    usableUntil: number
    boot: string | undefined
    holder: string
    holderEpoch: number
    /** Expiry on the backend server's clock, in milliseconds; 0 grants nothing and only requests its clock. */
    notAfter: number
    set: number
    /** All units of the set; absent if the backend server has already acknowledged this set. */
    units: Array<[Unit, number]> | undefined
    excludes: string[] | undefined
  }
  | { kind: 'connect-peers', routers: RouterEntry[] }
  | { kind: 'report', report: RouterReport }
  | { kind: 'count', count: RouterCount }
  | { kind: 'observe-latency', rank: Rank, ms: number }
  | { kind: 'log', event: RouterLogEventName, fields: Record<string, string | number | boolean | undefined> }
  /** Closes each caller connection after its next answer. */
  | { kind: 'end-keep-alive' }
  /** Accepts no further caller connections and closes each once its answers are written; `callers-closed` follows. */
  | { kind: 'close-callers' }
  /** Removes the registration of this router from the store; `unregistered` follows. */
  | { kind: 'unregister' }
  /** Accepts no further peer requests and ends the peer streams; `peers-ended` follows when peers have read them to the end. */
  | { kind: 'end-peers' }
  | { kind: 'stop' }
