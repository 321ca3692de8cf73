// A small deployment on loopback addresses: the project's gateways as processes, started by the command of
// deploy/system.toml with settings from its template, and stand-ins of the platform's store and the backend servers.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startKvStandin } from '../../target/review/kvStandin.mjs'

/** Ends the script: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
export const results = { held: 0, broken: 1, notRun: 2 }
export const wait = async ms => await new Promise(resolve => setTimeout(resolve, ms))
export const hasTrouble = process.env.TROUBLE !== '0'

/** Creates a record of events, written to record.txt in the folder of the case. */
export function createRecord (folder) {
  const startedAt = performance.now()
  const lines = []
  return {
    note: (kind, fields = {}) => {
      lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${kind} ${JSON.stringify(fields)}`)
    },
    write: () => writeFileSync(join(folder, 'record.txt'), lines.join('\n') + '\n')
  }
}

async function findPort (host) {
  const server = createServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** Starts a proxy to one address; while it is silent it passes nothing on, in open connections and new ones. */
async function startLink (target, listenHost) {
  const [host, port] = target.split(':')
  const link = { isSilent: false }
  const sockets = new Set()
  const join = (from, to) => {
    sockets.add(from)
    from.on('data', part => { if (!link.isSilent) to.write(part) })
    from.on('error', () => {})
    from.on('close', () => {
      sockets.delete(from)
      if (!link.isSilent) to.destroy()
    })
  }
  const server = createServer(near => {
    const far = connect(Number(port), host)
    join(near, far)
    join(far, near)
  })
  await new Promise(resolve => server.listen(0, listenHost, resolve))
  return Object.assign(link, {
    address: `${listenHost}:${server.address().port}`,
    /** Passes nothing on for a time; the connections of that time are then reset. */
    silence: forMs => {
      link.isSilent = true
      setTimeout(() => {
        for (const socket of sockets) socket.resetAndDestroy()
        link.isSilent = false
      }, forMs)
    },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  })
}

/** Fills the template of the settings, with the placeholders that DEPLOY.md names. */
function fillTemplate (template, fields) {
  const find = (name, current) => name === '.' ? current : name.split('.').reduce((value, part) => value?.[part], fields)
  return template
    .replace(/\{\{#(\w+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, name, inner) => Object.entries(fields[name]).map(([at, value]) => inner.replaceAll('{{@}}', at).replaceAll('{{.}}', value)).join(''))
    .replace(/\{\{([\w.]+)\}\}/g, (_, name) => String(find(name) ?? ''))
}

/** Starts the platform's store and `gateways` processes; `configuration` is what the operator writes first. */
export async function startDeployment ({ gateways, configuration, note }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const store = await startKvStandin()
  store.put('op/config', configuration)
  const deploy = readFileSync('deploy/system.toml', 'utf8')
  const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
  const template = readFileSync(/^template = "(.*)"$/m.exec(deploy)[1], 'utf8')
  const zones = ['zone-1', 'zone-2', 'zone-3']
  const block = `127.${100 + Math.floor(Math.random() * 100)}.${Math.floor(Math.random() * 250)}`
  const hosts = []
  const links = []
  const beats = []
  let isEnding = false
  for (let index = 0; index < gateways; index++) {
    const ip = `${block}.${index + 1}`
    const listen = { front: `${ip}:${await findPort(ip)}`, ready: `${ip}:${await findPort(ip)}` }
    const file = join(folder, `host-${index}.ini`)
    const peerPort = await findPort(ip)
    const zone = zones[index % zones.length]
    const storeLink = await startLink(store.address, ip)
    links.push(storeLink)
    writeFileSync(file, fillTemplate(template, {
      node: `host-${index}`,
      ip,
      zone,
      region: 'region-1',
      listen,
      internal_ports: [peerPort, peerPort],
      limits: { cpu_share: 0.54 },
      bounds: { grace_s: 6, drain_s: 2 },
      platform: { address: storeLink.address },
      zones: Object.fromEntries(zones.map(name => [name, 'region-1']))
    }))
    hosts.push({ name: `host-${index}`, zone, front: listen.front, ready: listen.ready, file, storeLink, ends: 0, downMs: 500, child: undefined })
  }
  const start = host => {
    const child = spawn(program, args, { env: { PATH: process.env.PATH, HOME: folder, FULMARFRONT_BOOT: host.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    host.child = child
    let log = ''
    let errors = ''
    child.stdout.on('data', part => { log = (log + part).slice(-200_000) })
    child.stderr.on('data', part => { errors = (errors + part).slice(-4000) })
    host.readLog = () => log
    note('gateway-started', { host: host.name })
    child.on('exit', (code, signal) => {
      note('gateway-ended', { host: host.name, code, signal, problem: isEnding ? undefined : errors.split('\n').find(line => /Error( \[|:)/.test(line)) })
      if (isEnding) return
      if (signal !== 'SIGKILL') host.ends += 1
      // The platform starts a process again that ended, after a short delay.
      setTimeout(() => { if (!isEnding) start(host) }, host.downMs)
    })
  }
  for (const host of hosts) start(host)
  return {
    store,
    hosts,
    /** Kills a process; it is started again after `downMs`. */
    kill: (host, downMs) => {
      host.downMs = downMs
      host.child.kill('SIGKILL')
    },
    /** Registers a backend server as it does itself, about every `heartbeat_s`; returns a function that ends the reports. */
    register: (upstream, service, zone = 'zone-1') => {
      const entry = { service, address: upstream.address, zone, version: 'v1', slots: 4, state: 'ready', cold_left_s: 0, sequence: 1, born: Date.now() }
      const report = () => {
        store.put(`servers/${upstream.id}`, entry)
        entry.sequence += 1
      }
      report()
      let isPaused = false
      const timer = setInterval(() => { if (!isPaused) report() }, 870)
      beats.push(timer)
      return {
        entry,
        report: () => {
          isPaused = false
          report()
        },
        /** Ends the reports until the next one that is asked for. */
        pause: () => { isPaused = true },
        end: () => clearInterval(timer)
      }
    },
    waitReady: async timeoutMs => {
      const end = Date.now() + timeoutMs
      while (Date.now() < end) {
        const statuses = await Promise.all(hosts.map(async host => (await fetch(`http://${host.ready}/-/readiness`).catch(() => ({ status: 0 }))).status))
        if (statuses.every(status => status === 200)) return true
        await wait(100)
      }
      return false
    },
    stop: async () => {
      isEnding = true
      for (const timer of beats) clearInterval(timer)
      const children = hosts.map(host => host.child).filter(child => child !== undefined && child.exitCode === null && child.signalCode === null)
      const ended = children.map(async child => await new Promise(resolve => child.on('exit', resolve)))
      for (const child of children) child.kill('SIGKILL')
      await Promise.race([Promise.all(ended), wait(3000)])
      for (const link of links) link.close()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Runs a case and ends the script with its result; the script takes `maxMs` at most. */
export async function runCase (folder, maxMs, play) {
  const record = createRecord(folder)
  let deployment
  const finish = async result => {
    record.note('result', { exitCode: result, trouble: hasTrouble })
    record.write()
    await deployment?.stop()
    process.exit(result)
  }
  // No process of the case outlives the script, however it ends.
  process.on('exit', () => {
    for (const host of deployment?.hosts ?? []) host.child?.kill('SIGKILL')
  })
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => { finish(results.notRun) })
  setTimeout(() => {
    record.note('time-over', { maxMs })
    finish(results.notRun)
  }, maxMs)
  try {
    await finish(await play(record.note, async options => {
      deployment = await startDeployment({ ...options, note: record.note })
      return deployment
    }))
  } catch (error) {
    record.note('script-failed', { problem: String(error?.stack ?? error) })
    console.error(error)
    await finish(results.notRun)
  }
}

/** Opens a connection of a client, which sends one request after the other and reads answers with a length. */
export function openClient (address) {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let text = ''
  let settle
  const take = () => {
    const head = text.indexOf('\r\n\r\n')
    if (head < 0 || settle === undefined) return
    const length = Number(/^content-length: *(\d+)/im.exec(text.slice(0, head + 2))?.[1] ?? 0)
    if (text.length < head + 4 + length) return
    const answer = { status: Number(text.slice(9, 12)), head: text.slice(0, head), body: text.slice(head + 4, head + 4 + length) }
    text = text.slice(head + 4 + length)
    const done = settle
    settle = undefined
    done(answer)
  }
  socket.on('data', part => {
    text += part.toString('latin1')
    take()
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    const done = settle
    settle = undefined
    done?.({ status: 0, head: '', body: '' })
  })
  return {
    socket,
    isOpen: () => !socket.destroyed && !socket.readableEnded,
    /** Sends a request; status 0: the connection closed without a whole answer. */
    ask: async (method, path, { requestId, deadlineMs, host: name = 'shop.test', headers = [], body = '' }) => await new Promise(resolve => {
      settle = resolve
      if (socket.destroyed) return resolve({ status: 0, head: '', body: '' })
      const lines = [`${method} ${path} HTTP/1.1`, `Host: ${name}`, `Request-Id: ${requestId}`, `Deadline-Ms: ${deadlineMs}`, ...headers]
      socket.write(Buffer.concat([Buffer.from(lines.join('\r\n') + '\r\n\r\n'), Buffer.from(body)]))
    }),
    close: () => socket.destroy()
  }
}
