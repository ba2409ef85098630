/**
 * The one place which imports ts-results. Node loads its CommonJS build, whose exports come as the
 * default import only; the bundle takes its ESM build, which has named exports and no default.
 */
import * as library from 'ts-results'
import type { Result as ResultOf } from 'ts-results'
import { unwrapDefault, type LibraryNamespace } from '../../interop'

const { Ok, Err } = unwrapDefault(library as LibraryNamespace<typeof library>)

export {
  /** Wraps the value of a call which succeeded. */
  Ok,
  /** Wraps the failure of a call which did not succeed. */
  Err
}

/** Either the value of a call or the typed failure which it ended with. */
export type Result<Value, Failure> = ResultOf<Value, Failure>
