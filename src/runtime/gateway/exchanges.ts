import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HeaderPair } from '../../protocol/peerCodec.js'
import type { AnswerFraming } from '../answerEnd.js'

/** Answer of a backend server: complete, or its buffered start with the rest still arriving. */
export type BackendAnswer = {
  status: number
  headers: HeaderPair[]
  first: Buffer
  rest: IncomingMessage | undefined
  framing: AnswerFraming
  /** Whether the body, which has ended, is whole as far as its framing and its connection can show. */
  isWhole: () => boolean
}

/** Attempt in progress to send a request to a backend server; `attempt` is its number, `heldBytes` the bytes of its answer that are buffered and not passed on. */
export type SendAttempt = { attempt: number, cancel: () => void, answer: BackendAnswer | undefined, heldBytes: number }

/** Request of a caller, until its answer has been sent or its connection has closed. */
export type GatewayExchange = {
  id: string
  requestId: string
  /** Time at which the request head was read, in milliseconds of the process's clock. */
  startedAt: number
  method: string
  path: string
  headers: HeaderPair[]
  /** Buffered start of the body; all of it when `rest` is undefined. */
  first: Buffer
  /** Remaining stream of a body that is too long to be buffered. */
  rest: IncomingMessage | undefined
  request: IncomingMessage
  response: ServerResponse
  sendAttempt: SendAttempt | undefined
  /** Whether the answer has been written, completely or up to the point where it was cut. Its last bytes may still be in the socket's write buffer. */
  isAnswered: boolean
}

/** Returns whether closing the connection now would interrupt the request: it has no answer, or the last bytes of the answer are still in the write buffer. */
export function isInterruptedByClose (exchange: GatewayExchange): boolean {
  return !exchange.isAnswered || exchange.response.writableLength > 0
}

/** Requests in progress, by id. */
export type GatewayExchanges = Map<string, GatewayExchange>
