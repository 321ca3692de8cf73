import type { ClientRequest, RequestOptions } from 'node:http'
import { request } from 'node:http'

/** Opens a request. Returns undefined if Node.js throws because of an invalid target or header; in that case nothing was sent. */
export function openRequest (options: RequestOptions): ClientRequest | undefined {
  try {
    return request(options)
  } catch {
    return undefined
  }
}
