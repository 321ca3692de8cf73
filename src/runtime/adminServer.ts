import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import type { PeerCredentials } from './credentials.js'
import type { TimerService } from './timerService.js'
import { createServer } from 'node:http'
import { createServer as createTlsServer } from 'node:https'

/** Interval at which the admin certificate files are reloaded, in milliseconds. */
const certificateRefreshMs = 5000

/** Data and actions that the admin port exposes. */
export type AdminServerOptions = {
  registry: Registry
  isReady: () => boolean
  /** Status as JSON data. */
  readStatus: () => unknown
  /** Explains how a key is routed, as JSON data; undefined when this process does not know the service. */
  explain?: (service: string, key: string) => unknown
  /** Starts a graceful shutdown. */
  drain?: () => void
}

/** Creates the server for operators, metrics and probes; with TLS it requires client certificates. */
export function createAdminServer (options: AdminServerOptions, credentials: PeerCredentials, timers: TimerService): Server {
  const listener: RequestListener = (request, response) => {
    answerAdmin(request, response, options).catch(() => sendJson(response, 500, { error: 'cannot read the metrics' }))
  }
  const readPem = credentials.readPem
  if (readPem === undefined) return createServer(listener)
  const server = createTlsServer({ ...readPem(), requestCert: true, rejectUnauthorized: true }, listener)
  const stop = timers.subscribe(certificateRefreshMs, () => {
    try {
      server.setSecureContext(readPem())
    } catch {
      // The files are being replaced, so the current certificate stays in use.
    }
  })
  server.on('close', stop)
  return server
}

async function answerAdmin (request: IncomingMessage, response: ServerResponse, options: AdminServerOptions): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://admin')
  switch (`${request.method} ${url.pathname}`) {
    case 'GET /livez': return sendJson(response, 200, { live: true })
    case 'GET /readyz': return sendJson(response, options.isReady() ? 200 : 503, { ready: options.isReady() })
    case 'GET /status': return sendJson(response, 200, options.readStatus())
    case 'GET /metrics': {
      response.writeHead(200, { 'content-type': options.registry.contentType })
      response.end(await options.registry.metrics())
      return
    }
    case 'GET /explain': {
      const found = options.explain?.(url.searchParams.get('service') ?? '', url.searchParams.get('key') ?? '')
      return found === undefined ? sendJson(response, 404, { error: 'unknown service' }) : sendJson(response, 200, found)
    }
    case 'POST /drain': {
      options.drain?.()
      return sendJson(response, 202, { draining: true })
    }
    default: return sendJson(response, 404, { error: `no route for ${request.method} ${url.pathname}` })
  }
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
