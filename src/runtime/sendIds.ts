import { randomBytes } from 'node:crypto'

/** Creates the id of a send attempt; a backend server echoes it, so that an answer shows which attempt it belongs to. */
export type CreateSendId = () => string

/** Creates a source of ids that differ from those of every other process. */
export function createSendIdSource (): CreateSendId {
  const prefix = randomBytes(6).toString('hex')
  let count = 0
  return () => {
    count += 1
    return `${prefix}-${count}`
  }
}
