import type { Socket } from 'node:net'

/** What a backend server sends endlessly, until its connection closes. */
export type EndlessFault =
  | 'endless-garbage'
  | 'endless-empty-lines'
  | 'endless-status-line'
  | 'endless-header-line'
  | 'endless-header-blanks'
  | 'endless-header-lines'
  | 'endless-informational'
  | 'endless-chunks'
  | 'endless-small-chunks'
  | 'endless-unframed'
  | 'endless-length'
  | 'endless-huge-length'
  | 'endless-chunk-size'
  | 'endless-extension'
  | 'endless-extensions'
  | 'endless-trailers'
  | 'endless-trailer-blanks'
  | 'endless-not-run'
  | 'endless-after-answer'
  | 'endless-answers-after-answer'
  | 'endless-when-idle'

/** One endless answer, as measured by the backend server that sends it. */
export type Flood = {
  fault: EndlessFault
  startedAt: number
  /** Bytes written to the socket, including those still in its buffer. */
  bytes: number
  closedAt: number | undefined
  /** Bytes received on this connection after the flood started. */
  bytesAfter: number
}

/** Size of one write, in bytes. */
const blockBytes = 64 * 1024
/** Time between an answer and the flood on its idle connection, in milliseconds. */
const idleDelayMs = 100

/** Sends bytes of the given fault until the connection closes, and returns measurements that are updated meanwhile. */
export function startFlood (socket: Socket, fault: EndlessFault, head: string, text: string): Flood {
  const { start, repeated } = buildBytes(fault, head, text)
  const flood: Flood = { fault, startedAt: performance.now(), bytes: 0, closedAt: undefined, bytesAfter: 0 }
  const block = Buffer.from(repeated.repeat(Math.ceil(blockBytes / repeated.length)))
  const write = (part: Buffer) => {
    if (socket.destroyed) return
    flood.bytes += part.length
    const next = () => { setImmediate(() => write(block)) }
    if (socket.write(part)) next()
    else socket.once('drain', next)
  }
  socket.on('close', () => { flood.closedAt = performance.now() })
  socket.on('data', (part: Buffer) => { flood.bytesAfter += part.length })
  if (fault === 'endless-when-idle') {
    socket.write(start)
    setTimeout(() => {
      flood.startedAt = performance.now()
      write(block)
    }, idleDelayMs)
    return flood
  }
  write(Buffer.concat([Buffer.from(start), block]))
  return flood
}

function buildBytes (fault: EndlessFault, head: string, text: string): { start: string, repeated: string } {
  const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`
  const whole = `${head}Content-Length: ${text.length}\r\n\r\n${text}`
  const dots = '.'.repeat(16_384)
  switch (fault) {
    case 'endless-garbage': return { start: '', repeated: 'this is no answer\r\n' }
    case 'endless-empty-lines': return { start: '', repeated: '\r\n' }
    case 'endless-status-line': return { start: 'HTTP/1.1 200 ', repeated: 'fine ' }
    case 'endless-header-line': return { start: `${head}X-Long: `, repeated: 'long ' }
    case 'endless-header-blanks': return { start: `${head}X-Long:`, repeated: ' ' }
    case 'endless-header-lines': return { start: head, repeated: 'X-Many: 1\r\n' }
    case 'endless-informational': return { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' }
    case 'endless-chunks': return { start: chunked, repeated: `4000\r\n${dots}\r\n` }
    case 'endless-small-chunks': return { start: chunked, repeated: '1\r\n.\r\n' }
    case 'endless-unframed': return { start: `${head}Connection: close\r\n\r\n`, repeated: dots }
    case 'endless-length': return { start: `${head}Content-Length: 1000000000000\r\n\r\n`, repeated: dots }
    case 'endless-huge-length': return { start: `${head}Content-Length: 9007199254740993\r\n\r\n`, repeated: dots }
    case 'endless-chunk-size': return { start: chunked, repeated: '0' }
    case 'endless-extension': return { start: `${chunked}1;`, repeated: 'name=value;' }
    case 'endless-extensions': return { start: chunked, repeated: `1;${'x'.repeat(4000)}\r\n.\r\n` }
    case 'endless-trailers': return { start: `${chunked}1\r\n.\r\n0\r\n`, repeated: 'X-Many: 1\r\n' }
    case 'endless-trailer-blanks': return { start: `${chunked}1\r\n.\r\n0\r\nX-Long:`, repeated: ' ' }
    case 'endless-not-run': return { start: chunked.replace('200 OK', '503 Service Unavailable').replace('\r\n', '\r\nNot-Executed: 1\r\nFulmar-Not-Run: 1\r\n'), repeated: `4000\r\n${dots}\r\n` }
    case 'endless-after-answer': return { start: whole, repeated: 'this is no answer\r\n' }
    case 'endless-answers-after-answer': return { start: whole, repeated: 'HTTP/1.1 200 OK\r\nRequest-Id: stray\r\nContent-Length: 5\r\n\r\nstray' }
    case 'endless-when-idle': return { start: whole, repeated: 'this is no answer\r\n' }
  }
}
