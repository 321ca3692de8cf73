import { execFileSync } from 'node:child_process'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { playSoak } from './playSoak.js'

const options = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1, describe: 'First seed' })
  .option('runs', { type: 'number', default: 1, describe: 'Number of consecutive seeds to run' })
  .option('hosts', { type: 'number', default: 4 })
  .option('backends', { type: 'number', default: 8 })
  .option('steps', { type: 'number', default: 10, describe: 'Number of faults in one run' })
  .option('length-ms', { type: 'number', default: 14_000 })
  .strict().parseSync()

execFileSync('npm', ['run', '-s', 'build:platform'])
let failed = 0
for (let seed = options.seed; seed < options.seed + options.runs; seed++) {
  const result = await playSoak('target/fulmar-platform.cjs', seed, { hosts: options.hosts, backends: options.backends, lengthMs: options['length-ms'], steps: options.steps })
  console.log(`seed ${seed}: ${result.calls} calls, ${result.answered} answered, ${result.broken.length} violations`)
  if (result.broken.length === 0) continue
  failed += 1
  console.log(JSON.stringify({ steps: result.steps, broken: result.broken.slice(0, 8), logs: result.directory }, undefined, 1))
}
console.log(`${options.runs - failed} runs passed, ${failed} failed`)
process.exit(failed === 0 ? 0 : 1)
