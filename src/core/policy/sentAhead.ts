/** Maximum number of requests of one connection that are read and not answered yet. Ordinary callers send some ten ahead; a connection with more is closed once these are answered. */
export const maxRequestsAhead = 17

/** A request of a connection that is not answered yet, in the order of the connection. */
export type RequestAhead = { isIdempotent: () => boolean }

/**
 * Counts the requests, from the first on, that may run now. Idempotent requests run at once, so that a slow one does not use up the
 * deadlines of those behind it. One that is not idempotent runs alone: its caller may rely on the order.
 */
export function countRunnable (requests: readonly RequestAhead[]): number {
  let count = 0
  for (const request of requests) {
    if (count > 0 && !request.isIdempotent()) return count
    count += 1
    if (count === 1 && requests.length > 1 && !request.isIdempotent()) return count
  }
  return count
}
