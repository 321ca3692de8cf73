import type { Assignment, Fleet, RouterEntry, UnitEntry } from '../core/domain/assignment.js'
import type { ControllerRecord, Registration } from '../core/controller/controllerState.js'
import * as z from 'zod'
import { assignmentPrefix, fleetKey } from '../core/controller/reduceController.js'
import { isConnectable } from './address.js'
import { parseDocument } from './documentText.js'

/** Prefix of every key that fulmarfront writes. */
export const keyPrefix = 'fulmar/'
/** Prefix of the keys of team documents. */
export const documentPrefix = 'fulmar/documents/'
/** Prefix of the keys of router registrations. */
export const registrationPrefix = 'fulmar/routers/'
/** Key of the controllers' leadership; bound to a lease of the store. */
export const leadershipKey = 'fulmar/controller'

/** A team document as stored: its text, revision and the operation that wrote it. */
export type StoredDocument = {
  revision: number
  operation: string
  /** Operations that wrote earlier revisions, newest first. */
  earlier: string[]
  author: string
  text: string
}

/** Highest revision, epoch or generation: those above it that follow are whole numbers as well. */
const maxCount = 2 ** 52
const revisionSchema = z.number().int().positive().max(maxCount)

const storedDocumentSchema = z.object({
  revision: revisionSchema,
  operation: z.string(),
  earlier: z.array(z.string()).default([]),
  author: z.string(),
  text: z.string()
})

const addressSchema = z.string().refine(isConnectable)
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

/** Decodes the envelope of a stored team document; undefined when it is malformed. */
export function decodeStoredDocument (value: string): StoredDocument | undefined {
  const result = storedDocumentSchema.safeParse(parseJson(value))
  return result.success ? result.data : undefined
}

/** Encodes an assignment compactly: owners as indexes, -1 for absent. */
export function encodeAssignment (assignment: Assignment): string {
  const backends: string[] = []
  const indexes = new Map<string, number>()
  const index = (name: string | undefined): number => {
    if (name === undefined) return -1
    const known = indexes.get(name)
    if (known !== undefined) return known
    indexes.set(name, backends.length)
    return backends.push(name) - 1
  }
  const encodeUnit = (entry: UnitEntry) => [index(entry.owner), entry.epoch, index(entry.wanted), entry.base ?? -1]
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

/** Decodes any record by its key; a malformed value is reported as rejected. */
export function decodeRecord (key: string, value: string): ControllerRecord | undefined {
  if (key.startsWith(documentPrefix)) return decodeDocumentRecord(key, value)
  if (key.startsWith(assignmentPrefix)) return decodeAssignment(key, value)
  if (key === fleetKey) return decodeFleet(key, value)
  if (key.startsWith(registrationPrefix)) return decodeRegistration(key, value)
  return undefined
}

/** Builds the record that stands for a deleted key. */
export function decodeDeletion (key: string): ControllerRecord | undefined {
  if (key.startsWith(documentPrefix)) return { kind: 'document-removed', team: key.slice(documentPrefix.length) }
  if (key.startsWith(registrationPrefix)) return { kind: 'registration-removed', router: key.slice(registrationPrefix.length) }
  return undefined
}

function decodeDocumentRecord (key: string, value: string): ControllerRecord {
  const stored = decodeStoredDocument(value)
  if (stored === undefined) return { kind: 'rejected', key, problem: 'not a document envelope' }
  const parsed = parseDocument(stored.text, stored.revision)
  if (parsed.kind === 'valid') return { kind: 'document', document: parsed.value }
  const first = parsed.problems[0]
  return { kind: 'rejected', key, problem: `[${first?.section}] ${first?.key}: ${first?.allowed}` }
}

function decodeAssignment (key: string, value: string): ControllerRecord {
  const result = assignmentSchema.safeParse(parseJson(value))
  if (!result.success) return { kind: 'rejected', key, problem: 'not an assignment' }
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
  if (!result.success) return { kind: 'rejected', key, problem: 'not a fleet record' }
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
  if (!result.success) return { kind: 'rejected', key, problem: 'not a registration' }
  return { kind: 'registration', registration: result.data }
}

function parseJson (value: string): unknown {
  try {
    return JSON.parse(value)
  } catch {
    return undefined
  }
}
