import type * as z from 'zod'
import { readFileSync } from 'node:fs'
import { formatProblems, parseIni } from '../protocol/iniSchema.js'

/** Exit code for invalid settings or arguments. */
export const usageExitCode = 2

/** Reads and validates settings; if they are invalid, prints every problem and ends the process. */
export function loadSettings<T> (file: string, schema: z.ZodType<T>): T {
  const parsed = parseIni(readText(file), schema)
  if (parsed.kind === 'valid') return parsed.value
  return endProcess(formatProblems(file, parsed.problems), usageExitCode)
}

/** Reads a text file; if it can't be read, prints the problem and ends the process. */
export function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return endProcess(`${file}: cannot be read: ${(error as Error).message}`, usageExitCode)
  }
}

/** Compares a settings file with the settings in use, while the program runs; `problem` describes a file that is unreadable or invalid, and that therefore changes nothing. */
export function checkSettings<T> (file: string, schema: z.ZodType<T>, current: T): { isSame: boolean, problem: string | undefined } {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { isSame: false, problem: `${file}: cannot be read: ${(error as Error).message}` }
  }
  const parsed = parseIni(text, schema)
  if (parsed.kind === 'invalid') return { isSame: false, problem: formatProblems(file, parsed.problems) }
  return { isSame: JSON.stringify(parsed.value) === JSON.stringify(current), problem: undefined }
}

/** Prints a problem and ends the process. */
export function endProcess (problem: string, code: number): never {
  console.error(problem)
  process.exit(code)
}

/**
 * Calls `stop` once on SIGTERM or SIGINT. Supervisors repeat SIGTERM, so a repeated one must not
 * interrupt requests in flight; a second SIGINT, from a person at a terminal, ends the process at once.
 */
export function handleSignals (stop: () => void): void {
  let isStopping = false
  let interruptCount = 0
  const handle = () => {
    if (isStopping) return
    isStopping = true
    stop()
  }
  process.on('SIGTERM', handle)
  process.on('SIGINT', () => {
    interruptCount += 1
    if (interruptCount > 1) process.exit(1)
    handle()
  })
}
