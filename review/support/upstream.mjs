// Stand-in for a backend server of the users' platform, as PROTOCOL.md describes it: slots, a queue,
// Request-Id, Response-Stamp, Target-Instance, Not-Executed, and for a service divided by key grants and releases.
import { createServer } from 'node:http'

/**
 * Starts a backend server on a loopback address.
 * `note(kind, fields)` records what it was sent and what it ran; `spoil(response, text, headers)` may answer instead of it and then returns true.
 */
export async function startUpstream ({ id, sharded = false, workMs = 100, slots = 4, queue = 16, host = '127.0.0.1', note, spoil = () => false }) {
  const runs = []
  let grants = []
  const seen = []
  const running = new Set()
  const waiting = []
  let stamps = 0
  const now = () => performance.now()
  const findHold = key => grants.find(grant => grant.from <= key && key <= grant.to && grant.endsAt > now())
  const cut = (from, to) => {
    grants = grants.flatMap(grant => {
      if (grant.to < from || grant.from > to) return [grant]
      const rest = []
      if (grant.from < from) rest.push({ ...grant, to: from - 1 })
      if (grant.to > to) rest.push({ ...grant, from: to + 1 })
      return rest
    })
  }
  const highestFence = (from, to) => Math.max(0, ...seen.filter(each => each.from <= to && from <= each.to).map(each => each.fence))
  const send = (response, status, headers = {}, text = '') => {
    response.writeHead(status, { 'Content-Length': Buffer.byteLength(text), ...headers })
    response.end(text)
  }
  const next = () => {
    while (running.size < slots && waiting.length > 0) waiting.shift()()
  }
  const serve = (request, response, body) => {
    const requestId = request.headers['request-id']
    const target = request.headers['target-instance']
    const key = request.headers['shard-key'] === undefined ? undefined : Number(request.headers['shard-key'])
    const refuse = (status, why) => {
      note('upstream-refused', { upstream: id, requestId, status, why })
      send(response, status, { 'Not-Executed': '1', ...(requestId === undefined ? {} : { 'Request-Id': requestId }) })
    }
    if (requestId === undefined) return refuse(400, 'no id')
    if (target !== undefined && target !== id) return refuse(421, 'another instance is named')
    if (sharded && (key === undefined || findHold(key) === undefined)) return refuse(421, 'key not held')
    if (running.size >= slots && waiting.length >= queue) return refuse(503, 'full')
    const start = () => {
      if (response.destroyed) return next()
      if (sharded && findHold(key) === undefined) {
        refuse(421, 'key not held')
        return next()
      }
      const run = { requestId, method: request.method, path: request.url, bodyBytes: body.length, key, fence: key === undefined ? undefined : findHold(key)?.fence, at: now(), isDone: false }
      runs.push(run)
      running.add(run)
      note('upstream-ran', { upstream: id, ...run, at: undefined, isDone: undefined })
      setTimeout(() => {
        run.isDone = true
        running.delete(run)
        next()
        if (response.destroyed) return
        stamps += 1
        const text = `${requestId} by ${id}`
        const headers = { 'Request-Id': requestId, 'Response-Stamp': `${id}.${stamps}` }
        if (!spoil(response, text, headers)) send(response, 200, headers, text)
      }, workMs)
    }
    waiting.push(start)
    next()
  }
  const grant = (response, call) => {
    if (highestFence(call.from, call.to) > call.fence) {
      note('upstream-fenced', { upstream: id, from: call.from, to: call.to, fence: call.fence })
      return send(response, 409)
    }
    seen.push({ from: call.from, to: call.to, fence: call.fence })
    cut(call.from, call.to)
    grants.push({ from: call.from, to: call.to, fence: call.fence, endsAt: now() + call.hold_s * 1000 })
    send(response, 200)
  }
  const release = (response, call) => {
    seen.push({ from: call.from, to: call.to, fence: call.fence })
    cut(call.from, call.to)
    const finish = () => {
      if ([...running].some(run => run.key >= call.from && run.key <= call.to)) return setTimeout(finish, 5)
      send(response, 200, { Handover: `${id}.${call.from}.${call.fence}` })
    }
    finish()
  }
  const sockets = new Set()
  const server = createServer((request, response) => {
    const parts = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', part => parts.push(part))
    request.on('end', () => {
      const body = Buffer.concat(parts)
      if (request.url === '/health') return send(response, 200, { 'Instance-Id': id })
      if (!request.url.startsWith('/-/')) return serve(request, response, body)
      const target = request.headers['target-instance']
      if (target !== undefined && target !== id) return send(response, 421, { 'Not-Executed': '1' })
      const call = JSON.parse(body.toString())
      note('upstream-call', { upstream: id, call: request.url, from: call.from, to: call.to, fence: call.fence })
      if (request.url === '/-/grant') return grant(response, call)
      if (request.url === '/-/release') return release(response, call)
      send(response, 404)
    })
  })
  server.keepAliveTimeout = 10_000
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  return {
    id,
    address: `${host}:${port}`,
    /** Crashes, and starts again at the same address under the same id after `downMs`, without any memory. */
    restart: async downMs => {
      note('upstream-crashed', { upstream: id })
      server.close()
      for (const socket of sockets) socket.destroy()
      grants = []
      seen.length = 0
      running.clear()
      waiting.length = 0
      await new Promise(resolve => setTimeout(resolve, downMs))
      await new Promise(resolve => server.listen(port, host, resolve))
      note('upstream-started', { upstream: id })
    },
    runs,
    holds: key => findHold(key) !== undefined,
    listGrants: () => grants.filter(each => each.endsAt > now()),
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
