import * as z from 'zod'

/** A log line of any fulmarfront program; other fields depend on the event. */
const lineSchema = z.looseObject({ time: z.string(), hostname: z.string().default(''), event: z.number(), msg: z.string() })

/** A decoded log line. */
export type LogLine = z.output<typeof lineSchema>

/** Parses the lines of a log. Text that a log collector puts before a line is ignored, and lines of other programs are skipped. */
export function parseLines (text: string): LogLine[] {
  return text.split('\n').map(parseLine).filter(line => line !== undefined)
}

function parseLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const result = lineSchema.safeParse(JSON.parse(text.slice(start)))
    return result.success ? result.data : undefined
  } catch {
    // Other programs may write to the same file; their lines are skipped.
    return undefined
  }
}
