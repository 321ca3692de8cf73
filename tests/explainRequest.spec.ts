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

test('the explanation of a request holds its log lines, the placement that its host used before, and the usual cause', t => {
  const { text, code } = explainRequest('r-1', [lines, 'no JSON {here'])
  t.is(code, 0)
  t.regex(text, /before: .*placementInForce revision=41/)
  t.notRegex(text, /revision=40/)
  t.regex(text, /requestRetried reason=shed-by-backend[^]*requestRefused reason=no-owner/)
  t.regex(text, /cause: no-owner: /)
  t.notRegex(text, /entry-2/)
})

test('a request without any log line is reported as having none', t => {
  t.is(explainRequest('r-9', [lines]).code, 1)
})

const hostFields = { hostname: 'entry-1' }

/** Formats log lines as a collector stores them, with the last line truncated. */
function formatCollected (...collected: Array<Record<string, unknown>>): string {
  return `${collected.map(line => `  49.605 entry-1 ${JSON.stringify(line)}`).join('\n')}\n  50.1 entry-1 {"hostname":"ent`
}

test('a request whose log line may have been left out is not reported as having reached no host', t => {
  const text = formatCollected(
    { ...hostFields, event: 4106, msg: 'placementInForce', revision: 40, time: '2026-12-04T10:00:00.000Z' },
    { ...hostFields, event: 3307, count: 31, forMs: 900, requestAnswered: 'reads 200: 29, orders 200: 2', msg: 'linesLeftOut', time: '2026-12-04T10:00:01.000Z' },
    { ...hostFields, event: 3307, count: 4, forMs: 100, placementInForce: 4, msg: 'linesLeftOut', time: '2026-12-04T10:00:02.000Z' }
  )
  const { text: explanation, code } = explainRequest('r-9', [text])
  t.is(code, 1)
  t.regex(explanation, /entry-1: lines from 2026-12-04T10:00:00.000Z to 2026-12-04T10:00:02.000Z/)
  t.regex(explanation, /10:00:00.100Z to 2026-12-04T10:00:01.000Z: 31 lines left out: requestAnswered=reads 200: 29, orders 200: 2/)
  t.notRegex(explanation, /4 lines left out/)
})

test('lines that earlier versions left out or dropped are reported as gaps too', t => {
  const text = formatCollected(
    { ...host, event: 4001, msg: 'requestAnswered', requestId: 'r-1', status: 200, time: '2026-12-04T10:00:00.000Z' },
    { ...host, event: 4001, msg: 'requestAnswered', requestId: 'r-2', status: 200, linesLeftOut: 7, time: '2026-12-04T10:00:01.000Z' },
    { event: 3304, msg: 'logLinesDropped', count: 9, time: '2026-12-04T10:00:02.000Z' }
  )
  const { text: explanation } = explainRequest('r-9', [text])
  t.regex(explanation, /10:00:00.000Z to 2026-12-04T10:00:01.000Z: 7 lines left out/)
  t.regex(explanation, /to 2026-12-04T10:00:02.000Z: 9 lines dropped/)
})

test('an explanation with a gap in the log says so, and one without a gap does not', t => {
  const retried = { ...hostFields, event: 4004, msg: 'requestRetried', requestId: 'r-1', reason: 'shed-by-backend', time: '2026-12-04T10:00:02.000Z' }
  const successesLeftOut = { ...hostFields, event: 3307, count: 31, forMs: 900, requestAnswered: 'reads 200: 31', msg: 'linesLeftOut', time: '2026-12-04T10:00:02.100Z' }
  const refusalsLeftOut = { ...hostFields, event: 3307, count: 3, forMs: 900, requestRefused: 'reads queue-full: 3', msg: 'linesLeftOut', time: '2026-12-04T10:00:02.500Z' }
  const end = { ...hostFields, event: 4001, msg: 'requestAnswered', requestId: 'r-1', status: 200, time: '2026-12-04T10:00:02.050Z' }
  const complete = explainRequest('r-1', [formatCollected(retried, end, successesLeftOut)]).text
  t.notRegex(complete, /left out|no line of its end/)
  const withGap = explainRequest('r-1', [formatCollected(retried, refusalsLeftOut)]).text
  t.regex(withGap, /no line of its end/)
  t.regex(withGap, /3 lines left out: requestRefused=reads queue-full: 3/)
})

test('the explanation of a request that was cut by a stop leads from its id to the end of the process', t => {
  const { text } = explainRequest('r-1', [formatCollected(
    { ...hostFields, event: 4301, msg: 'gatewayStopping', requests: 12, graceMs: 6000, time: '2026-12-04T10:00:00.000Z' },
    { ...hostFields, event: 3306, msg: 'requestCut', requestId: 'r-1', isSent: true, ageMs: 900, time: '2026-12-04T10:00:05.600Z' },
    { ...hostFields, event: 3002, msg: 'stopped', host: 'entry-1', reason: 'out-of-time', afterMs: 5600, requests: 1, time: '2026-12-04T10:00:05.601Z' }
  )])
  t.regex(text, /before: .*gatewayStopping requests=12[^]*requestCut isSent=true ageMs=900[^]*after: .*stopped host=entry-1 reason=out-of-time/)
  t.regex(text, /cause: cut: /)
})
