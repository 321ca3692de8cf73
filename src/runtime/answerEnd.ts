import type { ClientRequest, IncomingMessage } from 'node:http'

/** How the body of an answer ends: by its stated length or chunked encoding, or when the connection closes, which does not prove that the body is complete. */
export type AnswerFraming = 'delimited' | 'connection-close'

/**
 * Watches how an answer ends, from its head on. Returns a function that tells, once the body has ended, whether it is whole as
 * far as its framing and its connection can show.
 */
export function watchAnswerEnd (request: ClientRequest, response: IncomingMessage, framing: AnswerFraming): () => boolean {
  if (framing === 'delimited') return () => response.complete
  const { socket } = request
  let hasFailed = false
  // Node.js also ends an answer without a length when its connection fails.
  request.on('error', () => { hasFailed = true })
  // A reset that arrives together with data is reported as a regular end, but leaves the connection without a remote address.
  socket?.prependOnceListener('end', () => { hasFailed ||= socket.remoteAddress === undefined })
  // While the request is still being written, the write may take the error of the connection.
  return () => response.complete && !hasFailed && request.writableFinished
}
