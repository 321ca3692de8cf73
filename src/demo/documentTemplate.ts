/** A backend server as a document lists it. */
export type ListedBackend = { name: string, address: string, service: string, zone: string }

/** Formats the Host header that selects a service of the template. */
export function formatServiceHost (service: string): string {
  return `${service}.demo.test`
}

/** Builds the document of the local fleet, with one service whose backend servers check grants and one whose backend servers do not. */
export function buildDocumentText (backends: readonly ListedBackend[], lookupTargetMs = 50): string {
  const sections = backends.map(backend => [
    `[backend.${backend.name}]`,
    `service = ${backend.service}`,
    `address = ${backend.address}`,
    `zone = ${backend.zone}`
  ].join('\n'))
  return [
    '[team]\nname = demo',
    buildRankSection('lookup', lookupTargetMs, 10, 0.4, 1000),
    buildRankSection('confirmation', 200, 5, 0.3, 2000),
    buildRankSection('upload', 5000, 1, 0.1, 30_000),
    buildServiceSection('catalogue', true),
    buildServiceSection('bookings', false),
    ...sections
  ].join('\n\n') + '\n'
}

function buildRankSection (rank: string, targetMs: number, worth: number, floor: number, deadlineMs: number): string {
  return `[rank.${rank}]\ntarget-ms = ${targetMs}\nworth = ${worth}\nfloor = ${floor}\ndeadline-ms = ${deadlineMs}`
}

function buildServiceSection (name: string, checksGrants: boolean): string {
  return [
    `[service.${name}]`,
    `host = ${formatServiceHost(name)}`,
    'ranges = 64',
    `checks-grants = ${checksGrants}`,
    '',
    buildRouteSection(name, 'browse', 'GET', '/items/{key}', 'lookup', true),
    buildRouteSection(name, 'order', 'POST', '/orders/{key}', 'confirmation', false),
    buildRouteSection(name, 'photo', 'PUT', '/photos/{key}', 'upload', false)
  ].join('\n')
}

function buildRouteSection (service: string, name: string, method: string, path: string, rank: string, idempotent: boolean): string {
  return [
    `[route.${service}-${name}]`,
    `service = ${service}`,
    `method = ${method}`,
    `path = ${path}`,
    `rank = ${rank}`,
    `idempotent = ${idempotent}`,
    ''
  ].join('\n')
}

/** Changes the target latency of lookups in a document built from the template. */
export function setLookupTarget (text: string, targetMs: number): string {
  return text.replace(/(\[rank\.lookup\]\ntarget-ms = )\d+/, `$1${targetMs}`)
}
