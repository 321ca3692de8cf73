import type { TrafficScenario } from '../spec/gateway/trafficScenario.js'
import type { GatewayWorld } from '../spec/gateway/virtualWorld.js'
import test from 'ava'
import { maxMovesInProgress } from '../src/core/gateway/limits.js'
import { buildGatewayRules } from '../src/core/gateway/rules.js'
import { runTrafficScenario } from '../spec/gateway/trafficScenario.js'
import { addBackend, announceBackend } from '../spec/gateway/virtualGateways.js'

const day: TrafficScenario = {
  seed: 1, hosts: 3, shards: 200, plain: 0, lengthMs: 6000, readsPerSecond: 300, ordersPerSecond: 0, workMs: 75, targetMs: 250, timeoutMs: 1000, rules: buildGatewayRules()
}
const shardIds = Array.from({ length: day.shards }, (_, index) => `shards-${index}`)

type Move = { from: number, to: number, fence: number, startedAt: number, finishedAt: number | undefined }

/** Simulates a day and lists its moves in the order in which they finished. */
function playMoves (faults: NonNullable<TrafficScenario['faults']>, overrides: Partial<TrafficScenario> = {}) {
  const moves = new Map<number, Move>()
  let maxInProgress = 0
  const recordMoves = (world: GatewayWorld) => {
    const { interpret } = world
    world.interpret = (_, host, effect) => {
      if (effect.kind === 'log' && effect.event === 'moveStarted') {
        const { from, to, fence } = effect.fields as { from: number, to: number, fence: number }
        moves.set(fence, { from, to, fence, startedAt: world.queue.now, finishedAt: undefined })
      }
      if (effect.kind === 'log' && effect.event === 'moveFinished') {
        const move = moves.get(effect.fields['fence'] as number)
        if (move !== undefined) move.finishedAt ??= world.queue.now
      }
      maxInProgress = Math.max(maxInProgress, [...moves.values()].filter(move => move.finishedAt === undefined).length)
      interpret(world, host, effect)
    }
  }
  const result = runTrafficScenario({ ...day, ...overrides, faults: [{ at: 1900, run: recordMoves }, ...faults] })
  const finished = [...moves.values()].sort((a, b) => (a.finishedAt ?? Infinity) - (b.finishedAt ?? Infinity))
  return { result, maxInProgress, moves: finished }
}

test('the number of moves in progress is bounded when most owners leave at once, and all moves finish', t => {
  const leave = (world: GatewayWorld) => {
    for (const id of shardIds.slice(0, 150)) {
      const backend = world.backends.get(id)!
      backend.registration = { ...backend.registration, leaving: true }
      announceBackend(world, id, backend.registration)
    }
  }
  const { result, maxInProgress, moves } = playMoves([{ at: 2000, run: leave }])
  t.true(moves.length >= 150)
  t.true(maxInProgress <= maxMovesInProgress, `${maxInProgress} moves in progress`)
  t.true(moves.every(move => move.finishedAt !== undefined))
  const last = moves.filter(move => move.startedAt < 5000 + 3000).at(-1)
  t.true(last!.finishedAt! < 5000 + 2000 + 2000, 'within the 2 s for which a leaving backend server serves')
  t.deepEqual(result.violations, [])
})

test('the busiest keys of lost owners are the first to get new owners', t => {
  const hotKeys: number[] = []
  const lose = (world: GatewayWorld) => {
    const granting = world.hosts.find(host => host.state.granting.role === 'leading')!.state.granting
    const busiest = [...granting.rates.get('shards')!].sort((a, b) => b[1].value - a[1].value)[0]!
    hotKeys.push(busiest[0])
    // Other backend servers start at the addresses of the lost ones, which proves that the grants of the lost ones have ended.
    for (const id of shardIds.slice(0, 150)) {
      const { registration, slowness } = world.backends.get(id)!
      world.backends.delete(id)
      announceBackend(world, id, undefined)
      addBackend(world, { ...registration, id: `${id}-next`, startedAt: 100_000 }, slowness)
    }
  }
  const { result, moves } = playMoves([{ at: 3000, run: lose }], { hot: { at: 0, forMs: 6000, share: 0.1, keys: 1 } })
  const afterLoss = moves.filter(move => move.startedAt >= 5000 + 3000)
  t.true(afterLoss.length > maxMovesInProgress)
  const position = afterLoss.findIndex(move => move.from <= hotKeys[0]! && hotKeys[0]! <= move.to)
  t.true(position >= 0 && position < maxMovesInProgress, `position ${position} of ${afterLoss.length}`)
  t.deepEqual(result.violations, [])
})

test('moves that wait for the grants of unresponsive owners to expire do not delay other moves', t => {
  const silent = shardIds.slice(0, 120)
  const silence = (world: GatewayWorld) => {
    for (const id of silent) world.backends.get(id)!.state = 'silent'
  }
  const leave = (world: GatewayWorld) => {
    for (const id of shardIds.slice(120, 140)) {
      const backend = world.backends.get(id)!
      backend.registration = { ...backend.registration, leaving: true }
      announceBackend(world, id, backend.registration)
    }
  }
  const { result, moves } = playMoves([{ at: 2000, run: silence }, { at: 4200, run: leave }], { lengthMs: 10_000 })
  const waiting = moves.filter(move => move.finishedAt === undefined || move.finishedAt - move.startedAt > 1000)
  t.true(waiting.length > maxMovesInProgress, `${waiting.length} moves waited`)
  const ofLeaving = moves.filter(move => move.startedAt >= 5000 + 4200 && move.startedAt < 5000 + 4800 && move.finishedAt !== undefined && move.finishedAt - move.startedAt < 1000)
  t.true(ofLeaving.length >= 20, `${ofLeaving.length} moves`)
  t.deepEqual(result.violations, [])
})
