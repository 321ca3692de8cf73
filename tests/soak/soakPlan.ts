import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A fault that a step of the soak injects. */
export type SoakFault =
  | { kind: 'kill-host' | 'stop-host' | 'pause-host' | 'reload-host', host: number }
  | { kind: 'cut-host-from-store', host: number, mode: 'silent' | 'reset' | 'one-way' }
  | { kind: 'disrupt-store', mode: 'silent' | 'reset' | 'slow' }
  | { kind: 'disrupt-backend-link', backend: number, mode: 'silent' | 'reset' | 'one-way' | 'slow' }
  | { kind: 'corrupt-answers', backend: number, how: 'cut' | 'extra' | 'wrong-id' | 'reset' | 'garbage' }
  /** `isWithoutEvents`: no watch gets an event of the change, and the store's history is compacted after it. */
  | { kind: 'drain-backend', backend: number, isWithoutEvents: boolean }
  | { kind: 'change-configuration', isWithoutEvents: boolean }

/** One step: a fault, its start relative to the start of traffic and its duration, in milliseconds. */
export type SoakStep = { at: number, forMs: number, fault: SoakFault }

/** Size of the fleet, number of steps and length of a soak. */
export type SoakSizes = { hosts: number, backends: number, lengthMs: number, steps: number }

const kinds: Array<SoakFault['kind']> = [
  'kill-host', 'stop-host', 'pause-host', 'reload-host', 'cut-host-from-store', 'disrupt-store', 'disrupt-backend-link', 'corrupt-answers', 'drain-backend', 'change-configuration'
]

/** Plans a soak from its seed: a series of faults that may overlap. */
export function planSoak (seed: number, sizes: SoakSizes): SoakStep[] {
  const random = xoroshiro128plus(seed)
  const pick = (count: number) => Math.floor(uniformFloat64(random) * count)
  const choose = <T>(list: readonly T[]): T => list[pick(list.length)] as T
  const steps: SoakStep[] = []
  for (let index = 0; index < sizes.steps; index++) {
    const kind = choose(kinds)
    const at = 500 + pick(sizes.lengthMs - 1500)
    steps.push({ at, forMs: 300 + pick(2500), fault: buildFault(kind, pick, choose, sizes, index % 2 === 1) })
  }
  return steps.sort((a, b) => a.at - b.at)
}

function buildFault (kind: SoakFault['kind'], pick: (count: number) => number, choose: <T>(list: readonly T[]) => T, sizes: SoakSizes, isWithoutEvents: boolean): SoakFault {
  switch (kind) {
    case 'kill-host':
    case 'stop-host':
    case 'pause-host':
    case 'reload-host': return { kind, host: pick(sizes.hosts) }
    case 'cut-host-from-store': return { kind, host: pick(sizes.hosts), mode: choose(['silent', 'reset', 'one-way'] as const) }
    case 'disrupt-store': return { kind, mode: choose(['silent', 'reset', 'slow'] as const) }
    case 'disrupt-backend-link': return { kind, backend: pick(sizes.backends), mode: choose(['silent', 'reset', 'one-way', 'slow'] as const) }
    case 'corrupt-answers': return { kind, backend: pick(sizes.backends), how: choose(['cut', 'extra', 'wrong-id', 'reset', 'garbage'] as const) }
    case 'drain-backend': return { kind, backend: pick(sizes.backends), isWithoutEvents }
    case 'change-configuration': return { kind, isWithoutEvents }
  }
}
