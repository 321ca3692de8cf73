import type * as z from 'zod'
import { readFileSync } from 'node:fs'
import { formatProblems, parseIni } from '../protocol/iniSchema.js'

/** Exit code for settings or arguments that cannot be used. */
export const usageExitCode = 2

/** Reads checked settings; prints every problem and ends the process when there is one. */
export function loadSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = parseIni(readText(file), schema)
  if (parsed.kind === 'valid') return parsed.value
  return endWith(formatProblems(file, parsed.problems), usageExitCode)
}

/** Reads a text file; prints the problem and ends the process when it can't be read. */
export function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return endWith(`${file}: cannot be read: ${(error as Error).message}`, usageExitCode)
  }
}

/** Reads a settings file again while the program runs; a file that can't be used changes nothing. */
export function checkSettings<T> (file: string, schema: z.ZodType<T>, inForce: T): { isSame: boolean, problem: string | undefined } {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { isSame: false, problem: `${file}: cannot be read: ${(error as Error).message}` }
  }
  const parsed = parseIni(text, schema)
  if (parsed.kind === 'invalid') return { isSame: false, problem: formatProblems(file, parsed.problems) }
  return { isSame: JSON.stringify(parsed.value) === JSON.stringify(inForce), problem: undefined }
}

/** Prints a problem and ends the process. */
export function endWith (problem: string, code: number): never {
  console.error(problem)
  process.exit(code)
}

/**
 * Calls `stop` once on SIGTERM or SIGINT. Supervisors repeat SIGTERM, which must cut nothing;
 * a second SIGINT, of a person at a terminal, ends the process at once.
 */
export function handleSignals (stop: () => void): void {
  let isStopping = false
  let interrupts = 0
  const handle = () => {
    if (isStopping) return
    isStopping = true
    stop()
  }
  process.on('SIGTERM', handle)
  process.on('SIGINT', () => {
    interrupts += 1
    if (interrupts > 1) process.exit(1)
    handle()
  })
}
