import { readFileSync, unlinkSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'

/** A lock which keeps a second process out of a data folder. */
export interface FolderLock {
  release (): void
}

const lockName = 'lock'
/** The locks which this process holds. */
const heldHere = new Set<string>()
const unreadable = 'unreadable'

/** Takes the lock of a folder; one whose process has ended is taken over. */
export function lockFolder (folder: string): Result<FolderLock, Failure> {
  const path = join(folder, lockName)
  const owner = describeProcess(process.pid)
  for (let attempt = 0; attempt < 2; attempt += 1) {
    try {
      writeFileSync(path, owner, { flag: 'wx' })
      heldHere.add(path)
      return Ok({ release: () => release(path) })
    } catch (error) {
      if (!isTaken(error)) return Err(refused(path, error))
      const holder = readHolder(path)
      if (isAlive(holder, path)) return Err(new Failure('storage/locked', { subject: folder, got: `process ${holder}` }))
      removeStale(path)
    }
  }
  return Err(new Failure('storage/locked', { subject: folder }))
}

/** A disk that refuses the lock may have taken its name. */
function refused (path: string, error: unknown): Failure {
  removeStale(path)
  return new Failure('storage/write-failed', { subject: path, got: String(error) })
}

function isTaken (error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === 'EEXIST'
}

function readHolder (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return ''
  }
}

function removeStale (path: string): void {
  try {
    unlinkSync(path)
  } catch {
    // It was removed already, or its disk refuses it; a lock of no living holder is taken over at the next attempt.
  }
}

function release (path: string): void {
  heldHere.delete(path)
  removeStale(path)
}

/** A process whose start can't be read can't be told from a former one of the same id, so only its own lock counts. */
function isAlive (holder: string, path: string): boolean {
  const id = Number(holder.split(' ')[0])
  if (id === process.pid) return heldHere.has(path)
  if (!Number.isInteger(id) || id <= 0 || holder.endsWith(unreadable)) return false
  return describeProcess(id) === holder
}

/** The process id and its start time, because ids are used again after a restart of the VM. */
function describeProcess (id: number): string {
  try {
    const stat = readFileSync(`/proc/${id}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    const startTimeField = 19
    return `${id} ${fields[startTimeField] ?? ''}`
  } catch {
    return `${id} ${unreadable}`
  }
}
