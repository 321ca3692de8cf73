/** Types of the part of js-csp that is used here. */
declare module 'js-csp' {
  export type Channel<T> = { close: () => void, readonly closed?: boolean, readonly __type?: T }
  export type Instruction = object
  export const CLOSED: null
  export const buffers: { fixed: (size: number) => object, sliding: (size: number) => object }
  export function chan<T> (buffer?: object | number): Channel<T>
  export function take<T> (channel: Channel<T>): Instruction
  export function poll<T> (channel: Channel<T>): T | string
  export function putAsync<T> (channel: Channel<T>, value: T, done?: (accepted: boolean) => void): void
  export function go (body: () => Generator<Instruction, void, unknown>): Channel<unknown>
}
