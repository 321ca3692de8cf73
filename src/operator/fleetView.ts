import type { StoreClient } from '../runtime/storeClient.js'
import type { RouterEntry } from '../core/domain/assignment.js'
import type { RouterStatus } from '../runtime/routerStatus.js'
import type { TlsSettings } from '../protocol/settings.js'
import type { TimerService } from '../runtime/timerService.js'
import { fleetKey } from '../core/controller/reduceController.js'
import { decodeRecord } from '../protocol/storeRecords.js'
import { callAdminPort } from './adminClient.js'

/** Interval between reads of the fleet while waiting, in milliseconds. */
const pollIntervalMs = 200

/** A router of the fleet with the status that it reports; undefined if it does not answer. */
export type RouterView = { entry: RouterEntry, status: RouterStatus | undefined }

/** Result of reading the fleet. */
export type FleetOutcome = { kind: 'read', routers: RouterView[] } | { kind: 'unavailable', detail: string }

/** Reads the fleet from the store, and its status from every router. */
export async function readFleet (store: StoreClient, tls: TlsSettings): Promise<FleetOutcome> {
  const outcome = await store.read(fleetKey)
  if (outcome.kind === 'unavailable') return outcome
  const value = outcome.values.find(entry => entry.key === fleetKey)
  const record = value === undefined ? undefined : decodeRecord(fleetKey, value.value)
  if (record?.kind !== 'fleet') return { kind: 'read', routers: [] }
  const entries = [...record.fleet.routers.values()]
  return { kind: 'read', routers: await Promise.all(entries.map(entry => readRouter(entry, tls))) }
}

async function readRouter (entry: RouterEntry, tls: TlsSettings): Promise<RouterView> {
  const answer = await callAdminPort(entry.adminAddress, 'GET', '/status', tls)
  return { entry, status: answer.kind === 'answered' ? answer.body as RouterStatus : undefined }
}

/** Result of waiting for a revision. */
export type WaitOutcome = { kind: 'in-force', routers: number } | { kind: 'timed-out', behind: string[] } | { kind: 'unavailable', detail: string }

/** Waits until every router of the fleet has a revision of a team's document in force. */
export async function waitUntilInForce (
  store: StoreClient,
  tls: TlsSettings,
  options: { team: string, revision: number, timeoutMs: number },
  timers: TimerService
): Promise<WaitOutcome> {
  const deadline = timers.clock.now() + options.timeoutMs
  while (true) {
    const fleet = await readFleet(store, tls)
    const behind = fleet.kind === 'read' ? listRoutersBehind(fleet.routers, options.team, options.revision) : []
    if (fleet.kind === 'read' && behind.length === 0) return { kind: 'in-force', routers: fleet.routers.length }
    if (timers.clock.now() > deadline) return fleet.kind === 'read' ? { kind: 'timed-out', behind } : fleet
    await new Promise<void>(resolve => { timers.schedule(pollIntervalMs, () => resolve()) })
  }
}

function listRoutersBehind (routers: readonly RouterView[], team: string, revision: number): string[] {
  const behind = routers.filter(({ status }) => (status?.documents[team] ?? 0) < revision)
  return behind.map(({ entry, status }) => `${entry.router} (${status?.documents[team] ?? 'no answer'})`)
}
