import type { AddressInfo } from 'node:net'
import test from 'ava'
import { once } from 'node:events'
import { createServer, get } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import { startProgram } from '../src/runtime/program.js'

/** Longest time that a caller's request may take meanwhile, in milliseconds. */
const callerMs = 250
/** Work of one event, in milliseconds. */
const eventMs = 3
/** Other work in each turn of the loop, such as reading sockets, in milliseconds. */
const turnMs = 2
/** Events that wait at once. */
const postedEvents = 500

function runFor (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

/** Sends a request on a new connection and measures the time until its answer is whole, in milliseconds. */
async function measureRequest (port: number): Promise<number> {
  const startedAt = performance.now()
  await new Promise<void>((resolve, reject) => {
    get({ port, host: '127.0.0.1', agent: false }, answer => { answer.resume().once('end', resolve) }).once('error', reject)
  })
  return performance.now() - startedAt
}

/** Starts a program that counts its events, each of which takes a while, in milliseconds. */
function startCounter (workMs: number) {
  return startProgram<number, number, never>({
    state: 0,
    reduce: state => {
      runFor(workMs)
      return { state: state + 1, effects: [] }
    },
    interpret: () => {}
  })
}

test('callers are accepted while a host works through control events', async t => {
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
  t.true(ms <= callerMs, `answered after ${Math.round(ms)} ms`)
  t.true(reducedMeanwhile < postedEvents, 'all events went before the caller')
})

test('events do not pile up behind the other work of the loop', async t => {
  const program = startCounter(0)
  for (let event = 0; event < postedEvents; event++) program.post(event)
  const startedAt = performance.now()
  while (program.getState() < postedEvents && performance.now() - startedAt < 4 * callerMs) {
    runFor(turnMs)
    await setImmediate()
  }
  const ms = performance.now() - startedAt
  program.stop()
  t.is(program.getState(), postedEvents)
  t.true(ms <= callerMs, `${postedEvents} events after ${Math.round(ms)} ms`)
})
