import type { ReadDebt, ReadPhase } from '../src/core/policy/readSlices.js'
import test from 'ava'
import fc from 'fast-check'
import { chooseExcessConnection, chooseExcessHoldings, computeCallerLimits, computeProbeLimits, computeUnreadBodyBytes, connectionBytes, isReadAhead, isReadSlowly } from '../src/core/policy/memoryBudget.js'
import { addReadTime, computeReadPauseMs, computeSliceBytes, isBodyReadOn } from '../src/core/policy/readSlices.js'
import { countRunnable, maxRequestsAhead } from '../src/core/policy/sentAhead.js'

const limits = computeCallerLimits(210, 4096)

test('on the smallest host one connection may hold a buffered body and its answer, and all connections that descriptors allow may be open', t => {
  t.true(limits.connectionBytes > 2 * 512 * 1024 + 256 * 1024)
  t.true(limits.connections * connectionBytes < limits.heldBytes)
  t.true(limits.heldBytes < 210 * 1_048_576 / 5)
})

test('the limits of probes are a small part of those of callers, and never less than some connections', t => {
  const probes = computeProbeLimits(210, 64)
  t.is(probes.connections, 4)
  t.true(computeProbeLimits(350, 1_000_000).connections <= 64)
  t.true(probes.heldBytes * 8 < limits.heldBytes && probes.heldBytes > probes.connections * 8 * connectionBytes)
})

test('nothing is closed within the limit; over it, what holds most for each answer goes until the rest is below the limit', t => {
  const build = (name: string, heldBytes: number, answers: number) => ({ name, heldBytes, answers, openedAt: 0 })
  const holdings = [build('used', 9_000_000, 20), build('hoarder', 8_000_000, 0), build('small', 9000, 0), build('second', 7_000_000, 0)]
  t.deepEqual(chooseExcessHoldings(holdings, limits.heldBytes, limits), [])
  t.deepEqual(chooseExcessHoldings(holdings, limits.heldBytes + 1, limits).map(each => each.name), ['hoarder'])
  t.deepEqual(chooseExcessHoldings(holdings, limits.heldBytes + 8_000_000, limits).map(each => each.name), ['hoarder', 'second'])
})

test('over the limit, connections whose requests were passed on stay open while bodies are read that can be refused', t => {
  const build = (name: string, heldBytes: number, committedBytes: number) => ({ name, heldBytes, committedBytes, answers: 1, openedAt: 0 })
  const passedOn = Array.from({ length: 50 }, (_, index) => build(`passed on ${index}`, 376_000, 360_000))
  const reading = Array.from({ length: 20 }, (_, index) => build(`reading ${index}`, 300_000, 0))
  const others = Array.from({ length: 20 }, (_, index) => build(`other ${index}`, 14_000, 0))
  const holdings = [...passedOn, ...reading, ...others]
  const chosen = chooseExcessHoldings(holdings, holdings.reduce((sum, each) => sum + each.heldBytes, 0), limits)
  t.true(chosen.length > 0 && chosen.every(({ name }) => name.startsWith('reading')), chosen.map(({ name }) => name).join())
  t.deepEqual(chooseExcessHoldings(passedOn, limits.heldBytes * 1.2, limits), [])
})

test('far over the limit, connections are closed although their requests were passed on', t => {
  const holdings = Array.from({ length: 100 }, () => ({ heldBytes: 376_000, committedBytes: 360_000, answers: 1, openedAt: 0 }))
  const left = 37_600_000 - chooseExcessHoldings(holdings, 37_600_000, limits).length * 376_000
  t.true(left <= limits.heldBytes * 1.25 && left > limits.heldBytes)
})

test('what is left after closing is within the limit, whatever the connections hold', t => {
  const holding = fc.record({ heldBytes: fc.nat({ max: 4_000_000 }), answers: fc.nat({ max: 100 }), openedAt: fc.nat() })
  fc.assert(fc.property(fc.array(holding, { maxLength: 60 }), holdings => {
    const total = holdings.reduce((sum, each) => sum + each.heldBytes, 0)
    const closed = chooseExcessHoldings(holdings, total, limits).reduce((sum, each) => sum + each.heldBytes, 0)
    return total - closed <= limits.heldBytes && (total > limits.heldBytes || closed === 0)
  }), { seed: 11 })
  t.pass()
})

test('too many connections: those without answers go first, an idle one before one with a request, the oldest of these', t => {
  const build = (name: string, answers: number, isAnswering: boolean, openedAt: number) => ({ name, heldBytes: 0, answers, isAnswering, openedAt })
  const holdings = [build('used', 4, false, 0), build('asks', 0, true, 1), build('new', 0, false, 9), build('old', 0, false, 2)]
  t.is(chooseExcessConnection(holdings)?.name, 'old')
  t.is(chooseExcessConnection(holdings.slice(0, 2))?.name, 'asks')
  t.is(chooseExcessConnection([]), undefined)
})

test('answers are read ahead of slow callers only while there is room on the connection and on the host', t => {
  t.true(isReadAhead(0, 0, limits))
  t.false(isReadAhead(limits.unreadBytes, 0, limits))
  t.false(isReadAhead(0, limits.heldBytes / 2, limits))
})

test('only connections that hold much are read slowly, and only while the host holds much', t => {
  t.true(isReadSlowly(300_000, limits.heldBytes / 2, limits))
  t.false(isReadSlowly(30_000, limits.heldBytes, limits))
  t.false(isReadSlowly(600_000, 600_000, limits))
})

test('chunks of one byte count as the objects that they become, ordinary chunks as their bytes', t => {
  t.true(computeUnreadBodyBytes(6000, 1000) > 100_000)
  t.true(computeUnreadBodyBytes(16_392, 16_384) < 17_000)
})

test('idempotent requests at the front run together; another one runs alone, and those behind it wait', t => {
  const count = (kinds: string) => countRunnable([...kinds].map(kind => ({ isIdempotent: () => kind === 'i' })))
  t.deepEqual(['', 'i', 'n', 'iii', 'ini', 'nii', 'iin', 'nn'].map(count), [0, 1, 1, 3, 1, 1, 2, 1])
  t.true(maxRequestsAhead > 10)
})

test('every slice has at least one byte and no more than there is; a head ends its slice', t => {
  const phases: ReadPhase[] = [{ kind: 'head' }, { kind: 'chunked' }, { kind: 'sized', leftBytes: undefined }, { kind: 'sized', leftBytes: 0 }, { kind: 'sized', leftBytes: 40 }]
  fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), fc.constantFrom(...phases), fc.option(fc.integer({ min: 1, max: 1_000_000 }), { nil: undefined }), (waiting, phase, endsAt) => {
    const bytes = computeSliceBytes(waiting, phase, endsAt === undefined ? undefined : Math.min(endsAt, waiting))
    return bytes >= 1 && bytes <= Math.min(waiting, 65_536) && (phase.kind !== 'head' || endsAt === undefined || bytes <= endsAt)
  }), { seed: 12 })
  t.is(computeSliceBytes(65_536, { kind: 'sized', leftBytes: 40 }, undefined), 40)
})

test('a chunked body is read on only while its reader keeps up, and a long read of many bytes is followed by a pause', t => {
  t.true(isBodyReadOn(1_000_000, 0))
  t.false(isBodyReadOn(64 * 1024, 1))
  const start = { ms: 0, bytes: 0, at: 0 }
  t.is(computeReadPauseMs(addReadTime(start, 20, 20, 100)), 0)
  t.is(computeReadPauseMs(addReadTime(start, 1, 1, 65_536)), 0)
  t.is(computeReadPauseMs(addReadTime(start, 20, 20, 65_536)), 60)
  t.is(computeReadPauseMs(addReadTime(start, 4000, 4000, 65_536)), 100)
})

test('many short reads are paused as a long one is, and reads within the share never are', t => {
  const add = (debt: ReadDebt, reads: number, readMs: number, idleMs: number) => {
    for (let read = 0; read < reads; read++) debt = addReadTime(debt, debt.at + idleMs + readMs, readMs, 4096)
    return debt
  }
  t.true(computeReadPauseMs(add({ ms: 0, bytes: 0, at: 0 }, 20, 1, 0)) > 40)
  t.is(computeReadPauseMs(add({ ms: 0, bytes: 0, at: 0 }, 1000, 1, 3)), 0)
})
