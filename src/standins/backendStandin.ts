import type { IncomingMessage, ServerResponse } from 'node:http'
import type { TimerService } from '../runtime/timerService.js'
import type { BackendEffect, BackendEvent, BackendFaults, BackendState, RunRecord } from './backendReducer.js'
import { createServer } from 'node:http'
import { decodeGrant, grantPath, headerNames, healthPath } from '../protocol/grantWire.js'
import { listenTcp } from '../runtime/listen.js'
import { startProgram } from '../runtime/program.js'
import { buildBackendState, reduceBackend } from './backendReducer.js'

/** Options of a backend server stand-in. */
export type BackendStandinOptions = {
  name: string
  address: string
  checksGrants: boolean
  slots: number
  workMs: number
  timers: TimerService
}

/** A running backend server stand-in: simulates a backend server over HTTP. */
export type BackendStandin = {
  name: string
  address: string
  getRecords: () => readonly RunRecord[]
  getState: () => BackendState
  setFaults: (faults: Partial<BackendFaults>) => void
  /** Stops without a graceful shutdown, as in a crash; the records stay readable. */
  kill: () => void
}

type PendingRequest = { response: ServerResponse, request: IncomingMessage }

let startCount = 0

/** Starts a backend server stand-in that records every request it executes; undefined if it cannot listen on the address. */
export async function startBackendStandin (options: BackendStandinOptions): Promise<BackendStandin | undefined> {
  const { timers } = options
  const pending = new Map<string, PendingRequest>()
  let lastId = 0
  startCount += 1
  const now = () => timers.clock.now()
  const interpret = (effect: BackendEffect): void => {
    const pendingRequest = pending.get(effect.id)
    if (pendingRequest === undefined) return
    if (effect.kind === 'start-work') {
      startWork(effect.id, pendingRequest.request, effect.workMs)
      return
    }
    pending.delete(effect.id)
    answer(pendingRequest.response, effect, pendingRequest.request)
  }
  const program = startProgram<BackendState, BackendEvent, BackendEffect>({
    state: buildBackendState(options.name, `${options.name}-${startCount}`, options.checksGrants, options.slots),
    reduce: reduceBackend,
    interpret
  })
  const startWork = (id: string, request: IncomingMessage, workMs: number) => {
    let bytes = 0
    const scheduleEnd = () => timers.schedule(workMs, time => { program.post({ kind: 'work-done', now: time, id, bytes }) })
    request.on('data', (chunk: Buffer) => { bytes += chunk.length })
    if (request.readableEnded) scheduleEnd()
    else request.on('end', scheduleEnd)
    request.resume()
  }
  const server = createServer((request, response) => {
    lastId += 1
    const id = String(lastId)
    pending.set(id, { request, response })
    const transmission = request.headers[headerNames.request]
    if (transmission !== undefined) response.setHeader(headerNames.request, transmission)
    request.on('error', () => {})
    response.on('error', () => {})
    response.on('close', () => {
      if (response.writableFinished) return
      pending.delete(id)
      program.post({ kind: 'canceled', now: now(), id })
    })
    if (request.url === grantPath) return readGrant(request, id, event => program.post(event), now)
    if (request.url === healthPath) {
      program.post({ kind: 'health', now: now(), id })
      return
    }
    program.post({ kind: 'request', now: now(), wall: timers.clock.wall(), id, request: readRequest(request, options.workMs) })
  })
  const port = await listenTcp(server, options.address)
  if (port.kind === 'failed') return undefined
  return {
    name: options.name,
    address: port.address,
    getRecords: () => program.getState().records,
    getState: program.getState,
    setFaults: faults => { program.post({ kind: 'faults', now: now(), wall: timers.clock.wall(), faults }) },
    kill: () => {
      server.close()
      server.closeAllConnections()
      program.stop()
    }
  }
}

function readGrant (request: IncomingMessage, id: string, post: (event: BackendEvent) => void, now: () => number): void {
  const chunks: Buffer[] = []
  request.on('data', (chunk: Buffer) => chunks.push(chunk))
  request.on('end', () => {
    const message = decodeGrant(Buffer.concat(chunks).toString())
    if (message !== undefined) post({ kind: 'grant', now: now(), id, message })
  })
}

function readRequest (request: IncomingMessage, workMs: number) {
  const readHeader = (name: string) => {
    const value = request.headers[name]
    return typeof value === 'string' ? value : ''
  }
  return {
    requestId: readHeader('x-request-id'),
    host: readHeader('host'),
    key: decodeURIComponent(readHeader(headerNames.key)),
    unit: decodeURIComponent(readHeader(headerNames.unit)),
    epoch: Number(readHeader(headerNames.epoch)),
    holderEpoch: Number(readHeader(headerNames.holderEpoch)),
    deadline: Number(readHeader(headerNames.deadline)),
    workMs
  }
}

function answer (response: ServerResponse, effect: Exclude<BackendEffect, { kind: 'start-work' }>, request: IncomingMessage): void {
  if (response.destroyed) return
  if (effect.kind === 'refuse') {
    response.writeHead(503, { [headerNames.notRun]: '1', [headerNames.reason]: effect.reason, 'content-length': 0 })
    response.end()
    return
  }
  const body = buildBody(effect, request)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}

function buildBody (effect: Exclude<BackendEffect, { kind: 'start-work' | 'refuse' }>, request: IncomingMessage): Buffer {
  if (effect.kind === 'reply-grant') return Buffer.from(JSON.stringify(effect.answer))
  if (effect.kind === 'reply-health') return Buffer.from('{}')
  const id = request.headers['x-request-id']
  const bytes = Number(new URL(request.url ?? '/', 'http://backend').searchParams.get('bytes') ?? 0)
  const padding = Math.max(0, Math.min(bytes, 50_000_000))
  return Buffer.from(JSON.stringify({ requestId: id, epoch: effect.epoch, padding: 'x'.repeat(padding) }))
}
