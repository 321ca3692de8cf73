import type { ClientRequest, RequestOptions } from 'node:http'
import { request } from 'node:http'

/** Opens a request; undefined when its target or a header is one that Node.js refuses with an exception: nothing was sent then. */
export function openRequest (options: RequestOptions): ClientRequest | undefined {
  try {
    return request(options)
  } catch {
    return undefined
  }
}
