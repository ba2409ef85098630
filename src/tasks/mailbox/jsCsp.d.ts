/** Types for the part of js-csp used here; the package ships no types. */
declare module 'js-csp' {
  /** An opaque channel. */
  export interface Channel<Value> {
    readonly brand?: Value
    close (): void
  }
  /** An opaque instruction that a process yields to the js-csp scheduler. */
  export interface Instruction {
    readonly brand?: 'instruction'
  }
  export const CLOSED: null
  export const NO_VALUE: object
  export function chan<Value> (capacity?: number): Channel<Value>
  export function go (process: () => Generator<Instruction, void, unknown>): void
  export function take<Value> (channel: Channel<Value>): Instruction
  export function poll<Value> (channel: Channel<Value>): Value | object | null
  export function offer<Value> (channel: Channel<Value>, value: Value): boolean
  export function putAsync<Value> (channel: Channel<Value>, value: Value, done?: () => void): void
}
