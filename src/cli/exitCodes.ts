/** Exit codes of every command. */
export const exitCodes = {
  /** The command did what it was asked. */
  ok: 0,
  /** The command ran, but what it reports is a failure. */
  failed: 1,
  /** Wrong flags or arguments. */
  usage: 2,
  /** Wrong or unreadable settings. */
  settings: 3,
  /** The system could not be reached. */
  unreachable: 4
} as const
