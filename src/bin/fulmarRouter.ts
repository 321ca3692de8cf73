#!/usr/bin/env node
import { buildDefaultRules } from '../core/router/defaultRules.js'
import { routerSettingsSchema } from '../protocol/settings.js'
import { findInsecurePort } from '../runtime/credentials.js'
import { loadHashKey } from '../runtime/hashKey.js'
import { createLog } from '../runtime/log.js'
import { startRouter } from '../runtime/routerProgram.js'
import { endProcess, handleSignals, usageExitCode } from './processSetup.js'
import { loadDaemonSetup } from './daemonSetup.js'

const usage = 'Routes callers\' requests to the backend servers that own their keys.'
const { settings, timers } = await loadDaemonSetup('fulmar-router', usage, routerSettingsSchema)
const insecureAddress = findInsecurePort(settings.tls, [settings.router['peer-listen'], settings.router['admin-listen']])
if (insecureAddress !== undefined) endProcess(`[tls] insecure-loopback: ${insecureAddress} is not a loopback address; set ca, certificate and key`, usageExitCode)
const rules = buildDefaultRules(await loadHashKey())
const outcome = await startRouter(settings, { timers, rules, log: createLog('fulmar-router', settings.log.level) })
if (outcome.kind === 'failed') endProcess(outcome.problem, 1)
handleSignals(outcome.program.drain)
await outcome.program.stopped
timers.close()
process.exit(0)
