import type { HeldLimits } from './memoryBudget.js'
import { megabyte } from './memoryBudget.js'

/** Share of a process's memory that it may hold for messages of other processes that have not arrived completely. */
const peerHeldShare = 0.05
/** Share of a process's file descriptors that are for connections of other processes: each host of a fleet keeps one or two. */
const peerDescriptorShare = 0.25
/** Bytes of one open connection: its socket and its HTTP/2 session. */
export const peerConnectionBytes = 16 * 1024
/** Maximum number of streams that a connection of another process may have open; each process uses a few. */
export const maxPeerStreams = 16

/** Limits on what a gRPC server holds for the processes that call it. */
export type PeerLimits = Pick<HeldLimits, 'heldBytes' | 'connections'>

/** Computes the limits of a gRPC server from the memory of the process, in MB, and its file descriptors. */
export function computePeerLimits (memoryMb: number, descriptors: number): PeerLimits {
  return { heldBytes: Math.floor(memoryMb * megabyte * peerHeldShare), connections: Math.floor(descriptors * peerDescriptorShare) }
}

/** Computes what a connection holds at most: everything that has arrived since its last complete message. Both arguments are bytes received in all, now and at that message. */
export function computePeerHeldBytes (receivedBytes: number, receivedAtMessage: number): number {
  return peerConnectionBytes + Math.max(0, receivedBytes - receivedAtMessage)
}
