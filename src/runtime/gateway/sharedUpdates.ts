import type { FleetUpdate } from '../../protocol/gen/peer.js'
import { FleetExchangeService } from '../../protocol/gen/peer.js'

/** The exchange's service for updates of which some go to many hosts. */
export type SharedUpdates = {
  service: typeof FleetExchangeService
  /** Encodes an update once for all streams that it is written to. */
  share: (update: FleetUpdate['update']) => FleetUpdate
}

/** Creates the service, and the memory of the updates that are encoded. */
export function createSharedUpdates (): SharedUpdates {
  const encoded = new WeakMap<FleetUpdate, Buffer>()
  const { follow } = FleetExchangeService
  return {
    service: { follow: { ...follow, responseSerialize: message => encoded.get(message) ?? follow.responseSerialize(message) } },
    share: update => {
      const message = { update }
      encoded.set(message, follow.responseSerialize(message))
      return message
    }
  }
}
