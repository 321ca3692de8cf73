import type { HostList, HostStatus } from '../core/domain/hostList.js'
import type { HostsSettings } from '../protocol/settings.js'
import type { TimerService, Unsubscribe } from './timerService.js'
import { Agent, get } from 'node:http'
import * as z from 'zod'
import { watchAnswer, watchIdle } from './answerExcess.js'

/** Longest time that the host list may take to arrive, in milliseconds. */
const listTimeoutMs = 2000
/** Largest host list, in bytes. */
const maxListBytes = 4 * 1024 * 1024

const listSchema = z.object({
  hosts: z.array(z.object({ address: z.string(), status: z.enum(['live', 'leaving', 'gone']) }))
})

/** Reads the platform's host list from time to time. */
export function watchHostList (
  settings: HostsSettings,
  timers: TimerService,
  notify: (hosts: HostList) => void
): Unsubscribe {
  const agent = new Agent({ keepAlive: true })
  // The next poll opens another connection.
  watchIdle(agent, { mayKeep: () => true, notify: () => {} })
  let busy = false
  const poll = () => {
    if (busy) return
    busy = true
    readHostList(settings.url, agent, timers, hosts => {
      busy = false
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
  let finished = false
  let isAnswered = false
  const finish = (hosts: HostList | undefined) => {
    if (finished) return
    finished = true
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
  // Also one that switches to another protocol ends here.
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
