import type { AgedLoad, FleetLoad, LoadReport } from './events.js'
import type { ReportedLoad } from './model.js'
import type { Backend, GatewayState } from './state.js'

/** Age up to which a figure counts in full, in milliseconds: a quarter of the time that work takes, so that few of the requests in it have ended. */
const fullTrustMs = 100
/** Age from which a figure no longer counts, in milliseconds: twice the time that work takes; all requests in it have ended. */
const loadValidMs = 800
/** Time between two changes of the noise on a machine, in milliseconds: a slowdown of this age has been replaced by another. */
const noisePeriodMs = 400
/** Share of a fresh slowdown that is believed: a request that takes 300 to 400 ms runs about half of its time in a later noise period. */
const slowdownBelief = 0.5
/** Largest factor by which a slowdown may change an expected time: noise multiplies the time of work by up to 3. */
const maxSlowdownFactor = 3
/** Weight of a new figure in the usual slowdown; that of a new sample in the smoothed service time, which contains the usual slowdown. */
const usualWeight = 0.08
/** Time by which a figure of another host must be newer than the known one to replace it, in milliseconds: a round trip between regions, by which an age may be understated. */
const minNewerMs = 20
/** Age up to which a figure is shared with other hosts, in milliseconds: after half of its validity and the time until the next exchange little is left of its weight. */
const maxSharedAgeMs = 400
/** Age up to which a slowdown is worth sharing for itself, in milliseconds: half of a noise period. */
const maxSharedSlowdownAgeMs = 200
/** Difference between a figure and the requests in flight that hosts reported from which the figure is worth sharing, in requests: half of a server's slots. */
const minSharedDifference = 2
/** Deviation of a slowdown from the usual from which it is worth sharing. */
const minSharedSlowdown = 0.5

/** Latest load that a backend server reported to any host, as far as this host knows. */
export type LoadFigure = {
  load: ReportedLoad
  /** When a host read it. */
  at: number
  /** Requests of other hosts that it contains. */
  others: number
  /** Whether this host read it. */
  isOwn: boolean
  /** Whether this host has reported it. */
  isReported: boolean
}

/** Times at which the requests in flight at each backend server were sent. */
type SentTimes = Map<string, number[]>

/**
 * Records the load that a backend server reported with an answer to this host. The figure contains this
 * host's requests in flight, since all of them were sent before; those sent later are counted apart from it.
 * A request sent within the round trip before the figure was read is not in it yet, and makes the number of
 * other hosts' requests too low by one: with a few requests a second to one server this is rare, and no request counts twice.
 */
export function recordReportedLoad (state: GatewayState, backend: Backend, load: ReportedLoad): void {
  const others = Math.max(0, load.running + load.waiting - backend.inFlight)
  setFigure(backend, { load, at: state.now, others, isOwn: true, isReported: false })
}

function setFigure (backend: Backend, figure: LoadFigure): void {
  backend.figure = figure
  backend.usualSlowdown += (figure.load.slowdown - backend.usualSlowdown) * usualWeight
}

/** Merges figures that other hosts read; `receivedAt`: time from which their ages are counted back. */
export function mergeReportedLoads (state: GatewayState, entries: ReadonlyArray<{ id: string, reported?: AgedLoad | undefined }>, receivedAt: number): void {
  let sentTimes: SentTimes | undefined
  for (const { id, reported } of entries) {
    const backend = reported === undefined ? undefined : state.backends.get(id)
    if (reported === undefined || backend === undefined) continue
    const at = Math.min(state.now, receivedAt - reported.ageMs)
    if (state.now - at >= loadValidMs || (backend.figure !== undefined && at < backend.figure.at + minNewerMs)) continue
    sentTimes ??= listSentTimes(state)
    // Had one of this host's requests in the figure been answered since, this host would have read a newer figure itself.
    const own = (sentTimes.get(id) ?? []).filter(sentAt => sentAt <= at).length
    const { running, waiting, slots, slowdown } = reported
    const load = { running, waiting, slots, slowdown: slowdown > 0 ? slowdown : 1 }
    setFigure(backend, { load, at, others: Math.max(0, running + waiting - own), isOwn: false, isReported: false })
  }
}

function listSentTimes (state: GatewayState): SentTimes {
  const times: SentTimes = new Map()
  for (const { backend, phase, sentAt } of state.requests.values()) {
    if (backend === undefined || phase === 'waiting') continue
    const known = times.get(backend)
    if (known === undefined) times.set(backend, [sentAt])
    else known.push(sentAt)
  }
  return times
}

/** Computes how much a figure of the given age counts, from 1 to 0. */
export function computeLoadWeight (ageMs: number): number {
  return Math.min(1, Math.max(0, (loadValidMs - ageMs) / (loadValidMs - fullTrustMs)))
}

/** Merges the latest figure of a backend server into an estimate of its requests in flight that was made without it. */
export function mergeFigure (state: GatewayState, backend: Backend, estimate: number): number {
  const { figure, inFlight } = backend
  const weight = figure === undefined ? 0 : computeLoadWeight(state.now - figure.at)
  return figure === undefined || weight === 0 ? estimate : estimate * (1 - weight) + (inFlight + figure.others) * weight
}

/** Computes the factor by which a backend server's work is expected to take longer than its smoothed service time, which contains the usual slowdown of its machine. */
export function computeSlowdownFactor (state: GatewayState, { figure, usualSlowdown }: Backend): number {
  if (figure === undefined) return 1
  const belief = slowdownBelief * Math.max(0, 1 - Math.max(0, state.now - figure.at) / noisePeriodMs)
  if (belief === 0) return 1
  const relative = figure.load.slowdown / usualSlowdown
  return 1 + belief * (Math.min(maxSlowdownFactor, Math.max(1 / maxSlowdownFactor, relative)) - 1)
}

/** Takes the figure of a backend server that this host has to report: its own since the last report, and as a collector those of its hosts. */
export function takeFigureToReport (state: GatewayState, { figure }: Backend): AgedLoad | undefined {
  if (figure === undefined || figure.isReported) return undefined
  const ageMs = Math.max(0, state.now - figure.at)
  if (ageMs > maxSharedAgeMs || (!figure.isOwn && state.collecting.role !== 'collecting')) return undefined
  figure.isReported = true
  return { ...figure.load, ageMs }
}

/**
 * Finds the figure of a backend server that is worth sharing at time `now`: a recent one that says something else than the
 * requests in flight that hosts reported (`inFlight`), which are shared anyway. The figures of hundreds of
 * servers change with every answer.
 */
export function findFigureToShare ({ figure }: Backend, inFlight: number, now: number): AgedLoad | undefined {
  if (figure === undefined) return undefined
  const ageMs = Math.max(0, now - figure.at)
  const { running, waiting, slowdown } = figure.load
  const isUnknownLoad = ageMs <= maxSharedAgeMs && Math.abs(running + waiting - inFlight) >= minSharedDifference
  const isUnknownSlowdown = ageMs <= maxSharedSlowdownAgeMs && Math.abs(slowdown - 1) >= minSharedSlowdown
  return isUnknownLoad || isUnknownSlowdown ? { ...figure.load, ageMs } : undefined
}

/** Adds the figure that a host has to report to its entry of a backend server. */
export function addFigureToReport (state: GatewayState, backend: Backend, entry: LoadReport['backends'][number]): LoadReport['backends'][number] {
  const reported = takeFigureToReport(state, backend)
  return reported === undefined ? entry : { ...entry, reported }
}

/** Adds the figure that is worth sharing to the entry of a backend server in a view. */
export function addFigureToShare (backend: Backend, entry: FleetLoad['backends'][number], inFlight: number, now: number): FleetLoad['backends'][number] {
  const reported = findFigureToShare(backend, inFlight, now)
  return reported === undefined ? entry : { ...entry, reported }
}
