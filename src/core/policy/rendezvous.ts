/** Chooses the candidate whose hash combined with the unit is highest (rendezvous hashing). */
export function chooseByRendezvous (
  unit: string,
  candidates: readonly string[],
  hashKey: (key: string) => number
): string | undefined {
  let best: string | undefined
  let highest = -1
  for (const candidate of candidates) {
    const weight = hashKey(`${candidate} ${unit}`)
    if (weight <= highest) continue
    highest = weight
    best = candidate
  }
  return best
}
