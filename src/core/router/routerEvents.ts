import type { Assignment, Fleet, Unit } from '../domain/assignment.js'
import type { ControlMessage } from '../domain/control.js'
import type { TeamDocument } from '../domain/document.js'
import type { HostList } from '../domain/hostList.js'
import type { Refusal } from '../domain/outcome.js'
import type { Rank } from '../domain/rank.js'

/** Request of a caller without its body, which stays in the transport. */
export type CallerRequest = {
  host: string
  method: string
  /** Path with query string. */
  path: string
  headers: Readonly<Record<string, string | string[] | undefined>>
  /** Timeout set by the caller, in milliseconds; absent if it set none. */
  timeoutMs?: number
  /** Time since the router received the head of the request, in milliseconds; it counts towards the deadline. */
  waitedMs?: number
  /** Whether the whole body is buffered, so that it can be sent again. */
  replayable: boolean
}

/** Request forwarded to the router that is expected to hold its backend server. */
export type PeerRequest = {
  service: string
  key: string
  unit: Unit
  owner: string
  epoch: number
  rank: Rank
  idempotent: boolean
  /** Time left for the answer, in milliseconds. */
  deadlineMs: number
  replayable: boolean
}

/**
 * How an exchange with a backend server ended. `not-sent`: the lease, grant or deadline ended before the
 * request was sent; `fenced`: the backend server refused the request for lack of a valid grant;
 * `shed`: it refused the request for any other reason, such as load.
 */
export type DispatchResult =
  | 'answered'
  | 'truncated'
  | 'canceled'
  | 'connect-failed'
  | 'not-sent'
  | 'failed-after-send'
  | 'shed'
  | 'fenced'
  | 'malformed'
  | 'deadline'

/** How the answer to a caller ended. */
export type AnswerResult = 'complete' | 'truncated' | 'canceled'

/** A decoded store record. */
export type StoreRecord =
  | { kind: 'document', document: TeamDocument }
  | { kind: 'document-removed', team: string }
  | { kind: 'assignment', assignment: Assignment }
  | { kind: 'fleet', fleet: Fleet }
  | { kind: 'rejected', key: string, problem: string }

/** Reply of a backend server to a grant message. */
export type GrantReply =
  | { kind: 'accepted', boot: string, clock: number, set: number }
  | { kind: 'unknown-set', boot: string, clock: number }
  | { kind: 'superseded', boot: string, clock: number }
  | { kind: 'alive' }
  | { kind: 'connection-refused' }
  | { kind: 'failed' }

/** All events that a router handles; `now` is monotonic, in milliseconds. */
export type RouterEvent =
  | { kind: 'tick', now: number }
  | { kind: 'store-changed', now: number, record: StoreRecord }
  | { kind: 'hosts-listed', now: number, hosts: HostList }
  | { kind: 'caller-request', now: number, id: string, request: CallerRequest }
  | { kind: 'caller-gone', now: number, id: string }
  | { kind: 'answer-started', now: number, id: string }
  | { kind: 'answer-finished', now: number, id: string, result: AnswerResult }
  | { kind: 'forward-refused', now: number, id: string, peer: string, refusal: Refusal }
  | { kind: 'peer-up', now: number, router: string }
  | { kind: 'peer-down', now: number, router: string }
  | { kind: 'peer-request', now: number, id: string, request: PeerRequest }
  | { kind: 'peer-canceled', now: number, id: string }
  | { kind: 'dispatch-ended', now: number, id: string, attempt: number, result: DispatchResult }
  | { kind: 'grants-replied', now: number, backend: string, sentAt: number, usableUntil: number, notAfter: number, reply: GrantReply }
  | { kind: 'control-received', now: number, from: string, message: ControlMessage }
  | { kind: 'drain-requested', now: number }
  /** The last connection of a caller has closed. */
  | { kind: 'callers-closed', now: number }
  /** The store no longer lists this router, or can't be reached. */
  | { kind: 'unregistered', now: number }
  /** Peers have read their streams to the end. */
  | { kind: 'peers-ended', now: number }
