/**
 * The only module that imports ts-results. Node.js loads the CommonJS build of the library, whose exports are available as the
 * default import only; the bundle includes its ESM build, which has named exports and no default.
 */
import * as library from 'ts-results'
import type { Result as ResultOf } from 'ts-results'
import { unwrapDefault, type LibraryNamespace } from '../../interop'

const { Ok, Err } = unwrapDefault(library as LibraryNamespace<typeof library>)

export {
  /** Wraps the value of a successful call. */
  Ok,
  /** Wraps the failure of an unsuccessful call. */
  Err
}

/** Either the value of a call or its typed failure. */
export type Result<Value, Failure> = ResultOf<Value, Failure>
