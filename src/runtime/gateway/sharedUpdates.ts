import type { FleetUpdate } from '../../protocol/gen/peer.js'
import { FleetExchangeService } from '../../protocol/gen/peer.js'

/** gRPC service definition of the fleet exchange that encodes an update for many hosts only once. */
export type SharedUpdates = {
  service: typeof FleetExchangeService
  /** Encodes an update; the returned message is not encoded again for each stream that it is written to. */
  share: (update: FleetUpdate['update']) => FleetUpdate
}

/** Creates the service definition, with a cache of encoded updates. */
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
