import type { ClientHttp2Session } from 'node:http2'
import type { Crowd } from './crowd.js'
import { connect } from 'node:http2'

/** Bytes that each stream sends of its message: the first window of HTTP/2. */
const startedBytes = 65_000

/** What each client of a crowd at a gRPC port sends: on each of its streams the start of a message of `messageBytes` to `path`. */
export type PeerCrowdCaller = { path: string, streams: number, messageBytes: number }

/** Starts clients that open many streams, send the start of a message on each, and read nothing. */
export function startPeerCrowd (address: string, clients: number, caller: PeerCrowdCaller): Crowd {
  const sessions = Array.from({ length: clients }, () => startClient(address, caller))
  return {
    countOpen: () => sessions.filter(session => !session.destroyed).length,
    end: () => { for (const session of sessions) session.destroy() }
  }
}

function startClient (address: string, { path, streams, messageBytes }: PeerCrowdCaller): ClientHttp2Session {
  const session = connect(`http://${address}`)
  session.on('error', () => {})
  const start = Buffer.alloc(5 + startedBytes)
  start.writeUInt32BE(messageBytes, 1)
  session.once('connect', () => {
    for (let count = 0; count < streams && !session.destroyed; count++) {
      const stream = session.request({ ':method': 'POST', ':path': path, 'content-type': 'application/grpc', te: 'trailers' })
      stream.on('error', () => {})
      stream.pause()
      stream.write(start)
    }
  })
  return session
}
