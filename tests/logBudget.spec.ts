import type { LogFields } from '../src/runtime/log.js'
import type { LogBudget } from '../src/runtime/gateway/logBudget.js'
import type { TimerService } from '../src/runtime/timerService.js'
import test from 'ava'
import { createLogBudget } from '../src/runtime/gateway/logBudget.js'
import { callGateway, startPlatformFleet } from './support/platform/platformFleet.js'

/** Size of the output that was collected of one process in the incident of 2026-12-04, in bytes. */
const collectedBytes = 150_000
/** Prefix that the log collector added to each line in that incident. */
const prefix = '  49.6051 edge-bat-boulevard-1 '

type Line = { event: string, fields: LogFields, bytes: number }

/** Starts a log budget in virtual time and records the lines that it writes, with their sizes in the collected output. */
function startLogBudget () {
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
    advanceTo: (until: number) => {
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

/** Counts the lines of an event that the written summaries report as left out. */
function countSummarized (written: readonly Line[], event: string): number {
  const values = written.filter(line => line.event === 'linesLeftOut').map(line => line.fields[event])
  return values.reduce<number>((sum, value) => {
    if (typeof value === 'number') return sum + value
    return sum + [...String(value ?? '').matchAll(/: (\d+)(?=,|$)/g)].reduce((part, match) => part + Number(match[1]), 0)
  }, 0)
}

/** Simulates a minute at 75 requests a second that ends with a stop. */
function simulateMinute () {
  const run = startLogBudget()
  for (let index = 0; index < 4500; index++) {
    run.advanceTo(index / 75 * 1000)
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
  run.advanceTo(65_000)
  run.budget.close()
  run.offer('stopped', { host: 'edge-bat-boulevard-1', reason: 'out-of-time', afterMs: 5600, requests: 40 })
  return run
}

function isPlainSuccess (line: Line): boolean {
  const { fields } = line
  return line.event === 'requestAnswered' && fields.attempts === 1 && fields.lateMs === undefined && fields.heldMs === undefined
}

test('a minute of answered requests does not displace the lines of a failure from the collected output', t => {
  const { written } = simulateMinute()
  const bytes = written.reduce((sum, line) => sum + line.bytes, 0)
  t.log(`bytes of the minute: ${bytes}`)
  t.true(bytes <= collectedBytes, `${bytes} bytes`)
})

test('no line of a stop, or of a request that is not a plain success, is left out because of many plain successes', t => {
  const { written, offered } = simulateMinute()
  const kept = new Set(written.map(line => line.fields))
  const otherLines = offered.filter(line => !isPlainSuccess(line))
  t.log(`lines offered: ${offered.length}, other than plain successes: ${otherLines.length}, written: ${written.length}`)
  t.deepEqual(otherLines.filter(line => !kept.has(line.fields)), [])
  t.true(written.some(isPlainSuccess))
})

test('an answered request whose backend server returned an error status does not count as a plain success', t => {
  const run = startLogBudget()
  for (let index = 0; index < 50; index++) run.offer('requestAnswered', buildAnswered(index, { status: 500 }))
  t.is(run.written.length, 50)
})

test('every line that is left out is counted', t => {
  const { written, offered, counted } = simulateMinute()
  for (const event of new Set(offered.map(line => line.event))) {
    const lines = written.filter(line => line.event === event).length
    t.is(lines + countSummarized(written, event), offered.filter(line => line.event === event).length, event)
    t.is(counted.get(event) ?? 0, countSummarized(written, event), event)
  }
})

test('a burst of lines of one kind does not displace lines of other kinds', t => {
  const run = startLogBudget()
  for (let index = 0; index < 5000; index++) {
    run.advanceTo(index)
    run.offer('requestRefused', buildRefused(index, 'queue-full'))
    run.offer('placementInForce', { revision: index, confirmations: 0, nextFence: index })
  }
  const rare: Array<[string, LogFields]> = [
    ['requestRefused', buildRefused(1, 'no-owner')], ['requestFailed', { requestId: 'f', reason: 'backend-failed', status: 502 }], ['storeLost', { configuration: 1 }], ['backendLeft', { backend: 'i-1', service: 's', how: 'gone' }]
  ]
  for (const [event, fields] of rare) run.offer(event, fields)
  const kept = new Set(run.written.map(line => line.fields))
  t.deepEqual(rare.filter(([, fields]) => !kept.has(fields)), [])
  run.advanceTo(7000)
  const lost = run.offered.length - run.written.filter(line => line.event !== 'linesLeftOut').length
  t.is(countSummarized(run.written, 'requestRefused') + countSummarized(run.written, 'placementInForce'), lost)
  t.true(run.written.reduce((sum, line) => sum + line.bytes, 0) < collectedBytes / 2)
})

test('the summary line stays short although requests of hundreds of routes are left out', t => {
  const run = startLogBudget()
  for (let index = 0; index < 2000; index++) run.offer('requestAnswered', buildAnswered(index, { route: `route-${index}` }))
  run.advanceTo(1000)
  const summary = run.written.find(line => line.event === 'linesLeftOut')
  t.true((summary?.bytes ?? Infinity) < 600)
  t.is(countSummarized(run.written, 'requestAnswered') + run.written.filter(isPlainSuccess).length, 2000)
})

test('a late answer, and one that was held until its key had its next owner, keep their log lines among many quick ones', async t => {
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
