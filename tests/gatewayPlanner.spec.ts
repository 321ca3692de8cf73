import type { KeyRange } from '../src/core/gateway/model.js'
import type { Candidate, PlannerInput } from '../src/core/gateway/planner.js'
import { fc, testProp } from '@fast-check/ava'
import test from 'ava'
import { planInitial, planMoves } from '../src/core/gateway/planner.js'

function buildCandidate (index: number, serviceMs = 75): Candidate {
  return { id: `b-${index}`, startedAt: 1, address: `b-${index}:80`, slots: 4, serviceMs, isWarmingUp: false }
}

function buildRanges (moves: ReturnType<typeof planInitial>): KeyRange[] {
  return moves.map((move, index) => ({ from: move.from, to: move.to, owner: move.owner, fence: index + 1, phase: 'held', previous: undefined }))
}

function buildInput (ranges: KeyRange[], candidates: Candidate[], rates: Map<number, number>): PlannerInput {
  return { ranges, candidates, rates, isConsolidationDue: true, overloadThreshold: 0.45, isHotKeyMovable: () => true }
}

const speeds = fc.array(fc.integer({ min: 30, max: 400 }), { minLength: 1, maxLength: 30 })

testProp('the initial assignment covers every key once', [speeds], (t, serviceMs) => {
  const moves = planInitial(serviceMs.map((ms, index) => buildCandidate(index, ms)))
  let next = 0
  for (const move of moves) {
    t.is(move.from, next)
    t.true(move.to >= move.from)
    next = move.to + 1
  }
  t.is(next, 65_536)
}, { seed: 21 })

testProp('moves stay inside one range, never overlap, and go to a candidate other than the owner', [
  speeds, fc.array(fc.tuple(fc.nat({ max: 65_535 }), fc.integer({ min: 1, max: 200 })), { maxLength: 200 }), fc.nat({ max: 5 })
], (t, serviceMs, keys, lost) => {
  const candidates = serviceMs.map((ms, index) => buildCandidate(index, ms))
  const ranges = buildRanges(planInitial(candidates))
  const remaining = candidates.slice(Math.min(lost, candidates.length - 1))
  const moves = planMoves(buildInput(ranges, remaining, new Map(keys)))
  const names = new Set(remaining.map(candidate => candidate.id))
  t.true(moves.length <= 24 + remaining.length * 8)
  const sorted = [...moves].sort((a, b) => a.from - b.from)
  for (const [index, move] of sorted.entries()) {
    t.true(move.from <= move.to)
    t.true(names.has(move.owner.id))
    t.true(index === 0 || (sorted[index - 1]?.to ?? -1) < move.from)
    const range = ranges.find(each => each.from <= move.from && each.to >= move.to)
    t.true(range !== undefined && range.owner.id !== move.owner.id)
  }
  for (const range of ranges.filter(each => !names.has(each.owner.id))) {
    const covered = sorted.filter(move => move.from >= range.from && move.to <= range.to).reduce((sum, move) => sum + move.to - move.from + 1, 0)
    t.is(covered, range.to - range.from + 1, 'every key of a lost owner moves')
  }
}, { seed: 22 })

test('a balanced load causes no moves', t => {
  const candidates = Array.from({ length: 20 }, (_, index) => buildCandidate(index))
  const ranges = buildRanges(planInitial(candidates))
  const rates = new Map(Array.from({ length: 2000 }, (_, index) => [index * 32, 0.3]))
  t.deepEqual(planMoves({ ...buildInput(ranges, candidates, rates), isConsolidationDue: false }), [])
})

test('after a few rounds 200 adjacent hot keys no longer overload their owners', t => {
  const candidates = Array.from({ length: 22 }, (_, index) => buildCandidate(index))
  let ranges = buildRanges(planInitial(candidates))
  const rates = new Map(Array.from({ length: 200 }, (_, index): [number, number] => [30_000 + index, 1.1]))
  for (let index = 0; index < 1000; index++) rates.set(index * 65, 0.4)
  for (let round = 0; round < 6; round++) {
    for (const move of planMoves(buildInput(ranges, candidates, rates))) {
      ranges = ranges.flatMap(range => {
        if (range.from > move.from || range.to < move.to) return [range]
        const parts = [{ ...range, to: move.from - 1 }, { ...range, from: move.from, to: move.to, owner: move.owner }, { ...range, from: move.to + 1 }]
        return parts.filter(part => part.to >= part.from)
      })
    }
  }
  const load = new Map<string, number>()
  for (const [key, rate] of rates) {
    const owner = ranges.find(range => range.from <= key && key <= range.to)?.owner.id ?? ''
    load.set(owner, (load.get(owner) ?? 0) + rate * 75 / 4000)
  }
  const mean = [...load.values()].reduce((sum, value) => sum + value, 0) / 22
  t.true(Math.max(...load.values()) <= mean * 1.3 + 0.01, `${Math.max(...load.values()) / mean}`)
})

test('an excess of ranges shrinks by at least a quarter in one round, as cold ranges move to the owners of adjacent ranges', t => {
  const candidates = Array.from({ length: 20 }, (_, index) => buildCandidate(index))
  const ranges = Array.from({ length: 256 }, (_, index): KeyRange => {
    return { from: index * 256, to: index * 256 + 255, owner: candidates[index * 7 % 20]!, fence: index + 1, phase: 'held', previous: undefined }
  })
  const moves = planMoves(buildInput(ranges, candidates, new Map(Array.from({ length: 40 }, (_, index) => [index * 256, 3]))))
  t.true(moves.length >= (256 - 60) / 4, `${moves.length} moves`)
  for (const move of moves) {
    const index = ranges.findIndex(range => range.from === move.from && range.to === move.to)
    t.true([ranges[index - 1], ranges[index + 1]].some(range => range?.owner.id === move.owner.id), 'a whole range moves to the owner of an adjacent one')
  }
})
