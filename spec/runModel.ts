import type { Exploration } from './explore.js'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { buildDocumentSpecification, documentRules } from './documentSpec.js'
import { checkSpecification, findViolation } from './explore.js'
import { buildGrantSpecification, grantRules } from './grantSpec.js'
import { buildGuardianSpecification, guardianRules } from './guardianSpec.js'
import { buildHolderSpecification, holderRules } from './holderSpec.js'
import { mutants } from './mutants.js'
import { buildRequestSpecification, requestRules } from './requestSpec.js'
import { buildTakeoverSpecification, takeoverRules } from './takeoverSpec.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('model')
  .usage('Explores the specifications exhaustively, or searches for the violation that each seeded fault causes.')
  .option('mutants', { type: 'boolean', default: false, describe: 'apply each seeded fault and print the invariant that it violates' })
  .strict()
  .parse()

/** Maximum number of states of one breadth-first search. */
const maxSearchStates = 1_500_000
/** Maximum number of states of the takeover search; its states take more memory. */
const maxTakeoverStates = 900_000

const searches = [
  { title: 'loss of the holder, the successor or the witness; messages late and lost', bounds: { kills: 1, pauses: 0, duplicates: false } },
  { title: 'one pause; messages late and lost', bounds: { kills: 0, pauses: 1, duplicates: false } },
  { title: 'one loss and one pause; messages duplicated; nearest states only', bounds: { kills: 1, pauses: 1, duplicates: true } }
]

const failed = options.mutants ? runMutants() : runExplorations()
process.exit(failed === 0 ? 0 : 1)

function runExplorations (): number {
  const runs: Array<{ bounds: string, explore: () => Exploration }> = [
    {
      bounds: 'messages late, lost and duplicated',
      explore: () => checkSpecification(buildHolderSpecification(holderRules, { kills: 0, pauses: 0, duplicates: true }))
    },
    { bounds: 'two faults, one move', explore: () => checkSpecification(buildGrantSpecification(grantRules, { maxFaults: 2, maxFence: 2 })) },
    { bounds: 'one change', explore: () => checkSpecification(buildGuardianSpecification(guardianRules)) },
    { bounds: 'three breaks', explore: () => checkSpecification(buildRequestSpecification(requestRules)) },
    { bounds: 'three faults of the store', explore: () => checkSpecification(buildDocumentSpecification(documentRules)) }
  ]
  let states = 0
  let violations = 0
  for (const run of runs) {
    const result = run.explore()
    states += result.states
    console.log(`${result.name} (${run.bounds}): ${result.states} states, ${result.transitions} transitions`)
    for (const [invariant, count] of Object.entries(result.violations)) {
      console.log(`  ${String(count).padStart(6)} violations  ${invariant}`)
      violations += count
    }
    console.log(`  ${String(result.stuck).padStart(6)} states from which no served state is reachable`)
    violations += result.stuck
  }
  for (const { bounds, title } of searches) {
    const result = findViolation(buildHolderSpecification(holderRules, bounds), maxSearchStates)
    states += result.states
    console.log(`holder lease, succession and hand-off (${title}): ${result.states} states, searched breadth first`)
    console.log(`  ${result.kind === 'held' ? '     0 violations' : `violated: ${result.violation.invariant}: ${result.violation.trace.join(' > ')}`}`)
    if (result.kind === 'broken') violations += 1
  }
  const takeover = findViolation(buildTakeoverSpecification(takeoverRules, { faults: 3 }), maxTakeoverStates)
  states += takeover.states
  console.log(`take-over of granting (three losses): ${takeover.states} states, searched breadth first`)
  console.log(`  ${takeover.kind === 'held' ? '     0 violations' : `violated: ${takeover.violation.invariant}: ${takeover.violation.trace.join(' > ')}`}`)
  if (takeover.kind === 'broken') violations += 1
  console.log(`${states} states, ${violations} violations`)
  return violations
}

function runMutants (): number {
  let survivors = 0
  for (const mutant of mutants) {
    const result = mutant.search()
    if (result.kind === 'held') {
      survivors += 1
      console.log(`SURVIVES  ${mutant.name} (${result.states} states)`)
      continue
    }
    console.log(`dies      ${mutant.name}\n          violates: ${result.violation.invariant}\n          ${result.violation.trace.join(' > ')}`)
  }
  console.log(`${mutants.length} seeded faults, ${survivors} survive`)
  return survivors
}
