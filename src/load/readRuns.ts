import type { RunRecord } from '../standins/backendReducer.js'
import { get } from 'node:http'

/** Reads the executions that a stand-in recorded; undefined if it is unreachable or does not answer with a JSON array. */
export function readRuns (url: string): Promise<readonly RunRecord[] | undefined> {
  return new Promise(resolve => {
    const request = get(url, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => resolve(decodeRuns(Buffer.concat(chunks).toString())))
    })
    request.on('error', () => resolve(undefined))
  })
}

function decodeRuns (text: string): readonly RunRecord[] | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}
