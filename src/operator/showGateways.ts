import type { TlsSettings } from '../protocol/settings.js'
import type { CommandResult } from './commands.js'
import * as z from 'zod'
import { callAdminPort } from './adminClient.js'
import { exitCodes } from './commands.js'

const rangeSchema = z.object({ from: z.number(), to: z.number(), owner: z.string(), fence: z.number(), phase: z.string() })
const statusSchema = z.object({
  host: z.string(),
  zone: z.string(),
  stopping: z.boolean(),
  storeUp: z.boolean(),
  configuration: z.object({ version: z.number().optional() }),
  placement: z.object({ revision: z.number(), nextFence: z.number().optional(), services: z.record(z.string(), z.array(rangeSchema)) }),
  grantingHost: z.object({ host: z.string() }).optional(),
  grantingHere: z.boolean()
})

type GatewayStatus = z.output<typeof statusSchema>

/** Reads the status of gateways at their admin addresses and shows where they differ. */
export async function showGateways (addresses: readonly string[], tls: TlsSettings): Promise<CommandResult> {
  const lines: string[] = []
  const statuses: GatewayStatus[] = []
  for (const address of addresses) {
    const outcome = await callAdminPort(address, 'GET', '/status', tls)
    if (outcome.kind === 'unreachable') {
      lines.push(`${address}: ${outcome.detail}`)
      continue
    }
    const status = statusSchema.safeParse(outcome.body)
    if (!status.success) {
      lines.push(`${address}: answered with status ${outcome.status}, not as a gateway does; is this its admin-listen address?`)
      continue
    }
    statuses.push(status.data)
    lines.push(formatGateway(status.data))
  }
  lines.push(...listDifferences(statuses), ...listOwners(statuses.find(status => status.grantingHere) ?? statuses[0]))
  return { text: lines.join('\n'), code: statuses.length === addresses.length ? exitCodes.done : exitCodes.unavailable }
}

function formatGateway (status: GatewayStatus): string {
  const store = status.storeUp ? 'store up' : 'store down'
  const role = status.grantingHere ? 'grants keys' : `granting host ${status.grantingHost?.host ?? 'unknown'}`
  return `${status.host} (${status.zone}): configuration ${status.configuration.version ?? 'none'}, placement ${status.placement.revision}, ${store}, ${role}${status.stopping ? ', stopping' : ''}`
}

function listDifferences (statuses: readonly GatewayStatus[]): string[] {
  const versions = new Set(statuses.map(status => status.configuration.version))
  const grantingHosts = statuses.filter(status => status.grantingHere).map(status => status.host)
  const lines: string[] = []
  if (versions.size > 1) lines.push(`configurations differ: ${[...versions].join(', ')}; run this again after 2 s; if they still differ, look for storeValueRejected and storeLost in the logs`)
  if (grantingHosts.length > 1) lines.push(`more than one host grants keys: ${grantingHosts.join(', ')}; one of them is cut off from the store and stops within 10 s`)
  return lines
}

function listOwners (status: GatewayStatus | undefined): string[] {
  if (status === undefined) return []
  return Object.entries(status.placement.services).flatMap(([service, ranges]) => [
    `${service}: ${ranges.length} ranges, next fencing token ${status.placement.nextFence ?? 0}`,
    ...ranges.map(range => `  keys ${range.from} to ${range.to}: ${range.owner}, token ${range.fence}, ${range.phase}`)
  ])
}
