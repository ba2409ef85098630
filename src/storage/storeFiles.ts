import { open, rename, truncate, unlink, type FileHandle } from 'node:fs/promises'

/** A file that a store has open for appending. Each call may be refused by the disk. */
export interface StoreFile {
  append (bytes: Buffer): Promise<void>
  /** Syncs contents and length. */
  sync (): Promise<void>
  /** Cuts the file off after this many bytes. */
  truncate (bytes: number): Promise<void>
  close (): Promise<void>
}

/** The operations by which a store changes its folder; a test replaces them to make the disk refuse or wait. */
export abstract class StoreFiles {
  /** Opens an empty file; a former one of this path is emptied. */
  abstract create (path: string): Promise<StoreFile>
  /** Opens a file to append to it. */
  abstract open (path: string): Promise<StoreFile>
  abstract rename (from: string, to: string): Promise<void>
  abstract remove (path: string): Promise<void>
  /** Cuts a file off after this many bytes. */
  abstract truncate (path: string, bytes: number): Promise<void>
  /** Makes created, renamed and removed names of a folder durable. */
  abstract syncFolder (folder: string): Promise<void>
}

/** The files of the operating system. */
export class DiskFiles extends StoreFiles {
  override async create (path: string): Promise<StoreFile> { return new DiskFile(await open(path, 'w')) }

  override async open (path: string): Promise<StoreFile> { return new DiskFile(await open(path, 'a')) }

  override async rename (from: string, to: string): Promise<void> { await rename(from, to) }

  override async remove (path: string): Promise<void> { await unlink(path) }

  override async truncate (path: string, bytes: number): Promise<void> { await truncate(path, bytes) }

  override async syncFolder (folder: string): Promise<void> {
    const directory = await open(folder, 'r')
    try {
      await directory.sync()
    } finally {
      await directory.close()
    }
  }
}

class DiskFile implements StoreFile {
  constructor (private readonly handle: FileHandle) {}

  async append (bytes: Buffer): Promise<void> { await this.handle.appendFile(bytes) }

  async sync (): Promise<void> { await this.handle.datasync() }

  async truncate (bytes: number): Promise<void> { await this.handle.truncate(bytes) }

  async close (): Promise<void> { await this.handle.close() }
}
