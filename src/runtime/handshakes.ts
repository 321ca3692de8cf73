import type { Server as TlsServer } from 'node:tls'
import type { Socket } from 'node:net'

/** Closes the oldest connection of a TLS server that has not finished its handshake when there are more than `maxPending` of them. */
export function boundHandshakes (server: TlsServer, maxPending: number): void {
  const pending = new Map<string, Socket>()
  server.on('connection', socket => {
    const peer = formatPeer(socket)
    pending.set(peer, socket)
    socket.once('close', () => { pending.delete(peer) })
    const [oldest] = pending.values()
    if (pending.size > maxPending) oldest?.destroy()
  })
  server.on('secureConnection', socket => { pending.delete(formatPeer(socket)) })
}

function formatPeer (socket: Socket): string {
  return `${socket.remoteAddress} ${socket.remotePort}`
}
