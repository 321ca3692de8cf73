import type { VirtualFleet } from './virtualFleet.js'
import { buildBackendState } from '../src/standins/backendReducer.js'
import { postBackend, postRouter, refuseForward, resumeRouter, schedule } from './virtualFleet.js'

/** Kills a router without a graceful shutdown. */
export function killRouter (fleet: VirtualFleet, name: string): void {
  const router = fleet.routers.get(name)
  if (router === undefined || !router.isAlive) return
  router.isAlive = false
  for (const [egressId, forward] of [...fleet.forwards]) {
    if (forward.peer === name) schedule(fleet, 1, () => refuseForward(fleet, egressId, { outcome: 'unknown', reason: 'peer-lost' }))
  }
  for (const other of fleet.routers.keys()) {
    if (other !== name) schedule(fleet, 1, () => postRouter(fleet, other, { kind: 'peer-down', now: 0, router: name }))
  }
  for (const record of fleet.dispatches.values()) if (record.router === name) record.isOpen = false
}

/** Kills a backend server without a graceful shutdown. */
export function killBackend (fleet: VirtualFleet, name: string): void {
  const backend = fleet.backends.get(name)
  if (backend === undefined || !backend.isAlive) return
  backend.isAlive = false
  backend.records.push(...backend.state.records)
  for (const record of fleet.dispatches.values()) {
    if (record.backend !== name || !record.isOpen) continue
    record.isOpen = false
    const { router, id, attempt } = record
    schedule(fleet, 1, () => postRouter(fleet, router, { kind: 'dispatch-ended', now: 0, id, attempt, result: 'failed-after-send' }))
  }
}

/** Restarts a killed backend server with empty state. */
export function restartBackend (fleet: VirtualFleet, name: string): void {
  const backend = fleet.backends.get(name)
  if (backend === undefined || backend.isAlive) return
  backend.bootCount += 1
  backend.state = buildBackendState(name, `${name}-${backend.bootCount}`, backend.checksGrants, 4)
  backend.isAlive = true
}

/** Freezes or unfreezes a backend server. */
export function setFrozen (fleet: VirtualFleet, name: string, frozen: boolean): void {
  const backend = fleet.backends.get(name)
  if (backend?.isAlive !== true) return
  postBackend(fleet, name, { kind: 'faults', now: fleet.now, wall: fleet.now, faults: { frozen } })
}

/** Pauses the event loop of a router. */
export function pauseRouter (fleet: VirtualFleet, name: string, ms: number): void {
  const router = fleet.routers.get(name)
  if (router !== undefined) router.pausedUntil = fleet.now + ms
}

/** Blocks the messages from one router to another. */
export function cutLink (fleet: VirtualFleet, from: string, to: string): void {
  fleet.cutLinks.add(`${from} ${to}`)
}

/** Ends all faults and restarts killed backend servers; killed routers stay dead. */
export function healFleet (fleet: VirtualFleet): void {
  fleet.cutLinks.clear()
  fleet.messageLossShare = 0
  fleet.store.isDown = false
  for (const name of fleet.backends.keys()) {
    setFrozen(fleet, name, false)
    restartBackend(fleet, name)
  }
  for (const [name, router] of fleet.routers) {
    router.pausedUntil = 0
    resumeRouter(fleet, name)
    for (const other of fleet.routers.keys()) {
      if (other !== name && fleet.routers.get(other)?.isAlive === true) postRouter(fleet, name, { kind: 'peer-up', now: 0, router: other })
    }
  }
}
