import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from './timerService.js'

/** Shortest duration of a read after which its connection is paused, in milliseconds: a hundred times that of a full read of ordinary bytes. */
const longReadMs = 5
/** Smallest read after which a connection is paused, in bytes; smaller reads are short whatever they contain. */
const minThrottledReadBytes = 16 * 1024
/** Ratio of a pause to the long read before it; with 3, such reads take a quarter of the process's time. */
const pauseToReadRatio = 3
/** Longest pause, in milliseconds: a tenth of the shortest deadlines. */
const maxPauseMs = 100

/**
 * Limits the share of the process's time that reading one answer takes. Node.js keeps reading as long
 * as bytes are available, and reading 64 kB in chunks of one byte takes about 20 ms.
 */
export function throttleReading (request: ClientRequest, timers: TimerService): void {
  const { clock } = timers
  let response: IncomingMessage | undefined
  let startedAt = 0
  const startRead = () => { startedAt = clock.now() }
  request.once('response', (started: IncomingMessage) => { response = started })
  request.once('socket', socket => {
    const endRead = (part: Buffer) => {
      const readMs = clock.now() - startedAt
      if (readMs < longReadMs || part.length < minThrottledReadBytes || socket.destroyed) return
      pauseSocket(socket, Math.min(readMs * pauseToReadRatio, maxPauseMs), timers, () => response === undefined || response.readableLength < response.readableHighWaterMark)
    }
    socket.prependListener('data', startRead)
    socket.on('data', endRead)
    request.once('close', () => {
      socket.off('data', startRead)
      socket.off('data', endRead)
    })
  })
}

/** Pauses a socket for a time, and then resumes it if the buffer of its answer has room. */
function pauseSocket (socket: Socket, pauseMs: number, timers: TimerService, hasRoom: () => boolean): void {
  socket.pause()
  // Node.js resumes the socket whenever the buffer of its answer has room, so `resume` is disabled meanwhile.
  socket.resume = () => socket
  timers.schedule(pauseMs, () => {
    Reflect.deleteProperty(socket, 'resume')
    if (!socket.destroyed && hasRoom()) socket.resume()
  })
}
