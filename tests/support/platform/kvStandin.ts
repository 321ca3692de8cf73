import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'

/** Part of an answer that goes over a slow link at once, in bytes. */
const pieceBytes = 64 * 1024

/** Most items of one page of a reading; few, so that tests read several pages. */
const maxPageItems = 20
/** Most bytes of one page, unless one item has more: as on the platform. */
const maxPageBytes = 1024 * 1024

type Item = { key: string, value: string, revision: number, created: number, lease: number }
type Change = Item | { key: string, revision: number, deleted: true }

/** How the stand-in store misbehaves. */
export type KvFaults = {
  /** Answers 503, resets connections, or never answers. */
  down: 'no' | 'busy' | 'reset' | 'silent'
  delayMs: number
  /** Writes that are carried out and not answered. */
  lostWrites: number
  /** Time that each 64 KiB of an answer take, in milliseconds: as over a slow link. */
  pieceMs: number
  /** The only call whose answers that goes for. */
  slowVerb: string | undefined
}

/** Stand-in for the platform's key-value store. */
export type KvStandin = {
  address: string
  faults: KvFaults
  calls: Map<string, number>
  put: (key: string, value: unknown) => void
  remove: (key: string) => void
  read: (key: string) => string | undefined
  /** Forgets the history: watches from before answer 410. */
  compact: () => void
  /** Makes changes that no watch hears of, and forgets them: watches from before answer 410. */
  changeUnheard: (change: () => void) => void
  /** The watches that wait now get no answer, and their connections stay open. */
  loseWatches: () => void
  close: () => Promise<void>
}

/** Starts the stand-in on a free loopback port. */
export async function startKvStandin (): Promise<KvStandin> {
  const items = new Map<string, Item>()
  const leases = new Map<number, { endsAt: number, ttlMs: number }>()
  const history: Change[] = []
  const waiting = new Set<() => void>()
  const calls = new Map<string, number>()
  const faults: KvFaults = { down: 'no', delayMs: 0, lostWrites: 0, pieceMs: 0, slowVerb: undefined }
  let revision = 1
  let oldest = 1
  let nextLease = 1
  /** Call that each response answers. */
  const verbs = new WeakMap<ServerResponse, string>()

  let isUnheard = false
  const record = (change: Change) => {
    if (isUnheard) return
    history.push(change)
    for (const wake of [...waiting]) wake()
  }
  const write = (key: string, value: string, lease: number, at: number) => {
    const item: Item = { key, value, revision: at, created: items.get(key)?.created ?? at, lease }
    items.set(key, item)
    record(item)
  }
  const drop = (key: string, at: number) => {
    if (items.delete(key)) record({ key, revision: at, deleted: true })
  }
  const endLeases = () => {
    for (const [id, lease] of leases) {
      if (lease.endsAt > Date.now()) continue
      leases.delete(id)
      for (const item of [...items.values()]) {
        if (item.lease === id) drop(item.key, ++revision)
      }
    }
  }
  const transact = (body: { precondition: Array<{ key: string, revision: number }>, writes: Array<{ key: string, value: string, lease: number }>, remove: string[] }) => {
    const failed = body.precondition.filter(row => (items.get(row.key)?.revision ?? 0) !== row.revision)
    if (failed.length > 0) return { status: 412, body: { items: failed.map(row => items.get(row.key)).filter(item => item !== undefined) } }
    if (body.writes.some(item => item.lease !== 0 && !leases.has(item.lease))) return { status: 404, body: {} }
    revision += 1
    for (const item of body.writes) write(item.key, item.value, item.lease, revision)
    for (const key of body.remove) drop(key, revision)
    return { status: 200, body: { revision } }
  }
  const compact = () => {
    history.length = 0
    oldest = revision + 1
  }
  const reply = (response: ServerResponse, status: number, body: unknown) => {
    const text = JSON.stringify(body)
    const isSlow = faults.pieceMs > 0 && (faults.slowVerb === undefined || faults.slowVerb === verbs.get(response))
    if (!isSlow || text.length <= pieceBytes) return send(response, status, body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    const writeFrom = (at: number) => {
      response.write(text.slice(at, at + pieceBytes))
      if (at + pieceBytes >= text.length) response.end()
      else setTimeout(writeFrom, faults.pieceMs, at + pieceBytes)
    }
    writeFrom(0)
  }
  const answerWatch = (query: URLSearchParams, response: ServerResponse) => {
    const prefix = query.get('path_prefix') ?? ''
    const after = Number(query.get('after'))
    const find = () => history.filter(change => change.revision > after && change.key.startsWith(prefix))
    if (after < oldest - 1) return reply(response, 410, {})
    const finish = () => {
      waiting.delete(wake)
      clearTimeout(timer)
      if (after < oldest - 1) return reply(response, 410, {})
      reply(response, 200, { events: find(), as_of: revision })
    }
    const wake = () => { if (after < oldest - 1 || find().length > 0) finish() }
    const timer = setTimeout(() => { if (waiting.has(wake)) finish() }, Number(query.get('wait_ms')))
    waiting.add(wake)
    response.on('close', () => {
      waiting.delete(wake)
      clearTimeout(timer)
    })
    wake()
  }
  const answer = (request: IncomingMessage, response: ServerResponse, body: string) => {
    endLeases()
    const url = new URL(request.url ?? '/', 'http://store')
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1)
    const [, , verb, id] = url.pathname.split('/')
    verbs.set(response, verb ?? '')
    switch (verb) {
      case 'kv-key': {
        const item = items.get(url.searchParams.get('key') ?? '')
        return item === undefined ? reply(response, 404, {}) : reply(response, 200, { ...item, as_of: revision })
      }
      case 'kv-range': {
        const prefix = url.searchParams.get('path_prefix') ?? ''
        const after = url.searchParams.get('after') ?? ''
        const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((a, b) => a.key < b.key ? -1 : 1)
        const page = takePage(found)
        return reply(response, 200, { items: page, has_more: found.length > page.length, as_of: revision })
      }
      case 'kv-watch': return answerWatch(url.searchParams, response)
      case 'kv-lease': {
        const ttl = JSON.parse(body).ttl_s_time as number
        leases.set(nextLease, { endsAt: Date.now() + ttl * 1000, ttlMs: ttl * 1000 })
        nextLease += 1
        return reply(response, 200, { lease: nextLease - 1, ttl_s_time: ttl })
      }
      case 'kv-keep': {
        const lease = leases.get(Number(id))
        if (lease === undefined) return reply(response, 404, {})
        lease.endsAt = Date.now() + lease.ttlMs
        return reply(response, 200, { ttl_s_time: lease.ttlMs / 1000 })
      }
      case 'kv-lease-end': {
        const lease = leases.get(Number(id))
        if (lease !== undefined) lease.endsAt = 0
        endLeases()
        return reply(response, 200, {})
      }
      case 'kv-txn': {
        const result = transact(JSON.parse(body))
        if (faults.lostWrites > 0 && result.status === 200) {
          faults.lostWrites -= 1
          return
        }
        return reply(response, result.status, result.body)
      }
      default: return reply(response, 404, {})
    }
  }
  const server = createServer((request, response) => {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      switch (faults.down) {
        case 'busy': return send(response, 503, {})
        case 'reset': return request.socket.resetAndDestroy()
        case 'silent': return
        case 'no': setTimeout(() => answer(request, response, Buffer.concat(parts).toString()), faults.delayMs)
      }
    })
  })
  const sweep = setInterval(endLeases, 20)
  const address = await listen(server)
  return {
    address,
    faults,
    calls,
    put: (key, value) => {
      revision += 1
      write(key, (Buffer.isBuffer(value) ? value : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))).toString('base64'), 0, revision)
    },
    remove: key => drop(key, ++revision),
    read: key => {
      const item = items.get(key)
      return item === undefined ? undefined : Buffer.from(item.value, 'base64').toString()
    },
    compact,
    changeUnheard: change => {
      isUnheard = true
      change()
      isUnheard = false
      compact()
      for (const wake of [...waiting]) wake()
    },
    loseWatches: () => { waiting.clear() },
    close: async () => {
      clearInterval(sweep)
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Takes what one page of a reading holds, at least one item. */
function takePage (items: readonly Item[]): Item[] {
  const page: Item[] = []
  let bytes = 0
  for (const item of items.slice(0, maxPageItems)) {
    bytes += item.value.length
    if (page.length > 0 && bytes > maxPageBytes) break
    page.push(item)
  }
  return page
}

function send (response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Opens a free loopback port and returns its address. */
export async function listen (server: Server, port = 0): Promise<string> {
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  const bound = server.address()
  return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : port}`
}
