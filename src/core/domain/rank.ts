/** Ranks (priority classes) of requests, most urgent first. */
export const ranks = ['lookup', 'confirmation', 'upload'] as const

/** Priority class of a request; each rank has its own queue, reserved share and target time. */
export type Rank = typeof ranks[number]

/** One value for each rank. */
export type ByRank<T> = Record<Rank, T>

/** Builds a record by creating one value for each rank. */
export function buildByRank<T> (createValue: (rank: Rank) => T): ByRank<T> {
  return {
    lookup: createValue('lookup'),
    confirmation: createValue('confirmation'),
    upload: createValue('upload')
  }
}
