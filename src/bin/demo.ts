import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runDemo } from '../demo/demoProgram.js'
import { formatReconciliation } from '../load/reconcile.js'
import { systemClock } from '../runtime/clock.js'
import { createLog } from '../runtime/log.js'
import { createTimerService } from '../runtime/timerService.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('demo')
  .usage('Runs a complete system on loopback under load while a backend server is killed, a router is drained and a document is changed.')
  .option('json', { type: 'boolean', default: false, describe: 'print the figures as JSON on the last line' })
  .option('log', { choices: ['off', 'info'] as const, default: 'off' as const, describe: 'log level' })
  .strict()
  .parse()

const timers = createTimerService(systemClock)
const result = await runDemo(timers, createLog('demo', options.log), line => console.log(`- ${line}`))
timers.close()
console.log(`\n${formatReconciliation(result)}\n`)
console.log(`  unavailable after the loss   ${result.unavailableMs} ms`)
console.log(`  document in force everywhere ${result.configInForceMs} ms`)
console.log(`  router drained               ${result.drained ? `in ${result.drainMs} ms` : 'NO'}`)
if (options.json) console.log(JSON.stringify(result))
