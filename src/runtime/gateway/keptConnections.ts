import type { Agent, ClientRequestArgs } from 'node:http'

/** Maximum number of calls that wait for the kept connections to one address. */
const maxWaitingCalls = 64

/** A call that may be sent only over a kept connection. */
export type KeptCall = {
  /** Opens the request; it gets an idle connection that the agent has kept. */
  send: () => void
  /** Ends the call without sending it. */
  abandon: () => void
}

/** Sends calls over connections that an agent has kept, never over new ones. */
export type KeptConnections = {
  /** Sends a call once a connection to its target is idle; abandons it when no connection is left. */
  run: (target: ClientRequestArgs, call: KeptCall) => void
  /** Handles the end of a connection to a target, which may have been the last one. */
  advance: (target: ClientRequestArgs) => void
}

/** Tracks the connections that an agent has kept; they must have carried nothing but calls of this kind. */
export function createKeptConnections (agent: Agent): KeptConnections {
  const waitingByName = new Map<string, KeptCall[]>()
  const hasIdle = (name: string) => agent.freeSockets[name]?.some(socket => !socket.destroyed && socket.writable) === true
  const isAnyOpen = (name: string) => hasIdle(name) || (agent.sockets[name]?.length ?? 0) > 0
  const advance = (name: string) => {
    const waiting = waitingByName.get(name)
    if (waiting === undefined) return
    while (hasIdle(name) && waiting.length > 0) waiting.shift()?.send()
    if (!isAnyOpen(name)) for (const call of waiting.splice(0)) call.abandon()
    if (waiting.length === 0) waitingByName.delete(name)
  }
  // The agent's own listener comes first and has added the connection to the idle ones.
  agent.on('free', (_socket, target: ClientRequestArgs) => advance(agent.getName(target)))
  return {
    run: (target, call) => {
      const name = agent.getName(target)
      if (hasIdle(name)) return call.send()
      const waiting = waitingByName.get(name) ?? []
      if (!isAnyOpen(name) || waiting.length >= maxWaitingCalls) return call.abandon()
      waitingByName.set(name, waiting)
      waiting.push(call)
    },
    advance: target => advance(agent.getName(target))
  }
}
