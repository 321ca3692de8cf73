import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Rank } from '../core/domain/rank.js'
import type { Clock } from '../runtime/clock.js'
import type { CallerOutcome, CallerRecord } from './callerRecord.js'
import { Agent, request as openRequest } from 'node:http'
import { headerNames } from '../protocol/grantWire.js'
import { parseAddress } from '../protocol/documentText.js'

/** A request for a caller to send; `address` is a router, `host` is the Host header. */
export type PlannedRequest = {
  requestId: string
  rank: Rank
  key: string
  host: string
  address: string
  method: string
  path: string
  idempotent: boolean
  bodyBytes: number
}

/** HTTP client that sends requests as callers do. */
export type Caller = {
  send: (planned: PlannedRequest, done: (record: CallerRecord) => void) => ClientRequest
  close: () => void
}

/** Maximum size of one write of an upload's body, in bytes. */
const maxChunkBytes = 64 * 1024

/** Builds a caller that reuses its connections. */
export function createCaller (clock: Clock): Caller {
  const agent = new Agent({ keepAlive: true, maxSockets: 2000 })
  return {
    send: (planned, done) => sendRequest(planned, agent, clock, done),
    close: () => agent.destroy()
  }
}

function sendRequest (planned: PlannedRequest, agent: Agent, clock: Clock, done: (record: CallerRecord) => void): ClientRequest {
  const sentAt = clock.now()
  let isFinished = false
  const finish = (outcome: CallerOutcome, reason: string, hasWrongContent: boolean) => {
    if (isFinished) return
    isFinished = true
    const { requestId, rank, key, idempotent } = planned
    done({ requestId, rank, key, idempotent, sentAt, endedAt: clock.now(), outcome, reason, hasWrongContent })
  }
  const { host, port } = parseAddress(planned.address)
  const request = openRequest({
    host,
    port,
    agent,
    method: planned.method,
    path: planned.path,
    headers: { host: planned.host, 'x-request-id': planned.requestId, 'content-length': planned.bodyBytes }
  })
  request.on('error', (error: NodeJS.ErrnoException) => {
    const isRefused = error.code === 'ECONNREFUSED'
    finish(isRefused ? 'refused-not-run' : 'unknown', error.code ?? 'error', false)
  })
  request.on('response', response => readAnswer(response, planned, finish))
  writeBody(request, planned.bodyBytes)
  return request
}

function writeBody (request: ClientRequest, remainingBytes: number): void {
  if (remainingBytes <= 0) {
    request.end()
    return
  }
  const chunkSize = Math.min(remainingBytes, maxChunkBytes)
  const hasBufferSpace = request.write(Buffer.alloc(chunkSize, 0x78))
  if (hasBufferSpace) setImmediate(() => writeBody(request, remainingBytes - chunkSize))
  else request.once('drain', () => writeBody(request, remainingBytes - chunkSize))
}

function readAnswer (
  response: IncomingMessage,
  planned: PlannedRequest,
  finish: (outcome: CallerOutcome, reason: string, hasWrongContent: boolean) => void
): void {
  const chunks: Buffer[] = []
  response.on('data', (chunk: Buffer) => chunks.push(chunk))
  response.on('error', () => finish('broken', 'truncated', false))
  response.on('end', () => {
    const outcome = response.headers[headerNames.outcome]
    const reason = String(response.headers[headerNames.reason] ?? '')
    if (outcome === 'not-run') return finish('refused-not-run', reason, false)
    if (outcome !== undefined) return finish('unknown', reason, false)
    if (response.statusCode !== 200) return finish('unknown', `status ${response.statusCode}`, false)
    if (!response.complete) return finish('broken', 'truncated', false)
    finish('answered', '', !isMatchingAnswer(Buffer.concat(chunks).toString(), planned))
  })
}

/** Whether an answer is complete and belongs to the request: a stand-in answers with JSON that contains the request's id, so a truncated answer does not parse. */
function isMatchingAnswer (text: string, planned: PlannedRequest): boolean {
  try {
    return JSON.parse(text).requestId === planned.requestId
  } catch {
    return false
  }
}
