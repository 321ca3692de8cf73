import type { ClientDuplexStream, ServerDuplexStream, UntypedServiceImplementation } from '@grpc/grpc-js'
import type { FleetLoad, GatewayEvent, LoadReport } from '../../core/gateway/events.js'
import type { PlacementChange } from '../../core/gateway/model.js'
import type { FleetUpdate, LoadReport as WireReport } from '../../protocol/gen/peer.js'
import type { ViewMemory } from '../../protocol/fleetUpdate.js'
import type { PeerCredentials } from '../credentials.js'
import type { ListenOutcome } from '../listen.js'
import type { LogEvent } from '../log.js'
import type { TimerService } from '../timerService.js'
import type { FindEarlierValue, RelayedChanges } from '../../core/gateway/storeView.js'
import { Server } from '@grpc/grpc-js'
import { listInFlight } from '../../core/gateway/loadExchange.js'
import { replaceLargeValues } from '../../core/gateway/storeView.js'
import { FleetExchangeClient } from '../../protocol/gen/peer.js'
import { decodeChange, decodeReport, decodeStoreChanges, decodeView, encodeChange, encodeReport, encodeStoreChanges, encodeView } from '../../protocol/fleetUpdate.js'
import { listenGrpc } from '../listen.js'
import { runtimeEventNumbers } from '../log.js'
import { createSharedUpdates } from './sharedUpdates.js'

/** Longest wait for the answer to a report, in milliseconds; after it the connection counts as silent and is replaced. */
const reportTimeoutMs = 800
/** Time in which the last report on a stream arrives, in milliseconds: some round trips between regions. */
const farewellMs = 1000
/** Time that changes of the store may take to reach a host, in milliseconds; then they are sent again. */
const relayDelayMs = 300
/** Time between two log lines on failed exchanges, in milliseconds. */
const failureLogMs = 2000

/** What the exchange with the granting host works with. */
export type FleetExchangeParts = {
  credentials: PeerCredentials
  timers: TimerService
  post: (event: GatewayEvent) => boolean
  /** The answer to a host's report; undefined when this host does not grant. */
  buildView: (host: string) => FleetLoad | undefined
  /** Changes of the store since a revision, for a host that knows it up to there; undefined before the store was read. */
  listChangesSince: (revision: number) => RelayedChanges | undefined
  /** The value that a key of the store had at a revision, if it is kept. */
  findEarlier: FindEarlierValue
  takeRelayed: (changes: RelayedChanges) => void
  log: LogEvent
}

/** Both ends of the exchange with the granting host: load one way, the fleet's load and changes of owners the other. */
export type FleetExchange = {
  listen: (address: string) => Promise<ListenOutcome>
  /** Reports to the granting host; the stream to it is opened at need. */
  report: (address: string, report: LoadReport) => void
  /** Sends a change of owners to the hosts that report here, or to one of them. */
  publish: (change: PlacementChange, host?: string) => void
  /** Passes changes of the store on to the hosts that report here. */
  relay: () => void
  close: () => void
}

type HostStream = ServerDuplexStream<WireReport, FleetUpdate>
/** Stream of one reporting host, and how far the store's changes were passed on. */
type HostLink = { stream: HostStream, host: string, behindLoggedAt: number, relayedTo: number | undefined, relayedAt: number, views: ViewMemory }
/** Changes of the store for the hosts that know it up to one revision; without a message when there are none. */
type Relay = { changes: RelayedChanges, message: FleetUpdate | undefined }
type Link = { address: string, client: FleetExchangeClient, stream: ClientDuplexStream<WireReport, FleetUpdate>, unanswered: Array<{ sentAt: number, inFlight: Map<string, number> }>, views: ViewMemory }

/** Creates both ends of the exchange. */
export function createFleetExchange (parts: FleetExchangeParts): FleetExchange {
  const hosts = createHostStreams(parts)
  let link: Link | undefined
  let failureLoggedAt = -Infinity
  const end = (ended: Link, problem: string) => {
    if (link !== ended) return
    link = undefined
    const now = parts.timers.clock.now()
    ended.stream.cancel()
    ended.client.close()
    parts.post({ kind: 'exchange-ended', now })
    if (now - failureLoggedAt < failureLogMs) return
    failureLoggedAt = now
    parts.log(runtimeEventNumbers.peerCallFailed, 'peerCallFailed', { address: ended.address, problem })
  }
  const open = (address: string): Link => {
    const client = new FleetExchangeClient(address, parts.credentials.client, {
      'grpc.ssl_target_name_override': 'fulmar-router',
      'grpc.default_authority': 'fulmar-router',
      'grpc.initial_reconnect_backoff_ms': 100,
      'grpc.max_reconnect_backoff_ms': 1000
    })
    const opened: Link = { address, client, stream: client.follow(), unanswered: [], views: new Map() }
    opened.stream.on('data', (update: FleetUpdate) => {
      if (link === opened) takeUpdate(opened, update, parts)
    })
    opened.stream.on('error', (error: Error) => end(opened, error.message))
    opened.stream.on('end', () => end(opened, 'the granting host ended the stream'))
    return opened
  }
  /** Ends a stream in order, so that what was written last arrives. */
  const leave = (left: Link) => {
    link = undefined
    left.stream.end()
    parts.post({ kind: 'exchange-ended', now: parts.timers.clock.now() })
    parts.timers.schedule(farewellMs, () => {
      left.stream.cancel()
      left.client.close()
    })
  }
  return {
    listen: address => listenGrpc(hosts.server, address, parts.credentials.server),
    report: (address, report) => {
      const now = parts.timers.clock.now()
      if (link !== undefined && link.address !== address) leave(link)
      const oldest = link?.unanswered[0]
      if (link !== undefined && oldest !== undefined && now - oldest.sentAt > reportTimeoutMs) end(link, `no answer in ${reportTimeoutMs} ms`)
      link ??= open(address)
      link.unanswered.push({ sentAt: now, inFlight: listInFlight(report) })
      link.stream.write(encodeReport(report))
    },
    publish: hosts.publish,
    relay: hosts.relay,
    close: () => {
      const last = link
      link = undefined
      last?.stream.cancel()
      last?.client.close()
      hosts.server.forceShutdown()
    }
  }
}

function takeUpdate (link: Link, message: FleetUpdate, parts: FleetExchangeParts): void {
  const now = parts.timers.clock.now()
  const { update } = message
  if (update?.$case === 'placement') {
    parts.post({ kind: 'placement-changed', now, change: decodeChange(update.placement) })
    return
  }
  if (update?.$case === 'changes') return parts.takeRelayed(decodeStoreChanges(update.changes))
  if (update?.$case !== 'load') return
  const answered = link.unanswered.shift()
  parts.post({ kind: 'fleet-load-read', now, load: decodeView(update.load, link.views), reported: answered?.inFlight ?? new Map(), reportedAt: answered?.sentAt ?? -Infinity })
}

/** Creates the end at the granting host: one stream a reporting host. */
function createHostStreams (parts: FleetExchangeParts): { server: Server, publish: FleetExchange['publish'], relay: FleetExchange['relay'] } {
  const server = new Server()
  const streams = new Map<string, HostLink>()
  const updates = createSharedUpdates()
  const noteHostBehind = (link: HostLink, relayed: RelayedChanges) => {
    const now = parts.timers.clock.now()
    if (now - link.behindLoggedAt < failureLogMs) return
    link.behindLoggedAt = now
    parts.log(runtimeEventNumbers.hostBehind, 'hostBehind', { host: link.host, from: relayed.from, to: relayed.to, changes: relayed.changes.length, keys: relayed.present?.length })
  }
  const buildRelay = (revision: number): Relay | undefined => {
    const since = parts.listChangesSince(revision)
    if (since === undefined) return undefined
    const changes = replaceLargeValues(since, streams.size, parts.findEarlier)
    return { changes, message: changes.to > revision ? updates.share({ $case: 'changes', changes: encodeStoreChanges(changes) }) : undefined }
  }
  const sendRelay = (link: HostLink, relay: Relay | undefined) => {
    if (relay === undefined) return
    if (relay.changes.present !== undefined) noteHostBehind(link, relay.changes)
    link.relayedTo = relay.changes.to
    link.relayedAt = parts.timers.clock.now()
    if (relay.message !== undefined) link.stream.write(relay.message)
  }
  const takeReport = (link: HostLink, message: WireReport) => {
    const report = decodeReport(message)
    const view = parts.buildView(report.host)
    if (view === undefined) {
      link.stream.end()
      return
    }
    streams.set(report.host, link)
    link.host = report.host
    // An answer may ask the host to renew grants, which has to be known here.
    if (!parts.post({ kind: 'load-reported', now: parts.timers.clock.now(), report })) return
    const isBehind = report.storeRevision < view.storeRevision && parts.timers.clock.now() - link.relayedAt > relayDelayMs
    if (link.relayedTo === undefined || isBehind) sendRelay(link, buildRelay(report.storeRevision))
    link.stream.write({ update: { $case: 'load', load: encodeView(view, link.views) } })
  }
  const implementation = {
    follow: (stream: HostStream) => {
      const link: HostLink = { stream, host: '', behindLoggedAt: -Infinity, relayedTo: undefined, relayedAt: -Infinity, views: new Map() }
      const forget = () => {
        for (const [host, known] of streams) {
          if (known === link) streams.delete(host)
        }
      }
      stream.on('data', (message: WireReport) => takeReport(link, message))
      stream.on('end', () => {
        forget()
        stream.end()
      })
      stream.on('cancelled', forget)
      stream.on('error', (error: Error) => {
        forget()
        parts.log(runtimeEventNumbers.peerCallFailed, 'peerCallFailed', { problem: error.message })
      })
    }
  }
  server.addService(updates.service, implementation as unknown as UntypedServiceImplementation)
  return {
    server,
    publish: (change, host) => {
      const links = host === undefined ? [...streams.values()] : [streams.get(host)].filter(link => link !== undefined)
      if (links.length === 0) return
      const message = updates.share({ $case: 'placement', placement: encodeChange(change) })
      for (const link of links) link.stream.write(message)
    },
    relay: () => {
      // Most hosts know the same revision: what they are told is listed and encoded once.
      const relays = new Map<number, Relay | undefined>()
      for (const link of streams.values()) {
        const from = link.relayedTo
        if (from === undefined) continue
        if (!relays.has(from)) relays.set(from, buildRelay(from))
        sendRelay(link, relays.get(from))
      }
    }
  }
}
