#!/usr/bin/env node
import type { BackendStandin } from '../standins/backendStandin.js'
import { standinSettingsSchema } from '../protocol/settings.js'
import { createLog, runtimeEventNumbers } from '../runtime/log.js'
import { startBackendStandin } from '../standins/backendStandin.js'
import { startControlServer } from '../standins/controlServer.js'
import { startHostListStandin } from '../standins/hostListStandin.js'
import { startStoreStandin } from '../standins/storeStandin.js'
import { endProcess, handleSignals } from './processSetup.js'
import { loadDaemonSetup } from './daemonSetup.js'

const usage = 'Simulates the platform\'s store and host list and backend servers, with fault injection; for trials and tests.'
const { settings, timers } = await loadDaemonSetup('fulmar-standin', usage, standinSettingsSchema)
const log = createLog('fulmar-standin', settings.log.level)
const store = settings.store === undefined ? undefined : await startStoreStandin(settings.store.listen, timers)
if (settings.store !== undefined && store === undefined) endProcess(`[store] listen: cannot listen on ${settings.store.listen}`, 1)
const hosts = settings.hosts === undefined ? undefined : await startHostListStandin(settings.hosts.listen, timers)
if (settings.hosts !== undefined && hosts === undefined) endProcess(`[hosts] listen: cannot listen on ${settings.hosts.listen}`, 1)
const backends: BackendStandin[] = []
for (const [name, backend] of Object.entries(settings.backend)) {
  const standin = await startBackendStandin({
    name,
    address: backend.listen,
    checksGrants: backend['checks-grants'],
    slots: backend.slots,
    workMs: backend['work-ms'],
    timers
  })
  if (standin === undefined) endProcess(`[backend.${name}] listen: cannot listen on ${backend.listen}`, 1)
  backends.push(standin)
}
const control = settings.control === undefined ? undefined : await startControlServer(settings.control.listen, { store, hosts, backends })
log(runtimeEventNumbers.started, 'started', { store: store?.address, hosts: hosts?.url, backends: backends.length, control })
handleSignals(() => {
  for (const backend of backends) backend.kill()
  hosts?.stop()
  store?.stop()
  timers.close()
  process.exit(0)
})
