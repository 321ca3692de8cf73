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

/** A program in virtual time; each turn of the event loop is noted with the work done since the one before. */
function startLanes (onTurn: () => void = () => {}) {
  let now = 0
  const done: Work[] = []
  const turns: number[] = []
  const lost: Work[] = []
  const waits = new Map<Work, number>()
  let turnStartedAt = 0
  const program = startProgram<number, Work, never>({
    state: 0,
    reduce: (state, work) => {
      now += work.ms
      done.push(work)
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
  return { program, done, turns, lost, waits, finish }
}

const works = fc.array(fc.record({ lane: fc.constantFrom<Lane>('callers', 'control'), ms: fc.double({ min: 0, max: 15, noNaN: true }) }), { maxLength: 60 })

testProp('no event is lost or overtakes one of its own lane, and a turn ends when its time is used up', [works], async (t, chosen) => {
  const host = startLanes()
  const posted = chosen.map((work, number) => ({ ...work, number }))
  for (const work of posted) t.true(host.program.post(work))
  await host.finish()
  for (const lane of ['callers', 'control'] as const) {
    t.deepEqual(host.done.filter(work => work.lane === lane), posted.filter(work => work.lane === lane))
  }
  t.true(host.turns.every(ms => ms >= turnMs && ms < turnMs + 15))
  host.program.stop()
}, { numRuns: 60, seed: 20 })

testProp('while callers and control wait, each has its half of the time', [fc.double({ min: 0.2, max: 8, noNaN: true }), fc.double({ min: 0.2, max: 8, noNaN: true })], async (t, callersMs, controlMs) => {
  const host = startLanes()
  const count = 200
  for (let number = 0; number < count; number++) {
    host.program.post({ lane: 'control', number, ms: controlMs })
    host.program.post({ lane: 'callers', number, ms: callersMs })
  }
  await host.finish()
  const used = { callers: 0, control: 0 }
  const left = { callers: count, control: count }
  for (const work of host.done) {
    if (left.callers === 0 || left.control === 0) break
    used[work.lane] += work.ms
    left[work.lane] -= 1
    t.true(used.callers - used.control <= turnMs + callersMs + 1e-6, 'control has its half')
    t.true(used.control <= used.callers + 1e-6, 'callers go first')
  }
  host.program.stop()
}, { numRuns: 30, seed: 20 })

test('a caller waits for the control event at hand only, however many wait', async t => {
  const caller: Work = { lane: 'callers', number: -1, ms: 1 }
  let isPosted = false
  const host = startLanes(() => {
    if (!isPosted) host.program.post(caller)
    isPosted = true
  })
  for (let number = 0; number < 500; number++) host.program.post({ lane: 'control', number, ms: 3 })
  await host.finish()
  t.true((host.waits.get(caller) ?? Infinity) <= 3)
  host.program.stop()
})

test('events that come one by one wait for no turn', async t => {
  const host = startLanes()
  for (let number = 0; number < 20; number++) {
    host.program.post({ lane: 'control', number, ms: 5 })
    await host.finish()
    await new Promise(resolve => setTimeout(resolve, 1))
  }
  t.is(host.done.length, 20)
  t.deepEqual(host.turns, [])
  host.program.stop()
})

test('control events that fill their lane push out no event of a caller, and are counted', async t => {
  const host = startLanes()
  for (let number = 0; number < laneCapacity; number++) host.program.post({ lane: 'control', number, ms: 0 })
  const beyond: Work = { lane: 'control', number: laneCapacity, ms: 0 }
  t.false(host.program.post(beyond))
  t.true(host.program.post({ lane: 'callers', number: 0, ms: 0 }))
  t.deepEqual(host.lost, [beyond])
  await host.finish()
  t.is(host.done[0]?.lane, 'callers')
  t.is(host.done.length, laneCapacity + 1)
  host.program.stop()
})

/** Time between two ticks, in milliseconds. */
const tickMs = 20

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

testProp('callers\' events that overtake ticks cause no doubt of leadership, and hide no pause', [fc.integer({ min: 0, max: 60 }), fc.integer({ min: 0, max: 2000 })], (t, behind, pauseMs) => {
  const { state, reduce } = startLeading()
  for (let tick = 1; tick <= 100; tick++) {
    reduce({ kind: 'caller-gone', now: (tick + behind) * tickMs, id: '' })
    reduce(buildTick(tick * tickMs))
    t.false(state.granting.isLeadershipUncertain)
  }
  const pausedAt = 100 * tickMs
  reduce({ kind: 'caller-gone', now: pausedAt + pauseMs + tickMs, id: '' })
  reduce({ kind: 'exchange-ended', now: pausedAt })
  t.true(state.now === pausedAt, 'control goes by the time of its own events')
  reduce(buildTick(pausedAt + pauseMs + tickMs))
  t.is(state.granting.isLeadershipUncertain, pauseMs + tickMs >= 400)
}, { seed: 20 })
