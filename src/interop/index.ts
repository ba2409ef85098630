/** A CommonJS library as different loaders present it: below a default export, or as the namespace itself. */
export type LibraryNamespace<Library> = Library | { readonly default: Library }

/** Finds the exports of a CommonJS library, whichever loader brought it. */
export function unwrapDefault<Library extends object> (namespace: LibraryNamespace<Library>): Library {
  return 'default' in namespace ? namespace.default : namespace
}
