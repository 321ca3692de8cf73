import type { ClientDuplexStream, ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import type { FleetLoad, GatewayEvent, LoadReport } from '../../core/gateway/events.js'
import type { PlacementChange } from '../../core/gateway/model.js'
import type { FleetUpdate, LoadReport as WireReport } from '../../protocol/gen/peer.js'
import type { ViewEntries } from '../../protocol/fleetUpdate.js'
import type { PeerCredentials } from '../credentials.js'
import type { ListenOutcome } from '../listen.js'
import type { PeerConnections } from '../peerConnections.js'
import type { LogEvent } from '../log.js'
import type { TimerService } from '../timerService.js'
import type { FindEarlierValue, RelayedChanges } from '../../core/gateway/storeView.js'
import { Server } from '@grpc/grpc-js'
import { replaceLargeValues } from '../../core/gateway/storeView.js'
import { FleetExchangeClient } from '../../protocol/gen/peer.js'
import { decodePlacementChange, decodeLoadReport, decodeStoreChanges, decodeFleetLoad, encodePlacementChange, encodeLoadReport, encodeStoreChanges, encodeFleetLoad } from '../../protocol/fleetUpdate.js'
import { runtimeEventNumbers } from '../log.js'
import { peerServerOptions } from '../peerConnections.js'
import { createSharedUpdates } from './sharedUpdates.js'

/** Timeout for the answer to a report, in milliseconds; when it expires, the connection is replaced. */
const reportTimeoutMs = 800
/** Time after which a stream that was ended is cancelled, in milliseconds: several round trips between regions, so that the last report arrives. */
const closeDelayMs = 1000
/** Time that relayed store changes may take to reach a host, in milliseconds; afterwards they are sent again. */
const relayRetryDelayMs = 300
/** Minimum interval between log lines about failed streams, or about one host that lags behind, in milliseconds. */
const failureLogIntervalMs = 2000

/** Dependencies of the exchange with the granting host. */
export type FleetExchangeParts = {
  credentials: PeerCredentials
  /** Connections that other hosts open to this one. */
  connections: PeerConnections
  timers: TimerService
  post: (event: GatewayEvent) => boolean
  /** Builds the load that answers a host's report; undefined when hosts should not report to this one. */
  buildLoadAnswer: (host: string) => FleetLoad | undefined
  /** Builds the whole placement for a granting host that requests it; undefined if the report is no such request or this host knows no newer one. */
  buildNewerPlacement?: (report: LoadReport) => PlacementChange | undefined
  /** Lists the store changes after a revision, for a host that knows the store up to that revision; undefined before the first complete read of the store. */
  listChangesSince: (revision: number) => RelayedChanges | undefined
  /** Finds the value that a key of the store had at a revision, if it is still kept. */
  findEarlier: FindEarlierValue
  applyRelayedChanges: (changes: RelayedChanges) => void
  log: LogEvent
}

/** Both ends of the exchange with the granting host. Hosts report their load; the granting host sends the fleet's load, changes of owners and store changes. */
export type FleetExchange = {
  listen: (address: string) => Promise<ListenOutcome>
  /** Sends a report to the granting host or a collector; opens the stream if there is none. `inFlight`: this host's own requests in flight, by backend server. */
  report: (address: string, report: LoadReport, inFlight: Map<string, number>) => void
  /** Sends one report to a host that is not the granting host, over a connection of its own; an answer is ignored, except a whole placement. */
  notify: (address: string, report: LoadReport) => void
  /** Sends a change of owners to all hosts that report to this one, or to one of them. */
  publish: (change: PlacementChange, host?: string) => void
  /** Relays store changes to the hosts that report to this one. */
  relay: () => void
  close: () => void
}

type ReportStream = ServerDuplexStream<WireReport, FleetUpdate>
/** Stream of one reporting host, and the revision up to which store changes were relayed to it. */
type HostConnection = { stream: ReportStream, host: string, behindLoggedAt: number, relayedRevision: number | undefined, relayedAt: number, viewEntries: ViewEntries }
/** Store changes for the hosts that know the store up to the same revision; `message` is undefined when there are none. */
type RelayMessage = { changes: RelayedChanges, message: FleetUpdate | undefined }
type GrantingHostConnection = { address: string, client: FleetExchangeClient, stream: ClientDuplexStream<WireReport, FleetUpdate>, unanswered: Array<{ sentAt: number, inFlight: Map<string, number> }>, viewEntries: ViewEntries }

/** Creates both ends of the exchange. */
export function createFleetExchange (parts: FleetExchangeParts): FleetExchange {
  const fleetServer = createFleetServer(parts)
  let connection: GrantingHostConnection | undefined
  /** Functions that close the connections of notices in progress. */
  const notices = new Set<() => void>()
  let failureLoggedAt = -Infinity
  const abortConnection = (aborted: GrantingHostConnection, problem: string) => {
    if (connection !== aborted) return
    connection = undefined
    const now = parts.timers.clock.now()
    aborted.stream.cancel()
    aborted.client.close()
    parts.post({ kind: 'exchange-ended', now, address: aborted.address })
    if (now - failureLoggedAt < failureLogIntervalMs) return
    failureLoggedAt = now
    parts.log(runtimeEventNumbers.peerCallFailed, 'peerCallFailed', { address: aborted.address, problem })
  }
  const openClient = (address: string) => new FleetExchangeClient(address, parts.credentials.client, {
    'grpc.ssl_target_name_override': 'fulmar-router',
    'grpc.default_authority': 'fulmar-router',
    'grpc.initial_reconnect_backoff_ms': 100,
    'grpc.max_reconnect_backoff_ms': 1000
  })
  const openConnection = (address: string): GrantingHostConnection => {
    const client = openClient(address)
    const opened: GrantingHostConnection = { address, client, stream: client.follow(), unanswered: [], viewEntries: new Map() }
    opened.stream.on('data', (update: FleetUpdate) => {
      if (connection === opened) handleUpdate(opened, update, parts)
    })
    opened.stream.on('error', (error: Error) => abortConnection(opened, error.message))
    opened.stream.on('end', () => abortConnection(opened, 'the granting host ended the stream'))
    return opened
  }
  /** Closes a connection gracefully, so that the last report still arrives. */
  const closeConnection = (closing: GrantingHostConnection) => {
    connection = undefined
    closing.stream.end()
    parts.timers.schedule(closeDelayMs, () => {
      closing.stream.cancel()
      closing.client.close()
    })
  }
  return {
    listen: address => parts.connections.listen(fleetServer.server, address, parts.credentials.server),
    report: (address, report, inFlight) => {
      const now = parts.timers.clock.now()
      if (connection !== undefined && connection.address !== address) closeConnection(connection)
      const oldest = connection?.unanswered[0]
      if (connection !== undefined && oldest !== undefined && now - oldest.sentAt > reportTimeoutMs) abortConnection(connection, `no answer to a load report within ${reportTimeoutMs} ms`)
      connection ??= openConnection(address)
      connection.unanswered.push({ sentAt: now, inFlight })
      connection.stream.write(encodeLoadReport(report))
    },
    notify: (address, report) => {
      const client = openClient(address)
      const stream = client.follow()
      const closeNotice = () => {
        notices.delete(closeNotice)
        stream.cancel()
        client.close()
      }
      notices.add(closeNotice)
      // A host that can't be reached is notified again.
      stream.on('error', () => {})
      stream.on('data', ({ update }: FleetUpdate) => {
        if (update?.$case !== 'placement' || update.placement.base !== undefined) return
        parts.post({ kind: 'placement-found', now: parts.timers.clock.now(), change: decodePlacementChange(update.placement) })
      })
      stream.write(encodeLoadReport(report))
      stream.end()
      parts.timers.schedule(closeDelayMs, closeNotice)
    },
    publish: fleetServer.publish,
    relay: fleetServer.relay,
    close: () => {
      const last = connection
      connection = undefined
      last?.stream.cancel()
      last?.client.close()
      for (const closeNotice of notices) closeNotice()
      fleetServer.server.forceShutdown()
      parts.connections.close()
    }
  }
}

function handleUpdate (connection: GrantingHostConnection, message: FleetUpdate, parts: FleetExchangeParts): void {
  const now = parts.timers.clock.now()
  const { update } = message
  if (update?.$case === 'placement') {
    parts.post({ kind: 'placement-changed', now, change: decodePlacementChange(update.placement) })
    return
  }
  if (update?.$case === 'changes') return parts.applyRelayedChanges(decodeStoreChanges(update.changes))
  if (update?.$case !== 'load') return
  const answeredReport = connection.unanswered.shift()
  parts.post({ kind: 'fleet-load-read', now, load: decodeFleetLoad(update.load, connection.viewEntries), reported: answeredReport?.inFlight ?? new Map(), reportedAt: answeredReport?.sentAt ?? -Infinity })
}

/** Creates the granting host's end: a server with one stream for each reporting host. */
function createFleetServer (parts: FleetExchangeParts): { server: Server, publish: FleetExchange['publish'], relay: FleetExchange['relay'] } {
  const server = new Server(peerServerOptions)
  const connections = new Map<string, HostConnection>()
  const updates = createSharedUpdates()
  const recordHostBehind = (connection: HostConnection, relayed: RelayedChanges) => {
    const now = parts.timers.clock.now()
    if (now - connection.behindLoggedAt < failureLogIntervalMs) return
    connection.behindLoggedAt = now
    parts.log(runtimeEventNumbers.hostBehind, 'hostBehind', { host: connection.host, from: relayed.from, to: relayed.to, changes: relayed.changes.length, keys: relayed.present?.length })
  }
  const buildRelayMessage = (revision: number): RelayMessage | undefined => {
    const since = parts.listChangesSince(revision)
    if (since === undefined) return undefined
    const changes = replaceLargeValues(since, connections.size, parts.findEarlier)
    return { changes, message: changes.to > revision ? updates.share({ $case: 'changes', changes: encodeStoreChanges(changes) }) : undefined }
  }
  const sendRelay = (connection: HostConnection, relay: RelayMessage | undefined) => {
    if (relay === undefined) return
    if (relay.changes.present !== undefined) recordHostBehind(connection, relay.changes)
    connection.relayedRevision = relay.changes.to
    connection.relayedAt = parts.timers.clock.now()
    if (relay.message !== undefined) connection.stream.write(relay.message)
  }
  const handleReport = (connection: HostConnection, message: WireReport) => {
    const report = decodeLoadReport(message)
    const newer = parts.buildNewerPlacement?.(report)
    if (newer !== undefined) {
      connection.stream.write({ update: { $case: 'placement', placement: encodePlacementChange(newer) } })
      connection.stream.end()
      return
    }
    const load = parts.buildLoadAnswer(report.host)
    if (load === undefined) {
      connection.stream.end()
      return
    }
    connections.set(report.host, connection)
    connection.host = report.host
    // The answer may ask the host to renew grants, so it is only sent if the report was queued for the reducer.
    if (!parts.post({ kind: 'load-reported', now: parts.timers.clock.now(), report })) return
    const isBehind = report.storeRevision < load.storeRevision && parts.timers.clock.now() - connection.relayedAt > relayRetryDelayMs
    if (connection.relayedRevision === undefined || isBehind) sendRelay(connection, buildRelayMessage(report.storeRevision))
    connection.stream.write({ update: { $case: 'load', load: encodeFleetLoad(load, connection.viewEntries) } })
  }
  const implementation = {
    follow: (stream: ReportStream) => {
      const connection: HostConnection = { stream, host: '', behindLoggedAt: -Infinity, relayedRevision: undefined, relayedAt: -Infinity, viewEntries: new Map() }
      const removeConnection = () => {
        for (const [host, current] of connections) {
          if (current === connection) connections.delete(host)
        }
      }
      const recordMessage = parts.connections.watchMessages(stream.getPeer())
      stream.on('data', (message: WireReport) => {
        recordMessage()
        handleReport(connection, message)
      })
      stream.on('end', () => {
        removeConnection()
        stream.end()
      })
      stream.on('cancelled', removeConnection)
      stream.on('error', (error: Error) => {
        removeConnection()
        parts.log(runtimeEventNumbers.peerCallFailed, 'peerCallFailed', { problem: error.message })
      })
    }
  }
  server.addService(updates.service, implementation as unknown as UntypedServiceImplementation)
  return {
    server,
    publish: (change, host) => {
      const targets = host === undefined ? [...connections.values()] : [connections.get(host)].filter(target => target !== undefined)
      if (targets.length === 0) return
      const message = updates.share({ $case: 'placement', placement: encodePlacementChange(change) })
      for (const target of targets) target.stream.write(message)
    },
    relay: () => {
      // Most hosts know the same revision, so their changes are listed and encoded only once.
      const relays = new Map<number, RelayMessage | undefined>()
      for (const connection of connections.values()) {
        const from = connection.relayedRevision
        if (from === undefined) continue
        if (!relays.has(from)) relays.set(from, buildRelayMessage(from))
        sendRelay(connection, relays.get(from))
      }
    }
  }
}
