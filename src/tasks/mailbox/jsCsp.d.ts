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
  interface Csp {
    readonly CLOSED: null
    readonly NO_VALUE: object
    chan<Value> (capacity?: number): Channel<Value>
    go (process: () => Generator<Instruction, void, unknown>): void
    take<Value> (channel: Channel<Value>): Instruction
    poll<Value> (channel: Channel<Value>): Value | object | null
    offer<Value> (channel: Channel<Value>, value: Value): boolean
    putAsync<Value> (channel: Channel<Value>, value: Value, done?: () => void): void
  }
  const csp: Csp
  export default csp
}
