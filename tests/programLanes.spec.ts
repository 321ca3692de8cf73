import type { GatewayEvent } from '../src/core/gateway/events.js'
import type { Lane } from '../src/core/lane.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { reduceGateway } from '../src/core/gateway/reduceGateway.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { buildGatewayState } from '../src/core/gateway/state.js'
import { laneCapacity, startProgram } from '../src/runtime/program.js'

type Work = { lane: Lane, number: number, ms: number }

const turnMs = 10

/** Starts a program in virtual time, and records for each turn of the event loop the time spent on work since the previous one, in milliseconds. */
function startTestProgram (onTurn: () => void = () => {}) {
  let now = 0
  const processed: Work[] = []
  const turns: number[] = []
  const lost: Work[] = []
  const waits = new Map<Work, number>()
  let turnStartedAt = 0
  const program = startProgram<number, Work, never>({
    state: 0,
    reduce: (state, work) => {
      now += work.ms
      processed.push(work)
      return { state: state + 1, effects: [] }
    },
    interpret: () => {},
    chooseLane: work => work.lane,
    turns: {
      clock: { now: () => now, wall: () => now },
      turnMs,
      waitTurn: resume => {
        turns.push(now - turnStartedAt)
        turnStartedAt = now
        onTurn()
        setImmediate(resume)
      }
    },
    watch: { countEvent: (work, _, waitedMs) => { waits.set(work, waitedMs) }, countEffect: () => {}, countLost: work => { lost.push(work) } }
  })
  const finish = async () => {
    while (program.countWaiting() > 0) await new Promise(resolve => setImmediate(resolve))
  }
  return { program, processed, turns, lost, waits, finish }
}

const workLists = fc.array(fc.record({ lane: fc.constantFrom<Lane>('callers', 'control'), ms: fc.double({ min: 0, max: 15, noNaN: true }) }), { maxLength: 60 })

testProp('no event is lost or overtakes another one of its lane, and a turn ends when its time is used up', [workLists], async (t, drawn) => {
  const testProgram = startTestProgram()
  const posted = drawn.map((work, number) => ({ ...work, number }))
  for (const work of posted) t.true(testProgram.program.post(work))
  await testProgram.finish()
  for (const lane of ['callers', 'control'] as const) {
    t.deepEqual(testProgram.processed.filter(work => work.lane === lane), posted.filter(work => work.lane === lane))
  }
  t.true(testProgram.turns.every(ms => ms >= turnMs && ms < turnMs + 15))
  testProgram.program.stop()
}, { numRuns: 60, seed: 20 })

testProp('while events of callers and of control wait, each lane gets half of the time', [fc.double({ min: 0.2, max: 8, noNaN: true }), fc.double({ min: 0.2, max: 8, noNaN: true })], async (t, callersMs, controlMs) => {
  const testProgram = startTestProgram()
  const count = 200
  for (let number = 0; number < count; number++) {
    testProgram.program.post({ lane: 'control', number, ms: controlMs })
    testProgram.program.post({ lane: 'callers', number, ms: callersMs })
  }
  await testProgram.finish()
  const used = { callers: 0, control: 0 }
  const left = { callers: count, control: count }
  for (const work of testProgram.processed) {
    if (left.callers === 0 || left.control === 0) break
    used[work.lane] += work.ms
    left[work.lane] -= 1
    t.true(used.callers - used.control <= turnMs + callersMs + 1e-6, 'control has its half')
    t.true(used.control <= used.callers + 1e-6, 'callers go first')
  }
  testProgram.program.stop()
}, { numRuns: 30, seed: 20 })

test('a caller\'s event waits only for the control event in progress, however many are queued', async t => {
  const caller: Work = { lane: 'callers', number: -1, ms: 1 }
  let isPosted = false
  const testProgram = startTestProgram(() => {
    if (!isPosted) testProgram.program.post(caller)
    isPosted = true
  })
  for (let number = 0; number < 500; number++) testProgram.program.post({ lane: 'control', number, ms: 3 })
  await testProgram.finish()
  t.true((testProgram.waits.get(caller) ?? Infinity) <= 3)
  testProgram.program.stop()
})

test('events that arrive one by one are processed without waiting for a turn of the event loop', async t => {
  const testProgram = startTestProgram()
  for (let number = 0; number < 20; number++) {
    testProgram.program.post({ lane: 'control', number, ms: 5 })
    await testProgram.finish()
    await new Promise(resolve => setTimeout(resolve, 1))
  }
  t.is(testProgram.processed.length, 20)
  t.deepEqual(testProgram.turns, [])
  testProgram.program.stop()
})

test('control events that fill their lane displace no event of a caller, and those beyond its capacity are counted', async t => {
  const testProgram = startTestProgram()
  for (let number = 0; number < laneCapacity; number++) testProgram.program.post({ lane: 'control', number, ms: 0 })
  const beyond: Work = { lane: 'control', number: laneCapacity, ms: 0 }
  t.false(testProgram.program.post(beyond))
  t.true(testProgram.program.post({ lane: 'callers', number: 0, ms: 0 }))
  t.deepEqual(testProgram.lost, [beyond])
  await testProgram.finish()
  t.is(testProgram.processed[0]?.lane, 'callers')
  t.is(testProgram.processed.length, laneCapacity + 1)
  testProgram.program.stop()
})

/** Time between two ticks, in milliseconds. */
const tickIntervalMs = 20

function startLeading () {
  const identity = { host: 'host-0', zone: 'a-1', region: 'a', regionOf: new Map<string, string>(), address: 'host-0', processorShare: 1 }
  const state = buildGatewayState(identity, 1, 0)
  state.granting.role = 'leading'
  state.granting.confirmedAt = 100_000
  const rules = buildGatewayRules()
  return { state, reduce: (event: GatewayEvent) => { reduceGateway(state, event, rules) } }
}

function buildTick (now: number): GatewayEvent {
  return { kind: 'tick', now, wall: now }
}

testProp('callers\' events that overtake ticks do not make leadership uncertain, and do not hide a pause', [fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 2000 })], (t, behind, pauseMs) => {
  const { state, reduce } = startLeading()
  for (let tick = 1; tick <= 100; tick++) {
    reduce({ kind: 'caller-gone', now: (tick + behind) * tickIntervalMs, id: '' })
    reduce(buildTick(tick * tickIntervalMs))
    t.false(state.granting.isLeadershipUncertain)
  }
  const pausedAt = 100 * tickIntervalMs
  reduce({ kind: 'caller-gone', now: pausedAt + pauseMs + tickIntervalMs, id: '' })
  reduce({ kind: 'exchange-ended', now: pausedAt })
  t.true(state.now === pausedAt, 'control goes by the time of its own events')
  reduce(buildTick(pausedAt + pauseMs + tickIntervalMs))
  t.is(state.granting.isLeadershipUncertain, pauseMs + tickIntervalMs >= 400)
}, { seed: 20 })
