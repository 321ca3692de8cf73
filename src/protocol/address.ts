import { isIP } from 'node:net'

/** Highest TCP port number. */
const maxPort = 65_535

/** Returns whether a text is an IP address with a port, so that a connection needs no name resolution: IP:PORT, or [IP]:PORT for IPv6. */
export function isSocketAddress (address: string): boolean {
  const match = /^(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/.exec(address)
  if (match === null) return false
  const port = Number(match[3])
  if (port < 1 || port > maxPort) return false
  return isIP(match[1] ?? match[2] ?? '') === (match[1] === undefined ? 6 : 4)
}
