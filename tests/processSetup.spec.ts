import type { ExecutionContext } from 'ava'
import test from 'ava'
import { handleSignals } from '../src/bin/processSetup.js'

/** Signals of a terminal or a supervisor that a program handles. */
const signals = ['SIGTERM', 'SIGINT'] as const

/** Lets a program handle signals, and notes its stops and ends. */
function startHandling (t: ExecutionContext) {
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

test.serial('a supervisor that repeats SIGTERM does not cut what is in flight', t => {
  const { seen, send } = startHandling(t)
  for (let count = 0; count < 3; count++) send('SIGTERM')
  t.deepEqual(seen, ['stop'])
})

test.serial('a person ends a program at once with a second SIGINT', t => {
  const { seen, send } = startHandling(t)
  send('SIGINT')
  t.deepEqual(seen, ['stop'])
  send('SIGINT')
  t.deepEqual(seen, ['stop', 'exit 1'])
})

test.serial('a SIGTERM after a SIGINT cuts nothing', t => {
  const { seen, send } = startHandling(t)
  send('SIGINT')
  send('SIGTERM')
  t.deepEqual(seen, ['stop'])
})

test.serial('a first SIGINT after a SIGTERM cuts nothing', t => {
  const { seen, send } = startHandling(t)
  send('SIGTERM')
  send('SIGINT')
  t.deepEqual(seen, ['stop'])
})
