/** Status of a host in the platform's host list. */
export type HostStatus = 'live' | 'leaving' | 'gone'

/** Host statuses by address, `IP:PORT` or `IP`; the list may be stale. */
export type HostList = ReadonlyMap<string, HostStatus>

/** Finds the status of an `IP:PORT` address, or that of the IP address when the port is not listed. */
export function findHostStatus (hosts: HostList, address: string): HostStatus | undefined {
  const own = hosts.get(address)
  if (own !== undefined) return own
  return hosts.get(address.slice(0, address.lastIndexOf(':')))
}

/** Formats the address of a backend server as in the host list. */
export function formatAddress (server: { host: string, port: number }): string {
  return `${server.host}:${server.port}`
}
