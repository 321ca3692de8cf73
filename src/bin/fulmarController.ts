#!/usr/bin/env node
import { buildControllerRules } from '../core/controller/rules.js'
import { controllerSettingsSchema } from '../protocol/settings.js'
import { startController } from '../runtime/controllerProgram.js'
import { findInsecurePort } from '../runtime/credentials.js'
import { loadHashKey } from '../runtime/hashKey.js'
import { createLog } from '../runtime/log.js'
import { endProcess, handleSignals, usageExitCode } from './processSetup.js'
import { loadDaemonSetup } from './daemonSetup.js'

const usage = 'Assigns keys to backend servers, and backend servers to the routers that hold them.'
const { settings, timers } = await loadDaemonSetup('fulmar-controller', usage, controllerSettingsSchema)
const insecureAddress = findInsecurePort(settings.tls, [settings.controller.listen, settings.controller['admin-listen']])
if (insecureAddress !== undefined) endProcess(`[tls] insecure-loopback: ${insecureAddress} is not a loopback address; set ca, certificate and key`, usageExitCode)
const rules = buildControllerRules(await loadHashKey())
const outcome = await startController(settings, { timers, rules, log: createLog('fulmar-controller', settings.log.level) })
if (outcome.kind === 'failed') endProcess(outcome.problem, 1)
handleSignals(() => {
  outcome.program.stop()
  timers.close()
  process.exit(0)
})
