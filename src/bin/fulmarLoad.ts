#!/usr/bin/env node
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatReconciliation, compareRecords } from '../load/reconcile.js'
import { runLoad } from '../load/runLoad.js'
import { loadSettingsSchema } from '../protocol/settings.js'
import { systemClock } from '../runtime/clock.js'
import { isLoopback } from '../runtime/credentials.js'
import { createTimerService } from '../runtime/timerService.js'
import { endProcess, loadSettings, usageExitCode } from './processSetup.js'
import { readRuns } from '../load/readRuns.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('fulmar-load')
  .usage('$0 --config FILE.ini\n\nSends requests of all three ranks to routers on loopback and prints a table of results.')
  .option('config', { type: 'string', demandOption: true, describe: 'settings in INI; see docs/CONFIGURATION.md' })
  .option('records', { type: 'string', describe: 'URL of a stand-in\'s records of executed requests, to compare answers with' })
  .option('json', { type: 'boolean', default: false, describe: 'print the figures as JSON on the last line' })
  .strict()
  .parse()
const { load } = loadSettings(options.config, loadSettingsSchema)
const routers = load.routers.split(',')
const nonLoopbackRouter = routers.find(address => !isLoopback(address))
if (nonLoopbackRouter !== undefined) endProcess(`[load] routers: ${nonLoopbackRouter} is not a loopback address`, usageExitCode)
const timers = createTimerService(systemClock)
const callerRecords = await runLoad({
  routers,
  host: { lookup: load.host, confirmation: load.host, upload: load.host },
  requestsPerSecond: { lookup: load.lookups, confirmation: load.confirmations, upload: load.uploads },
  uploadBytes: load['upload-bytes'],
  keyCount: load.keys,
  durationMs: load.seconds * 1000,
  seed: load.seed,
  requestIdPrefix: `load-${load.seed}-`
}, timers)
const runs = options.records === undefined ? undefined : await readRuns(options.records)
if (options.records !== undefined && runs === undefined) endProcess(`--records: ${options.records} does not return a JSON array of records`, 1)
const result = compareRecords(callerRecords, runs ?? [])
if (runs === undefined) {
  result.lost = 0
  console.log('lost, doubled, refusedButRan and wrongOwner are not measured without --records\n')
}
console.log(formatReconciliation(result))
if (options.json) console.log(JSON.stringify(result))
timers.close()
