import { assertInvariant } from '../core/assertInvariant.js'

/** Runs a task without awaiting it. Tasks return failures as values, so an exception is a broken invariant and stops the process. */
export function runDetached (task: Promise<unknown>): void {
  task.catch((error: unknown) => assertInvariant(false, `a detached task failed: ${String(error)}`))
}
