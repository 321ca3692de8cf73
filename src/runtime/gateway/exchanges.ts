import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HeaderPair } from '../../protocol/peerCodec.js'

/** An answer of a backend server: whole, or its start with the rest still coming. */
export type BackendAnswer = {
  status: number
  headers: HeaderPair[]
  first: Buffer
  rest: IncomingMessage | undefined
  /** How the backend server marked the end of its body; a closed connection does not prove that it is whole. */
  framing: 'marked' | 'closed'
}

/** The sending of a request to a backend server that is under way. */
export type Sending = { attempt: number, cancel: () => void, answer: BackendAnswer | undefined }

/** A request of a caller, until its answer has left or its connection has closed. */
export type GatewayExchange = {
  id: string
  requestId: string
  /** When its head had been read, in milliseconds of the process's clock. */
  startedAt: number
  method: string
  path: string
  headers: HeaderPair[]
  /** Buffered start of the body. */
  first: Buffer
  /** Rest of a body too long to be buffered. */
  rest: IncomingMessage | undefined
  request: IncomingMessage
  response: ServerResponse
  sending: Sending | undefined
  /** Whether its answer has been written to the end, or to where it breaks off; its last bytes may wait for the caller. */
  isAnswered: boolean
}

/** Whether closing its connection now would cut a request: it has no answer, or the last bytes of its answer have not left. */
export function isCutByClose (exchange: GatewayExchange): boolean {
  return !exchange.isAnswered || (exchange.response.socket?.writableLength ?? 0) > 0
}

/** Requests in progress by id. */
export type GatewayExchanges = Map<string, GatewayExchange>
