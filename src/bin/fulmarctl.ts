#!/usr/bin/env node
import type { CommandContext, CommandResult } from '../operator/commands.js'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import {
  applyDocumentFile, checkDocument, showDifference, startDrain, explainKey, showDocument, showStatus, waitForRevision
} from '../operator/commands.js'
import { explainRequest } from '../operator/explainRequest.js'
import { showChangeLags } from '../operator/showChangeLags.js'
import { showGateways } from '../operator/showGateways.js'
import { operatorSettingsSchema } from '../protocol/settings.js'
import { systemClock } from '../runtime/clock.js'
import { createStoreClient } from '../runtime/storeClient.js'
import { createTimerService } from '../runtime/timerService.js'
import { endProcess, loadSettings, readText, usageExitCode } from './processSetup.js'

/** Runs a command that needs the store, prints its result and ends the process. */
async function runWithStore (config: string | undefined, run: (context: CommandContext) => Promise<CommandResult>): Promise<void> {
  if (config === undefined) endProcess('--config FILE.ini is required: it contains the address of the store', usageExitCode)
  const settings = loadSettings(config, operatorSettingsSchema)
  const store = createStoreClient(settings.store.address)
  const result = await run({ store, settings, timers: createTimerService(systemClock) })
  writeResult(result)
}

function writeResult (result: CommandResult): void {
  console.log(result.text)
  process.exit(result.code)
}

await yargs(hideBin(process.argv))
  .scriptName('fulmarctl')
  .usage('$0 COMMAND --config FILE.ini\n\nManages teams\' documents and the fleet.')
  .option('config', { type: 'string', describe: 'settings in INI; see docs/CONFIGURATION.md' })
  .command('check <file>', 'check a document', builder => builder.positional('file', { type: 'string', demandOption: true }),
    options => writeResult(checkDocument(options.file, readText(options.file))))
  .command('show <team>', 'show a team\'s document', builder => builder.positional('team', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => showDocument(context, options.team)))
  .command('diff <file>', 'show what a document would change', builder => builder.positional('file', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => showDifference(context, options.file, readText(options.file))))
  .command('apply <file>', 'apply a document', builder => builder
    .positional('file', { type: 'string', demandOption: true })
    .option('base', { type: 'number', describe: 'revision that the edit is based on; default: the one in the first line of the file' }),
  options => runWithStore(options.config, context => applyDocumentFile(context, options.file, readText(options.file), options.base)))
  .command('wait <team>', 'wait until a revision is in force on every router', builder => builder
    .positional('team', { type: 'string', demandOption: true })
    .option('revision', { type: 'number', describe: 'default: the newest' })
    .option('timeout', { type: 'number', default: 10, describe: 'seconds' }),
  options => runWithStore(options.config, context => waitForRevision(context, options.team, options.revision, options.timeout * 1000)))
  .command('status', 'show every router', builder => builder,
    options => runWithStore(options.config, showStatus))
  .command('drain <router>', 'drain a router: it finishes its requests, then stops', builder => builder.positional('router', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => startDrain(context, options.router)))
  .command('explain <service> <key>', 'explain which backend server and router serve a key, as each router sees it', builder => builder
    .positional('service', { type: 'string', demandOption: true, describe: 'TEAM.SERVICE' })
    .positional('key', { type: 'string', demandOption: true }),
  options => runWithStore(options.config, context => explainKey(context, options.service, options.key)))
  .command('explain-request <id>', 'explain what happened to a request, from logs', builder => builder
    .positional('id', { type: 'string', demandOption: true, describe: 'request id that the caller sent in its request' })
    .option('logs', { type: 'array', string: true, default: ['/dev/stdin'], describe: 'log files of any number of hosts; default: standard input' }),
  options => writeResult(explainRequest(options.id, options.logs.map(readText))))
  .command('change-lags', 'show how long changes took to come into force, from logs', builder => builder
    .option('logs', { type: 'array', string: true, default: ['/dev/stdin'], describe: 'log files of any number of hosts; default: standard input' }),
  options => writeResult(showChangeLags(options.logs.map(readText))))
  .command('gateways <addresses..>', 'show the versions, owners, fencing tokens and granting host that gateways report', builder => builder
    .positional('addresses', { type: 'string', array: true, demandOption: true, describe: 'admin-listen addresses' }),
  async options => {
    const tls = options.config === undefined ? { 'insecure-loopback': true } : loadSettings(options.config, operatorSettingsSchema).tls
    writeResult(await showGateways(options.addresses, tls))
  })
  .demandCommand(1, 'a command is required')
  .strict()
  .parse()
