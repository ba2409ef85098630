import { isFailure } from '../core/failures'
import { readFolder } from '../storage'
import { exitCodes } from './exitCodes'

/** Shows what a data folder holds, without changing it. Returns the exit code. */
export function inspectStorage (folder: string, asJson: boolean, write: (line: string) => void, writeError: (line: string) => void): number {
  try {
    const { identity, hardState, snapshot, entries, isNew, isDamaged } = readFolder(folder)
    const summary = {
      identity,
      isNew,
      isDamaged,
      term: hardState.term,
      votedFor: hardState.votedFor ?? null,
      snapshotIndex: snapshot?.index ?? 0,
      snapshotBytes: snapshot?.payload.length ?? 0,
      firstIndex: entries[0]?.index ?? 0,
      lastIndex: entries.at(-1)?.index ?? snapshot?.index ?? 0
    }
    write(asJson ? JSON.stringify(summary) : Object.entries(summary).map(([key, value]) => `${key}=${String(value)}`).join(' '))
    return isDamaged ? exitCodes.failed : exitCodes.ok
  } catch (error) {
    writeError(`heatherdrum: ${isFailure(error) || error instanceof Error ? error.message : String(error)}`)
    return exitCodes.failed
  }
}
