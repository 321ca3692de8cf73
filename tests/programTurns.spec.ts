import type { AddressInfo } from 'node:net'
import test from 'ava'
import { once } from 'node:events'
import { createServer, get } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import { startProgram } from '../src/runtime/program.js'

/** Maximum time that a request may take while events are processed, in milliseconds. */
const maxRequestMs = 250
/** Processing time of one event, in milliseconds. */
const eventMs = 3
/** Time spent on other work in each turn of the event loop, such as reading sockets, in milliseconds. */
const otherWorkMs = 2
/** Number of events that are queued at once. */
const postedEvents = 500

function blockFor (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

/** Sends a request on a new connection and measures the time until its answer is complete, in milliseconds. */
async function measureRequest (port: number): Promise<number> {
  const startedAt = performance.now()
  await new Promise<void>((resolve, reject) => {
    get({ port, host: '127.0.0.1', agent: false }, answer => { answer.resume().once('end', resolve) }).once('error', reject)
  })
  return performance.now() - startedAt
}

/** Starts a program that counts its events, each of which takes `workMs` to process. */
function startCounter (workMs: number) {
  return startProgram<number, number, never>({
    state: 0,
    reduce: state => {
      blockFor(workMs)
      return { state: state + 1, effects: [] }
    },
    interpret: () => {}
  })
}

test('connections of callers are accepted while a host processes queued control events', async t => {
  const server = createServer((request, response) => { response.end() }).listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  await measureRequest(port)
  const program = startCounter(eventMs)
  for (let event = 0; event < postedEvents; event++) program.post(event)
  const ms = await measureRequest(port)
  const reducedMeanwhile = program.getState()
  program.stop()
  server.close()
  t.true(ms <= maxRequestMs, `answered after ${Math.round(ms)} ms`)
  t.true(reducedMeanwhile < postedEvents, 'all events went before the caller')
})

test('events do not pile up when other work takes time in every turn of the event loop', async t => {
  const program = startCounter(0)
  for (let event = 0; event < postedEvents; event++) program.post(event)
  const startedAt = performance.now()
  while (program.getState() < postedEvents && performance.now() - startedAt < 4 * maxRequestMs) {
    blockFor(otherWorkMs)
    await setImmediate()
  }
  const ms = performance.now() - startedAt
  program.stop()
  t.is(program.getState(), postedEvents)
  t.true(ms <= maxRequestMs, `${postedEvents} events after ${Math.round(ms)} ms`)
})
