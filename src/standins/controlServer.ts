import type { IncomingMessage } from 'node:http'
import type { BackendStandin } from './backendStandin.js'
import type { HostListStandin } from './hostListStandin.js'
import type { StoreStandin } from './storeStandin.js'
import { createServer } from 'node:http'
import * as z from 'zod'
import { listenTcp } from '../runtime/listen.js'

/** Stand-ins into which faults can be injected. */
export type ControlledStandins = {
  store: StoreStandin | undefined
  hosts: HostListStandin | undefined
  backends: readonly BackendStandin[]
}

const storeFaultsSchema = z.object({
  down: z.boolean(),
  delayMs: z.number(),
  lostReplies: z.number(),
  muteWatches: z.boolean(),
  staleBy: z.number()
}).partial()
const backendFaultsSchema = z.object({ frozen: z.boolean(), slowness: z.number(), capacity: z.number() }).partial()
const hostSchema = z.object({ address: z.string(), status: z.enum(['live', 'leaving', 'gone']) })

/**
 * Starts an HTTP server for fault injection and returns its address; undefined if it cannot listen. `PUT /store` and
 * `PUT /backends/NAME` set faults, `PUT /hosts` sets the status of a host; all take JSON. `GET /records` lists the executed requests.
 */
export async function startControlServer (address: string, standins: ControlledStandins): Promise<string | undefined> {
  const server = createServer((request, response) => {
    readJson(request, body => {
      const result = applyControl(`${request.method} ${request.url}`, body, standins)
      const text = JSON.stringify(result ?? { error: 'unknown path or malformed body' })
      response.writeHead(result === undefined ? 400 : 200, { 'content-type': 'application/json' })
      response.end(text)
    })
  })
  const port = await listenTcp(server, address)
  return port.kind === 'listening' ? port.address : undefined
}

function readJson (request: IncomingMessage, handleBody: (body: unknown) => void): void {
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => chunks.push(chunk))
  request.on('end', () => {
    try {
      handleBody(JSON.parse(Buffer.concat(chunks).toString() || '{}'))
    } catch {
      handleBody(undefined)
    }
  })
}

function applyControl (methodAndUrl: string, body: unknown, standins: ControlledStandins): unknown {
  if (methodAndUrl === 'GET /records') return standins.backends.flatMap(backend => [...backend.getRecords()])
  if (methodAndUrl === 'PUT /store') return applyParsed(storeFaultsSchema, body, faults => standins.store?.setFaults(faults))
  if (methodAndUrl === 'PUT /hosts') return applyParsed(hostSchema, body, host => standins.hosts?.setStatus(host.address, host.status))
  const backend = standins.backends.find(each => methodAndUrl === `PUT /backends/${each.name}`)
  if (backend === undefined) return undefined
  return applyParsed(backendFaultsSchema, body, faults => backend.setFaults(faults))
}

function applyParsed<T> (schema: z.ZodType<T>, body: unknown, apply: (value: T) => void): unknown {
  const parsed = schema.safeParse(body)
  if (!parsed.success) return undefined
  apply(parsed.data)
  return { done: true }
}
