import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Registry } from 'prom-client'
import type { CallerConnectionsOptions } from './callerConnections.js'
import type { PeerCredentials } from './credentials.js'
import { createServer } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { createAnswerQueue } from './answerQueue.js'
import { queueBodiless } from './bodilessRequests.js'
import { createCallerConnections } from './callerConnections.js'
import { boundHandshakes } from './handshakes.js'

/** Interval at which the admin certificate files are reloaded, in milliseconds. */
const certificateRefreshMs = 5000
/** Time for receiving the head of a request, and for a TLS handshake, in milliseconds. */
const headTimeoutMs = 5000
/** Time for which an idle connection is kept, in milliseconds: longer than the usual interval between two reads of the metrics. */
const idleTimeoutMs = 15_000

/** Base of the targets of requests, which have no host. */
const adminBase = 'http://admin'

/** Data and actions that the admin port exposes, and the limits of its connections. */
export type AdminServerOptions = CallerConnectionsOptions & {
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
export function createAdminServer (options: AdminServerOptions, credentials: PeerCredentials): Server {
  const { server, connectionEvent } = createHttpServer(options, credentials)
  const connections = createCallerConnections(server, { ...options, connectionEvent })
  const answers = createAnswerQueue(options.timers)
  const queue = (request: IncomingMessage, response: ServerResponse) => {
    queueBodiless(request, response, connections, headers => {
      answers.add(async () => {
        if (response.destroyed) return
        await answerAdmin(request, response, headers, options).catch(() => {
          if (response.headersSent) response.destroy()
          else sendJson(response, 500, { error: 'cannot read the metrics' }, headers)
        })
      })
    })
  }
  for (const event of ['request', 'checkContinue', 'checkExpectation']) server.on(event, queue)
  return server
}

function createHttpServer (options: AdminServerOptions, credentials: PeerCredentials): { server: Server, connectionEvent: 'connection' | 'secureConnection' } {
  const timeouts = { headersTimeout: headTimeoutMs, requestTimeout: headTimeoutMs, keepAliveTimeout: idleTimeoutMs, requireHostHeader: false }
  const readPem = credentials.readPem
  if (readPem === undefined) return { server: createServer(timeouts), connectionEvent: 'connection' }
  const server = createTlsServer({ ...timeouts, ...readPem(), requestCert: true, rejectUnauthorized: true, handshakeTimeout: headTimeoutMs })
  boundHandshakes(server, options.limits.connections)
  const stop = options.timers.subscribe(certificateRefreshMs, () => {
    try {
      server.setSecureContext(readPem())
    } catch {
      // The files are being replaced, so the current certificate stays in use.
    }
  })
  server.on('close', stop)
  return { server, connectionEvent: 'secureConnection' }
}

async function answerAdmin (request: IncomingMessage, response: ServerResponse, headers: Record<string, string>, options: AdminServerOptions): Promise<void> {
  const target = request.url ?? '/'
  if (!URL.canParse(target, adminBase)) return sendJson(response, 400, { error: 'malformed request target' }, headers)
  const url = new URL(target, adminBase)
  switch (`${request.method} ${url.pathname}`) {
    case 'GET /livez': return sendJson(response, 200, { live: true }, headers)
    case 'GET /readyz': return sendJson(response, options.isReady() ? 200 : 503, { ready: options.isReady() }, headers)
    case 'GET /status': return sendJson(response, 200, options.readStatus(), headers)
    case 'GET /metrics': {
      const page = await options.registry.metrics()
      response.writeHead(200, { 'content-type': options.registry.contentType, 'content-length': Buffer.byteLength(page), ...headers })
      response.end(page)
      return
    }
    case 'GET /explain': {
      const found = options.explain?.(url.searchParams.get('service') ?? '', url.searchParams.get('key') ?? '')
      return found === undefined ? sendJson(response, 404, { error: 'unknown service' }, headers) : sendJson(response, 200, found, headers)
    }
    case 'POST /drain': {
      options.drain?.()
      return sendJson(response, 202, { draining: true }, headers)
    }
    default: return sendJson(response, 404, { error: `no route for ${request.method} ${url.pathname}` }, headers)
  }
}

function sendJson (response: ServerResponse, status: number, body: unknown, headers: Record<string, string>): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}
