import { parse } from 'ini'
import * as z from 'zod'

/** Invalid or missing part of a text, with its section and key and what is allowed there. */
export type ParseProblem = { section: string, key: string, allowed: string }

/** Result of parsing a text: the value, or every problem found. */
export type ParseResult<T> = { kind: 'valid', value: T } | { kind: 'invalid', problems: ParseProblem[] }

/** Maximum length of an INI text, in characters. */
const maxTextLength = 900_000

/** Maximum nesting depth of sections that are read: greater than in any schema, so that deeper sections are still reported as unknown. */
const maxSectionDepth = 8

/** Schema of a non-negative decimal number within bounds, written as text. */
export function buildNumberField (min: number, max: number, description: string) {
  const allowed = `a number from ${min} to ${max}`
  return z.string({ error: allowed })
    .regex(/^\d+(\.\d+)?$/, allowed)
    .transform(Number)
    .refine(value => value >= min && value <= max, allowed)
    .describe(`${description}; ${allowed}`)
}

/** Schema of `true` or `false`. */
export function buildBooleanField (description: string) {
  const allowed = 'true or false'
  return z.boolean({ error: allowed }).describe(`${description}; ${allowed}`)
}

/** Schema of a value from a fixed list. */
export function buildEnumField<const T extends readonly [string, ...string[]]> (values: T, description: string) {
  const allowed = `one of ${values.join(', ')}`
  return z.enum(values, { error: allowed }).describe(`${description}; ${allowed}`)
}

/** Schema of a text that matches a pattern. */
export function buildTextField (pattern: RegExp, allowed: string, description: string) {
  return z.string({ error: allowed }).regex(pattern, allowed).describe(`${description}; ${allowed}`)
}

/** Pattern of names that are used in keys of the store and in URLs. */
export const namePattern = /^[a-z0-9][a-z0-9_-]{0,62}$/
/** Description of `namePattern` for messages. */
export const nameAllowed = 'lower-case letters, digits, - and _, at most 63'
/** Pattern of an address with a port. */
export const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
/** Description of `addressPattern` for messages. */
export const addressAllowed = 'IP:PORT, for instance 10.0.3.7:8080'

/** Parses INI text against a schema; unknown sections and keys are problems. */
export function parseIni<T> (text: string, schema: z.ZodType<T>): ParseResult<T> {
  if (text.length > maxTextLength) return buildInvalidResult('', '', `at most ${maxTextLength} characters`)
  const duplicate = findDuplicate(text)
  if (duplicate !== undefined) return { kind: 'invalid', problems: [duplicate] }
  const sections = parseSections(text)
  if (sections.kind === 'invalid') return sections
  const result = schema.safeParse(buildPlainObjects(sections.value))
  if (result.success) return { kind: 'valid', value: result.data }
  return { kind: 'invalid', problems: result.error.issues.flatMap(formatIssue) }
}

/** Parses INI text into sections; the library throws when a section has the name of an earlier key. */
function parseSections (text: string): ParseResult<unknown> {
  try {
    return { kind: 'valid', value: parse(text) }
  } catch (error) {
    return buildInvalidResult('', '', `text that can be parsed as INI: ${(error as Error).message}`)
  }
}

/** Builds a result with one problem. */
export function buildInvalidResult (section: string, key: string, allowed: string): ParseResult<never> {
  return { kind: 'invalid', problems: [{ section, key, allowed }] }
}

/** Formats problems as text, one per line. */
export function formatProblems (file: string, problems: readonly ParseProblem[]): string {
  const lines = problems.map(problem => {
    const location = [problem.section === '' ? '' : `[${problem.section}]`, problem.key].filter(part => part !== '').join(' ')
    return `${file}: ${location === '' ? 'text' : location}: ${problem.allowed}`
  })
  return lines.join('\n')
}

/** Finds the first repeated section or key, which counts as a mistake; the INI library would silently keep the last value. */
function findDuplicate (text: string): ParseProblem | undefined {
  const seen = new Set<string>()
  let section = ''
  for (const line of text.split(/\r?\n/)) {
    const sectionMatch = /^\s*\[([^\]]*)\]\s*$/.exec(line)
    if (sectionMatch !== null) {
      section = sectionMatch[1] ?? ''
      // The INI library silently drops this name.
      if (section.split('.').includes('__proto__')) return { section, key: '', allowed: `a name that consists of ${nameAllowed}` }
      if (seen.has(`[${section}]`)) return { section, key: '', allowed: 'each section once' }
      seen.add(`[${section}]`)
      continue
    }
    const keyMatch = /^\s*([^;#=\s][^=]*?)\s*=/.exec(line)
    if (keyMatch === null) continue
    if (keyMatch[1] === '__proto__') return { section, key: keyMatch[1], allowed: 'a known key' }
    const id = `${section}\n${keyMatch[1]}`
    if (seen.has(id)) return { section, key: keyMatch[1] ?? '', allowed: 'each key once in a section' }
    seen.add(id)
  }
  return undefined
}

/** Copies parsed sections into plain objects: the INI library returns objects without prototype, which the schema library rejects. Contents below the maximum depth are dropped; the section around them is reported as unknown anyway. */
function buildPlainObjects (value: unknown, depth = 0): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  if (depth >= maxSectionDepth) return {}
  return Object.fromEntries(Object.entries(value).map(([key, child]) => [key, buildPlainObjects(child, depth + 1)]))
}

function formatIssue (issue: z.core.$ZodIssue): ParseProblem[] {
  const path = issue.path.map(String)
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => ({ section: path.join('.'), key, allowed: 'unknown name; see docs/CONFIGURATION.md' }))
  }
  const section = path.slice(0, -1).join('.')
  const key = path.at(-1) ?? ''
  const isMissing = issue.code === 'invalid_type' && issue.message.startsWith('Invalid input')
  const allowed = isMissing ? 'missing or not a section; see docs/CONFIGURATION.md' : issue.message
  return [{ section, key, allowed }]
}
