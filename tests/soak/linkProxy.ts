import type { Socket } from 'node:net'
import { connect, createServer } from 'node:net'

/** How a link treats its existing and new connections. */
export type LinkMode = 'pass' | 'silent' | 'reset' | 'one-way' | 'slow'

/** A TCP proxy to one address that injects network faults between its two ends. */
export type LinkProxy = { address: string, setMode: (mode: LinkMode) => void, close: () => Promise<void> }

/** Delay of each block of data on a slow link, in milliseconds. */
const slowMs = 120

/** Starts a link to `IP:PORT`; `one-way` drops the data that the target sends back. */
export async function startLinkProxy (target: string): Promise<LinkProxy> {
  let mode: LinkMode = 'pass'
  const sockets = new Set<Socket>()
  const forward = (from: Socket, to: Socket, isReturn: boolean) => {
    from.on('data', part => {
      if (mode === 'silent' || (mode === 'one-way' && isReturn)) return
      if (mode === 'slow') setTimeout(() => { if (!to.destroyed) to.write(part) }, slowMs)
      else to.write(part)
    })
    from.on('end', () => { if (mode === 'slow') setTimeout(() => to.end(), slowMs); else to.end() })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      sockets.delete(from)
      if (from.errored !== null) to.destroy()
    })
  }
  const server = createServer({ allowHalfOpen: true }, caller => {
    if (mode === 'reset') {
      caller.resetAndDestroy()
      return
    }
    const [host, port] = target.split(':')
    const upstream = connect({ host, port: Number(port), allowHalfOpen: true })
    sockets.add(caller).add(upstream)
    forward(caller, upstream, false)
    forward(upstream, caller, true)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const bound = server.address()
  return {
    address: `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : 0}`,
    setMode: next => {
      mode = next
      if (next === 'reset') for (const socket of sockets) socket.resetAndDestroy()
    },
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
