import test from 'ava'
import { explainRequest } from '../src/operator/explainRequest.js'

const host = { name: 'fulmar-gateway', hostname: 'entry-1', pid: 7, level: 30, v: 0 }
const lines = [
  { ...host, event: 4106, msg: 'placementInForce', revision: 40, time: '2026-12-04T10:00:00.000Z' },
  { ...host, event: 4106, msg: 'placementInForce', revision: 41, time: '2026-12-04T10:00:01.000Z' },
  { ...host, event: 4004, msg: 'requestRetried', requestId: 'r-1', reason: 'shed-by-backend', attempt: 1, time: '2026-12-04T10:00:02.000Z' },
  { ...host, event: 4002, msg: 'requestRefused', requestId: 'r-1', reason: 'no-owner', placement: 41, time: '2026-12-04T10:00:02.400Z' },
  { ...host, hostname: 'entry-2', event: 4001, msg: 'requestAnswered', requestId: 'r-2', status: 200, time: '2026-12-04T10:00:03.000Z' }
].map(line => `12.5 prefix ${JSON.stringify(line)}`).join('\n')

test('the story of a request holds its lines, what its host believed before, and the usual cause', t => {
  const { text, code } = explainRequest('r-1', [lines, 'no JSON {here'])
  t.is(code, 0)
  t.regex(text, /before: .*placementInForce revision=41/)
  t.notRegex(text, /revision=40/)
  t.regex(text, /requestRetried reason=shed-by-backend[^]*requestRefused reason=no-owner/)
  t.regex(text, /cause: no-owner: /)
  t.notRegex(text, /entry-2/)
})

test('a request without a line is said to have none', t => {
  t.is(explainRequest('r-9', [lines]).code, 1)
})

const short = { hostname: 'entry-1' }

/** Writes lines as a collector does, with the end of the last one cut off. */
function collect (...collected: Array<Record<string, unknown>>): string {
  return `${collected.map(line => `  49.605 entry-1 ${JSON.stringify(line)}`).join('\n')}\n  50.1 entry-1 {"hostname":"ent`
}

test('a request whose line may have been left out is not said to have reached no host', t => {
  const text = collect(
    { ...short, event: 4106, msg: 'placementInForce', revision: 40, time: '2026-12-04T10:00:00.000Z' },
    { ...short, event: 3307, count: 31, forMs: 900, requestAnswered: 'reads 200: 29, orders 200: 2', msg: 'linesLeftOut', time: '2026-12-04T10:00:01.000Z' },
    { ...short, event: 3307, count: 4, forMs: 100, placementInForce: 4, msg: 'linesLeftOut', time: '2026-12-04T10:00:02.000Z' }
  )
  const { text: story, code } = explainRequest('r-9', [text])
  t.is(code, 1)
  t.regex(story, /entry-1: lines from 2026-12-04T10:00:00.000Z to 2026-12-04T10:00:02.000Z/)
  t.regex(story, /10:00:00.100Z to 2026-12-04T10:00:01.000Z: 31 lines left out: requestAnswered=reads 200: 29, orders 200: 2/)
  t.notRegex(story, /4 lines left out/)
})

test('lines left out or dropped by earlier versions count as gaps too', t => {
  const text = collect(
    { ...host, event: 4001, msg: 'requestAnswered', requestId: 'r-1', status: 200, time: '2026-12-04T10:00:00.000Z' },
    { ...host, event: 4001, msg: 'requestAnswered', requestId: 'r-2', status: 200, linesLeftOut: 7, time: '2026-12-04T10:00:01.000Z' },
    { event: 3304, msg: 'logLinesDropped', count: 9, time: '2026-12-04T10:00:02.000Z' }
  )
  const { text: story } = explainRequest('r-9', [text])
  t.regex(story, /10:00:00.000Z to 2026-12-04T10:00:01.000Z: 7 lines left out/)
  t.regex(story, /to 2026-12-04T10:00:02.000Z: 9 lines dropped/)
})

test('a story with a gap says so, and one without does not', t => {
  const retried = { ...short, event: 4004, msg: 'requestRetried', requestId: 'r-1', reason: 'shed-by-backend', time: '2026-12-04T10:00:02.000Z' }
  const plain = { ...short, event: 3307, count: 31, forMs: 900, requestAnswered: 'reads 200: 31', msg: 'linesLeftOut', time: '2026-12-04T10:00:02.100Z' }
  const gap = { ...short, event: 3307, count: 3, forMs: 900, requestRefused: 'reads queue-full: 3', msg: 'linesLeftOut', time: '2026-12-04T10:00:02.500Z' }
  const end = { ...short, event: 4001, msg: 'requestAnswered', requestId: 'r-1', status: 200, time: '2026-12-04T10:00:02.050Z' }
  const whole = explainRequest('r-1', [collect(retried, end, plain)]).text
  t.notRegex(whole, /left out|no line of its end/)
  const broken = explainRequest('r-1', [collect(retried, gap)]).text
  t.regex(broken, /no line of its end/)
  t.regex(broken, /3 lines left out: requestRefused=reads queue-full: 3/)
})

test('the story of a request that a stop cut leads from its id to the end of the process', t => {
  const { text } = explainRequest('r-1', [collect(
    { ...short, event: 4301, msg: 'gatewayStopping', requests: 12, graceMs: 6000, time: '2026-12-04T10:00:00.000Z' },
    { ...short, event: 3306, msg: 'requestCut', requestId: 'r-1', isSent: true, ageMs: 900, time: '2026-12-04T10:00:05.600Z' },
    { ...short, event: 3002, msg: 'stopped', host: 'entry-1', reason: 'out-of-time', afterMs: 5600, requests: 1, time: '2026-12-04T10:00:05.601Z' }
  )])
  t.regex(text, /before: .*gatewayStopping requests=12[^]*requestCut isSent=true ageMs=900[^]*after: .*stopped host=entry-1 reason=out-of-time/)
  t.regex(text, /cause: cut: /)
})
