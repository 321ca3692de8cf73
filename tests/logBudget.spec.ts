import type { LogFields } from '../src/runtime/log.js'
import type { LogBudget } from '../src/runtime/gateway/logBudget.js'
import type { TimerService } from '../src/runtime/timerService.js'
import test from 'ava'
import { createLogBudget } from '../src/runtime/gateway/logBudget.js'
import { callGateway, startPlatformFleet } from './support/platform/platformFleet.js'

/** Output of a process that was collected in the incident of 2026-12-04, in bytes. */
const collectedBytes = 150_000
/** What the collector put before each line there. */
const prefix = '  49.6051 edge-bat-boulevard-1 '

type Line = { event: string, fields: LogFields, bytes: number }

/** A budget in virtual time, with what it wrote as the process would write it. */
function startBudget () {
  let now = 0
  const written: Line[] = []
  const counted = new Map<string, number>()
  const ticks: Array<{ dueAt: number, everyMs: number, notify: (now: number) => void }> = []
  const timers: TimerService = {
    clock: { now: () => now, wall: () => now },
    subscribe: (everyMs, notify) => {
      ticks.push({ dueAt: now + everyMs, everyMs, notify })
      return () => { ticks.length = 0 }
    },
    schedule: () => () => {},
    close: () => {}
  }
  const budget: LogBudget = createLogBudget({
    timers,
    log: (number, event, fields) => {
      const record = { name: 'fulmar-gateway', hostname: 'edge-bat-boulevard-1', pid: 2529, level: 30, event: number, ...fields, msg: event, time: new Date(now), v: 0 }
      written.push({ event, fields, bytes: prefix.length + JSON.stringify(record).length + 1 })
    },
    countLeftOutLine: event => { counted.set(event, (counted.get(event) ?? 0) + 1) }
  })
  const offered: Line[] = []
  return {
    budget,
    written,
    offered,
    counted,
    offer: (event: string, fields: LogFields) => {
      offered.push({ event, fields, bytes: 0 })
      budget.log(4001, event, fields)
    },
    passTo: (until: number) => {
      for (const tick of ticks) {
        while (tick.dueAt <= until) {
          now = tick.dueAt
          tick.dueAt += tick.everyMs
          tick.notify(now)
        }
      }
      now = until
    }
  }
}

function buildAnswered (index: number, extra: LogFields = {}): LogFields {
  return {
    requestId: `db1d518b5${index}`, route: `r-y85exq${index % 9}`, service: 'daka93b', backend: 'i-e05e6a07ee', status: 200, ms: 20, attempts: 1, configuration: 35, placement: 259, loadAgeMs: 41, ...extra
  }
}

function buildRefused (index: number, reason: string): LogFields {
  return {
    requestId: `c0ffee${index}`, reason, status: 503, route: 'r-y85exq2', service: 'daka93b', key: 27_323, waitMs: 300, retryAfterMs: 120, attempts: 0, tried: '', placement: 259, loadAgeMs: 41
  }
}

/** Counts the lines of an event that summaries speak of. */
function countSummed (written: readonly Line[], event: string): number {
  const values = written.filter(line => line.event === 'linesLeftOut').map(line => line.fields[event])
  return values.reduce<number>((sum, value) => {
    if (typeof value === 'number') return sum + value
    return sum + [...String(value ?? '').matchAll(/: (\d+)(?=,|$)/g)].reduce((part, match) => part + Number(match[1]), 0)
  }, 0)
}

/** A minute at 75 requests a second, and one stop at its end. */
function playMinute () {
  const run = startBudget()
  for (let index = 0; index < 4500; index++) {
    run.passTo(index / 75 * 1000)
    if (index % 75 === 0) run.offer('placementInForce', { revision: index, confirmations: 0, nextFence: index })
    if (index % 90 === 0) run.offer('requestAnswered', buildAnswered(index, { ms: 700, lateMs: 200 }))
    else if (index % 450 === 7) run.offer('requestAnswered', buildAnswered(index, { heldMs: 120 }))
    else if (index % 300 === 5) run.offer('requestRefused', buildRefused(index, 'queue-full'))
    else if (index % 450 === 11) run.offer('requestFailed', { requestId: `f${index}`, reason: 'backend-failed', status: 502 })
    else if (index % 150 === 3) {
      run.offer('requestRetried', { requestId: `d${index}`, reason: 'shed-by-backend', attempt: 1, afterMs: 12 })
      run.offer('requestAnswered', buildAnswered(index, { attempts: 2 }))
    } else run.offer('requestAnswered', buildAnswered(index))
  }
  run.offer('gatewayStopping', { requests: 40, graceMs: 6000 })
  for (let index = 0; index < 60; index++) run.offer('requestRefused', buildRefused(index, 'draining'))
  for (let index = 0; index < 40; index++) run.offer('requestCut', { requestId: `e${index}`, isSent: true, ageMs: 900 })
  run.passTo(65_000)
  run.budget.close()
  run.offer('stopped', { host: 'edge-bat-boulevard-1', reason: 'out-of-time', afterMs: 5600, requests: 40 })
  return run
}

function isPlain (line: Line): boolean {
  const { fields } = line
  return line.event === 'requestAnswered' && fields.attempts === 1 && fields.lateMs === undefined && fields.heldMs === undefined
}

test('a minute of answered requests does not push the lines of a failure out of the collected output', t => {
  const { written } = playMinute()
  const bytes = written.reduce((sum, line) => sum + line.bytes, 0)
  t.log(`bytes of the minute: ${bytes}`)
  t.true(bytes <= collectedBytes, `${bytes} bytes`)
})

test('no line of a request that did not end plainly, nor of a stop, is lost among plain successes', t => {
  const { written, offered } = playMinute()
  const kept = new Set(written.map(line => line.fields))
  const telling = offered.filter(line => !isPlain(line))
  t.log(`lines offered: ${offered.length}, no plain successes: ${telling.length}, written: ${written.length}`)
  t.deepEqual(telling.filter(line => !kept.has(line.fields)), [])
  t.true(written.some(isPlain))
})

test('a success whose backend server said no is not taken for a plain one', t => {
  const run = startBudget()
  for (let index = 0; index < 50; index++) run.offer('requestAnswered', buildAnswered(index, { status: 500 }))
  t.is(run.written.length, 50)
})

test('no line goes missing uncounted', t => {
  const { written, offered, counted } = playMinute()
  for (const event of new Set(offered.map(line => line.event))) {
    const lines = written.filter(line => line.event === event).length
    t.is(lines + countSummed(written, event), offered.filter(line => line.event === event).length, event)
    t.is(counted.get(event) ?? 0, countSummed(written, event), event)
  }
})

test('a burst of one kind pushes out no other', t => {
  const run = startBudget()
  for (let index = 0; index < 5000; index++) {
    run.passTo(index)
    run.offer('requestRefused', buildRefused(index, 'queue-full'))
    run.offer('placementInForce', { revision: index, confirmations: 0, nextFence: index })
  }
  const rare: Array<[string, LogFields]> = [
    ['requestRefused', buildRefused(1, 'no-owner')], ['requestFailed', { requestId: 'f', reason: 'backend-failed', status: 502 }], ['storeLost', { configuration: 1 }], ['backendLeft', { backend: 'i-1', service: 's', how: 'gone' }]
  ]
  for (const [event, fields] of rare) run.offer(event, fields)
  const kept = new Set(run.written.map(line => line.fields))
  t.deepEqual(rare.filter(([, fields]) => !kept.has(fields)), [])
  run.passTo(7000)
  const lost = run.offered.length - run.written.filter(line => line.event !== 'linesLeftOut').length
  t.is(countSummed(run.written, 'requestRefused') + countSummed(run.written, 'placementInForce'), lost)
  t.true(run.written.reduce((sum, line) => sum + line.bytes, 0) < collectedBytes / 2)
})

test('the line that sums up stays short though requests of hundreds of routes are left out', t => {
  const run = startBudget()
  for (let index = 0; index < 2000; index++) run.offer('requestAnswered', buildAnswered(index, { route: `route-${index}` }))
  run.passTo(1000)
  const summary = run.written.find(line => line.event === 'linesLeftOut')
  t.true((summary?.bytes ?? Infinity) < 600)
  t.is(countSummed(run.written, 'requestAnswered') + run.written.filter(isPlain).length, 2000)
})

test('a late answer, and one held for its key\'s next owner, keep their lines among many quick ones', async t => {
  const fleet = await startPlatformFleet({ gateways: 1, shards: 2, plain: 1 })
  t.teardown(fleet.stop)
  const address = fleet.gateways[0]?.addresses.callers ?? ''
  const [leaving] = fleet.shards
  const [plain] = fleet.plain
  if (leaving === undefined || plain === undefined) return t.fail('nothing started')
  for (let index = 0; index < 100; index++) await callGateway(address, { path: `/orders/${index}`, method: 'POST', body: 'a' })
  plain.faults.workMs = 600
  const late = await callGateway(address, { path: '/orders/late', method: 'POST', body: 'a' })
  for (const shard of fleet.shards) shard.faults.workMs = 60
  fleet.register(leaving, 'shards', { state: 'draining' })
  const lookups: Array<ReturnType<typeof callGateway>> = []
  for (let index = 0; index < 150; index++) {
    lookups.push(callGateway(address, { path: `/reads/${index}`, key: (index * 7919) % 65_536 }))
    await new Promise(resolve => setTimeout(resolve, 4))
  }
  await Promise.all(lookups)
  const answered = fleet.events.filter(event => event.msg === 'requestAnswered')
  t.true(Number(answered.find(event => event.fields.requestId === late.requestId)?.fields.lateMs) > 50)
  t.true(answered.some(event => Number(event.fields.heldMs) > 0))
  t.true(answered.filter(event => event.fields.lateMs === undefined && event.fields.heldMs === undefined).length < 50)
})
