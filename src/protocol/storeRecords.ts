import type { Assignment, Fleet, RouterEntry, UnitEntry } from '../core/domain/assignment.js'
import type { ControllerRecord, Registration } from '../core/controller/controllerState.js'
import * as z from 'zod'
import { assignmentPrefix, fleetKey } from '../core/controller/reduceController.js'
import { isSocketAddress } from './address.js'
import { parseDocument } from './documentText.js'

/** Prefix of every key that fulmarfront writes. */
export const keyPrefix = 'fulmar/'
/** Prefix of the keys of team documents. */
export const documentPrefix = 'fulmar/documents/'
/** Prefix of the keys of router registrations. */
export const registrationPrefix = 'fulmar/routers/'
/** Key of the record of the leading controller; deleted when that controller's lease ends. */
export const leadershipKey = 'fulmar/controller'

/** A team document as stored: its text, its revision, and the id of the write operation that created this revision. */
export type StoredDocument = {
  revision: number
  operation: string
  /** Ids of the operations that wrote earlier revisions, newest first. */
  earlier: string[]
  author: string
  text: string
}

/** Maximum revision, epoch or generation: the numbers counted up from it are still exact integers. */
const maxCount = 2 ** 52
const revisionSchema = z.number().int().positive().max(maxCount)

const storedDocumentSchema = z.object({
  revision: revisionSchema,
  operation: z.string(),
  earlier: z.array(z.string()).default([]),
  author: z.string(),
  text: z.string()
})

const addressSchema = z.string().refine(isSocketAddress)
const epochSchema = z.number().int().nonnegative().max(maxCount)
const unitSchema = z.tuple([z.number().int(), epochSchema, z.number().int(), z.number().int()])
const assignmentSchema = z.object({
  revision: revisionSchema,
  operation: z.string(),
  backends: z.array(z.string()),
  ranges: z.array(unitSchema).min(1),
  keys: z.array(z.tuple([z.string(), unitSchema])),
  holders: z.array(z.tuple([z.string(), z.string(), epochSchema, z.string().nullable()]))
})
const fleetSchema = z.object({
  revision: revisionSchema,
  operation: z.string(),
  routers: z.array(z.object({
    router: z.string(),
    address: addressSchema,
    adminAddress: addressSchema,
    zone: z.string(),
    generation: z.number().int().max(maxCount),
    successor: z.string().optional(),
    witness: z.string().optional(),
    pivot: z.string().optional()
  }))
})
const registrationSchema = z.object({
  router: z.string(),
  address: addressSchema,
  adminAddress: addressSchema,
  zone: z.string()
})

/** Encodes a team document for the store. */
export function encodeDocument (document: StoredDocument): string {
  return JSON.stringify(document)
}

/** Decodes the stored record of a team document without parsing its text; undefined when it is malformed. */
export function decodeStoredDocument (value: string): StoredDocument | undefined {
  const result = storedDocumentSchema.safeParse(parseJson(value))
  return result.success ? result.data : undefined
}

/** Encodes an assignment compactly: backend servers as indexes into a list, -1 for none. */
export function encodeAssignment (assignment: Assignment): string {
  const backends: string[] = []
  const indexes = new Map<string, number>()
  const addBackend = (name: string | undefined): number => {
    if (name === undefined) return -1
    const knownIndex = indexes.get(name)
    if (knownIndex !== undefined) return knownIndex
    indexes.set(name, backends.length)
    return backends.push(name) - 1
  }
  const encodeUnit = (entry: UnitEntry) => [addBackend(entry.owner), entry.epoch, addBackend(entry.wanted), entry.base ?? -1]
  const ranges = assignment.ranges.map(encodeUnit)
  const keys = [...assignment.keys].map(([key, entry]) => [key, encodeUnit(entry)])
  const holders = [...assignment.holders].map(([name, holder]) => [name, holder.router, holder.epoch, holder.wanted ?? null])
  const { revision, operation } = assignment
  return JSON.stringify({ revision, operation, backends, ranges, keys, holders })
}

/** Encodes the fleet record. */
export function encodeFleet (fleet: Fleet): string {
  return JSON.stringify({ revision: fleet.revision, operation: fleet.operation, routers: [...fleet.routers.values()] })
}

/** Encodes a router registration. */
export function encodeRegistration (registration: Registration): string {
  return JSON.stringify(registration)
}

/** Decodes a record according to its key; a malformed one becomes a record of kind `rejected`, and undefined means that the key is of no known kind. */
export function decodeRecord (key: string, value: string): ControllerRecord | undefined {
  if (key.startsWith(documentPrefix)) return decodeDocumentRecord(key, value)
  if (key.startsWith(assignmentPrefix)) return decodeAssignment(key, value)
  if (key === fleetKey) return decodeFleet(key, value)
  if (key.startsWith(registrationPrefix)) return decodeRegistration(key, value)
  return undefined
}

/** Decodes the deletion of a key; undefined when deletions of such keys are ignored. */
export function decodeDeletion (key: string): ControllerRecord | undefined {
  if (key.startsWith(documentPrefix)) return { kind: 'document-removed', team: key.slice(documentPrefix.length) }
  if (key.startsWith(registrationPrefix)) return { kind: 'registration-removed', router: key.slice(registrationPrefix.length) }
  return undefined
}

function decodeDocumentRecord (key: string, value: string): ControllerRecord {
  const stored = decodeStoredDocument(value)
  if (stored === undefined) return { kind: 'rejected', key, problem: 'malformed record of a team document' }
  const parsed = parseDocument(stored.text, stored.revision)
  if (parsed.kind === 'valid') return { kind: 'document', document: parsed.value }
  const firstProblem = parsed.problems[0]
  return { kind: 'rejected', key, problem: `[${firstProblem?.section}] ${firstProblem?.key}: ${firstProblem?.allowed}` }
}

function decodeAssignment (key: string, value: string): ControllerRecord {
  const result = assignmentSchema.safeParse(parseJson(value))
  if (!result.success) return { kind: 'rejected', key, problem: 'malformed assignment' }
  const raw = result.data
  const decodeUnit = ([owner, epoch, wanted, base]: z.output<typeof unitSchema>): UnitEntry => {
    const entry: UnitEntry = { owner: raw.backends[owner] ?? '', epoch }
    const wantedName = raw.backends[wanted]
    if (wantedName !== undefined) entry.wanted = wantedName
    if (base >= 0) entry.base = base
    return entry
  }
  const assignment: Assignment = {
    service: key.slice(assignmentPrefix.length),
    revision: raw.revision,
    operation: raw.operation,
    ranges: raw.ranges.map(decodeUnit),
    keys: new Map(raw.keys.map(([name, unit]) => [name, decodeUnit(unit)])),
    holders: new Map(raw.holders.map(([name, router, epoch, wanted]) => {
      return [name, wanted === null ? { router, epoch } : { router, epoch, wanted }]
    }))
  }
  return { kind: 'assignment', assignment }
}

function decodeFleet (key: string, value: string): ControllerRecord {
  const result = fleetSchema.safeParse(parseJson(value))
  if (!result.success) return { kind: 'rejected', key, problem: 'malformed fleet record' }
  const { revision, operation, routers } = result.data
  const entries = routers.map((entry): [string, RouterEntry] => [entry.router, {
    ...entry,
    successor: entry.successor,
    witness: entry.witness,
    pivot: entry.pivot
  }])
  return { kind: 'fleet', fleet: { revision, operation, routers: new Map(entries) } }
}

function decodeRegistration (key: string, value: string): ControllerRecord {
  const result = registrationSchema.safeParse(parseJson(value))
  if (!result.success) return { kind: 'rejected', key, problem: 'malformed router registration' }
  return { kind: 'registration', registration: result.data }
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return undefined
  }
}
