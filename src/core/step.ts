/** Result of a reducer: the next state and the effects to run, as data. */
export type Step<State, Effect> = { state: State, effects: Effect[] }

/**
 * A reducer may modify the state passed to it: callers keep only the returned
 * state, and copy it before they explore several branches from it.
 */
export type Reducer<State, Event, Effect> = (state: State, event: Event) => Step<State, Effect>
