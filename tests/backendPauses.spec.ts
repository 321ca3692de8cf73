import test from 'ava'
import { startSignalsHost } from './support/signalsHost.js'

test('a backend server that asks for a pause gets no request until its end, under load, and then gets some again', t => {
  const host = startSignalsHost({ servers: 2 })
  const first = host.ask()
  host.answer(first.id, { pauseMs: 2000 }, 503)
  for (let elapsedMs = 0; elapsedMs < 1980; elapsedMs += 20) {
    const asked = host.ask()
    t.not(asked.backend, first.backend)
    host.answer(asked.id)
    host.advanceTime(20)
  }
  host.advanceTime(40)
  // More than the other one, which has answered at once so far, has slots and places for.
  const later = Array.from({ length: 14 }, () => host.ask().backend)
  t.true(later.includes(first.backend))
})

test('when all backend servers pause, callers are refused at once and asked back after the earliest end', t => {
  const host = startSignalsHost({ servers: 2 })
  const first = host.ask()
  const retried = host.answer(first.id, { pauseMs: 3000 }, 503).find(effect => effect.kind === 'send')
  t.truthy(retried, 'the refused request goes to the other backend server')
  const refused = host.answer(first.id, { pauseMs: 1500 }, 503).find(effect => effect.kind === 'refuse')
  t.is(refused?.status, 503)
  const { refusal, backend } = host.ask()
  t.is(backend, undefined)
  t.is(refusal?.reason, 'backend-paused')
  t.true((refusal?.retryAfterMs ?? 0) >= 1500 && (refusal?.retryAfterMs ?? 0) <= 1500 * 1.25 + 1, `${refusal?.retryAfterMs}`)
})

test('callers for keys of an owner that pauses are refused at once, and their retries are spread after its end', t => {
  const host = startSignalsHost({ servers: 3, sharded: true })
  const first = host.ask(7)
  const refused = host.answer(first.id, { pauseMs: 2000 }, 503).find(effect => effect.kind === 'refuse')
  t.is(refused?.reason, 'backend-paused')
  host.advanceTime(500)
  const retries = Array.from({ length: 100 }, () => {
    const { refusal } = host.ask(7)
    t.is(refusal?.reason, 'backend-paused')
    return refusal?.retryAfterMs ?? 0
  })
  t.true(Math.min(...retries) >= 1500)
  t.true(Math.max(...retries) - Math.min(...retries) > 200, 'retries that come together would fill its queue at once')
  host.advanceTime(1520)
  t.is(host.ask(7).backend, 'i-0')
})

test('a shorter pause does not end a longer one, no pause exceeds 10 s, and a pause ends with its instance', t => {
  const host = startSignalsHost({ servers: 1 })
  const [first, second] = [host.ask(), host.ask()]
  host.answer(first.id, { pauseMs: 60_000 }, 503)
  host.answer(second.id, { pauseMs: 100 }, 503)
  host.advanceTime(9900)
  t.is(host.ask().refusal?.reason, 'backend-paused')
  host.advanceTime(200)
  const third = host.ask()
  t.is(third.backend, 'i-0')
  host.answer(third.id, { pauseMs: 5000 }, 503)
  const known = host.state().backends.get('i-0')
  if (known === undefined) return t.fail()
  host.post({ kind: 'backend-read', now: host.now(), backend: { id: 'i-0', startedAt: 2, service: 's', address: 'i-0:80', zone: 'z', slots: 4, leaving: false, slowForMs: 0 } })
  host.post({ kind: 'signals-read', now: host.now(), backend: 'i-0', startedAt: 1, signals: { isLeaving: true, pauseMs: 5000, coldMs: undefined, load: undefined } })
  t.is(host.ask().backend, 'i-0', 'a late answer of the former instance says nothing about the new one')
})
