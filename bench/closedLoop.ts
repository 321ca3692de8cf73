import { Agent, request as openRequest } from 'node:http'
import { build } from 'hdr-histogram-js'

// A closed-loop load generator that prints its result as one JSON line. RATE is in requests a second over all callers;
// without it, every caller sends its next request as soon as the last one is answered.
// Usage: closedLoop.ts PORT HOST CALLERS SECONDS BODY_BYTES [RATE]
const [port = 0, , callers = 1, seconds = 1, bodyBytes = 0, rate = 0] = process.argv.slice(2).map(Number)
const host = process.argv[3] ?? ''
const agent = new Agent({ keepAlive: true, maxSockets: callers })
const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
const body = Buffer.alloc(bodyBytes, 0x78)
const startedAt = performance.now()
const endAt = startedAt + seconds * 1000
let sent = 0
let failed = 0
let active = callers

/** Sends the requests of one caller one after the other; with a rate, none before its planned time. */
function runCaller (index: number, round: number): void {
  const plannedAt = rate === 0 ? 0 : startedAt + (round * callers + index) / rate * 1000
  const waitMs = plannedAt - performance.now()
  if (waitMs > 1) {
    setTimeout(() => runCaller(index, round), waitMs)
    return
  }
  const sentAt = performance.now()
  if (sentAt > endAt) {
    active -= 1
    if (active === 0) finishRun()
    return
  }
  sent += 1
  const method = bodyBytes === 0 ? 'GET' : 'PUT'
  const path = bodyBytes === 0 ? `/items/key-${sent % 5000}` : `/photos/key-${sent % 5000}`
  const request = openRequest({ host: '127.0.0.1', port, method, path, agent, headers: { host, 'content-length': bodyBytes } }, response => {
    if (response.statusCode !== 200) failed += 1
    response.resume()
    response.on('end', () => {
      histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * 1000)))
      runCaller(index, round + 1)
    })
  })
  request.on('error', () => {
    failed += 1
    runCaller(index, round + 1)
  })
  request.end(body)
}

function finishRun (): void {
  const elapsed = (performance.now() - startedAt) / 1000
  const readPercentileMs = (percentile: number) => Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100
  console.log(JSON.stringify({ perSecond: Math.round(sent / elapsed), failed, p50Ms: readPercentileMs(50), p99Ms: readPercentileMs(99) }))
  agent.destroy()
}

for (let index = 0; index < callers; index++) runCaller(index, 0)
