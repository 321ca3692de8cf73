import type { Specification } from './explore.js'

/**
 * Specification of one request that must not run twice, from the ingress router
 * through the holder to the backend server; connections break at any time.
 */
export type RequestState = {
  ingress: 'routing' | 'forwarded' | 'answered' | 'not-run' | 'unknown'
  holder: 'absent' | 'queued' | 'sent' | 'ended'
  /** Progress of the backend server with the request as last sent. */
  backend: 'idle' | 'received' | 'ran'
  runCount: number
  sendCount: number
  pendingAnswer: 'none' | 'answer' | 'not-run' | 'unknown'
  breakCount: number
}

/** Events of the specification. */
export type RequestEvent =
  | { type: 'forward' }
  | { type: 'send' }
  | { type: 'connect-fails' }
  | { type: 'receive' }
  | { type: 'run' }
  | { type: 'shed' }
  | { type: 'exchange-breaks' }
  | { type: 'answer' }
  | { type: 'deadline-in-queue' }
  | { type: 'deliver-answer' }
  | { type: 'link-breaks' }

/** Protocol decisions that mutants override. */
export type RequestRules = {
  /** What the holder does with a request whose exchange broke after bytes were sent. */
  afterBrokenExchange: 'resend' | 'unknown' | 'not-run'
  /** State of the ingress after its link to the holder broke with the request forwarded. */
  afterBrokenLink: 'routing' | 'unknown' | 'not-run'
}

/** The correct protocol. */
export const requestRules: RequestRules = { afterBrokenExchange: 'unknown', afterBrokenLink: 'unknown' }

const start: RequestState = {
  ingress: 'routing',
  holder: 'absent',
  backend: 'idle',
  runCount: 0,
  sendCount: 0,
  pendingAnswer: 'none',
  breakCount: 0
}

/** Maximum number of broken links and exchanges in one run. */
const maxBreaks = 3

/** Builds the specification with the given rules. */
export function buildRequestSpecification (rules: RequestRules): Specification<RequestState, RequestEvent> {
  return {
    name: 'one request that must not run twice',
    start,
    listEvents,
    reduce: (state, event) => reduce(state, event, rules),
    invariants: {
      'a request runs at most once': state => state.runCount <= 1,
      'refused as not run means not run': state => !(state.ingress === 'not-run' && state.runCount > 0),
      'an answer means that it ran': state => !(state.ingress === 'answered' && state.runCount === 0)
    },
    isServed: state => state.ingress !== 'routing' && state.ingress !== 'forwarded',
    isFault: event => event.type === 'link-breaks' || event.type === 'exchange-breaks',
    serialize: state => Object.values(state).join()
  }
}

function listEvents (state: RequestState): RequestEvent[] {
  const events: RequestEvent[] = []
  if (state.ingress === 'routing' && state.holder !== 'sent') events.push({ type: 'forward' })
  if (state.holder === 'queued') events.push({ type: 'send' }, { type: 'connect-fails' }, { type: 'deadline-in-queue' })
  if (state.holder === 'sent' && state.backend === 'idle') events.push({ type: 'receive' })
  if (state.backend === 'received') events.push({ type: 'run' })
  if (state.backend === 'received' && state.holder === 'sent') events.push({ type: 'shed' })
  if (state.backend === 'ran' && state.holder === 'sent') events.push({ type: 'answer' })
  if (state.breakCount < maxBreaks) {
    if (state.holder === 'sent') events.push({ type: 'exchange-breaks' })
    if (state.ingress === 'forwarded') events.push({ type: 'link-breaks' })
  }
  if (state.ingress === 'forwarded' && state.pendingAnswer !== 'none') events.push({ type: 'deliver-answer' })
  return events
}

function reduce (state: RequestState, event: RequestEvent, rules: RequestRules): RequestState {
  switch (event.type) {
    case 'forward': return { ...state, ingress: 'forwarded', holder: 'queued', pendingAnswer: 'none' }
    case 'send': return { ...state, holder: 'sent', sendCount: Math.min(2, state.sendCount + 1), backend: state.backend === 'received' ? 'received' : 'idle' }
    case 'connect-fails': return { ...state, holder: 'ended', pendingAnswer: 'not-run' }
    case 'deadline-in-queue': return { ...state, holder: 'ended', pendingAnswer: 'not-run' }
    case 'receive': return { ...state, backend: 'received' }
    case 'run': return { ...state, backend: 'ran', runCount: Math.min(2, state.runCount + 1) }
    case 'shed': return { ...state, backend: 'idle', holder: 'ended', pendingAnswer: 'not-run' }
    case 'answer': return { ...state, backend: 'idle', holder: 'ended', pendingAnswer: 'answer' }
    case 'exchange-breaks': return failExchange(state, rules)
    case 'link-breaks': return failLink(state, rules)
    case 'deliver-answer': return applyAnswer(state)
  }
}

function failExchange (state: RequestState, rules: RequestRules): RequestState {
  const broken = { ...state, breakCount: state.breakCount + 1 }
  // Bytes already sent may still arrive: a request in flight is received later.
  const backend = state.backend === 'idle' ? 'received' : state.backend
  if (rules.afterBrokenExchange === 'resend') return { ...broken, backend, holder: 'queued' }
  return { ...broken, backend, holder: 'ended', pendingAnswer: rules.afterBrokenExchange }
}

function failLink (state: RequestState, rules: RequestRules): RequestState {
  const broken = { ...state, breakCount: state.breakCount + 1, pendingAnswer: 'none' as const }
  if (rules.afterBrokenLink === 'routing') return { ...broken, ingress: 'routing', holder: state.holder === 'sent' ? 'ended' : 'absent' }
  return { ...broken, ingress: rules.afterBrokenLink }
}

function applyAnswer (state: RequestState): RequestState {
  if (state.pendingAnswer === 'answer') return { ...state, ingress: 'answered', pendingAnswer: 'none' }
  if (state.pendingAnswer === 'not-run') return { ...state, ingress: 'not-run', pendingAnswer: 'none' }
  return { ...state, ingress: 'unknown', pendingAnswer: 'none' }
}
