import test from 'ava'
import { buildDocumentSpecification, documentRules } from '../spec/documentSpec.js'
import { checkSpecification, findViolation } from '../spec/explore.js'
import { buildGrantSpecification, grantRules } from '../spec/grantSpec.js'
import { buildGuardianSpecification, guardianRules } from '../spec/guardianSpec.js'
import { buildHolderSpecification, holderRules } from '../spec/holderSpec.js'
import { mutants } from '../spec/mutants.js'
import { buildRequestSpecification, requestRules } from '../spec/requestSpec.js'
import { buildTakeoverSpecification, takeoverRules } from '../spec/takeoverSpec.js'

const fullyExplored = [
  buildGuardianSpecification(guardianRules),
  buildRequestSpecification(requestRules),
  buildDocumentSpecification(documentRules)
]

for (const specification of fullyExplored) {
  test(`${specification.name}: the invariants hold in every state, and from each one the key is served again`, t => {
    const result = checkSpecification(specification as Parameters<typeof checkSpecification>[0])
    t.deepEqual(Object.values(result.violations).filter(count => count > 0), [])
    t.is(result.stuck, 0)
    t.true(result.states > 10)
  })
}

test('holder lease: the invariants hold in the nearest 40,000 states', t => {
  const result = findViolation(buildHolderSpecification(holderRules, { kills: 1, pauses: 1, duplicates: true }), 40_000)
  t.is(result.kind, 'held')
})

test('sole ownership by grants: the invariants hold in the nearest 40,000 states', t => {
  t.is(findViolation(buildGrantSpecification(grantRules, { maxFaults: 2, maxFence: 2 }), 40_000).kind, 'held')
})

test('take-over of granting: the invariants hold in the nearest 40,000 states', t => {
  t.is(findViolation(buildTakeoverSpecification(takeoverRules, { faults: 3 }), 40_000).kind, 'held')
})

// Mutants whose shortest counterexample is long are only searched by `npm run model -- --mutants`.
const deep = new Set(['ignore the witness\'s journal at a take-over', 'successor forgets grants of the earlier holder', 'go on granting units in hand-off'])

// Listed in KNOWN-RED.txt: not found within the state limit of a search, or the search has not been run to its end.
const undecided = new Set([
  'wait one tick less than the hold', 'forget that a predecessor may go on renewing', 'assume that a predecessor granted long ago',
  'renew for ever without word from the store', 'trust leadership after a pause', 'take up what was known instead of what is stored',
  'write a move without the condition of leading', 'a server that checks no fencing token', 'a late grant holds from when it is applied',
  'go on leading although the lease is another\'s'
])

for (const mutant of mutants.filter(each => !deep.has(each.name) && !undecided.has(each.name))) {
  test(`the specification detects a seeded fault: ${mutant.name}`, t => {
    t.is(mutant.search().kind, 'broken')
  })
}
