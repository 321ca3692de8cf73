import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { ranks } from '../src/core/domain/rank.js'
import { buildDefaultRules } from '../src/core/index.js'
import { loadHashKey } from '../src/runtime/hashKey.js'
import { measureFleetSlopes } from './fleetSlopes.js'
import { measureGatewaySlopes } from './gatewaySlopes.js'
import { measureGrantingCosts } from './grantingCosts.js'
import { runPlacementScenarios } from './placementScenes.js'
import { steadyRatesPerSecond } from './queueScene.js'
import { runQueueScenarios } from './queueScenes.js'
import { runRecoveryScenarios } from './recoveryScenes.js'
import { measureSlopes } from './slopes.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('measure')
  .usage('Measures policies in virtual time, and the slopes for docs/CAPACITY.md.')
  .option('json', { type: 'boolean', default: false, describe: 'also print all figures as a JSON line at the end' })
  .option('only', { choices: ['queues', 'recovery', 'placement', 'slopes', 'gateway'] as const, describe: 'run only one part' })
  .strict()
  .parse()

const hashKey = await loadHashKey()
const rules = buildDefaultRules(hashKey)
const isWanted = (part: string) => options.only === undefined || options.only === part
const queues = isWanted('queues') ? runQueueScenarios(rules) : []
const recovery = isWanted('recovery') ? runRecoveryScenarios(rules) : []
const placement = isWanted('placement') ? runPlacementScenarios(hashKey) : []
const slopes = isWanted('slopes') ? measureSlopes(rules) : []
const gateway = isWanted('gateway') ? [...measureGatewaySlopes(), ...measureFleetSlopes(), ...measureGrantingCosts()] : []

if (queues.length > 0) {
  console.log('Queues: one backend server of 4 slots, 20 s; goodput of what is offered, share of offered met in target, p99 ms')
  console.log(`${'scene'.padEnd(30)}${'policy'.padEnd(9)}${ranks.map(rank => rank.padEnd(28)).join('')}`)
}
for (const { scene, policy, figures } of queues) {
  const cells = ranks.map(rank => {
    const { offered, good, met, p99 } = figures[rank]
    const share = (value: number) => `${Math.round(value / Math.max(1, offered) * 1000) / 10}%`
    return `${good}/${offered} ${share(met)} ${p99}`.padEnd(28)
  })
  console.log(`${scene.padEnd(30)}${policy.padEnd(9)}${cells.join('')}`)
}
for (const row of [...recovery, ...placement, ...slopes, ...gateway]) console.log(Object.entries(row).map(([name, value]) => `${name} ${value}`).join(', '))
if (options.json) console.log(JSON.stringify({ steadyRates: steadyRatesPerSecond, queues, recovery, placement, slopes, gateway }))
