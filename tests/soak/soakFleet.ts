import type { ChildProcess } from 'node:child_process'
import type { GrantBackend } from '../support/platform/grantBackend.js'
import type { KvStandin } from '../support/platform/kvStandin.js'
import type { LinkProxy } from './linkProxy.js'
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startGrantBackend } from '../support/platform/grantBackend.js'
import { startKvStandin } from '../support/platform/kvStandin.js'
import { buildConfiguration, callGateway, findPort } from '../support/platform/platformFleet.js'
import { startLinkProxy } from './linkProxy.js'

/** One host: the real program in a process of its own. */
export type SoakHost = {
  name: string
  callers: string
  probes: string
  settings: string
  storeLink: LinkProxy
  process: ChildProcess | undefined
  /** Time until which guarantees with a time bound are not checked for this host, because a fault affects it. */
  affectedUntil: number
  /** Times at which its process was killed, and periods in which it was paused and catching up. */
  interruptions: Array<{ from: number, to: number }>
}

/** One backend server behind a fault-injecting link. */
export type SoakBackend = { server: GrantBackend, link: LinkProxy, service: 'shards' | 'plain', leavingAt: number | undefined, affectedUntil: number }

/** Processing time of the slowest backend server of a soak, in milliseconds: longer than the interval between two calls to a host, so that something is always in flight. */
const slowestWorkMs = 300

/** All components of a soak. */
export type SoakFleet = {
  store: KvStandin
  hosts: SoakHost[]
  backends: SoakBackend[]
  version: number
  directory: string
  startHost: (host: SoakHost) => void
  register: (backend: SoakBackend, state: 'ready' | 'draining') => void
  stop: () => Promise<void>
}

/** Starts the fleet; the log of each host is written to `directory`. */
export async function startSoakFleet (program: string, sizes: { hosts: number, shards: number, plain: number }): Promise<SoakFleet> {
  const store = await startKvStandin()
  const directory = mkdtempSync(join(tmpdir(), 'fulmar-soak-'))
  const hosts: SoakHost[] = []
  const backends: SoakBackend[] = []
  for (let index = 0; index < sizes.shards + sizes.plain; index++) {
    const service = index < sizes.shards ? 'shards' : 'plain'
    const server = await startGrantBackend(`${service}-${index}`, { sharded: service === 'shards', workMs: Math.round(slowestWorkMs * (index + 1) / (sizes.shards + sizes.plain)) })
    backends.push({ server, link: await startLinkProxy(server.address), service, leavingAt: undefined, affectedUntil: 0 })
  }
  for (let index = 0; index < sizes.hosts; index++) hosts.push(await buildHost(`host-${index}`, store.address, directory))
  const fleet: SoakFleet = {
    store,
    hosts,
    backends,
    version: 1,
    directory,
    startHost: host => startProcess(program, host, directory),
    register: (backend, state) => {
      store.put(`servers/${backend.server.id}`, {
        service: backend.service, address: backend.link.address, zone: 'zone-1', version: 'v1', slots: 4, state, cold_left_s: 0, sequence: 1, born: 1000
      })
    },
    stop: async () => {
      for (const host of hosts) host.process?.kill('SIGKILL')
      await Promise.all([...hosts.map(async host => await host.storeLink.close()), ...backends.map(async backend => await backend.link.close())])
      await Promise.all(backends.map(async backend => await backend.server.close()))
      await store.close()
    }
  }
  store.put('op/config', buildConfiguration(1))
  for (const backend of backends) fleet.register(backend, 'ready')
  for (const host of hosts) fleet.startHost(host)
  return fleet
}

async function buildHost (name: string, store: string, directory: string): Promise<SoakHost> {
  const ports = [await findPort(), await findPort(), await findPort(), await findPort()]
  const [callers, probes, peers, admin] = ports.map(port => `127.0.0.1:${port}`)
  const storeLink = await startLinkProxy(store)
  const settings = join(directory, `${name}.ini`)
  writeFileSync(settings, [
    '[gateway]', `name = ${name}`, 'zone = zone-1', 'region = region-1', `listen = ${callers}`, `probe-listen = ${probes}`,
    `peer-listen = ${peers}`, `admin-listen = ${admin}`, 'grace-ms = 6000', '[store]', `address = ${storeLink.address}`, '[regions]', 'zone-1 = region-1', ''
  ].join('\n'))
  return { name, callers: callers ?? '', probes: probes ?? '', settings, storeLink, process: undefined, affectedUntil: 0, interruptions: [] }
}

function startProcess (program: string, host: SoakHost, directory: string): void {
  const child = spawn(process.execPath, [program], { env: { ...process.env, FULMARFRONT_BOOT: host.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
  const log = createWriteStream(join(directory, `${host.name}.log`), { flags: 'a' })
  child.stdout.pipe(log)
  child.stderr.pipe(log)
  host.process = child
  child.on('exit', () => { if (host.process === child) host.process = undefined })
}

/** Whether a load balancer would send callers to a host. */
export async function isReady (host: SoakHost): Promise<boolean> {
  return host.process !== undefined && (await callGateway(host.probes, { path: '/-/readiness', fresh: true })).status === 200
}
