import type { ExecutionContext } from 'ava'
import type { LocalFleet, LocalFleetOptions } from '../../src/demo/localFleet.js'
import type { TimerService } from '../../src/runtime/timerService.js'
import type { IncomingHttpHeaders } from 'node:http'
import { request as openRequest } from 'node:http'
import { startLocalFleet } from '../../src/demo/localFleet.js'
import { parseAddress } from '../../src/protocol/documentText.js'
import { systemClock } from '../../src/runtime/clock.js'
import { createTimerService } from '../../src/runtime/timerService.js'

/** Starts a local fleet that is stopped when the test ends. */
export async function startFleet (t: ExecutionContext, options: Partial<LocalFleetOptions> = {}): Promise<{ fleet: LocalFleet, timers: TimerService }> {
  const timers = createTimerService(systemClock)
  const fleet = await startLocalFleet({
    zones: ['tbilisi-1', 'imereti-1', 'adjara-1'],
    grantCheckingBackends: 2,
    nonCheckingBackends: 2,
    routers: 3,
    workMs: 2,
    log: () => {},
    ...options
  }, timers)
  t.teardown(() => {
    fleet.stop()
    timers.close()
  })
  return { fleet, timers }
}

/** Result of a request of a caller; status 0 if the connection failed. `isComplete`: the whole answer was received. */
export type CallResult = { status: number, headers: IncomingHttpHeaders, body: string, isComplete: boolean }

/** Sends one request as a caller, on a new connection. */
export function call (
  address: string,
  options: { host: string, method?: string, path: string, id?: string, body?: Buffer, headers?: Record<string, string> }
): Promise<CallResult> {
  const { host, port } = parseAddress(address)
  return new Promise(resolve => {
    const failed = { status: 0, headers: {}, body: '', isComplete: false }
    const request = openRequest({
      host,
      port,
      agent: false,
      method: options.method ?? 'GET',
      path: options.path,
      headers: { host: options.host, 'x-request-id': options.id ?? 'test', 'content-length': options.body?.length ?? 0, ...options.headers }
    }, response => {
      const parts: Buffer[] = []
      response.on('data', (part: Buffer) => parts.push(part))
      response.on('error', () => {})
      response.on('close', () => {
        resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(parts).toString(), isComplete: response.complete })
      })
    })
    request.on('error', () => resolve(failed))
    request.end(options.body)
  })
}

/** Waits `ms` milliseconds. */
export function pause (timers: TimerService, ms: number): Promise<void> {
  return new Promise(resolve => { timers.schedule(ms, () => resolve()) })
}
