import type { HostList, HostStatus } from '../core/domain/hostList.js'
import type { HostsSettings } from '../protocol/settings.js'
import type { TimerService, Unsubscribe } from './timerService.js'
import { Agent, get } from 'node:http'
import * as z from 'zod'
import { watchAnswer, watchIdleConnections } from './answerExcess.js'

/** Timeout for receiving the host list, in milliseconds. */
const listTimeoutMs = 2000
/** Largest host list, in bytes. */
const maxListBytes = 4 * 1024 * 1024

const listSchema = z.object({
  hosts: z.array(z.object({ address: z.string(), status: z.enum(['live', 'leaving', 'gone']) }))
})

/** Polls the platform's host list; failed polls and malformed lists are ignored. */
export function watchHostList (
  settings: HostsSettings,
  timers: TimerService,
  notify: (hosts: HostList) => void
): Unsubscribe {
  const agent = new Agent({ keepAlive: true })
  // A closed connection needs no handling, since the next poll opens another.
  watchIdleConnections(agent, { mayKeep: () => true, notify: () => {} })
  let isPolling = false
  const poll = () => {
    if (isPolling) return
    isPolling = true
    readHostList(settings.url, agent, timers, hosts => {
      isPolling = false
      if (hosts !== undefined) notify(hosts)
    })
  }
  poll()
  const stopPolls = timers.subscribe(settings['poll-ms'], poll)
  return () => {
    stopPolls()
    agent.destroy()
  }
}

function readHostList (url: string, agent: Agent, timers: TimerService, done: (hosts: HostList | undefined) => void): void {
  let isFinished = false
  let isAnswered = false
  const finish = (hosts: HostList | undefined) => {
    if (isFinished) return
    isFinished = true
    stopTimer()
    done(hosts)
  }
  const request = get(url, { agent }, response => {
    isAnswered = true
    const parts: Buffer[] = []
    let bytes = 0
    response.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes > maxListBytes) response.destroy()
      else parts.push(part)
    })
    response.on('end', () => finish(decodeHostList(Buffer.concat(parts).toString())))
    response.on('close', () => finish(undefined))
  })
  const stopTimer = timers.schedule(listTimeoutMs, () => { request.destroy() })
  watchAnswer(request, excess => {
    if (excess === 'unending') request.destroy()
    else request.socket?.destroy()
  })
  // A server that switches protocols closes the request without a response event.
  request.on('close', () => {
    if (!isAnswered) finish(undefined)
  })
  request.on('error', () => finish(undefined))
}

/** Decodes the host list; undefined when it is malformed. */
export function decodeHostList (text: string): HostList | undefined {
  let raw: unknown
  try {
    raw = JSON.parse(text)
  } catch {
    return undefined
  }
  const result = listSchema.safeParse(raw)
  if (!result.success) return undefined
  return new Map<string, HostStatus>(result.data.hosts.map(host => [host.address, host.status]))
}
