/** The part of js-csp which this project uses; the package brings no types. */
declare module 'js-csp' {
  /** A channel; only js-csp looks inside. */
  export interface Channel<Value> {
    readonly brand?: Value
    close (): void
  }
  /** An instruction which a process yields to the scheduler. */
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
