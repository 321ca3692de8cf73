import { isIP } from 'node:net'

/** Highest port of TCP. */
const maxPort = 65_535

/** Whether a text is an address that a connection can be opened to without a name service: IP:PORT, or [IP]:PORT for version 6. */
export function isConnectable (address: string): boolean {
  const match = /^(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/.exec(address)
  if (match === null) return false
  const port = Number(match[3])
  if (port < 1 || port > maxPort) return false
  return isIP(match[1] ?? match[2] ?? '') === (match[1] === undefined ? 6 : 4)
}
