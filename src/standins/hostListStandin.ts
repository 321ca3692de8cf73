import type { HostStatus } from '../core/domain/hostList.js'
import type { TimerService } from '../runtime/timerService.js'
import { createServer } from 'node:http'
import { listenTcp } from '../runtime/listen.js'

/** A running host list stand-in: simulates the platform's list of hosts. */
export type HostListStandin = {
  url: string
  setStatus: (address: string, status: HostStatus) => void
  /** Sets the delay until later status changes become visible, in milliseconds. */
  setLag: (lagMs: number) => void
  stop: () => void
}

/** Starts a host list stand-in, which serves the list over HTTP; undefined if it cannot listen on the address. */
export async function startHostListStandin (address: string, timers: TimerService): Promise<HostListStandin | undefined> {
  const hosts = new Map<string, HostStatus>()
  let lagMs = 0
  const server = createServer((_, response) => {
    const body = JSON.stringify({ hosts: [...hosts].map(([host, status]) => ({ address: host, status })) })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  })
  const port = await listenTcp(server, address)
  if (port.kind === 'failed') return undefined
  return {
    url: `http://${port.address}/hosts`,
    setStatus: (host, status) => {
      if (lagMs === 0) hosts.set(host, status)
      else timers.schedule(lagMs, () => { hosts.set(host, status) })
    },
    setLag: newLagMs => { lagMs = newLagMs },
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
