import type { RequestOptions } from 'node:https'
import type { TlsSettings } from '../protocol/settings.js'
import { readFileSync } from 'node:fs'
import { request as openHttpRequest } from 'node:http'
import { request as openHttpsRequest } from 'node:https'
import { parseAddress } from '../protocol/documentText.js'

/** Idle time after which a call to an admin port fails, in milliseconds. */
const adminTimeoutMs = 3000

/** Result of a call to an admin port. */
export type AdminOutcome = { kind: 'answered', status: number, body: unknown } | { kind: 'unreachable', detail: string }

/** Sends a request to the admin port of a process; its answer must be JSON. */
export function callAdminPort (address: string, method: string, path: string, tls: TlsSettings): Promise<AdminOutcome> {
  const { host, port } = parseAddress(address)
  const options: RequestOptions = { host, port, method, path, timeout: adminTimeoutMs, ...readTlsOptions(tls) }
  const openRequest = options.cert === undefined ? openHttpRequest : openHttpsRequest
  return new Promise(resolve => {
    const request = openRequest(options, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => resolve(decodeAnswer(response.statusCode ?? 0, Buffer.concat(chunks).toString())))
    })
    request.on('timeout', () => request.destroy(new Error('no answer in time')))
    request.on('error', error => resolve({ kind: 'unreachable', detail: `${method} ${path} at ${address}: ${error.message}` }))
    request.end()
  })
}

function readTlsOptions (tls: TlsSettings): RequestOptions {
  if (tls['insecure-loopback'] || tls.ca === undefined || tls.certificate === undefined || tls.key === undefined) return {}
  return {
    ca: readFileSync(tls.ca),
    cert: readFileSync(tls.certificate),
    key: readFileSync(tls.key),
    servername: 'fulmar-router'
  }
}

function decodeAnswer (status: number, text: string): AdminOutcome {
  try {
    return { kind: 'answered', status, body: JSON.parse(text) }
  } catch {
    return { kind: 'unreachable', detail: 'the answer is not JSON; is this the admin port?' }
  }
}
