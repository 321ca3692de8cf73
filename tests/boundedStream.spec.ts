import test from 'ava'
import { Writable } from 'node:stream'
import { createBoundedStream } from '../src/runtime/boundedStream.js'

test('a log stream that nobody reads does not block its writer, buffers a bounded number of bytes, and reports how many lines were dropped', t => {
  const pending: Array<() => void> = []
  const lines: string[] = []
  const blocked = new Writable({
    highWaterMark: 1024,
    write: (part: Buffer, _, done) => {
      lines.push(part.toString())
      pending.push(done)
    }
  })
  const stream = createBoundedStream(blocked)
  const line = `${'x'.repeat(999)}\n`
  for (let index = 0; index < 5000; index++) stream.write(line)
  t.true(blocked.writableLength < 300 * 1024)
  while (pending.length > 0) pending.shift()?.()
  stream.write(line)
  while (pending.length > 0) pending.shift()?.()
  const droppedCount = lines.map(text => /"count":(\d+)/.exec(text)?.[1]).find(count => count !== undefined)
  t.true(Number(droppedCount) > 4000)
})
