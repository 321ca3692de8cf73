import type { Socket } from 'node:net'
import { connect } from 'node:net'

/** What each caller of a crowd sends: the start once, then the block again and again, up to `maxBytes` in all. */
export type CrowdCaller = { start: string, block: string, maxBytes: number }

/** Bytes of one write of a caller. */
const writeBytes = 64 * 1024

/** Callers that write as fast as they are read, and read nothing. */
export type Crowd = { countOpen: () => number, end: () => void }

/** Starts a crowd on loopback. */
export function startCrowd (address: string, callers: number, caller: CrowdCaller): Crowd {
  const sockets = Array.from({ length: callers }, () => startCaller(address, caller))
  return {
    countOpen: () => sockets.filter(socket => !socket.destroyed).length,
    end: () => { for (const socket of sockets) socket.destroy() }
  }
}

function startCaller (address: string, caller: CrowdCaller): Socket {
  const [host, port] = address.split(':')
  const block = Buffer.from(caller.block.repeat(Math.ceil(writeBytes / caller.block.length)))
  const socket = connect(Number(port), host)
  let bytes = 0
  socket.pause()
  socket.on('error', () => {})
  const write = () => {
    if (socket.destroyed || bytes >= caller.maxBytes) return
    const part = block.subarray(0, caller.maxBytes - bytes)
    bytes += part.length
    if (socket.write(part)) setImmediate(write)
    else socket.once('drain', write)
  }
  socket.once('connect', () => {
    socket.write(caller.start)
    write()
  })
  return socket
}
