import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'

/** A specification: the start state, the events possible in each state, the transition function and the invariants. */
export type Specification<State, Event extends { type: string }> = {
  name: string
  start: State
  listEvents: (state: State) => Event[]
  reduce: (state: State, event: Event) => State
  invariants: Record<string, (state: State) => boolean>
  /** Whether the key or request counts as served; such a state must stay reachable without further faults. */
  isServed: (state: State) => boolean
  isFault: (event: Event) => boolean
  /** Serializes a state to a key; equal keys mean equal states. */
  serialize: (state: State) => string
}

/** A violated invariant with the shortest trace to it. */
export type Violation = { invariant: string, trace: string[] }

/** Result of exploring a specification exhaustively. */
export type Exploration = {
  name: string
  states: number
  transitions: number
  /** Number of states that violate each invariant. */
  violations: Record<string, number>
  /** Number of states from which no served state is reachable without further faults. */
  stuck: number
}

/** Maximum number of states that one exploration visits. */
const stateLimit = 3_000_000

type Transition = { event: { type: string }, state: { context: unknown } }

type Graph<State> = Map<string, { state: State, targets: Array<{ key: string, fault: boolean }> }>

/** Explores all reachable states with the xstate graph utilities and checks the invariants in each. */
export function checkSpecification<State, Event extends { type: string }> (
  specification: Specification<State, Event>
): Exploration {
  const graph = buildGraph(specification)
  let transitions = 0
  const violations: Record<string, number> = {}
  for (const name of Object.keys(specification.invariants)) violations[name] = 0
  for (const { state, targets } of graph.values()) {
    transitions += targets.length
    for (const [name, holds] of Object.entries(specification.invariants)) {
      if (!holds(state)) violations[name] = (violations[name] ?? 0) + 1
    }
  }
  return { name: specification.name, states: graph.size, transitions, violations, stuck: countStuck(specification, graph) }
}

function buildGraph<State, Event extends { type: string }> (specification: Specification<State, Event>): Graph<State> {
  const { serialize, isFault } = specification
  const map = getAdjacencyMap(fromTransition(specification.reduce, specification.start), {
    events: snapshot => specification.listEvents(snapshot.context as State),
    serializeState: snapshot => serialize(snapshot.context as State),
    serializeEvent: formatEvent,
    limit: stateLimit
  })
  const graph: Graph<State> = new Map()
  for (const [key, entry] of Object.entries(map)) {
    const transitions: Transition[] = Object.values(entry.transitions)
    const targets = transitions.map(({ event, state }) => {
      return { key: serialize(state.context as State), fault: isFault(event as Event) }
    })
    graph.set(key, { state: entry.state.context as State, targets })
  }
  return graph
}

function formatEvent (event: { type: string }): string {
  return Object.values(event).join(' ')
}

/** Counts the states from which no served state is reachable without faults, by a backward search from the served states. */
function countStuck<State, Event extends { type: string }> (
  specification: Specification<State, Event>,
  graph: Graph<State>
): number {
  const sources = new Map<string, string[]>()
  const queue: string[] = []
  for (const [key, { state, targets }] of graph) {
    if (specification.isServed(state)) queue.push(key)
    for (const target of targets) {
      if (!target.fault) sources.set(target.key, [...sources.get(target.key) ?? [], key])
    }
  }
  const reached = new Set(queue)
  for (let index = 0; index < queue.length; index++) {
    for (const source of sources.get(queue[index] ?? '') ?? []) {
      if (reached.has(source)) continue
      reached.add(source)
      queue.push(source)
    }
  }
  return graph.size - reached.size
}

/** Result of a search for a violated invariant. */
export type Search = { kind: 'broken', violation: Violation, states: number } | { kind: 'held', states: number }

/** Searches breadth first for the nearest state that violates an invariant. */
export function findViolation<State, Event extends { type: string }> (
  specification: Specification<State, Event>,
  maxStates: number
): Search {
  const { start, serialize, listEvents, reduce } = specification
  const predecessors = new Map<string, { key: string, event: string } | undefined>([[serialize(start), undefined]])
  const queue = [start]
  for (let index = 0; index < queue.length && predecessors.size < maxStates; index++) {
    const state = queue[index] as State
    const key = serialize(state)
    const invariant = findBrokenInvariant(specification, state)
    if (invariant !== undefined) {
      return { kind: 'broken', violation: { invariant, trace: buildTrace(predecessors, key) }, states: predecessors.size }
    }
    for (const event of listEvents(state)) {
      const next = reduce(state, event)
      const nextKey = serialize(next)
      if (predecessors.has(nextKey)) continue
      predecessors.set(nextKey, { key, event: formatEvent(event) })
      queue.push(next)
    }
  }
  return { kind: 'held', states: predecessors.size }
}

function findBrokenInvariant<State, Event extends { type: string }> (
  specification: Specification<State, Event>,
  state: State
): string | undefined {
  const broken = Object.entries(specification.invariants).find(([, holds]) => !holds(state))
  return broken?.[0]
}

function buildTrace (predecessors: ReadonlyMap<string, { key: string, event: string } | undefined>, end: string): string[] {
  const trace: string[] = []
  let step = predecessors.get(end)
  while (step !== undefined) {
    trace.unshift(step.event)
    step = predecessors.get(step.key)
  }
  return trace
}
