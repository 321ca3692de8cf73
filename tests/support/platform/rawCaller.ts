import { connect } from 'node:net'

/** Formats an upload of a caller as it is sent on the wire. */
export function buildRequest (requestId: string, timeoutMs: number): string {
  return `POST /photos/1 HTTP/1.1\r\nHost: shop.test\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: ${timeoutMs}\r\nContent-Length: 1\r\n\r\na`
}

/** Opens a TCP connection of a caller and collects the bytes received on it. */
export function openCaller (address: string) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  const parts: Buffer[] = []
  socket.on('data', (part: Buffer) => parts.push(part))
  socket.on('error', () => {})
  const closed = new Promise<void>(resolve => socket.on('close', () => resolve()))
  return { socket, closed, text: () => Buffer.concat(parts).toString('latin1') }
}
