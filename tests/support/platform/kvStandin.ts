import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'

/** Size of the parts in which an answer is sent over a slow link, in bytes. */
const partBytes = 64 * 1024

/** Maximum number of items of one page; small, so that tests read several pages. */
const maxPageItems = 20
/** Maximum size of one page in bytes, exceeded only by a single larger item, as on the platform. */
const maxPageBytes = 1024 * 1024

type Item = { key: string, value: string, revision: number, created: number, lease: number }
type Change = Item | { key: string, revision: number, deleted: true }

/** Faults that the stand-in store simulates. */
export type KvFaults = {
  /** Outage: `busy` answers 503, `reset` resets connections, `silent` never answers. */
  down: 'no' | 'busy' | 'reset' | 'silent'
  delayMs: number
  /** Number of next writes that are executed but not answered. */
  lostWrites: number
  /** Delay of each 64 KiB of an answer in milliseconds, as over a slow link. */
  partDelayMs: number
  /** The only call whose answers `partDelayMs` delays; all calls when undefined. */
  slowCall: string | undefined
}

/** Copy of the stand-in's content. */
export type KvCopy = { items: Map<string, Item>, history: Change[], revision: number, nextLease: number }

/** Stand-in for the platform's key-value store. */
export type KvStandin = {
  address: string
  faults: KvFaults
  /** Number of calls by path. */
  calls: Map<string, number>
  put: (key: string, value: unknown) => void
  remove: (key: string) => void
  read: (key: string) => string | undefined
  /** Discards the history: watches that start before this revision are answered 410. */
  compact: () => void
  /** Makes changes without events for watches and compacts the history: watches that start before are answered 410. */
  changeWithoutEvents: (change: () => void) => void
  /** Copies what the store holds, without leases and the keys that they keep. */
  copy: () => KvCopy
  /** Restores the store from a copy: revisions and leases are given out again, and all answers name the next era. */
  restore: (copy: KvCopy) => void
  /** Leaves the pending watches without an answer and their connections open. */
  dropWatches: () => void
  close: () => Promise<void>
}

/** Starts the stand-in on a free loopback port. */
export async function startKvStandin (): Promise<KvStandin> {
  const items = new Map<string, Item>()
  const leases = new Map<number, { endsAt: number, ttlMs: number }>()
  const history: Change[] = []
  const pendingWatches = new Set<() => void>()
  const calls = new Map<string, number>()
  const faults: KvFaults = { down: 'no', delayMs: 0, lostWrites: 0, partDelayMs: 0, slowCall: undefined }
  let revision = 1
  let oldestRevision = 1
  let nextLease = 1
  let era = 0
  /** Name of the call that each response answers. */
  const callNames = new WeakMap<ServerResponse, string>()

  let isWithoutEvents = false
  const record = (change: Change) => {
    if (isWithoutEvents) return
    history.push(change)
    for (const wake of [...pendingWatches]) wake()
  }
  const write = (key: string, value: string, lease: number, at: number) => {
    const item: Item = { key, value, revision: at, created: items.get(key)?.created ?? at, lease }
    items.set(key, item)
    record(item)
  }
  const drop = (key: string, at: number) => {
    if (items.delete(key)) record({ key, revision: at, deleted: true })
  }
  const expireLeases = () => {
    for (const [id, lease] of leases) {
      if (lease.endsAt > Date.now()) continue
      leases.delete(id)
      for (const item of [...items.values()]) {
        if (item.lease === id) drop(item.key, ++revision)
      }
    }
  }
  const applyTransaction = (body: { precondition: Array<{ key: string, revision: number }>, writes: Array<{ key: string, value: string, lease: number }>, remove: string[] }) => {
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
    oldestRevision = revision + 1
  }
  const reply = (response: ServerResponse, status: number, body: unknown) => {
    if (era > 0) response.setHeader('Store-Era', String(era))
    const text = JSON.stringify(body)
    const isSlow = faults.partDelayMs > 0 && (faults.slowCall === undefined || faults.slowCall === callNames.get(response))
    if (!isSlow || text.length <= partBytes) return send(response, status, body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    const writeFrom = (at: number) => {
      response.write(text.slice(at, at + partBytes))
      if (at + partBytes >= text.length) response.end()
      else setTimeout(writeFrom, faults.partDelayMs, at + partBytes)
    }
    writeFrom(0)
  }
  const answerWatch = (query: URLSearchParams, response: ServerResponse) => {
    const prefix = query.get('path_prefix') ?? ''
    const after = Number(query.get('after'))
    const find = () => history.filter(change => change.revision > after && change.key.startsWith(prefix))
    if (after < oldestRevision - 1) return reply(response, 410, {})
    const finish = () => {
      pendingWatches.delete(wake)
      clearTimeout(timer)
      if (after < oldestRevision - 1) return reply(response, 410, {})
      reply(response, 200, { events: find(), as_of: revision })
    }
    const wake = () => { if (after < oldestRevision - 1 || find().length > 0) finish() }
    const timer = setTimeout(() => { if (pendingWatches.has(wake)) finish() }, Number(query.get('wait_ms')))
    pendingWatches.add(wake)
    response.on('close', () => {
      pendingWatches.delete(wake)
      clearTimeout(timer)
    })
    wake()
  }
  const answer = (request: IncomingMessage, response: ServerResponse, body: string) => {
    expireLeases()
    const url = new URL(request.url ?? '/', 'http://store')
    calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1)
    const [, , verb, id] = url.pathname.split('/')
    callNames.set(response, verb ?? '')
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
        expireLeases()
        return reply(response, 200, {})
      }
      case 'kv-txn': {
        const result = applyTransaction(JSON.parse(body))
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
  const expiryTimer = setInterval(expireLeases, 20)
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
    changeWithoutEvents: change => {
      isWithoutEvents = true
      change()
      isWithoutEvents = false
      compact()
      for (const wake of [...pendingWatches]) wake()
    },
    copy: () => ({ items: new Map([...items].filter(([, item]) => item.lease === 0)), history: history.filter(change => !('lease' in change) || change.lease === 0), revision, nextLease }),
    restore: copy => {
      era += 1
      items.clear()
      for (const [key, item] of copy.items) items.set(key, item)
      history.splice(0, history.length, ...copy.history)
      leases.clear()
      revision = copy.revision
      nextLease = copy.nextLease
    },
    dropWatches: () => { pendingWatches.clear() },
    close: async () => {
      clearInterval(expiryTimer)
      server.closeAllConnections()
      await new Promise(resolve => server.close(resolve))
    }
  }
}

/** Takes the items of one page, at least one. */
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

/** Listens on a loopback port, a free one by default, and returns its address. */
export async function listen (server: Server, port = 0): Promise<string> {
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
  const bound = server.address()
  return `127.0.0.1:${typeof bound === 'object' && bound !== null ? bound.port : port}`
}
