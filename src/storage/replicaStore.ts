import { mkdirSync, readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { randomUUID } from 'node:crypto'
import type { DurableChange, HardState, LogEntry, StateSnapshot } from '../core/consensus'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import { lockFolder, type FolderLock } from './folderLock'
import { decodeRecords, encodeRecords, fileHeader } from './recordFile'
import { DiskFiles, type StoreFile, type StoreFiles } from './storeFiles'

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
  /** How the folder is changed; by the files of the operating system, if absent. */
  readonly files?: StoreFiles
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

/** A log segment which is being appended to. */
interface OpenSegment {
  readonly file: StoreFile
  readonly number: number
  /** Where its last synced write ends. */
  readonly goodBytes: number
}

/**
 * The files of one replica: log segments and snapshots in one folder. The disk may refuse a write or a sync at any time;
 * what a refused one left behind is removed before the next write.
 */
export class ReplicaStore {
  /** What a failed write left behind, to be undone before the next one. */
  private readonly repairs: Array<() => Promise<void>> = []

  private constructor (
    private readonly folder: string,
    private readonly lock: FolderLock,
    private readonly files: StoreFiles,
    private segment: OpenSegment,
    private readonly identity: string,
    /** The newest one which is synced. */
    private hardState: HardState
  ) {}

  /** Opens a folder, makes it if needed, and cuts a torn tail off. */
  static async open (folder: string, { standingOfNew, files = new DiskFiles() }: ReplicaStoreOptions = {}): Promise<Result<{ readonly store: ReplicaStore, readonly stored: StoredReplica }, Failure>> {
    const lock = takeFolder(folder)
    if (!lock.ok) return lock
    try {
      const stored = readFolder(folder)
      await cutTornTail(folder, files)
      await syncSegments(folder, files)
      const number = (listNumbers(folder, segmentPattern).at(-1) ?? 0) + 1
      const hardState: HardState = stored.isNew && standingOfNew !== undefined ? { ...stored.hardState, standing: standingOfNew } : stored.hardState
      const segment = await createSegment(folder, files, number, [{ kind: 'identity', identity: stored.identity }, { kind: 'hardState', hardState }])
      return Ok({ store: new ReplicaStore(folder, lock.val, files, segment, stored.identity, hardState), stored: { ...stored, hardState } })
    } catch (error) {
      lock.val.release()
      return Err(toWriteFailure(error, folder))
    }
  }

  /** Syncs a change to disk; rejects with a Failure. Nothing that depends on a failed change may be answered. */
  async write (change: DurableChange): Promise<void> {
    try {
      await this.repair()
      if (change.snapshot !== undefined) await this.writeSnapshot(change.snapshot)
      await this.append(encode([{ kind: 'batch', records: recordsOf(change) }]))
    } catch (error) {
      throw toWriteFailure(error, this.folder)
    }
    if (change.hardState !== undefined) this.hardState = change.hardState
  }

  /** Writes a snapshot and starts a new segment, which holds the entries after it; rejects with a Failure and goes on with the former segment. */
  async compact (snapshot: StateSnapshot, rest: readonly LogEntry[]): Promise<void> {
    try {
      await this.repair()
      await this.writeSnapshot(snapshot)
      const former = this.segment
      this.segment = await this.createNext(rest)
      await former.file.close()
      await this.removeOlder(snapshot.index)
    } catch (error) {
      throw toWriteFailure(error, this.folder)
    }
  }

  /** Finds out whether the disk takes writes again, and returns what is synced; rejects with a Failure while it doesn't. */
  async recover (): Promise<StoredReplica> {
    await this.write({ hardState: this.hardState, entries: [] })
    return readFolder(this.folder)
  }

  /** Closes the files and gives the lock back. */
  async close (): Promise<void> {
    await this.segment.file.close()
    this.lock.release()
  }

  /** A good record after a torn one would be taken for damage, so a torn one is cut off at once or before the next write. */
  private async append (bytes: Buffer): Promise<void> {
    const { file, goodBytes } = this.segment
    try {
      await file.append(bytes)
      await file.sync()
    } catch (error) {
      this.repairs.push(async () => await file.truncate(goodBytes))
      await this.tryRepair()
      throw error
    }
    this.segment = { ...this.segment, goodBytes: goodBytes + bytes.length }
  }

  /** A segment that begins anew would hide what is appended to the former one, so none stays that isn't used. */
  private async createNext (rest: readonly LogEntry[]): Promise<OpenSegment> {
    const number = this.segment.number + 1
    try {
      return await createSegment(this.folder, this.files, number, [
        { kind: 'begin' },
        { kind: 'identity', identity: this.identity },
        { kind: 'hardState', hardState: this.hardState },
        ...rest.map(entry => ({ kind: 'entry' as const, entry }))
      ])
    } catch (error) {
      this.repairs.push(async () => {
        if (readdirSync(this.folder).includes(segmentName(number))) await this.files.remove(join(this.folder, segmentName(number)))
        await this.files.syncFolder(this.folder)
      })
      await this.tryRepair()
      throw error
    }
  }

  private async repair (): Promise<void> {
    for (let undo = this.repairs[0]; undo !== undefined; undo = this.repairs[0]) {
      await undo()
      this.repairs.shift()
    }
  }

  private async tryRepair (): Promise<void> {
    try {
      await this.repair()
    } catch {
      // The write failed anyway, and the next one begins with the repair.
    }
  }

  private async writeSnapshot (snapshot: StateSnapshot): Promise<void> {
    const name = `snapshot-${String(snapshot.index).padStart(16, '0')}.log`
    await writeWhole(this.folder, this.files, name, [JSON.stringify(snapshot)])
  }

  private async removeOlder (snapshotIndex: number): Promise<void> {
    for (const name of readdirSync(this.folder)) {
      const segment = segmentPattern.exec(name)
      const snapshot = snapshotPattern.exec(name)
      const isOld = (segment !== null && Number(segment[1]) < this.segment.number) ||
        (snapshot !== null && Number(snapshot[1]) < snapshotIndex)
      if (isOld) await this.files.remove(join(this.folder, name))
    }
    await this.files.syncFolder(this.folder)
  }
}

function takeFolder (folder: string): Result<FolderLock, Failure> {
  try {
    mkdirSync(folder, { recursive: true })
  } catch (error) {
    return Err(toWriteFailure(error, folder))
  }
  return lockFolder(folder)
}

function toWriteFailure (error: unknown, folder: string): Failure {
  return error instanceof Failure ? error : new Failure('storage/write-failed', { subject: folder, got: String(error) })
}

function recordsOf ({ hardState, truncateFrom, entries }: DurableChange): readonly StoredRecord[] {
  return [
    ...(hardState === undefined ? [] : [{ kind: 'hardState' as const, hardState }]),
    ...(truncateFrom === undefined ? [] : [{ kind: 'truncate' as const, from: truncateFrom }]),
    ...entries.map(entry => ({ kind: 'entry' as const, entry }))
  ]
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
async function cutTornTail (folder: string, files: StoreFiles): Promise<void> {
  const newest = listNumbers(folder, segmentPattern).at(-1)
  if (newest === undefined) return
  const path = join(folder, segmentName(newest))
  const bytes = readFileSync(path)
  const read = decodeRecords(bytes)
  if (!read.isDamaged && read.goodBytes < bytes.length) await files.truncate(path, read.goodBytes)
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

async function createSegment (folder: string, files: StoreFiles, number: number, records: readonly StoredRecord[]): Promise<OpenSegment> {
  const path = join(folder, segmentName(number))
  await writeWhole(folder, files, segmentName(number), records.map(record => JSON.stringify(record)))
  return { file: await files.open(path), number, goodBytes: statSync(path).size }
}

/** Writes a file so that it is either there whole or not at all. */
async function writeWhole (folder: string, files: StoreFiles, name: string, payloads: readonly string[]): Promise<void> {
  const temporary = join(folder, `${name}.tmp`)
  const file = await files.create(temporary)
  try {
    await file.append(Buffer.concat([fileHeader, encodeRecords(payloads)]))
    await file.sync()
  } catch (error) {
    // What a full disk took of it would keep the room from others.
    await file.truncate(0).catch(ignoreRefusal)
    throw error
  } finally {
    await file.close()
  }
  await files.rename(temporary, join(folder, name))
  await files.syncFolder(folder)
}

/** The failure of the write itself is reported. */
function ignoreRefusal (): void {}

/** A process that was killed may have written what it never synced; what this one reads must outlive a loss of power. */
async function syncSegments (folder: string, files: StoreFiles): Promise<void> {
  for (const number of listNumbers(folder, segmentPattern)) {
    const file = await files.open(join(folder, segmentName(number)))
    try {
      await file.sync()
    } finally {
      await file.close()
    }
  }
}
