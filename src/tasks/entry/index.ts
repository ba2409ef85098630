/** The entry process: callers, operators and routing. */
export { createEntry, type Entry, type EntryOptions } from './entryService'
export type { ExchangeBounds } from './entryContext'
export type { EntryRouter } from './entryRouter'
