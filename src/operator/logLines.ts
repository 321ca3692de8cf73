import * as z from 'zod'

/** A log line as any program of fulmarfront writes it; other fields depend on the event. */
const lineSchema = z.looseObject({ time: z.string(), hostname: z.string().default(''), event: z.number(), msg: z.string() })

/** A decoded log line. */
export type LogLine = z.output<typeof lineSchema>

/** Parses the lines of a log; a collector may put text before each, and lines of other programs are passed over. */
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
    // Other programs may write to the same file; their lines tell nothing here.
    return undefined
  }
}
