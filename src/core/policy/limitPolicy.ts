import type { LimitView } from '../router/rules.js'

/** Computes the limit of requests in flight: all slots, or a growing share of them while a backend server warms up. */
export function computeLimitWithSlowStart (view: LimitView): number {
  if (view.warmUpMs <= 0) return view.slots
  if (view.readyForMs >= view.warmUpMs) return view.slots
  const warmSlots = Math.ceil((view.slots * Math.max(0, view.readyForMs)) / view.warmUpMs)
  return Math.max(1, Math.min(view.slots, warmSlots))
}

/** Uses all slots from the start; baseline for measurements. */
export function computeStaticLimit (view: LimitView): number {
  return view.slots
}
