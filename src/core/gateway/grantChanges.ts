import type { Holder, KeyRange } from './model.js'
import type { PlannedMove } from './planner.js'
import type { KeptGrant } from './grantingState.js'
import type { GatewayWork } from './state.js'
import { isLost } from './holders.js'
import { joinsPerRound, longestHoldMs, renewalMs } from './limits.js'
import { isWritten } from './placementWriting.js'

/** Builds what is kept of a range that this host grants from now on. */
export function buildKeptGrant (service: string, range: KeyRange, step: KeptGrant['step'], now: number): KeptGrant {
  return { service, range, standing: [], standingAt: now, arrivedBy: now, targetArrivedBy: -Infinity, confirmedAt: now, nextAt: now, step, handover: undefined, movedAt: now, rate: 0, askedAt: undefined, writtenIn: undefined, wasRenewed: false }
}

/** Lists the ranges in force behind a grant, as far as they lie between two keys: its own, or those it follows while it is not written down. */
function listStanding (work: GatewayWork, grant: KeptGrant, from = grant.range.from, to = grant.range.to): KeyRange[] {
  const ranges = isWritten(work, grant.range) ? [grant.range] : grant.standing
  return ranges.flatMap(range => range.to < from || range.from > to ? [] : [{ ...range, from: Math.max(range.from, from), to: Math.min(range.to, to) }])
}

/** Joins neighbouring ranges of one owner; the joined grant gets a higher fencing token, and no request notices. */
export function joinNeighbours (work: GatewayWork, service: string): void {
  const { granting, now } = work.state
  const sorted = granting.grants.filter(grant => grant.service === service).sort((a, b) => a.range.from - b.range.from)
  let joins = 0
  for (let index = 0; index + 1 < sorted.length && joins < joinsPerRound; index++) {
    const left = sorted[index]
    const right = sorted[index + 1]
    if (left === undefined || right === undefined || left.step !== 'keep' || right.step !== 'keep') continue
    if (left.range.owner.id !== right.range.owner.id || left.range.owner.startedAt !== right.range.owner.startedAt) continue
    const joined: KeptGrant = {
      ...left,
      range: { ...left.range, to: right.range.to, fence: takeFence(work) },
      standing: [...listStanding(work, left), ...listStanding(work, right)],
      standingAt: Math.min(left.confirmedAt, right.confirmedAt) + renewalMs,
      arrivedBy: Math.max(left.arrivedBy, right.arrivedBy),
      confirmedAt: Math.min(left.confirmedAt, right.confirmedAt),
      nextAt: now,
      writtenIn: undefined
    }
    granting.grants = granting.grants.filter(grant => grant !== left && grant !== right)
    granting.grants.push(joined)
    granting.dirty = true
    sorted.splice(index, 2, joined)
    joins += 1
  }
}

/** Gives keys that nobody held to their first owner. */
export function addFirstGrant (work: GatewayWork, service: string, move: PlannedMove): void {
  const { granting, now } = work.state
  const range: KeyRange = { from: move.from, to: move.to, owner: move.owner, fence: takeFence(work), phase: 'moving', previous: undefined }
  granting.grants.push(buildKeptGrant(service, range, 'release', now))
  granting.dirty = true
}

/** Takes the next fencing token. */
export function takeFence (work: GatewayWork): number {
  const { granting } = work.state
  granting.nextFence += 1
  return granting.nextFence - 1
}

/** Splits a range if need be and begins to give the keys to another owner. */
export function startMove (work: GatewayWork, service: string, move: PlannedMove): void {
  const { granting, now } = work.state
  const index = granting.grants.findIndex(grant => grant.service === service && grant.range.from <= move.from && grant.range.to >= move.to)
  const grant = granting.grants[index]
  if (grant === undefined || grant.step !== 'keep') return
  const { range } = grant
  const parts: KeptGrant[] = []
  if (range.from < move.from) parts.push({ ...grant, range: { ...range, to: move.from - 1 }, standing: listStanding(work, grant, range.from, move.from - 1) })
  parts.push({
    ...grant,
    range: { from: move.from, to: move.to, owner: move.owner, fence: takeFence(work), phase: 'moving', previous: range.owner },
    standing: listStanding(work, grant, move.from, move.to),
    standingAt: grant.confirmedAt + renewalMs,
    // Another host may have renewed it last.
    arrivedBy: work.state.actedAt,
    targetArrivedBy: -Infinity,
    step: 'release',
    handover: undefined,
    nextAt: now,
    movedAt: now,
    rate: move.rate ?? 0,
    askedAt: undefined,
    writtenIn: undefined
  })
  if (range.to > move.to) parts.push({ ...grant, range: { ...range, from: move.to + 1 }, standing: listStanding(work, grant, move.to + 1, range.to) })
  granting.grants.splice(index, 1, ...parts)
  granting.dirty = true
  granting.writeAt = now
  work.effects.push({
    kind: 'log',
    event: 'moveStarted',
    fields: { service, from: move.from, to: move.to, owner: move.owner.id, previous: range.owner.id, fence: granting.nextFence - 1 }
  })
}

/** Whether the next owner of moving keys was lost before it confirmed its grant, and another can be chosen. */
export function isTargetLost (work: GatewayWork, grant: KeptGrant): boolean {
  if (grant.range.phase !== 'moving' || !isLost(work, grant.range.owner) || grant.step === 'releasing') return false
  // The former owner may hold the keys as well: it is asked first, then the one that was to be the next.
  return grant.step !== 'release' || !isTargetInForce(work, grant)
}

function isTargetInForce (work: GatewayWork, grant: KeptGrant): boolean {
  return work.state.now <= grant.targetArrivedBy + longestHoldMs
}

/** Sets another next owner of moving keys. */
export function replaceTarget (work: GatewayWork, grant: KeptGrant, owner: Holder): void {
  const { range } = grant
  range.previous = isTargetInForce(work, grant) ? range.owner : range.previous
  range.owner = owner
  range.fence = takeFence(work)
  grant.step = 'release'
  grant.writtenIn = undefined
  grant.askedAt = undefined
  grant.targetArrivedBy = -Infinity
  grant.nextAt = work.state.now
  work.state.granting.dirty = true
}
