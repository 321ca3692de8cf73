#!/usr/bin/env node
import type { CommandContext, CommandResult } from '../operator/commands.js'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import {
  applyCommand, checkDocument, showDifference, startDrainOf, showKeyEverywhere, showDocument, showStatus, waitCommand
} from '../operator/commands.js'
import { explainRequest } from '../operator/explainRequest.js'
import { showChangeLags } from '../operator/showChangeLags.js'
import { showGateways } from '../operator/showGateways.js'
import { operatorSettingsSchema } from '../protocol/settings.js'
import { systemClock } from '../runtime/clock.js'
import { createStoreClient } from '../runtime/storeClient.js'
import { createTimerService } from '../runtime/timerService.js'
import { endWith, loadSettings, readText, usageExitCode } from './processSetup.js'

/** Runs a command that needs the store, prints its result and ends the process. */
async function runWithStore (config: string | undefined, run: (context: CommandContext) => Promise<CommandResult>): Promise<void> {
  if (config === undefined) endWith('--config FILE.ini is needed: it names the store', usageExitCode)
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
  .usage('$0 COMMAND --config FILE.ini\n\nWorks on teams\' documents and on the fleet.')
  .option('config', { type: 'string', describe: 'settings in INI; see docs/CONFIGURATION.md' })
  .command('check <file>', 'check a document', builder => builder.positional('file', { type: 'string', demandOption: true }),
    options => writeResult(checkDocument(options.file, readText(options.file))))
  .command('show <team>', 'show a team\'s document', builder => builder.positional('team', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => showDocument(context, options.team)))
  .command('diff <file>', 'show what a document would change', builder => builder.positional('file', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => showDifference(context, options.file, readText(options.file))))
  .command('apply <file>', 'apply a document', builder => builder
    .positional('file', { type: 'string', demandOption: true })
    .option('base', { type: 'number', describe: 'revision the edit started from; default the one that the file names' }),
  options => runWithStore(options.config, context => applyCommand(context, options.file, readText(options.file), options.base)))
  .command('wait <team>', 'wait until a revision is in force everywhere', builder => builder
    .positional('team', { type: 'string', demandOption: true })
    .option('revision', { type: 'number', describe: 'default the newest' })
    .option('timeout', { type: 'number', default: 10, describe: 'seconds' }),
  options => runWithStore(options.config, context => waitCommand(context, options.team, options.revision, options.timeout * 1000)))
  .command('status', 'show every router', builder => builder,
    options => runWithStore(options.config, showStatus))
  .command('drain <router>', 'stop a router in an orderly way', builder => builder.positional('router', { type: 'string', demandOption: true }),
    options => runWithStore(options.config, context => startDrainOf(context, options.router)))
  .command('explain <service> <key>', 'explain where a key goes', builder => builder
    .positional('service', { type: 'string', demandOption: true, describe: 'TEAM.SERVICE' })
    .positional('key', { type: 'string', demandOption: true }),
  options => runWithStore(options.config, context => showKeyEverywhere(context, options.service, options.key)))
  .command('explain-request <id>', 'tell the story of a request from logs', builder => builder
    .positional('id', { type: 'string', demandOption: true, describe: 'identifier that the caller gave' })
    .option('logs', { type: 'array', string: true, default: ['/dev/stdin'], describe: 'log files of any number of hosts; default standard input' }),
  options => writeResult(explainRequest(options.id, options.logs.map(readText))))
  .command('change-lags', 'show how late changes came into force, from logs', builder => builder
    .option('logs', { type: 'array', string: true, default: ['/dev/stdin'], describe: 'log files of any number of hosts; default standard input' }),
  options => writeResult(showChangeLags(options.logs.map(readText))))
  .command('gateways <addresses..>', 'show what gateways believe: versions, owners, fencing tokens, granting host', builder => builder
    .positional('addresses', { type: 'string', array: true, demandOption: true, describe: 'admin-listen addresses' }),
  async options => {
    const tls = options.config === undefined ? { 'insecure-loopback': true } : loadSettings(options.config, operatorSettingsSchema).tls
    writeResult(await showGateways(options.addresses, tls))
  })
  .demandCommand(1, 'name a command')
  .strict()
  .parse()
