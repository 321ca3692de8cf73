import { parse } from 'ini'
import * as z from 'zod'

/** One fault of a text, with the place and what is allowed there. */
export type TextProblem = { section: string, key: string, allowed: string }

/** Result of reading a text: the value, or every problem found. */
export type TextOutcome<T> = { kind: 'valid', value: T } | { kind: 'invalid', problems: TextProblem[] }

/** Longest INI text that is read, in characters. */
const maxTextLength = 900_000

/** Levels of sections that are read: more than any schema has, so that deeper ones are still named as unknown. */
const maxSectionDepth = 8

/** Schema of a whole number within bounds, written as text. */
export function buildNumberField (lowest: number, highest: number, description: string) {
  const allowed = `a number from ${lowest} to ${highest}`
  return z.string({ error: allowed })
    .regex(/^\d+(\.\d+)?$/, allowed)
    .transform(Number)
    .refine(value => value >= lowest && value <= highest, allowed)
    .describe(`${description}; ${allowed}`)
}

/** Schema of `true` or `false`. */
export function buildFlagField (description: string) {
  const allowed = 'true or false'
  return z.boolean({ error: allowed }).describe(`${description}; ${allowed}`)
}

/** Schema of one of some words. */
export function buildChoiceField<const T extends readonly [string, ...string[]]> (words: T, description: string) {
  const allowed = `one of ${words.join(', ')}`
  return z.enum(words, { error: allowed }).describe(`${description}; ${allowed}`)
}

/** Schema of a text that matches a pattern. */
export function buildTextField (pattern: RegExp, allowed: string, description: string) {
  return z.string({ error: allowed }).regex(pattern, allowed).describe(`${description}; ${allowed}`)
}

/** Pattern of names that appear in keys of the store and in URLs. */
export const namePattern = /^[a-z0-9][a-z0-9_-]{0,62}$/
/** What `namePattern` allows, for messages. */
export const nameAllowed = 'lower-case letters, digits, - and _, at most 63'
/** Pattern of an address with a port. */
export const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
/** What `addressPattern` allows, for messages. */
export const addressAllowed = 'IP:PORT, for instance 10.0.3.7:8080'

/** Parses INI text against a schema; unknown sections and keys are problems. */
export function parseIni<T> (text: string, schema: z.ZodType<T>): TextOutcome<T> {
  if (text.length > maxTextLength) return buildInvalid('', '', `at most ${maxTextLength} characters`)
  const duplicate = findDuplicate(text)
  if (duplicate !== undefined) return { kind: 'invalid', problems: [duplicate] }
  const sections = parseSections(text)
  if (sections.kind === 'invalid') return sections
  const result = schema.safeParse(buildPlain(sections.value))
  if (result.success) return { kind: 'valid', value: result.data }
  return { kind: 'invalid', problems: result.error.issues.flatMap(formatIssue) }
}

/** The INI library throws when a section stands where a value was. */
function parseSections (text: string): TextOutcome<unknown> {
  try {
    return { kind: 'valid', value: parse(text) }
  } catch (error) {
    return buildInvalid('', '', `text that can be divided into sections: ${(error as Error).message}`)
  }
}

/** Builds an outcome with one problem. */
export function buildInvalid (section: string, key: string, allowed: string): TextOutcome<never> {
  return { kind: 'invalid', problems: [{ section, key, allowed }] }
}

/** Formats problems for people, one a line. */
export function formatProblems (file: string, problems: readonly TextProblem[]): string {
  const lines = problems.map(problem => {
    const place = [problem.section === '' ? '' : `[${problem.section}]`, problem.key].filter(part => part !== '').join(' ')
    return `${file}: ${place === '' ? 'text' : place}: ${problem.allowed}`
  })
  return lines.join('\n')
}

/** The INI library keeps the last of two equal lines; a repeated line is a mistake here. */
function findDuplicate (text: string): TextProblem | undefined {
  const seen = new Set<string>()
  let section = ''
  for (const line of text.split(/\r?\n/)) {
    const header = /^\s*\[([^\]]*)\]\s*$/.exec(line)
    if (header !== null) {
      section = header[1] ?? ''
      // The INI library drops this name without a word.
      if (section.split('.').includes('__proto__')) return { section, key: '', allowed: `a name of ${nameAllowed}` }
      if (seen.has(`[${section}]`)) return { section, key: '', allowed: 'each section once' }
      seen.add(`[${section}]`)
      continue
    }
    const pair = /^\s*([^;#=\s][^=]*?)\s*=/.exec(line)
    if (pair === null) continue
    if (pair[1] === '__proto__') return { section, key: pair[1], allowed: 'a known key' }
    const id = `${section}\n${pair[1]}`
    if (seen.has(id)) return { section, key: pair[1] ?? '', allowed: 'each key once in a section' }
    seen.add(id)
  }
  return undefined
}

/** The INI library returns objects without prototype, which the schema library does not take. What lies below the deepest section of any schema is left out; its section is unknown. */
function buildPlain (value: unknown, depth = 0): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  if (depth >= maxSectionDepth) return {}
  return Object.fromEntries(Object.entries(value).map(([key, each]) => [key, buildPlain(each, depth + 1)]))
}

function formatIssue (issue: z.core.$ZodIssue): TextProblem[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ section: path.join('.'), key, allowed: 'unknown name; see docs/CONFIGURATION.md' }))
  }
  const section = path.slice(0, -1).join('.')
  const key = path.at(-1) ?? ''
  const missing = issue.code === 'invalid_type' && issue.message.startsWith('Invalid input')
  const allowed = missing ? 'missing or not a section; see docs/CONFIGURATION.md' : issue.message
  return [{ section, key, allowed }]
}
