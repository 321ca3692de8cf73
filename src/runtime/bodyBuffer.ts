/** Size of the blocks in which a body is collected, in bytes. */
const blockBytes = 16 * 1024
/** Number of blocks that are kept for reuse; without this, bodies that are refused leave memory behind faster than it is collected. */
const maxSpareBlocks = 256

/** Blocks of bodies that have been taken or dropped. */
const spareBlocks: Buffer[] = []

/** Buffer that collects the parts of a body in blocks: a part of one byte would take some 100 bytes as an object of its own. */
export type BodyBuffer = {
  add: (part: Buffer) => void
  /** Returns the number of bytes collected. */
  countBytes: () => number
  /** Returns the number of bytes held. */
  countHeldBytes: () => number
  /** Returns what was collected, and drops it. */
  take: () => Buffer
  /** Drops what was collected. */
  drop: () => void
}

/** Creates an empty buffer. */
export function createBodyBuffer (): BodyBuffer {
  let blocks: Buffer[] = []
  let bytes = 0
  const drop = () => {
    for (const block of blocks) {
      if (spareBlocks.length < maxSpareBlocks) spareBlocks.push(block)
    }
    blocks = []
    bytes = 0
  }
  return {
    add: part => {
      for (let copied = 0; copied < part.length;) {
        const used = bytes % blockBytes
        if (used === 0) blocks.push(spareBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes))
        const count = part.copy(blocks[blocks.length - 1] ?? part, used, copied)
        copied += count
        bytes += count
      }
    },
    countBytes: () => bytes,
    countHeldBytes: () => blocks.length * blockBytes,
    take: () => {
      const taken = Buffer.concat(blocks, bytes)
      drop()
      return taken
    },
    drop
  }
}
