import type { CrowdLimits } from './crowdHost.js'
import type { CrowdProcess } from './crowdProcess.js'
import { build } from 'esbuild'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { buildDocumentText, formatServiceHost } from '../../src/demo/documentTemplate.js'
import { applyDocument } from '../../src/operator/applyDocument.js'
import { systemClock } from '../../src/runtime/clock.js'
import { createStoreClient } from '../../src/runtime/storeClient.js'
import { createTimerService } from '../../src/runtime/timerService.js'
import { callGateway, findPort } from '../support/platform/platformFleet.js'
import { optionalModules, spawnProgram } from './crowdProcess.js'

/** Service of the requests that ordinary callers send. */
export const crowdService = formatServiceHost('bookings')

/** Makes the globals of CommonJS available to bundled modules that need them. */
const commonJsBanner = [
  "import { createRequire as bundleCreateRequire } from 'node:module'",
  "import { fileURLToPath as bundleFileUrlToPath } from 'node:url'",
  'const require = bundleCreateRequire(import.meta.url)',
  'const __filename = bundleFileUrlToPath(import.meta.url)',
  "const __dirname = bundleFileUrlToPath(new URL('.', import.meta.url))"
].join(';')

/** Addresses of one program that a crowd can reach. */
export type CrowdTarget = CrowdProcess & { callers: string, peers: string, admin: string }

/** Three routers and a controller in processes of their own, with stand-ins for the rest in a further one. `router` and `controller` have the lowered limits. */
export type CrowdRouters = { router: CrowdTarget, controller: CrowdTarget, directory: string, stop: () => void }

/** Starts the programs and waits until the router with lowered limits serves. */
export async function startCrowdRouters (limits: CrowdLimits): Promise<CrowdRouters> {
  const directory = mkdtempSync(join(tmpdir(), 'fulmar-crowd-'))
  const names = ['fulmarRouter', 'fulmarController', 'fulmarStandin']
  await build({ entryPoints: names.map(name => `src/bin/${name}.ts`), bundle: true, platform: 'node', target: 'node20', format: 'esm', banner: { js: commonJsBanner }, external: optionalModules, outdir: directory, outExtension: { '.js': '.mjs' }, logLevel: 'error' })
  const processes: CrowdProcess[] = []
  const start = (program: string, name: string, settings: string[], args: string[] = []): CrowdProcess => {
    const file = join(directory, `${name}.ini`)
    writeFileSync(file, [...settings, ''].join('\n'))
    const started = spawnProgram(name, directory, [...args, join(directory, `${program}.mjs`), '--config', file])
    processes.push(started)
    return started
  }
  const stop = () => { for (const each of processes) each.kill() }
  const findAddress = async () => `127.0.0.1:${await findPort()}`
  const store = await findAddress()
  const backends = await Promise.all(['catalogue', 'bookings', 'bookings'].map(async (service, index) => ({ name: `server-${index}`, address: await findAddress(), service, zone: 'tbilisi-1' })))
  start('fulmarStandin', 'standin', ['[store]', `listen = ${store}`, ...backends.flatMap(({ name, address, service }) => [`[backend.${name}]`, `listen = ${address}`, `checks-grants = ${service === 'catalogue'}`])])
  await applyBackends(store, backends)
  const common = ['[store]', `address = ${store}`, '[tls]', 'insecure-loopback = true']
  const lowered = [`memory-mb = ${limits.memoryMb}`, `max-descriptors = ${limits.descriptors}`]
  const heap = [`--max-old-space-size=${limits.heapMb}`]
  const controls = { callers: '', peers: await findAddress(), admin: await findAddress() }
  const controller = { ...start('fulmarController', 'controller', ['[controller]', 'name = controller-1', `listen = ${controls.peers}`, `admin-listen = ${controls.admin}`, ...lowered, ...common], heap), ...controls }
  const routers: CrowdTarget[] = []
  for (const [index, zone] of ['tbilisi-1', 'imereti-1', 'adjara-1'].entries()) {
    const addresses = { callers: await findAddress(), peers: await findAddress(), admin: await findAddress() }
    const settings = ['[router]', `name = router-${index}`, `zone = ${zone}`, `listen = ${addresses.callers}`, `peer-listen = ${addresses.peers}`, `admin-listen = ${addresses.admin}`, ...(index === 0 ? lowered : []), ...common]
    routers.push({ ...start('fulmarRouter', `router-${index}`, settings, index === 0 ? heap : []), ...addresses })
  }
  const [router] = routers
  if (router === undefined || !await isServing(router)) {
    stop()
    throw new Error(`the router does not serve; its log is in ${directory}`)
  }
  return { router, controller, directory, stop }
}

async function applyBackends (address: string, backends: Parameters<typeof buildDocumentText>[0]): Promise<void> {
  const timers = createTimerService(systemClock)
  const store = createStoreClient(address)
  const isApplied = async () => (await applyDocument(store, { team: 'demo', text: buildDocumentText(backends), baseRevision: 0, author: 'test' }, timers)).kind === 'accepted'
  for (let attempt = 0; attempt < 50 && !await isApplied(); attempt++) await new Promise(resolve => setTimeout(resolve, 200))
  store.close()
  timers.close()
}

async function isServing (router: CrowdTarget): Promise<boolean> {
  const end = performance.now() + 30_000
  while (performance.now() < end && router.isAlive()) {
    const order = await callGateway(router.callers, { path: '/orders/1', method: 'POST', body: 'order', host: crowdService, fresh: true })
    if (order.status === 200) return true
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  return false
}
