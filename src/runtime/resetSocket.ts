import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'

/** Closes a connection so that its caller sees an error instead of an end. */
export function resetSocket (socket: Socket): void {
  // Node.js resets only plain sockets; the end of a TLS connection without its closing message is an error to the peer.
  if (socket instanceof TLSSocket) socket.destroy()
  else socket.resetAndDestroy()
}
