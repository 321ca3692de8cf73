import fc from 'fast-check'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { buildCollectorChoice } from '../../src/core/gateway/collectorChoice.js'
import { buildGatewayRules } from '../../src/core/gateway/rules.js'
import { listViolations, runHistory, faultHistories, restoreHistories } from './histories.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('histories')
  .usage('Runs random fault histories on the gateway\'s reducer in virtual time.')
  .option('seed', { type: 'number', default: 1, describe: 'seed of the random generator' })
  .option('runs', { type: 'number', default: 100, describe: 'number of histories' })
  .option('collectors', { type: 'boolean', default: false, describe: 'nine hosts in three zones with collectors instead of five hosts in one' })
  .option('restored', { type: 'boolean', default: false, describe: 'restore the store from an older copy in each history' })
  .strict()
  .parse()

/** Share of the calls that are late during the faults that delay them. */
const lateShare = 0.3
const fleet = options.collectors ? { hosts: 9, zones: 3 } : { hosts: 5, zones: 1 }
const rules = options.collectors ? { ...buildGatewayRules(), chooseCollectors: buildCollectorChoice({ maxDirectHosts: 6, minZoneHosts: 2 }) } : buildGatewayRules()

const result = fc.check(fc.property(options.restored ? restoreHistories : faultHistories, fc.nat({ max: 1000 }), (faults, seed) => {
  const violations = listViolations(runHistory(faults, seed, rules, lateShare, fleet))
  if (violations.length > 0) throw new Error(violations.join('; '))
}), { seed: options.seed, numRuns: options.runs, interruptAfterTimeLimit: 480_000 })
console.log(`${result.numRuns} histories, seed ${options.seed}, ${result.failed ? 'FAILED' : 'no invariant violated'}`)
if (result.failed) {
  console.log(JSON.stringify(result.counterexample))
  console.log(String(result.errorInstance))
}
process.exit(result.failed ? 1 : 0)
