import type { ExecutionContext } from 'ava'
import test from 'ava'
import { handleSignals } from '../src/bin/processSetup.js'

/** Signals from a terminal or a supervisor that a program handles. */
const signals = ['SIGTERM', 'SIGINT'] as const

/** Installs the program's signal handlers, and records its stops and exits. */
function startSignalHandling (t: ExecutionContext) {
  const seen: string[] = []
  const exit = process.exit
  const earlier = new Map(signals.map(signal => [signal, process.listeners(signal)]))
  process.exit = (code => { seen.push(`exit ${code}`) }) as typeof process.exit
  t.teardown(() => {
    process.exit = exit
    for (const signal of signals) {
      for (const listener of process.listeners(signal)) {
        if (earlier.get(signal)?.includes(listener) !== true) process.off(signal, listener)
      }
    }
  })
  handleSignals(() => { seen.push('stop') })
  return { seen, send: (signal: typeof signals[number]) => { process.emit(signal) } }
}

test.serial('a supervisor that repeats SIGTERM does not cut requests in flight', t => {
  const { seen, send } = startSignalHandling(t)
  for (let count = 0; count < 3; count++) send('SIGTERM')
  t.deepEqual(seen, ['stop'])
})

test.serial('a second SIGINT, as sent by a person at a terminal, ends the program at once', t => {
  const { seen, send } = startSignalHandling(t)
  send('SIGINT')
  t.deepEqual(seen, ['stop'])
  send('SIGINT')
  t.deepEqual(seen, ['stop', 'exit 1'])
})

test.serial('a SIGTERM after a SIGINT does not cut requests in flight', t => {
  const { seen, send } = startSignalHandling(t)
  send('SIGINT')
  send('SIGTERM')
  t.deepEqual(seen, ['stop'])
})

test.serial('a first SIGINT after a SIGTERM does not cut requests in flight', t => {
  const { seen, send } = startSignalHandling(t)
  send('SIGTERM')
  send('SIGINT')
  t.deepEqual(seen, ['stop'])
})
