import type { BackendServer, KeySource, Route, Service, TeamDocument } from '../core/domain/document.js'
import type { ByRank, Rank } from '../core/domain/rank.js'
import type { ParseResult, ParseProblem } from './iniSchema.js'
import * as z from 'zod'
import { ranks } from '../core/domain/rank.js'
import { isSocketAddress } from './address.js'
import {
  addressAllowed, addressPattern, buildEnumField, buildBooleanField, buildNumberField, buildTextField,
  nameAllowed, namePattern, parseIni
} from './iniSchema.js'

const rankSchema = z.strictObject({
  'target-ms': buildNumberField(1, 600_000, 'Target response time, in milliseconds'),
  worth: buildNumberField(0, 1000, 'Relative value of an answer within the target time').default(1),
  floor: buildNumberField(0, 1, 'Share of a backend server\'s slot time reserved for the rank under overload'),
  'deadline-ms': buildNumberField(1, 600_000, 'Longest time a caller waits, in milliseconds'),
  'queue-limit': buildNumberField(1, 100_000, 'Maximum number of requests queued for one backend server').default(1000)
})

const serviceSchema = z.strictObject({
  host: buildTextField(/^[a-z0-9][a-z0-9.-]{0,252}$/, 'a host name in lower case, without port', 'Value of the Host header that selects the service'),
  ranges: buildNumberField(1, 65_536, 'Number of hash ranges in the key space, a power of two').refine(isPowerOfTwo, 'a power of two').default(64),
  'checks-grants': buildBooleanField('Whether its backend servers refuse requests without a valid grant'),
  'warm-up-ms': buildNumberField(0, 600_000, 'Time a cold backend server takes to reach full speed, in milliseconds').default(0),
  'tolerated-loss': buildNumberField(1, 1, 'Number of lost routers or backend servers that an acknowledged assignment survives without the store').default(1),
  'retry-budget': buildNumberField(0, 1, 'Maximum number of retries, as a share of requests').default(0.1)
})

const routeSchema = z.strictObject({
  service: buildTextField(namePattern, nameAllowed, 'Service that the route belongs to'),
  method: buildTextField(/^([A-Z]{1,16}|\*)$/, 'an HTTP method in upper case, or *', 'Method that the route matches'),
  path: buildTextField(/^\/\S{0,500}$/, 'a path such as /bikes/{key}; * matches one segment, a final ** the rest', 'Path that the route matches'),
  key: buildTextField(/^(path|header:[a-z0-9-]{1,64}|query:[A-Za-z0-9_-]{1,64})$/, 'path, header:NAME or query:NAME', 'Part of the request that contains the key').default('path'),
  rank: buildEnumField(ranks, 'Rank of matching requests'),
  idempotent: buildBooleanField('Whether a request may be executed more than once')
})

const backendSchema = z.strictObject({
  service: buildTextField(namePattern, nameAllowed, 'Service that the backend server belongs to'),
  address: buildTextField(addressPattern, addressAllowed, 'Address on which it listens'),
  zone: buildTextField(namePattern, nameAllowed, 'Availability zone; its region is the part before the last -'),
  slots: buildNumberField(1, 1024, 'Maximum number of concurrent requests').default(4),
  connections: buildNumberField(1, 10_000, 'Maximum number of TCP connections').default(130)
})

/** Schema of a team's document as parsed from INI. */
export const documentSchema = z.strictObject({
  team: z.strictObject({ name: buildTextField(namePattern, nameAllowed, 'Name of the team') }),
  rank: z.strictObject({ lookup: rankSchema, confirmation: rankSchema, upload: rankSchema }),
  service: z.record(z.string(), serviceSchema),
  route: z.record(z.string(), routeSchema),
  backend: z.record(z.string(), backendSchema).default({})
})

type RawDocument = z.output<typeof documentSchema>

function isPowerOfTwo (value: number): boolean {
  return Number.isInteger(Math.log2(value))
}

/** Parses a team's document; a document with any problem is rejected as a whole. */
export function parseDocument (text: string, revision: number): ParseResult<TeamDocument> {
  const parsed = parseIni(text, documentSchema)
  if (parsed.kind === 'invalid') return parsed
  const problems = findProblems(parsed.value)
  if (problems.length > 0) return { kind: 'invalid', problems }
  return { kind: 'valid', value: buildDocument(parsed.value, revision) }
}

/** Finds problems that involve more than one section. */
function findProblems (raw: RawDocument): ParseProblem[] {
  const problems: ParseProblem[] = []
  const names = [
    ...Object.keys(raw.service).map(name => ['service', name]),
    ...Object.keys(raw.route).map(name => ['route', name]),
    ...Object.keys(raw.backend).map(name => ['backend', name])
  ]
  for (const [kind, name] of names) {
    if (!namePattern.test(name ?? '')) problems.push({ section: `${kind}.${name}`, key: '', allowed: `a name that consists of ${nameAllowed}` })
  }
  if (Object.keys(raw.service).length === 0) problems.push({ section: 'service', key: '', allowed: 'at least one service' })
  const floors = ranks.reduce((sum, rank) => sum + raw.rank[rank].floor, 0)
  if (floors > 1) problems.push({ section: 'rank', key: 'floor', allowed: 'floors that add up to at most 1' })
  problems.push(...findReferenceProblems(raw), ...findDuplicateProblems(raw))
  return problems
}

function findReferenceProblems (raw: RawDocument): ParseProblem[] {
  const problems: ParseProblem[] = []
  for (const [name, route] of Object.entries(raw.route)) {
    if (!Object.hasOwn(raw.service, route.service)) {
      problems.push({ section: `route.${name}`, key: 'service', allowed: 'a service of this document' })
    }
    if (route.key === 'path' && !route.path.split('/').includes('{key}')) {
      problems.push({ section: `route.${name}`, key: 'path', allowed: 'a path with one segment {key}, or another key source' })
    }
    if (route.path.slice(0, -1).split('/').includes('**')) {
      problems.push({ section: `route.${name}`, key: 'path', allowed: '** as the last segment only' })
    }
  }
  for (const [name, backend] of Object.entries(raw.backend)) {
    if (Object.hasOwn(raw.service, backend.service)) continue
    problems.push({ section: `backend.${name}`, key: 'service', allowed: 'a service of this document' })
  }
  return problems
}

function findDuplicateProblems (raw: RawDocument): ParseProblem[] {
  const problems: ParseProblem[] = []
  const usedHosts = new Set<string>()
  for (const [name, service] of Object.entries(raw.service)) {
    if (usedHosts.has(service.host)) problems.push({ section: `service.${name}`, key: 'host', allowed: 'a host that no other service uses' })
    usedHosts.add(service.host)
  }
  const usedAddresses = new Set<string>()
  for (const [name, backend] of Object.entries(raw.backend)) {
    const { port } = parseAddress(backend.address)
    if (port < 1 || port > 65_535) problems.push({ section: `backend.${name}`, key: 'address', allowed: 'a port from 1 to 65535' })
    else if (!isSocketAddress(backend.address)) problems.push({ section: `backend.${name}`, key: 'address', allowed: 'a valid IP address' })
    if (usedAddresses.has(backend.address)) problems.push({ section: `backend.${name}`, key: 'address', allowed: 'an address that no other backend server uses' })
    usedAddresses.add(backend.address)
  }
  return problems
}

function buildDocument (raw: RawDocument, revision: number): TeamDocument {
  return {
    team: raw.team.name,
    revision,
    ranks: buildRanks(raw),
    services: Object.entries(raw.service).map(([name, service]) => buildService(raw, name, service))
  }
}

function buildRanks (raw: RawDocument): TeamDocument['ranks'] {
  const buildPolicy = (rank: Rank) => ({
    targetMs: raw.rank[rank]['target-ms'],
    worth: raw.rank[rank].worth,
    floor: raw.rank[rank].floor,
    deadlineMs: raw.rank[rank]['deadline-ms'],
    queueLimit: raw.rank[rank]['queue-limit']
  })
  const byRank: ByRank<ReturnType<typeof buildPolicy>> = {
    lookup: buildPolicy('lookup'),
    confirmation: buildPolicy('confirmation'),
    upload: buildPolicy('upload')
  }
  return byRank
}

function buildService (raw: RawDocument, name: string, service: RawDocument['service'][string]): Service {
  const routes = Object.entries(raw.route).filter(([, route]) => route.service === name)
  const backends = Object.entries(raw.backend).filter(([, backend]) => backend.service === name)
  return {
    name: `${raw.team.name}.${name}`,
    host: service.host,
    rangeCount: service.ranges,
    checksGrants: service['checks-grants'],
    warmUpMs: service['warm-up-ms'],
    toleratedLoss: service['tolerated-loss'],
    retryBudget: service['retry-budget'],
    routes: routes.map(([routeName, route]) => buildRoute(routeName, route)),
    backends: backends.map(([backendName, backend]) => buildBackend(backendName, backend))
  }
}

function buildRoute (name: string, route: RawDocument['route'][string]): Route {
  return {
    name,
    method: route.method,
    segments: route.path.split('/').filter(segment => segment.length > 0),
    key: parseKeySource(route.key),
    rank: route.rank,
    idempotent: route.idempotent
  }
}

function parseKeySource (text: string): KeySource {
  const [kind, name = ''] = text.split(':')
  if (kind === 'header') return { kind: 'header', name }
  if (kind === 'query') return { kind: 'query', name }
  return { kind: 'path' }
}

function buildBackend (name: string, backend: RawDocument['backend'][string]): BackendServer {
  const { host, port } = parseAddress(backend.address)
  return { name, host, port, zone: backend.zone, slots: backend.slots, connections: backend.connections }
}

/** Splits `IP:PORT`; brackets around an IPv6 address are removed. */
export function parseAddress (address: string): { host: string, port: number } {
  const end = address.lastIndexOf(':')
  const host = address.slice(0, end).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(end + 1)) }
}
