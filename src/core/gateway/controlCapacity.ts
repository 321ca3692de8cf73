import { largeHostProcessorShare, smallHostDelayMs } from './limits.js'

/**
 * Bandwidth from which a host's link is large enough for granting and collecting, in Mbit/s. A new granting host sends
 * its view and the placement to every host that reports to it, some megabytes in a fleet of 90 hosts and 300 backend
 * servers. On a link of 7 Mbit/s that took longer than grants last, so that owners lost their keys.
 */
const largeLinkMbps = 50
/** Additional delay before a host with a smaller link claims leadership, in milliseconds: hosts with large links and little processor time have claimed by then. */
const smallLinkDelayMs = 2 * smallHostDelayMs

/** What a host can spend on granting and collecting: processor time in cores, bandwidth in Mbit/s. */
export type ControlCapacity = { processorShare: number, linkMbps?: number | undefined }

/** Whether a host's link has room for the traffic of a granting host or a collector. */
export function hasLargeLink ({ linkMbps = Infinity }: ControlCapacity): boolean {
  return linkMbps >= largeLinkMbps
}

/** Computes by how much a host delays its claim of leadership, in milliseconds, so that hosts with more capacity claim first. */
export function computeClaimDelayMs (capacity: ControlCapacity): number {
  const processorDelayMs = capacity.processorShare < largeHostProcessorShare ? smallHostDelayMs : 0
  return processorDelayMs + (hasLargeLink(capacity) ? 0 : smallLinkDelayMs)
}
