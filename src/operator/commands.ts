import type { OperatorSettings } from '../protocol/settings.js'
import type { StoreClient } from '../runtime/storeClient.js'
import type { TimerService } from '../runtime/timerService.js'
import { createTwoFilesPatch } from 'diff'
import { formatProblems } from '../protocol/iniSchema.js'
import { parseDocument } from '../protocol/documentText.js'
import { callAdminPort } from './adminClient.js'
import { applyDocument, readDocument } from './applyDocument.js'
import { readFleet, waitUntilInForce } from './fleetView.js'

/** Store, settings and timers of a command. */
export type CommandContext = { store: StoreClient, settings: OperatorSettings, timers: TimerService }

/** Output of a command and the exit code of the program. */
export type CommandResult = { text: string, code: number }

/** Exit codes of fulmarctl. */
export const exitCodes = { done: 0, failed: 1, invalid: 2, conflict: 3, unavailable: 4, timedOut: 5 } as const

/** Line that `show` puts before a document: the revision that an edit of it is based on. */
const baseRevisionPattern = /^; revision = (\d+)\s*$/m

/** Checks a document without applying it. */
export function checkDocument (file: string, text: string): CommandResult {
  const parsed = parseDocument(text, 1)
  if (parsed.kind === 'invalid') return { text: formatProblems(file, parsed.problems), code: exitCodes.invalid }
  const services = parsed.value.services.map(service => `${service.name} (${service.backends.length} backend servers)`)
  return { text: `${file}: valid; team ${parsed.value.team}; ${services.join(', ')}`, code: exitCodes.done }
}

/** Shows a team's document, preceded by its revision. */
export async function showDocument (context: CommandContext, team: string): Promise<CommandResult> {
  const outcome = await readDocument(context.store, team)
  if (outcome.kind === 'unavailable') return buildUnavailable(outcome.detail)
  if (outcome.current === undefined) return { text: `team ${team} has no document; apply one`, code: exitCodes.failed }
  return { text: `; revision = ${outcome.current.revision}\n${removeBaseRevision(outcome.current.text)}`, code: exitCodes.done }
}

/** Shows what applying a document would change. */
export async function showDifference (context: CommandContext, file: string, text: string): Promise<CommandResult> {
  const parsed = parseDocument(text, 1)
  if (parsed.kind === 'invalid') return { text: formatProblems(file, parsed.problems), code: exitCodes.invalid }
  const outcome = await readDocument(context.store, parsed.value.team)
  if (outcome.kind === 'unavailable') return buildUnavailable(outcome.detail)
  const current = outcome.current
  const name = current === undefined ? 'nothing' : `revision ${current.revision}`
  return { text: formatDiff(name, file, current?.text ?? '', text), code: exitCodes.done }
}

/** Applies a document; a conflict with another operator's change shows both differences. */
export async function applyDocumentFile (
  context: CommandContext,
  file: string,
  text: string,
  baseOption: number | undefined
): Promise<CommandResult> {
  const parsed = parseDocument(text, 1)
  if (parsed.kind === 'invalid') return { text: formatProblems(file, parsed.problems), code: exitCodes.invalid }
  const team = parsed.value.team
  const revisionInFile = baseRevisionPattern.exec(text)?.[1]
  const baseRevision = baseOption ?? (revisionInFile === undefined ? undefined : Number(revisionInFile))
  const initialRead = await readDocument(context.store, team)
  const author = context.settings.operator.name
  const outcome = await applyDocument(context.store, { team, text: removeBaseRevision(text), baseRevision, author }, context.timers)
  switch (outcome.kind) {
    case 'accepted': return { text: `team ${team}: revision ${outcome.revision} accepted`, code: exitCodes.done }
    case 'unchanged': return { text: `team ${team}: revision ${outcome.revision} already has this text`, code: exitCodes.done }
    case 'unavailable': return buildUnavailable(outcome.detail)
    case 'conflict': {
      const previous = initialRead.kind === 'read' ? initialRead.current : undefined
      return { text: formatConflict(file, removeBaseRevision(text), outcome.expected, previous, outcome.current), code: exitCodes.conflict }
    }
  }
}

type DocumentVersion = { revision: number, operation: string, text: string } | undefined

/** Describes a conflict: who applied the current revision, what they changed if the previous revision is known, and how the rejected document differs. */
function formatConflict (file: string, text: string, expected: number, previous: DocumentVersion, current: DocumentVersion): string {
  const author = current?.operation.split(':')[0] ?? 'another operator'
  const lines = [
    `conflict: the edit is based on revision ${expected}, but ${author} has applied revision ${current?.revision ?? 0}.`,
    'Run show again, repeat the edit on the current document, and apply the result.'
  ]
  if (previous !== undefined && previous.revision !== current?.revision) {
    lines.push('', 'Their change:', formatDiff(`revision ${previous.revision}`, `revision ${current?.revision}`, previous.text, current?.text ?? ''))
    lines.push('', 'Your change:', formatDiff(`revision ${previous.revision}`, file, previous.text, text))
  } else {
    lines.push('', 'Difference between the current document and yours:', formatDiff(`revision ${current?.revision ?? 0}`, file, current?.text ?? '', text))
  }
  return lines.join('\n')
}

function formatDiff (oldName: string, newName: string, oldText: string, newText: string): string {
  return createTwoFilesPatch(oldName, newName, removeBaseRevision(oldText), removeBaseRevision(newText), undefined, undefined, { context: 2 })
}

function removeBaseRevision (text: string): string {
  return text.replace(/^; revision = \d+\s*\n/m, '')
}

function buildUnavailable (detail: string): CommandResult {
  return { text: `the store is unavailable: ${detail}; a change in progress may or may not have been applied; check with show`, code: exitCodes.unavailable }
}

/** Waits until a revision is in force on every router. */
export async function waitForRevision (
  context: CommandContext,
  team: string,
  revision: number | undefined,
  timeoutMs: number
): Promise<CommandResult> {
  const read = await readDocument(context.store, team)
  if (read.kind === 'unavailable') return buildUnavailable(read.detail)
  const wantedRevision = revision ?? read.current?.revision ?? 0
  const outcome = await waitUntilInForce(context.store, context.settings.tls, { team, revision: wantedRevision, timeoutMs }, context.timers)
  switch (outcome.kind) {
    case 'in-force': return { text: `team ${team}: revision ${wantedRevision} is in force on ${outcome.routers} routers`, code: exitCodes.done }
    case 'timed-out': return { text: `team ${team}: revision ${wantedRevision} is not in force on ${outcome.behind.join(', ')}`, code: exitCodes.timedOut }
    case 'unavailable': return buildUnavailable(outcome.detail)
  }
}

/** Shows every router with its zone, phase, lease, document revisions and held backend servers. */
export async function showStatus (context: CommandContext): Promise<CommandResult> {
  const fleet = await readFleet(context.store, context.settings.tls)
  if (fleet.kind === 'unavailable') return buildUnavailable(fleet.detail)
  const lines = fleet.routers.map(({ entry, status }) => {
    if (status === undefined) return `${entry.router}  ${entry.zone}  NO ANSWER at ${entry.adminAddress}`
    const holds = status.holds.map(hold => `${hold.backend}:${hold.status}`).join(' ')
    const documents = Object.entries(status.documents).map(([team, revision]) => `${team}@${revision}`).join(' ')
    const lease = status.lease.valid ? 'lease' : 'NO LEASE'
    return `${entry.router}  ${entry.zone}  ${status.phase}  ${lease}  ${documents}  holds ${holds === '' ? 'nothing' : holds}`
  })
  return { text: lines.length === 0 ? 'no routers' : lines.join('\n'), code: exitCodes.done }
}

/** Starts to drain a router, given the name of its instance or its configured name. */
export async function startDrain (context: CommandContext, router: string): Promise<CommandResult> {
  const fleet = await readFleet(context.store, context.settings.tls)
  if (fleet.kind === 'unavailable') return buildUnavailable(fleet.detail)
  const found = fleet.routers.find(({ entry }) => entry.router === router || entry.router.startsWith(`${router}.`))
  if (found === undefined) return { text: `no router ${router} in the fleet; see status`, code: exitCodes.failed }
  const answer = await callAdminPort(found.entry.adminAddress, 'POST', '/drain', context.settings.tls)
  if (answer.kind === 'unreachable') return { text: answer.detail, code: exitCodes.failed }
  return { text: `${found.entry.router} is draining; it stops when its requests have ended`, code: exitCodes.done }
}

/** Shows, for each router, which backend server and router serve a key. */
export async function explainKey (context: CommandContext, service: string, key: string): Promise<CommandResult> {
  const fleet = await readFleet(context.store, context.settings.tls)
  if (fleet.kind === 'unavailable') return buildUnavailable(fleet.detail)
  const path = `/explain?${new URLSearchParams({ service, key })}`
  const lines: string[] = []
  for (const { entry } of fleet.routers) {
    const answer = await callAdminPort(entry.adminAddress, 'GET', path, context.settings.tls)
    lines.push(`${entry.router}  ${answer.kind === 'answered' ? JSON.stringify(answer.body) : answer.detail}`)
  }
  return { text: lines.join('\n'), code: exitCodes.done }
}
