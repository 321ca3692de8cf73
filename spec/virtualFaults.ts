import type { VirtualFleet } from './virtualFleet.js'
import { buildBackendState } from '../src/standins/backendReducer.js'
import { postBackend, postRouter, refuseForward, resumeRouter, schedule } from './virtualFleet.js'

/** Ends a router without warning. */
export function killRouter (fleet: VirtualFleet, name: string): void {
  const router = fleet.routers.get(name)
  if (router === undefined || !router.alive) return
  router.alive = false
  for (const [egressId, known] of [...fleet.forwards]) {
    if (known.peer === name) schedule(fleet, 1, () => refuseForward(fleet, egressId, { outcome: 'unknown', reason: 'peer-lost' }))
  }
  for (const other of fleet.routers.keys()) {
    if (other !== name) schedule(fleet, 1, () => postRouter(fleet, other, { kind: 'peer-down', now: 0, router: name }))
  }
  for (const record of fleet.dispatches.values()) if (record.router === name) record.open = false
}

/** Ends a backend server without warning. */
export function killBackend (fleet: VirtualFleet, name: string): void {
  const backend = fleet.backends.get(name)
  if (backend === undefined || !backend.alive) return
  backend.alive = false
  backend.records.push(...backend.state.records)
  for (const record of fleet.dispatches.values()) {
    if (record.backend !== name || !record.open) continue
    record.open = false
    const { router, id, attempt } = record
    schedule(fleet, 1, () => postRouter(fleet, router, { kind: 'dispatch-ended', now: 0, id, attempt, result: 'failed-after-send' }))
  }
}

/** Starts a killed backend server anew, with nothing kept. */
export function restartBackend (fleet: VirtualFleet, name: string): void {
  const backend = fleet.backends.get(name)
  if (backend === undefined || backend.alive) return
  backend.boots += 1
  backend.state = buildBackendState(name, `${name}-${backend.boots}`, backend.checks, 4)
  backend.alive = true
}

/** Freezes or thaws a backend server. */
export function setFrozen (fleet: VirtualFleet, name: string, frozen: boolean): void {
  const backend = fleet.backends.get(name)
  if (backend?.alive !== true) return
  postBackend(fleet, name, { kind: 'faults', now: fleet.now, wall: fleet.now, faults: { frozen } })
}

/** Holds a router's event loop for a while. */
export function pauseRouter (fleet: VirtualFleet, name: string, ms: number): void {
  const router = fleet.routers.get(name)
  if (router !== undefined) router.pausedUntil = fleet.now + ms
}

/** Cuts messages from one router to another. */
export function cutLink (fleet: VirtualFleet, from: string, to: string): void {
  fleet.cuts.add(`${from} ${to}`)
}

/** Ends all faults but losses. */
export function healFleet (fleet: VirtualFleet): void {
  fleet.cuts.clear()
  fleet.lossShare = 0
  fleet.store.down = false
  for (const name of fleet.backends.keys()) {
    setFrozen(fleet, name, false)
    restartBackend(fleet, name)
  }
  for (const [name, router] of fleet.routers) {
    router.pausedUntil = 0
    resumeRouter(fleet, name)
    for (const other of fleet.routers.keys()) {
      if (other !== name && fleet.routers.get(other)?.alive === true) postRouter(fleet, name, { kind: 'peer-up', now: 0, router: other })
    }
  }
}
