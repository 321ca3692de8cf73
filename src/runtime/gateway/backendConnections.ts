import type { Socket } from 'node:net'
import type { Clock } from '../clock.js'
import { Agent } from 'node:http'
import { watchIdleConnections } from '../answerExcess.js'

/** Time after which an idle connection is closed, in milliseconds; shorter than the idle timeout of backend servers, so that they do not close it first. */
const idleConnectionTimeoutMs = 4000
/** Largest share of the connections to one backend server that may be idle. */
const maxIdleFraction = 1 / 3

/** Connection pool for one backend server. */
export type BackendConnections = {
  agent: Agent
  /** Opens a new connection for each request and closes it afterwards. */
  singleUse: Agent
  /** Disables the reuse of connections until this time, in milliseconds. */
  setSingleUseUntil: (until: number) => void
  /** Sets the maximum number of connections of each agent. */
  setMaxConnections: (connections: number) => void
  /** Closes connections that have been idle for at least `idleMs` milliseconds. */
  closeIdle: (idleMs: number) => void
}

/** Creates the connection pool for one backend server. Bytes that arrive on an idle connection close it and are reported to `notifyStrayBytes`. */
export function createBackendConnections (clock: Clock, notifyStrayBytes: () => void): BackendConnections {
  const agent = new Agent({ keepAlive: true, scheduling: 'lifo', timeout: idleConnectionTimeoutMs })
  const singleUse = new Agent({ keepAlive: false })
  const idleSince = new WeakMap<Socket, number>()
  let singleUseUntil = -Infinity
  const reuseByDefault = agent.reuseSocket.bind(agent)
  agent.reuseSocket = (socket, request) => {
    (socket as Socket).setTimeout(0)
    reuseByDefault(socket, request)
  }
  watchIdleConnections(agent, {
    mayKeep: socket => {
      idleSince.set(socket, clock.now())
      return clock.now() >= singleUseUntil
    },
    notify: notifyStrayBytes
  })
  return {
    agent,
    singleUse,
    setSingleUseUntil: until => { singleUseUntil = Math.max(singleUseUntil, until) },
    setMaxConnections: connections => {
      agent.maxSockets = connections
      singleUse.maxSockets = connections
      agent.maxFreeSockets = Math.max(1, Math.floor(connections * maxIdleFraction))
    },
    closeIdle: idleMs => {
      const cutoff = clock.now() - idleMs
      for (const sockets of Object.values(agent.freeSockets)) {
        for (const socket of sockets ?? []) {
          if ((idleSince.get(socket) ?? 0) <= cutoff) socket.destroy()
        }
      }
    }
  }
}
