import { mkdirSync, readdirSync, readFileSync, truncateSync } from 'node:fs'
import { open, rename, unlink, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import { randomUUID } from 'node:crypto'
import type { DurableChange, HardState, LogEntry, StateSnapshot } from '../core/consensus'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import { lockFolder, type FolderLock } from './folderLock'
import { decodeRecords, encodeRecords, fileHeader } from './recordFile'

/** What a replica finds in its folder when it starts. */
export interface StoredReplica {
  /** Made when the folder was first used; another one means that votes may be forgotten. */
  readonly identity: string
  readonly hardState: HardState
  readonly snapshot?: StateSnapshot
  readonly entries: readonly LogEntry[]
  /** Whether the folder held nothing before. */
  readonly isNew: boolean
  /** Whether records were lost which had been synced. */
  readonly isDamaged: boolean
}

/** Options of a folder. */
export interface ReplicaStoreOptions {
  /** What a replica is that finds the folder empty; written before anything else, so that a second life knows it too. */
  readonly standingOfNew?: HardState['standing']
}

/** Records of a log segment. */
type StoredRecord =
  | { readonly kind: 'identity', readonly identity: string }
  | { readonly kind: 'hardState', readonly hardState: HardState }
  | { readonly kind: 'entry', readonly entry: LogEntry }
  | { readonly kind: 'truncate', readonly from: number }
  /** The segment holds everything after a snapshot; what older segments hold counts no more. */
  | { readonly kind: 'begin' }
  /** Records of one write: a write that was cut anywhere is then one bad record at the end, never a good one after a bad one. */
  | { readonly kind: 'batch', readonly records: readonly StoredRecord[] }

const segmentPattern = /^segment-(\d{12})\.log$/
const snapshotPattern = /^snapshot-(\d{16})\.log$/

/** The files of one replica: log segments and snapshots in one folder. */
export class ReplicaStore {
  private constructor (
    private readonly folder: string,
    private readonly lock: FolderLock,
    private segment: FileHandle,
    private segmentNumber: number,
    private readonly identity: string,
    private hardState: HardState
  ) {}

  /** Opens a folder, makes it if needed, and cuts a torn tail off. */
  static async open (folder: string, { standingOfNew }: ReplicaStoreOptions = {}): Promise<Result<{ readonly store: ReplicaStore, readonly stored: StoredReplica }, Failure>> {
    mkdirSync(folder, { recursive: true })
    const lock = lockFolder(folder)
    if (!lock.ok) return lock
    try {
      const stored = readFolder(folder)
      cutTornTail(folder)
      await syncSegments(folder)
      const numbers = listNumbers(folder, segmentPattern)
      const segmentNumber = (numbers.at(-1) ?? 0) + 1
      const hardState: HardState = stored.isNew && standingOfNew !== undefined ? { ...stored.hardState, standing: standingOfNew } : stored.hardState
      const opening: StoredRecord[] = [{ kind: 'identity', identity: stored.identity }, { kind: 'hardState', hardState }]
      const segment = await createSegment(folder, segmentNumber, opening)
      return Ok({ store: new ReplicaStore(folder, lock.val, segment, segmentNumber, stored.identity, hardState), stored: { ...stored, hardState } })
    } catch (error) {
      lock.val.release()
      return Err(error instanceof Failure ? error : new Failure('storage/write-failed', { subject: folder, got: String(error) }))
    }
  }

  /** Syncs a change to disk. After a failure nothing of this replica may be answered any more. */
  async write (change: DurableChange): Promise<void> {
    const records: StoredRecord[] = []
    if (change.hardState !== undefined) {
      this.hardState = change.hardState
      records.push({ kind: 'hardState', hardState: change.hardState })
    }
    if (change.truncateFrom !== undefined) records.push({ kind: 'truncate', from: change.truncateFrom })
    for (const entry of change.entries) records.push({ kind: 'entry', entry })
    try {
      if (change.snapshot !== undefined) await this.writeSnapshot(change.snapshot)
      await this.segment.appendFile(encode([{ kind: 'batch', records }]))
      await this.segment.datasync()
    } catch (error) {
      throw new Failure('storage/write-failed', { subject: this.folder, got: String(error) })
    }
  }

  /** Writes a snapshot and starts a new segment, which holds the entries after it. */
  async compact (snapshot: StateSnapshot, rest: readonly LogEntry[]): Promise<void> {
    await this.writeSnapshot(snapshot)
    const next = this.segmentNumber + 1
    const records: StoredRecord[] = [
      { kind: 'begin' },
      { kind: 'identity', identity: this.identity },
      { kind: 'hardState', hardState: this.hardState },
      ...rest.map(entry => ({ kind: 'entry' as const, entry }))
    ]
    const segment = await createSegment(this.folder, next, records)
    await this.segment.close()
    this.segment = segment
    this.segmentNumber = next
    await this.removeOlder(snapshot.index)
  }

  /** Closes the files and gives the lock back. */
  async close (): Promise<void> {
    await this.segment.close()
    this.lock.release()
  }

  private async writeSnapshot (snapshot: StateSnapshot): Promise<void> {
    const name = `snapshot-${String(snapshot.index).padStart(16, '0')}.log`
    await writeWhole(this.folder, name, [JSON.stringify(snapshot)])
  }

  private async removeOlder (snapshotIndex: number): Promise<void> {
    for (const name of readdirSync(this.folder)) {
      const segment = segmentPattern.exec(name)
      const snapshot = snapshotPattern.exec(name)
      const isOld = (segment !== null && Number(segment[1]) < this.segmentNumber) ||
        (snapshot !== null && Number(snapshot[1]) < snapshotIndex)
      if (isOld) await unlink(join(this.folder, name))
    }
    await syncFolder(this.folder)
  }
}

/** Reads a folder and changes nothing. */
export function readFolder (folder: string): StoredReplica {
  const snapshot = readSnapshot(folder)
  const numbers = listNumbers(folder, segmentPattern)
  const state = new ReplayedLog(snapshot?.index ?? 0)
  let isDamaged = false
  numbers.forEach((number, position) => {
    const bytes = readFileSync(join(folder, segmentName(number)))
    const read = decodeRecords(bytes)
    const isLast = position === numbers.length - 1
    // Each start cuts the tail of the newest segment, so an older one has none.
    if (read.isDamaged || (!isLast && read.goodBytes < bytes.length)) isDamaged = true
    for (const payload of read.payloads) state.replay(JSON.parse(payload) as StoredRecord)
  })
  return {
    identity: state.identity ?? randomUUID(),
    hardState: state.hardState,
    ...(snapshot === undefined ? {} : { snapshot }),
    entries: state.entries,
    isNew: numbers.length === 0 && snapshot === undefined,
    isDamaged: isDamaged || state.hasGap
  }
}

/** Rebuilds the log from the records of all segments. */
class ReplayedLog {
  identity: string | undefined
  hardState: HardState = { term: 0 }
  entries: LogEntry[] = []
  hasGap = false

  constructor (private readonly snapshotIndex: number) {}

  replay (record: StoredRecord): void {
    switch (record.kind) {
      case 'identity':
        this.identity ??= record.identity
        return
      case 'hardState':
        this.hardState = record.hardState
        return
      case 'begin':
        this.entries = []
        this.hasGap = false
        return
      case 'batch':
        for (const part of record.records) this.replay(part)
        return
      case 'truncate':
        this.entries = this.entries.filter(entry => entry.index < record.from)
        return
      case 'entry': this.append(record.entry)
    }
  }

  private append (entry: LogEntry): void {
    if (entry.index <= this.snapshotIndex || this.hasGap) return
    const expected = this.snapshotIndex + this.entries.length + 1
    if (entry.index > expected) {
      this.hasGap = true
      return
    }
    this.entries.length = entry.index - this.snapshotIndex - 1
    this.entries.push(entry)
  }
}

/** Cuts a record off which was being written when the process ended. */
function cutTornTail (folder: string): void {
  const newest = listNumbers(folder, segmentPattern).at(-1)
  if (newest === undefined) return
  const path = join(folder, segmentName(newest))
  const bytes = readFileSync(path)
  const read = decodeRecords(bytes)
  if (!read.isDamaged && read.goodBytes < bytes.length) truncateSync(path, read.goodBytes)
}

function readSnapshot (folder: string): StateSnapshot | undefined {
  for (const number of listNumbers(folder, snapshotPattern).reverse()) {
    const name = `snapshot-${String(number).padStart(16, '0')}.log`
    const [payload] = decodeRecords(readFileSync(join(folder, name))).payloads
    if (payload !== undefined) return JSON.parse(payload) as StateSnapshot
  }
  return undefined
}

function listNumbers (folder: string, pattern: RegExp): number[] {
  return readdirSync(folder).flatMap(name => {
    const match = pattern.exec(name)
    return match === null ? [] : [Number(match[1])]
  }).sort((a, b) => a - b)
}

function segmentName (number: number): string {
  return `segment-${String(number).padStart(12, '0')}.log`
}

function encode (records: readonly StoredRecord[]): Buffer {
  return encodeRecords(records.map(record => JSON.stringify(record)))
}

async function createSegment (folder: string, number: number, records: readonly StoredRecord[]): Promise<FileHandle> {
  await writeWhole(folder, segmentName(number), records.map(record => JSON.stringify(record)))
  return await open(join(folder, segmentName(number)), 'a')
}

/** Writes a file so that it is either there whole or not at all. */
async function writeWhole (folder: string, name: string, payloads: readonly string[]): Promise<void> {
  const temporary = join(folder, `${name}.tmp`)
  const file = await open(temporary, 'w')
  await file.writeFile(Buffer.concat([fileHeader, encodeRecords(payloads)]))
  await file.sync()
  await file.close()
  await rename(temporary, join(folder, name))
  await syncFolder(folder)
}

async function syncFolder (folder: string): Promise<void> {
  const directory = await open(folder, 'r')
  await directory.sync()
  await directory.close()
}

/** A process that was killed may have written what it never synced; what this one reads must outlive a loss of power. */
async function syncSegments (folder: string): Promise<void> {
  for (const number of listNumbers(folder, segmentPattern)) {
    const file = await open(join(folder, segmentName(number)), 'r+')
    await file.sync()
    await file.close()
  }
}
