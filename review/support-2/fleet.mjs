// Stand-ins for the platform's store, upstreams and clients, and the start of the project's own gateway processes, all on loopback.
import { spawn } from 'node:child_process'
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const hasTrouble = process.env.TROUBLE !== '0'
/** An exception of a stand-in is no broken rule: the case could not run. All that was started is ended, also when the case is stopped. */
process.on('uncaughtException', error => {
  console.error(error)
  cleanUp().finally(() => process.exit(2))
})
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { cleanUp().finally(() => process.exit(2)) })
const startedAt = Date.now()
const directory = mkdtempSync(join(tmpdir(), 'review-2-'))
const cleanups = []

/** Opens the record of a case; each line has the time since the start in milliseconds. */
export function openRecord (folder) {
  const file = join(folder, 'record.txt')
  writeFileSync(file, '')
  return text => {
    appendFileSync(file, `${String(Date.now() - startedAt).padStart(6)} ${text}\n`)
  }
}

export const sleep = async ms => await new Promise(resolve => setTimeout(resolve, ms))

export async function waitFor (isTrue, timeoutMs, what) {
  const end = Date.now() + timeoutMs
  while (!(await isTrue())) {
    if (Date.now() > end) throw new Error(`not within ${timeoutMs} ms: ${what}`)
    await sleep(10)
  }
}

/** Returns a loopback port that was free a moment ago. */
export async function findPort (host = '127.0.0.1') {
  const server = createTcpServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

async function listen (server, port = 0) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return server.address().port
}

function send (response, status, body) {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Starts a stand-in for the platform's store: items, leases, watches and transactions as PROTOCOL.md describes them. */
export async function startStore () {
  const items = new Map()
  const leases = new Map()
  const history = []
  const watches = new Set()
  let revision = 1
  let lastLease = 0
  /** `delayMs`: time of an answer; `down`: `reset` or `busy` while the store is down, when leases pause; `onWrite`: called with each key written by a transaction. */
  const faults = { delayMs: 4, down: undefined, onWrite: () => {} }
  let pausedAt
  const record = change => {
    history.push(change)
    for (const wake of [...watches]) wake()
  }
  const write = (key, value, lease, at) => {
    const item = { key, value, revision: at, created: items.get(key)?.created ?? at, lease }
    items.set(key, item)
    record(item)
  }
  const drop = (key, at) => { if (items.delete(key)) record({ key, revision: at, deleted: true }) }
  const expire = () => {
    if (faults.down !== undefined) {
      pausedAt ??= performance.now()
      return
    }
    if (pausedAt !== undefined) for (const lease of leases.values()) lease.endsAt += performance.now() - pausedAt
    pausedAt = undefined
    for (const [id, lease] of leases) {
      if (lease.endsAt > performance.now()) continue
      leases.delete(id)
      for (const item of [...items.values()]) if (item.lease === id) drop(item.key, ++revision)
    }
  }
  const runTransaction = body => {
    const rows = body.precondition ?? []
    if (rows.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) return [412, { items: rows.flatMap(row => items.get(row.key) ?? []) }]
    const writes = body.writes ?? []
    if (writes.some(each => each.lease !== 0 && !leases.has(each.lease))) return [404, {}]
    revision += 1
    for (const each of writes) {
      write(each.key, each.value, each.lease, revision)
      faults.onWrite(each.key)
    }
    for (const key of body.remove ?? []) drop(key, revision)
    return [200, { revision }]
  }
  const watch = (query, response) => {
    const after = Number(query.get('after'))
    const prefix = query.get('path_prefix') ?? ''
    const find = () => history.filter(change => change.revision > after && change.key.startsWith(prefix))
    const finish = () => {
      watches.delete(wake)
      clearTimeout(timer)
      send(response, 200, { events: find(), as_of: revision })
    }
    const wake = () => { if (find().length > 0) setImmediate(() => { if (watches.has(wake)) finish() }) }
    watches.add(wake)
    const timer = setTimeout(finish, Math.min(30_000, Number(query.get('wait_ms'))))
    response.on('close', () => {
      watches.delete(wake)
      clearTimeout(timer)
    })
    wake()
  }
  const answer = (request, response, body) => {
    expire()
    const url = new URL(request.url, 'http://store')
    const [, , call, id] = url.pathname.split('/')
    const query = url.searchParams
    if (call === 'kv-key') {
      const item = items.get(query.get('key') ?? '')
      return item === undefined ? send(response, 404, { as_of: revision }) : send(response, 200, { ...item, as_of: revision })
    }
    if (call === 'kv-range') {
      const found = [...items.values()].filter(item => item.key.startsWith(query.get('path_prefix') ?? '') && item.key > (query.get('after') ?? '')).sort((a, b) => a.key < b.key ? -1 : 1)
      return send(response, 200, { items: found.slice(0, 500), has_more: found.length > 500, as_of: revision })
    }
    if (call === 'kv-watch') return watch(query, response)
    if (call === 'kv-lease') {
      const ttl = JSON.parse(body).ttl_s_time
      leases.set(++lastLease, { ttl, endsAt: performance.now() + ttl * 1000 })
      return send(response, 200, { lease: lastLease, ttl_s_time: ttl })
    }
    if (call === 'kv-keep') {
      const lease = leases.get(Number(id))
      if (lease === undefined) return send(response, 404, {})
      lease.endsAt = performance.now() + lease.ttl * 1000
      return send(response, 200, { lease: Number(id), ttl_s_time: lease.ttl })
    }
    if (call === 'kv-lease-end') {
      const lease = leases.get(Number(id))
      if (lease !== undefined) lease.endsAt = 0
      expire()
      return send(response, 200, {})
    }
    if (call === 'kv-txn') return send(response, ...runTransaction(JSON.parse(body)))
    send(response, 404, {})
  }
  const server = createServer((request, response) => {
    const parts = []
    request.on('error', () => {})
    request.on('data', part => parts.push(part))
    request.on('end', () => {
      const run = () => {
        if (faults.down === 'reset') return request.socket.resetAndDestroy()
        if (faults.down === 'busy') return send(response, 503, {})
        answer(request, response, Buffer.concat(parts).toString())
      }
      if (faults.down === undefined) setTimeout(run, faults.delayMs)
      else run()
    })
  })
  server.keepAliveTimeout = 30_000
  const timer = setInterval(expire, 20)
  const port = await listen(server)
  cleanups.push(() => {
    clearInterval(timer)
    server.closeAllConnections()
    server.close()
  })
  const read = key => {
    const item = items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString())
  }
  return {
    address: `127.0.0.1:${port}`,
    faults,
    put: (key, value) => write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0, ++revision),
    remove: key => drop(key, ++revision),
    read
  }
}

/** Starts a TCP proxy on loopback; `state.mode` is `pass` or `silent` (bytes are held while it lasts). */
export async function startProxy (target, host = '127.0.0.1') {
  const [targetHost, targetPort] = target.split(':')
  const state = { mode: 'pass' }
  const held = []
  const sockets = new Set()
  const server = createTcpServer({ allowHalfOpen: true }, inner => {
    const outer = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true })
    const link = (from, to) => {
      sockets.add(from)
      from.on('data', part => state.mode === 'pass' ? to.write(part) : held.push(() => to.write(part)))
      from.on('end', () => state.mode === 'pass' ? to.end() : held.push(() => to.end()))
      from.on('error', () => { if (state.mode === 'pass') to.destroy() })
      from.on('close', () => { sockets.delete(from); if (state.mode === 'pass') to.destroy() })
    }
    link(inner, outer)
    link(outer, inner)
  })
  const port = await new Promise(resolve => server.listen(0, host, () => resolve(server.address().port)))
  cleanups.push(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return {
    address: `${host}:${port}`,
    cut: () => { state.mode = 'silent' },
    heal: () => {
      state.mode = 'pass'
      for (const run of held.splice(0)) run()
    },
    reset: () => { for (const socket of sockets) socket.resetAndDestroy() }
  }
}

/** Renders the deploy file's template of settings from the fields of DEPLOY.md. */
export function renderTemplate (text, fields) {
  const find = (path, scope) => path.split('.').reduce((value, name) => value?.[name], scope)
  const render = (part, scope) => part
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
      const value = find(path, scope)
      if (value === undefined || value === false || value === null) return ''
      if (typeof value !== 'object') return inner.replaceAll('{{.}}', String(value))
      return Object.entries(value).map(([key, each]) => inner.replaceAll('{{@}}', key).replaceAll('{{.}}', String(each))).join('')
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path, scope) ?? ''))
  return render(text, fields)
}

/** Reads command and template of the deploy file. */
function readDeploy () {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8')
  const pick = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1] ?? ''
  return { run: pick('run').split(' '), template: readFileSync(join(root, pick('template')), 'utf8') }
}

/** Starts a gateway with the command of the deploy file, as one machine of a small deployment. */
export async function startGateway (name, store, options = {}) {
  const deploy = readDeploy()
  const ip = options.ip ?? '127.0.0.1'
  const [front, ready, peer, admin] = [await findPort(ip), await findPort(ip), await findPort(ip), await findPort(ip)]
  const fields = {
    node: name,
    zone: options.zone ?? 'pest-egy',
    region: 'pest-megye',
    ip,
    listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
    internal_ports: [peer, peer],
    limits: { cpu_share: 0.54, memory_mb: 350, max_fds: 4100, link_mbps: 1000 },
    bounds: { grace_s: 6, drain_s: 2 },
    platform: { address: options.storeAddress ?? store.address },
    zones: { 'pest-egy': 'pest-megye', 'pest-ketto': 'pest-megye' }
  }
  // Several gateways share one machine here, so each gets a port of its own for operators.
  const settings = renderTemplate(deploy.template, fields).replace(/^admin-listen = .*$/m, `admin-listen = ${ip}:${admin}`)
  const file = join(directory, `${name}.ini`)
  writeFileSync(file, settings)
  const [program, ...args] = deploy.run
  const gateway = { name, front: `${ip}:${front}`, ready: `${ip}:${ready}`, exits: [], log: join(directory, `${name}.log`), child: undefined }
  gateway.start = () => {
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, FULMARFRONT_BOOT: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(gateway.log, { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    child.on('exit', (code, signal) => gateway.exits.push({ code, signal }))
    gateway.child = child
  }
  gateway.isReady = async () => await new Promise(resolve => {
    const socket = connect(ready, ip)
    let text = ''
    socket.on('data', part => { text += part })
    socket.on('error', () => resolve(false))
    socket.on('close', () => resolve(text.startsWith('HTTP/1.1 200')))
    socket.write('GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
  })
  gateway.readLog = () => readFileSync(gateway.log, 'utf8').split('\n').filter(line => line !== '')
  gateway.start()
  cleanups.push(() => { gateway.child.kill('SIGCONT'); gateway.child.kill('SIGKILL') })
  return gateway
}

/** Ends all that was started. */
export async function cleanUp () {
  for (const run of cleanups.reverse()) run()
  await sleep(100)
  if (process.env.KEEP === '1') console.log(directory)
  else rmSync(directory, { recursive: true, force: true })
}

/** Builds a configuration as the operator writes it. */
export function buildConfiguration (version, routes, services) {
  const route = { host: 'shop.example', kind: 'safe', timeout_s: 2, target_latency_s: 0.5, priority: 0, max_attempts: 2 }
  return {
    version,
    routes: Object.fromEntries(Object.entries(routes).map(([name, each]) => [name, { ...route, ...each }])),
    services: Object.fromEntries(Object.entries(services).map(([name, each]) => [name, { health_path: '/health', max_conns: 130, ...each }])),
    limits: { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 }
  }
}

/** Registers an upstream in the store and repeats that at each heartbeat. */
export function register (store, upstream, service, options = {}) {
  const born = options.born ?? Date.now()
  let sequence = 0
  const beat = () => {
    sequence += 1
    store.put(`servers/${upstream.id}`, { service, address: options.address ?? upstream.address, zone: 'pest-egy', version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence, born })
  }
  beat()
  const timer = setInterval(beat, 870)
  const stop = () => clearInterval(timer)
  cleanups.push(stop)
  return stop
}

/** Parses the head of an HTTP message; undefined until it is complete. */
export function parseHead (bytes) {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const headers = {}
  for (const line of lines) headers[line.slice(0, line.indexOf(':')).toLowerCase()] = line.slice(line.indexOf(':') + 1).trim()
  return { first, headers, bodyAt: end + 4 }
}

/** Sends one request on a new connection and reads its answer. `isComplete`: the whole stated body arrived. */
export async function callOnce (address, text) {
  const [host, port] = address.split(':')
  return await new Promise(resolve => {
    const socket = connect(Number(port), host)
    let bytes = Buffer.alloc(0)
    let isReset = false
    const finish = () => {
      const head = parseHead(bytes)
      if (head === undefined) return resolve({ status: 0, isReset, headers: {}, body: '' })
      const body = bytes.subarray(head.bodyAt)
      resolve({ status: Number(head.first.split(' ')[1]), headers: head.headers, body: body.toString('latin1'), isReset, isComplete: head.headers['content-length'] === undefined ? !isReset : body.length >= Number(head.headers['content-length']) })
    }
    socket.on('data', part => {
      bytes = Buffer.concat([bytes, part])
      const head = parseHead(bytes)
      if (head?.headers['content-length'] !== undefined && bytes.length >= head.bodyAt + Number(head.headers['content-length'])) socket.end()
    })
    socket.on('error', () => { isReset = true })
    socket.on('close', finish)
    socket.write(text)
  })
}

/**
 * Starts an upstream. A sharded one runs only requests for keys that it holds, as PROTOCOL.md describes. `answer` may answer a
 * request in its own way: it gets the request, its response, the id, and the text of the whole answer.
 */
export async function startUpstream (id, options = {}) {
  const { isSharded = false, workMs = 20, answer } = options
  const runs = []
  const ended = []
  const grantCalls = []
  let grants = []
  const fences = new Map()
  let running = 0
  const now = () => performance.now()
  const upstream = { id, runs, ended, grantCalls, refused: [], faults: { workMs } }
  const holds = key => grants.some(grant => grant.from <= key && key <= grant.to && grant.endsAt > now())
  upstream.holds = holds
  upstream.listGrants = () => grants.filter(grant => grant.endsAt > now())
  const removeKeys = (from, to) => {
    grants = grants.flatMap(grant => {
      if (grant.from > to || grant.to < from) return [grant]
      return [...grant.from < from ? [{ ...grant, to: from - 1 }] : [], ...grant.to > to ? [{ ...grant, from: to + 1 }] : []]
    })
  }
  const highestFence = (from, to) => Math.max(0, ...[...fences].filter(([range]) => {
    const [first, last] = range.split('-').map(Number)
    return first <= to && from <= last
  }).map(([, fence]) => fence))
  const takeCall = async (request, response, body) => {
    const expected = request.headers['target-instance']
    if (expected !== undefined && expected !== id) return send(response, 421, {})
    const call = JSON.parse(body)
    const { from, to, fence } = call
    const kind = request.url.endsWith('grant') ? 'grant' : 'release'
    const seen = highestFence(from, to)
    const isRefused = kind === 'grant' && seen > fence
    grantCalls.push({ at: Date.now(), kind, from, to, fence, isRefused })
    options.onGrantCall?.(upstream, { kind, ...call, isRefused })
    if (isRefused) return send(response, 409, {})
    fences.set(`${from}-${to}`, Math.max(fence, fences.get(`${from}-${to}`) ?? 0))
    removeKeys(from, to)
    if (kind === 'grant') grants.push({ from, to, fence, endsAt: now() + call.hold_s * 1000 })
    else response.setHeader('Handover', `${id}-${fence}`)
    send(response, 200, {})
  }
  const serve = async (request, response, body) => {
    const requestId = String(request.headers['request-id'] ?? '')
    const key = request.headers['shard-key'] === undefined ? undefined : Number(request.headers['shard-key'])
    const refuse = status => {
      upstream.refused.push(requestId)
      response.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', 'Content-Length': 0 })
      response.end()
    }
    const expected = request.headers['target-instance']
    if (expected !== undefined && expected !== id) return refuse(421)
    if (isSharded && (key === undefined || !holds(key))) return refuse(421)
    if (running >= 20) return refuse(503)
    running += 1
    const run = { requestId, key, method: request.method, path: request.url, body, at: Date.now(), isGone: false }
    runs.push(run)
    response.on('close', () => { if (!response.writableFinished) run.isGone = true })
    await sleep(upstream.faults.workMs)
    running -= 1
    if (run.isGone) return
    ended.push(requestId)
    const text = `answer to ${requestId} by ${id}`
    if (answer?.({ request, response, requestId, text }) === true) return
    response.writeHead(200, { 'Request-Id': requestId, 'Response-Stamp': `${id}.${requestId}`, 'Content-Length': text.length })
    response.end(text)
  }
  const server = createServer((request, response) => {
    const parts = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', part => parts.push(part))
    request.on('end', () => {
      const body = Buffer.concat(parts)
      if (request.url === '/-/grant' || request.url === '/-/release') takeCall(request, response, body.toString())
      else serve(request, response, body)
    })
  })
  server.keepAliveTimeout = 10_000
  server.requestTimeout = 0
  const port = await listen(server, options.port)
  upstream.address = `127.0.0.1:${port}`
  upstream.port = port
  upstream.close = async () => {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
  cleanups.push(() => {
    server.closeAllConnections()
    server.close()
  })
  return upstream
}

/** Takes the whole answers with a stated length from the start of what a client has received; returns them and the rest. */
export function takeAnswers (bytes) {
  const answers = []
  for (;;) {
    const head = parseHead(bytes)
    const length = Number(head?.headers['content-length'])
    if (head === undefined || Number.isNaN(length) || bytes.length < head.bodyAt + length) return { answers, rest: bytes }
    answers.push({ status: Number(head.first.split(' ')[1]), id: head.headers['request-id'], body: bytes.subarray(head.bodyAt, head.bodyAt + length).toString('latin1') })
    bytes = bytes.subarray(head.bodyAt + length)
  }
}

/** Runs `end` when the case ends. */
export function onCleanUp (end) {
  cleanups.push(end)
}
