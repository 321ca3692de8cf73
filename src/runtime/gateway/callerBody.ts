import type { IncomingMessage } from 'node:http'
import type { BodyBuffer } from '../bodyBuffer.js'

/** Number of body bytes that are buffered before routing; a request with a smaller body can be retried. */
const maxBufferedBodyBytes = 512 * 1024

/** What is known of a body: all of it, that it is too long to be buffered, that it exceeds the limit, or that it broke off. */
export type BodyState = 'complete' | 'partial' | 'oversized' | 'aborted'

/**
 * Buffers the start of a body. Calls back once it is complete, longer than `maxBytes`, aborted, or too long to be buffered completely;
 * in the last case it calls back again, with `oversized`, if the rest turns out to be longer than `maxBytes` in all.
 */
export function readBodyStart (request: IncomingMessage, body: BodyBuffer, maxBytes: number, notify: (state: BodyState) => void): void {
  const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
  if (!hasBody) {
    request.resume()
    return notify('complete')
  }
  let bytes = 0
  let state: BodyState | undefined
  const finish = (next: BodyState) => {
    if (state !== undefined && (state !== 'partial' || next !== 'oversized')) return
    state = next
    if (next !== 'partial') request.off('data', onData)
    if (next === 'partial') request.pause()
    if (next === 'oversized') request.resume()
    notify(next)
  }
  const onData = (part: Buffer) => {
    bytes += part.length
    if (bytes > maxBytes) return finish('oversized')
    if (state !== undefined) return
    body.add(part)
    if (bytes >= maxBufferedBodyBytes) finish('partial')
  }
  request.on('data', onData)
  request.once('end', () => finish('complete'))
  request.once('close', () => finish('aborted'))
}
