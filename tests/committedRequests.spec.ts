import type { CallerCloseReason } from '../src/runtime/closeReasons.js'
import test from 'ava'
import { createServer } from 'node:http'
import { computeCallerLimits } from '../src/core/policy/memoryBudget.js'
import { createCallerConnections } from '../src/runtime/callerConnections.js'
import { systemClock } from '../src/runtime/clock.js'
import { createReadTurns } from '../src/runtime/readTurns.js'
import { createTimerService } from '../src/runtime/timerService.js'
import { processTurns } from '../src/runtime/turns.js'
import { waitFor } from './support/platform/platformFleet.js'
import { openCaller } from './support/platform/rawCaller.js'

/** Bytes held for a request that is passed on, and for one whose body is being read; both together exceed the limit. */
const heldBytes = { '/passed-on': 3_000_000, '/reading': 2_500_000 }
const limits = computeCallerLimits(50, 4096)

test('over the limit a request whose body is being read is refused, and one that was passed on since it was measured keeps its connection', async t => {
  const timers = createTimerService(systemClock)
  const closed: CallerCloseReason[] = []
  let isPassedOn = false
  const server = createServer()
  const connections = createCallerConnections(server, { timers, limits, readTurns: createReadTurns(processTurns), notifyClosed: reason => { closed.push(reason) } })
  server.on('request', (request, response) => {
    const path = request.url === '/reading' ? '/reading' : '/passed-on'
    connections.queueRequest(request, response, {
      accept: () => {},
      abandon: () => {},
      isIdempotent: () => false,
      countHeldBytes: () => heldBytes[path],
      countCommittedBytes: () => path === '/passed-on' && isPassedOn ? heldBytes[path] : 0,
      refuse: () => {
        if (path === '/passed-on') return false
        response.writeHead(503, { connection: 'close' }).end()
        return true
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
    timers.close()
  })
  const address = `127.0.0.1:${(server.address() as { port: number }).port}`
  const [passedOn, reading] = [openCaller(address), openCaller(address)]
  t.teardown(() => passedOn.socket.destroy())
  passedOn.socket.write('POST /passed-on HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na')
  await waitFor(() => connections.countHeldBytes() > heldBytes['/passed-on'], 2000)
  isPassedOn = true
  reading.socket.write('POST /reading HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n')
  await reading.closed
  t.regex(reading.text(), /^HTTP\/1\.1 503/)
  t.deepEqual(closed, ['memory'])
  t.false(passedOn.socket.destroyed)
})
