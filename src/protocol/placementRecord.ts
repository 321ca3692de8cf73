import type { GrantingHost, GrantingRecord, KeyOwner, KeyRange, Placement } from '../core/gateway/model.js'
import * as z from 'zod'
import { keyCount } from '../core/gateway/model.js'
import { isSocketAddress } from './address.js'

/** Key of the placement of all sharded services. */
export const placementKey = 'fulmar/placement'
/** Key of the record of the granting host; deleted when that host's lease ends. */
export const grantingHostKey = 'fulmar/granting-host'
/** Key of the record of the last granting host; kept when that host's lease ends. */
export const lastGrantingHostKey = 'fulmar/last-granting-host'

/** Maximum fencing token: the tokens counted up from it are still exact integers. */
const maxFence = 2 ** 52
/** Maximum number of hosts in a fleet: 40 times the number that the design is for. */
const maxHosts = 100_000
/** Maximum service time, in milliseconds: one day, the maximum timeout of a route. */
const maxServiceMs = 86_400_000

const ownerSchema = z.tuple([z.string(), z.number().int().nonnegative(), z.string()])
const fenceSchema = z.number().int().positive().max(maxFence)
const indexSchema = z.number().int().nonnegative()
/** First key, fencing token, index of the owner, index of the previous owner or -1, 1 while moving and 0 otherwise. */
const rangeSchema = z.tuple([z.number().int().min(0).max(keyCount - 1), fenceSchema, indexSchema, z.number().int().min(-1), z.number().int().min(0).max(1)])
const placementSchema = z.object({
  nextFence: fenceSchema,
  holders: z.array(ownerSchema),
  services: z.record(z.string(), z.array(rangeSchema)),
  /** Estimates for starting hosts: the number of hosts, and the service time of each owner in milliseconds, 0 if unknown. */
  hosts: z.number().int().positive().max(maxHosts).default(1),
  serviceMs: z.array(z.number().int().nonnegative().max(maxServiceMs)).default([]),
  /** How often the store had been restored from an older copy when the placement was written. */
  restores: z.number().int().nonnegative().optional()
})
const grantingHostSchema = z.object({ host: z.string(), address: z.string().refine(isSocketAddress) })
const grantingRecordSchema = grantingHostSchema.extend({ unsettled: z.array(grantingHostSchema) })

/** Encodes a placement compactly, since every change of it goes to all hosts: each owner is listed once, and a range ends where the next begins. */
export function encodePlacement (placement: Placement): string {
  const owners: Array<[string, number, string]> = []
  const indexes = new Map<string, number>()
  const addOwner = (owner: KeyOwner): number => {
    const instance = `${owner.id}@${owner.startedAt}`
    const knownIndex = indexes.get(instance)
    if (knownIndex !== undefined) return knownIndex
    owners.push([owner.id, owner.startedAt, owner.address])
    indexes.set(instance, owners.length - 1)
    return owners.length - 1
  }
  const services = Object.fromEntries([...placement.services].map(([service, ranges]) => [service, ranges.map(range => {
    return [range.from, range.fence, addOwner(range.owner), range.previous === undefined ? -1 : addOwner(range.previous), range.phase === 'moving' ? 1 : 0]
  })]))
  const { restores, memory: { hosts } } = placement
  const serviceMs = owners.map(([id]) => placement.memory.serviceMs.get(id) ?? 0)
  return JSON.stringify({ nextFence: placement.nextFence, holders: owners, services, hosts, serviceMs, restores })
}

/** Decodes a placement; undefined when it is malformed. */
export function decodePlacement (text: string): Placement | undefined {
  const result = placementSchema.safeParse(parseJson(text))
  if (!result.success) return undefined
  const owners = result.data.holders.map(([id, startedAt, address]): KeyOwner => ({ id, startedAt, address }))
  const services = new Map<string, KeyRange[]>()
  for (const [service, tuples] of Object.entries(result.data.services)) {
    const ranges = buildRanges(tuples, owners)
    if (ranges === undefined) return undefined
    services.set(service, ranges)
  }
  const serviceMs = new Map<string, number>()
  owners.forEach((owner, index) => {
    const ms = result.data.serviceMs[index] ?? 0
    if (ms > 0) serviceMs.set(owner.id, ms)
  })
  const { nextFence, hosts, restores } = result.data
  return { nextFence, services, memory: { hosts, serviceMs }, ...(restores === undefined ? {} : { restores }) }
}

function buildRanges (tuples: Array<z.output<typeof rangeSchema>>, owners: readonly KeyOwner[]): KeyRange[] | undefined {
  const ranges: KeyRange[] = []
  for (const [position, [from, fence, ownerIndex, previousIndex, moving]] of tuples.entries()) {
    const to = (tuples[position + 1]?.[0] ?? keyCount) - 1
    const owner = owners[ownerIndex]
    if (owner === undefined || to < from || (previousIndex >= 0 && owners[previousIndex] === undefined)) return undefined
    ranges.push({ from, to, fence, owner, previous: owners[previousIndex], phase: moving === 1 ? 'moving' : 'held' })
  }
  return ranges
}

/** Encodes the record of the granting host. */
export function encodeGrantingHost (granting: GrantingHost): string {
  return JSON.stringify(granting)
}

/** Encodes the record of the last granting host. */
export function encodeGrantingRecord (record: GrantingRecord): string {
  return JSON.stringify(record)
}

/** Decodes the record of the last granting host; undefined when it is malformed. */
export function decodeGrantingRecord (text: string): GrantingRecord | undefined {
  const result = grantingRecordSchema.safeParse(parseJson(text))
  return result.success ? result.data : undefined
}

/** Decodes the record of the granting host; undefined when it is malformed. */
export function decodeGrantingHost (text: string): GrantingHost | undefined {
  const result = grantingHostSchema.safeParse(parseJson(text))
  return result.success ? result.data : undefined
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
