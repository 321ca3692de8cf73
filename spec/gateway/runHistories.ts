import fc from 'fast-check'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { buildGatewayRules } from '../../src/core/gateway/rules.js'
import { listViolations, runHistory, faultHistories } from './histories.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('histories')
  .usage('Runs random fault histories on the gateway\'s reducer in virtual time.')
  .option('seed', { type: 'number', default: 1, describe: 'seed of the random generator' })
  .option('runs', { type: 'number', default: 100, describe: 'number of histories' })
  .strict()
  .parse()

const result = fc.check(fc.property(faultHistories, fc.nat({ max: 1000 }), (faults, seed) => {
  const violations = listViolations(runHistory(faults, seed, buildGatewayRules()))
  if (violations.length > 0) throw new Error(violations.join('; '))
}), { seed: options.seed, numRuns: options.runs, interruptAfterTimeLimit: 480_000 })
console.log(`${result.numRuns} histories, seed ${options.seed}, ${result.failed ? 'FAILED' : 'no invariant violated'}`)
if (result.failed) {
  console.log(JSON.stringify(result.counterexample))
  console.log(String(result.errorInstance))
}
process.exit(result.failed ? 1 : 0)
