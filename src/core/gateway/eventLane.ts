import type { Lane } from '../lane.js'
import type { GatewayEvent } from './events.js'

/** Chooses the queue of an event: events of callers' requests are queued apart from those of keys, leadership and the store. */
export function chooseGatewayLane (event: GatewayEvent): Lane {
  switch (event.kind) {
    case 'request-arrived':
    case 'caller-gone':
    case 'not-run-answered':
    case 'answer-whole':
    case 'answer-streaming':
    case 'answer-cut':
    case 'send-failed':
    case 'stray-bytes-read':
    case 'signals-read':
      return 'callers'
    default:
      return 'control'
  }
}
