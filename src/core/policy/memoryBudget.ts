/** Bytes of a megabyte, as in `memory-mb`. */
export const megabyte = 1_048_576
/** Share of a process's memory that it may hold for callers and backend servers. The rest is for the program, its records of the fleet, and memory that is no longer used but not collected yet. */
const heldShare = 0.1
/** Share of what is held to which it is reduced once it exceeds its limit, so that not every further byte closes a connection. */
const reducedShare = 0.9
/** Share of the limit from which on connections that hold much are read slowly. */
const slowReadShare = 0.4
/** Bytes of a connection that an ordinary request without its body and answer does not exceed. */
const ordinaryBytes = 64 * 1024
/** Multiple of the limit up to which connections that hold no more than that besides requests that were passed on stay open. */
const committedShare = 1.25
/** Share of the limit up to which answers are read ahead of callers that read them slowly. */
const readAheadShare = 0.5
/** Largest part of the limit that one connection may hold before no more is read from it. */
const connectionShare = 0.125
/** Share of a process's file descriptors that are for connections of callers; the others are for backend servers, hosts, the store, probes and operators. */
const callerDescriptorShare = 0.5
/** The same for the connections of probes, and for those of operators. */
const serviceDescriptorShare = 1 / 16
/** Number of such connections that need not be exceeded on a large host; load balancers, operators and collectors of metrics keep a few. */
const maxServiceConnections = 64
/** Number of such connections that a host with few descriptors accepts. */
const minServiceConnections = 4
/** Limit of what the server for probes holds, as a share of the limit of the process. */
const probeHeldShare = 1 / 16
/** The same for the server for operators, whose answers list all backend servers. */
const adminHeldShare = 1 / 4
/** Largest part of such a limit that one connection may hold before no more is read from it: more than the requests that may be sent ahead take. */
const serviceConnectionShare = 0.25

/** Bytes of the objects of one open connection without requests: socket, parser and records. */
export const connectionBytes = 6 * 1024
/** Bytes of the objects of one request in progress besides its head: request, response, exchange, and the reducer's record. */
export const requestBytes = 8 * 1024
/** Times that the characters of a head are kept: as read, by name, as passed on, and as sent. */
const headCopies = 4
/** Bytes of the objects for each byte of framing in a body that is read but not taken over: a chunk of one byte has five bytes of framing and takes some 130 bytes. */
const bytesPerFramingByte = 26

/** Limits on what a server holds for its callers. */
export type HeldLimits = {
  /** Bytes in all. */
  heldBytes: number
  /** Bytes of one connection from which on no more is read from it. */
  connectionBytes: number
  /** Bytes of answers that a caller has not read, from which on no further request of its connection is started. */
  unreadBytes: number
  connections: number
}

/** Computes the limits of the server for callers from the memory of the process, in MB, and its file descriptors. */
export function computeCallerLimits (memoryMb: number, descriptors: number): HeldLimits {
  const heldBytes = Math.floor(memoryMb * megabyte * heldShare)
  return {
    heldBytes,
    connectionBytes: Math.floor(heldBytes * connectionShare),
    unreadBytes: Math.floor(heldBytes * connectionShare / 2),
    connections: Math.floor(descriptors * callerDescriptorShare)
  }
}

/** Computes the limits of the server for probes, which are apart from those for callers so that neither server uses up what the other needs. */
export function computeProbeLimits (memoryMb: number, descriptors: number): HeldLimits {
  return computeServiceLimits(memoryMb, descriptors, probeHeldShare)
}

/** Computes the limits of the server for operators and metrics, which are apart from the others for the same reason. */
export function computeAdminLimits (memoryMb: number, descriptors: number): HeldLimits {
  return computeServiceLimits(memoryMb, descriptors, adminHeldShare)
}

function computeServiceLimits (memoryMb: number, descriptors: number, share: number): HeldLimits {
  const { heldBytes } = computeCallerLimits(memoryMb, descriptors)
  const connections = Math.max(minServiceConnections, Math.min(maxServiceConnections, Math.floor(descriptors * serviceDescriptorShare)))
  const limit = Math.floor(heldBytes * share)
  return { heldBytes: limit, connectionBytes: Math.floor(limit * serviceConnectionShare), unreadBytes: Math.floor(limit * serviceConnectionShare / 2), connections }
}

/** Computes what a request in progress costs besides its body and answer, in bytes. `headCharacters`: length of its target and headers. */
export function computeRequestBytes (headCharacters: number): number {
  return requestBytes + headCopies * headCharacters
}

/** Computes what the unread part of a body costs, in bytes. `receivedBytes` includes the framing, `payloadBytes` doesn't. */
export function computeUnreadBodyBytes (receivedBytes: number, payloadBytes: number): number {
  return payloadBytes + Math.max(0, receivedBytes - payloadBytes) * bytesPerFramingByte
}

/** What a connection holds. `answers`: answers that its caller has had; `openedAt`: milliseconds; `committedBytes`: the part that is for requests which were passed on and have no answer yet, 0 if absent. */
export type Holding = { heldBytes: number, answers: number, openedAt: number, committedBytes?: number }

/**
 * Chooses the connections to close when more than the limit is held, under a crowd of callers that send much and read little:
 * those that hold most for each answer that they have had, until what is left is below the limit with a margin. Closing a connection
 * loses its requests that were passed on, so that their bytes don't count against it, and connections that hold little besides
 * are only closed far over the limit. These bytes don't grow: over the limit, bodies that are still being read are refused.
 */
export function chooseExcessHoldings<Item extends Holding> (holdings: readonly Item[], totalBytes: number, limits: Pick<HeldLimits, 'heldBytes'>): Item[] {
  if (totalBytes <= limits.heldBytes) return []
  const countFreeBytes = (each: Item) => each.heldBytes - (each.committedBytes ?? 0)
  const rank = (each: Item) => countFreeBytes(each) / (1 + each.answers)
  const chosen: Item[] = []
  let left = totalBytes
  for (const each of [...holdings].sort((a, b) => rank(b) - rank(a))) {
    if (left <= limits.heldBytes * reducedShare) return chosen
    if (countFreeBytes(each) <= ordinaryBytes && left <= limits.heldBytes * committedShare) continue
    chosen.push(each)
    left -= each.heldBytes
  }
  return chosen
}

/** Chooses the connection to close when there are more than the limit: the one with the fewest answers, one without a request before one with, then the oldest. */
export function chooseExcessConnection<Item extends Holding & { isAnswering: boolean }> (holdings: Iterable<Item>): Item | undefined {
  let chosen: Item | undefined
  for (const each of holdings) {
    if (chosen === undefined || isClosedBefore(each, chosen)) chosen = each
  }
  return chosen
}

function isClosedBefore (a: Holding & { isAnswering: boolean }, b: Holding & { isAnswering: boolean }): boolean {
  if (a.answers !== b.answers) return a.answers < b.answers
  if (a.isAnswering !== b.isAnswering) return b.isAnswering
  return a.openedAt < b.openedAt
}

/**
 * Returns whether a connection is read only now and then, because it holds much and the host does too. Under a crowd, what is read and
 * refused at once leaves memory behind faster than it is collected.
 */
export function isReadSlowly (connectionBytes: number, totalBytes: number, limits: HeldLimits): boolean {
  return connectionBytes > ordinaryBytes && totalBytes > limits.heldBytes * slowReadShare
}

/** Returns whether an answer is read on although its caller has not read the bytes before; within these bounds a slow caller does not slow down a backend server. */
export function isReadAhead (unreadBytes: number, totalBytes: number, limits: HeldLimits): boolean {
  return unreadBytes < limits.unreadBytes && totalBytes < limits.heldBytes * readAheadShare
}
