import type { RefusalReason } from '../core/domain/outcome.js'

/** Reasons for which connections of callers are closed; each is a label value of a counter. */
export const callerCloseReasons = ['ahead', 'connections', 'memory', 'processor', 'unread'] as const
/** `ahead`: more requests sent ahead than are read; `connections`: too many connections; `memory`: too much held for callers; `processor`: parsing its bytes held up others; `unread`: nothing of an answer was read for long. */
export type CallerCloseReason = typeof callerCloseReasons[number]

/** Servers of a process that have clients of their own; each is a label value of a counter. */
export const callerServerNames = ['callers', 'probes', 'admin', 'peers'] as const
/** `callers`: requests for backend servers; `probes`: readiness probes of load balancers; `admin`: operators and collectors of metrics; `peers`: other processes of the system. */
export type CallerServerName = typeof callerServerNames[number]

/** Reasons for which a request that is being read is refused. */
export type ShortageReason = Extract<RefusalReason, 'memory-short' | 'processor-short'>

/** Reason with which a request is refused when its connection is closed; other closings promise nothing about their requests. */
export const shortageByCloseReason: Partial<Record<CallerCloseReason, ShortageReason>> = { memory: 'memory-short', processor: 'processor-short' }
