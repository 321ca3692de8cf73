import type { CommandResult } from './commands.js'
import type { LogLine } from './logLines.js'
import { exitCodes } from './commands.js'
import { parseLines } from './logLines.js'

/** Events that change what a host believes; the last of each before a request explains it. */
const beliefs = new Set(['configurationInForce', 'placementInForce', 'grantingHostChanged', 'storeLost', 'storeRegained', 'storeSourceChanged', 'backendAvoided', 'leadershipDoubted', 'gatewayStopping'])

/** Fields that stand in every line and say nothing of their own. */
const commonFields = new Set(['name', 'hostname', 'pid', 'level', 'event', 'msg', 'time', 'v', 'requestId'])

/** What each reason of a refusal or failure usually comes from, and where to look next. */
const causes: Record<string, string> = {
  'queue-full': 'the backend servers that may serve it were estimated to be too slow for its target; see waitMs and loadAgeMs, then the load of the service',
  'no-owner': 'its key was changing owners, or its owner was gone; look for moveStarted, ownerUnreachable and backendLeft near that time',
  'shed-by-backend': 'the backend server turned it away; it did not run',
  'fenced-by-backend': 'the backend server did not hold the key; compare the placement revision with the granting host\'s log',
  'backend-unreachable': 'no connection to the backend server; look for backendAvoided and at the link between the two',
  'retry-budget-spent': 'it did not run, and the service\'s resends were spent: many backend servers fail or shed',
  'backend-failed': 'the connection broke after it was sent; it may have run: ask the backend server named',
  'backend-rubbish': 'the backend server sent bytes that are no answer to it; it may have run: ask the backend server named',
  'deadline-passed': 'the backend server had not answered in the time of the caller or the route; it may have run',
  draining: 'the host was stopping; not-run: its deadline lay beyond the end of the process; unknown: it was cut when the time of the stop was up',
  cut: 'its caller\'s connection was closed with the process; with isSent a backend server had it and may have run it; see why the process stopped, and grace-ms',
  'not-ready': 'the host knew no configuration yet; look for storeRegained and configurationInForce',
  'unknown-route': 'no route of the configuration in force begins its path; compare the version with the operators\''
}

/** Events that end a request. */
const ends = new Set(['requestAnswered', 'requestRefused', 'requestFailed', 'requestAbandoned', 'requestCut'])
/** Time before a request in which a change that explains it may have come, in milliseconds. */
const lookBackMs = 2000

/** Times with missing lines that are listed when a request has no line. */
const shownGaps = 20

/** Tells the story of a request from log lines of any number of hosts. */
export function explainRequest (requestId: string, texts: readonly string[]): CommandResult {
  const lines = texts.flatMap(parseLines)
  lines.sort((a, b) => a.time < b.time ? -1 : a.time > b.time ? 1 : 0)
  const own = lines.filter(line => line.requestId === requestId)
  const [first] = own
  const last = own.at(-1)
  const gaps = listGaps(lines)
  if (first === undefined || last === undefined) return { text: formatAbsence(requestId, lines, gaps), code: exitCodes.failed }
  const hosts = new Set(own.map(line => line.hostname))
  const story = [`request ${requestId}`]
  for (const host of hosts) story.push(...listBeliefs(lines, host, first.time))
  for (const line of own) story.push(formatLine(line))
  const reason = own.map(findReason).filter(found => found !== undefined).at(-1)
  if (reason === 'cut' || reason === 'draining') {
    const stopped = lines.find(line => line.msg === 'stopped' && line.hostname === last.hostname && line.time >= last.time)
    if (stopped !== undefined) story.push(`  after: ${formatLine(stopped)}`)
  }
  if (!own.some(line => ends.has(line.msg))) story.push('no line of its end: left out, or beyond these logs')
  const from = computeShiftedTime(first.time, -lookBackMs)
  for (const gap of gaps) {
    const mayConcernIt = hosts.has(gap.host) || gap.host === ''
    if (mayConcernIt && !gap.isPlainOnly && gap.to >= from && gap.from <= last.time) story.push(formatGap(gap))
  }
  if (reason !== undefined) story.push(`cause: ${reason}: ${causes[reason] ?? 'see docs/METRICS.md'}`)
  return { text: story.join('\n'), code: exitCodes.done }
}

function findReason (line: LogLine): string | undefined {
  if (line.msg === 'requestCut') return 'cut'
  return typeof line.reason === 'string' ? line.reason : undefined
}

/** A time in which a host wrote less than it decided; `host` is empty where the line names none. */
type Gap = { host: string, from: string, to: string, text: string, mayHideRequest: boolean, isPlainOnly: boolean }

/** Lists the times in which lines are missing, as each version of the log tells them. */
function listGaps (lines: readonly LogLine[]): Gap[] {
  const before = new Map<string, string>()
  return lines.flatMap(line => {
    const { hostname: host, time: to } = line
    const from = before.get(host) ?? to
    before.set(host, to)
    if (line.msg === 'linesLeftOut') {
      const kinds = Object.keys(line).filter(name => !commonFields.has(name) && name !== 'count' && name !== 'forMs')
      const counts = kinds.map(name => `${name}=${String(line[name])}`).join(' ')
      const mayHideRequest = kinds.some(name => name.startsWith('request'))
      return [{ host, from: computeShiftedTime(to, -Number(line.forMs)), to, text: `${String(line.count)} lines left out: ${counts}`, mayHideRequest, isPlainOnly: kinds.every(name => name === 'requestAnswered') }]
    }
    if (line.msg === 'logLinesDropped') return [{ host, from, to, text: `${String(line.count)} lines dropped, since nobody read them`, mayHideRequest: true, isPlainOnly: false }]
    if (line.linesLeftOut === undefined) return []
    return [{ host, from, to, text: `${String(line.linesLeftOut)} lines left out`, mayHideRequest: true, isPlainOnly: false }]
  })
}

function formatGap (gap: Gap): string {
  return `  missing: ${gap.host} ${gap.from} to ${gap.to}: ${gap.text}`
}

/** Says what the logs cover, so that nobody takes a line left out for a request that never came. */
function formatAbsence (requestId: string, lines: readonly LogLine[], gaps: readonly Gap[]): string {
  const covered = [...new Set(lines.map(line => line.hostname))].filter(host => host !== '').map(host => {
    const own = lines.filter(line => line.hostname === host)
    return `  ${host}: lines from ${own[0]?.time ?? ''} to ${own.at(-1)?.time ?? ''}`
  })
  const hiding = gaps.filter(gap => gap.mayHideRequest)
  const head = hiding.length === 0
    ? `request ${requestId}: no line in these logs; it reached none of these hosts in the times that they cover`
    : `request ${requestId}: no line in these logs; it reached none of these hosts in the times that they cover, or its line was left out (most are plain successes: one sending, in time)`
  const more = hiding.length > shownGaps ? [`  and ${hiding.length - shownGaps} more such times`] : []
  return [head, ...covered, ...hiding.slice(0, shownGaps).map(formatGap), ...more].join('\n')
}

/** Moves a time of a log line; one that can't be read stays as it is. */
function computeShiftedTime (time: string, ms: number): string {
  const moved = Date.parse(time) + ms
  return Number.isFinite(moved) ? new Date(moved).toISOString() : time
}

/** Lists what a host last learnt of each kind before a moment. */
function listBeliefs (lines: readonly LogLine[], host: string, before: string): string[] {
  const last = new Map<string, LogLine>()
  for (const line of lines) {
    if (line.hostname === host && line.time <= before && beliefs.has(line.msg)) last.set(line.msg, line)
  }
  return [...last.values()].map(line => `  before: ${formatLine(line)}`)
}

function formatLine (line: LogLine): string {
  const fields = Object.entries(line).filter(([name, value]) => !commonFields.has(name) && value !== undefined).map(([name, value]) => `${name}=${String(value)}`)
  return `${line.time} ${line.hostname} ${line.msg} ${fields.join(' ')}`
}
