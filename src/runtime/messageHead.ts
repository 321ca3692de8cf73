import type { IncomingMessage } from 'node:http'

/** Characters of a header name, as RFC 9110 defines a token. */
const headerNamePattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/** Characters of a header value: visible ones, blanks, tabs, and bytes above 0x7f. */
const headerValuePattern = /^[\t\x20-\x7e\x80-\xff]*$/
/** Lowest status code of a final answer; lower ones are interim answers. */
const minFinalStatus = 200
/** Highest status code that three digits can express. */
const maxStatus = 999

/**
 * Returns whether all headers of a message can be sent on, from the flat list of names and values that Node.js gives.
 * The parser of Node.js accepts names that its own `request` and `writeHead` throw on, such as empty ones and those with a blank.
 */
export function hasValidHeaders (raw: readonly string[]): boolean {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (!headerNamePattern.test(raw[index] ?? '') || !headerValuePattern.test(raw[index + 1] ?? '')) return false
  }
  return true
}

/** Returns whether a status code is one of a final answer; the parser of Node.js accepts any three digits. */
export function isFinalStatus (status: number): boolean {
  return status >= minFinalStatus && status <= maxStatus
}

/** Counts the characters of a request's target and headers. */
export function countHeadCharacters (request: IncomingMessage): number {
  let characters = (request.url ?? '').length
  for (const text of request.rawHeaders) characters += text.length
  return characters
}
