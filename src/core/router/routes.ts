import type { Route, Service } from '../domain/document.js'
import type { CallerRequest } from './routerEvents.js'

/** Finds the first route of a service that matches a request. */
export function findRoute (service: Service, request: CallerRequest): Route | undefined {
  const segments = parsePath(request.path)
  return service.routes.find(route => isRouteMatch(route, request.method, segments))
}

/** Splits the path of a request target into its segments, without the query string. */
export function parsePath (target: string): string[] {
  const end = target.indexOf('?')
  const path = end < 0 ? target : target.slice(0, end)
  return path.split('/').filter(segment => segment.length > 0)
}

function isRouteMatch (route: Route, method: string, segments: readonly string[]): boolean {
  if (route.method !== '*' && route.method !== method) return false
  const pattern = route.segments
  const hasWildcardTail = pattern.at(-1) === '**'
  const fixedLength = hasWildcardTail ? pattern.length - 1 : pattern.length
  if (hasWildcardTail ? segments.length < fixedLength : segments.length !== fixedLength) return false
  for (let index = 0; index < fixedLength; index++) {
    const expected = pattern[index]
    if (expected === '*' || expected === '{key}') continue
    if (expected !== segments[index]) return false
  }
  return true
}

/** Reads the key of a request from the header, query parameter or path segment that its route names; undefined if absent. */
export function readKey (route: Route, request: CallerRequest): string | undefined {
  if (route.key.kind === 'header') return readHeader(request, route.key.name)
  if (route.key.kind === 'query') return readQuery(request.path, route.key.name)
  const index = route.segments.indexOf('{key}')
  const segment = parsePath(request.path)[index]
  return segment === undefined ? undefined : decodeSegment(segment)
}

function readHeader (request: CallerRequest, name: string): string | undefined {
  const value = request.headers[name]
  return typeof value === 'string' ? value : undefined
}

function readQuery (target: string, name: string): string | undefined {
  const start = target.indexOf('?')
  if (start < 0) return undefined
  return new URLSearchParams(target.slice(start + 1)).get(name) ?? undefined
}

function decodeSegment (segment: string): string | undefined {
  if (!segment.includes('%')) return segment
  if (/%(?![0-9a-fA-F]{2})/.test(segment)) return undefined
  try {
    return decodeURIComponent(segment)
  } catch {
    return undefined
  }
}
