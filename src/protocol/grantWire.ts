import * as z from 'zod'

/** Path at which backend servers that check grants receive them. */
export const grantPath = '/_fulmar/grants'
/** Path of health probes of backend servers that do not check grants. */
export const healthPath = '/_fulmar/health'

/** Header names of requests to backend servers and of answers to callers. */
export const headerNames = {
  unit: 'fulmar-unit',
  epoch: 'fulmar-epoch',
  holderEpoch: 'fulmar-holder-epoch',
  key: 'fulmar-key',
  /** Unix time in milliseconds after which a backend server must not start executing the request. */
  deadline: 'fulmar-deadline',
  /** Id of one send attempt of a request or grant message; a backend server echoes it in its answer. */
  request: 'fulmar-request',
  /** `1` on an answer means that the request was not executed. */
  notRun: 'fulmar-not-run',
  /** Reason of a refusal. */
  reason: 'fulmar-reason',
  /** Outcome of a refusal: not-run, unknown or ran. */
  outcome: 'fulmar-outcome',
  /** Longest time a caller waits, in milliseconds. */
  timeout: 'fulmar-timeout-ms'
} as const

/** A grant of units to a backend server; `notAfter` is the expiry in the backend server's clock, or 0 for a message that only asks for its clock. */
export type GrantMessage = {
  holder: string
  holderEpoch: number
  boot: string | undefined
  notAfter: number
  set: number
  units: Array<[string, number]> | undefined
  excludes: string[] | undefined
}

/** Reply of a backend server to a grant message; `boot` is a new value after each start of the backend server. */
export type GrantAnswer = {
  result: 'accepted' | 'unknown-set' | 'superseded'
  boot: string
  clock: number
  set: number
}

const grantSchema = z.object({
  holder: z.string(),
  holderEpoch: z.number(),
  boot: z.string().optional(),
  notAfter: z.number(),
  set: z.number(),
  units: z.array(z.tuple([z.string(), z.number()])).optional(),
  excludes: z.array(z.string()).optional()
})

const answerSchema = z.object({
  result: z.enum(['accepted', 'unknown-set', 'superseded']),
  boot: z.string(),
  clock: z.number(),
  set: z.number()
})

/** Decodes a grant message; undefined when it is malformed. */
export function decodeGrant (text: string): GrantMessage | undefined {
  const result = grantSchema.safeParse(parseJson(text))
  if (!result.success) return undefined
  return { boot: undefined, units: undefined, excludes: undefined, ...result.data }
}

/** Decodes a grant reply; undefined when it is malformed. */
export function decodeGrantAnswer (text: string): GrantAnswer | undefined {
  const result = answerSchema.safeParse(parseJson(text))
  return result.success ? result.data : undefined
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
