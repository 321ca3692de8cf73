/** Throws when a condition that the code guarantees does not hold. */
export function assertInvariant (condition: boolean, description: string): asserts condition {
  if (condition) return
  throw new Error(`invariant broken: ${description}; report it with the log of this process`)
}
