import { DiskFiles, type StoreFile } from '..'

/** What a store asks of its disk. */
export type DiskOperation = 'create' | 'append' | 'sync' | 'rename' | 'remove' | 'truncate' | 'syncFolder'

/** The files of the operating system behind a disk which a spec lets refuse or wait. */
export class UnreliableFiles extends DiskFiles {
  /** Whether the disk refuses an operation on a path now. */
  refuses: (operation: DiskOperation, path: string) => boolean = () => false
  /** What each write and sync waits for. */
  delay: () => Promise<void> = async () => {}
  /** Bytes of a refused append that reach the file all the same. */
  tornBytes = 0

  /** Lets the disk refuse every write, as a full one does. */
  fill (): void { this.refuses = operation => operation === 'append' || operation === 'create' }

  /** Gives the disk room again. */
  empty (): void { this.refuses = () => false }

  override async create (path: string): Promise<StoreFile> {
    this.check('create', path)
    return this.wrap(path, await super.create(path))
  }

  override async open (path: string): Promise<StoreFile> { return this.wrap(path, await super.open(path)) }

  override async rename (from: string, to: string): Promise<void> {
    this.check('rename', to)
    await super.rename(from, to)
  }

  override async remove (path: string): Promise<void> {
    this.check('remove', path)
    await super.remove(path)
  }

  override async truncate (path: string, bytes: number): Promise<void> {
    this.check('truncate', path)
    await super.truncate(path, bytes)
  }

  override async syncFolder (folder: string): Promise<void> {
    this.check('syncFolder', folder)
    await super.syncFolder(folder)
  }

  private wrap (path: string, file: StoreFile): StoreFile {
    return {
      append: async bytes => {
        await this.delay()
        if (this.refuses('append', path)) {
          await file.append(bytes.subarray(0, this.tornBytes))
          throw new Error('ENOSPC: no space left on device')
        }
        await file.append(bytes)
      },
      sync: async () => {
        await this.delay()
        this.check('sync', path)
        await file.sync()
      },
      truncate: async bytes => {
        this.check('truncate', path)
        await file.truncate(bytes)
      },
      close: async () => await file.close()
    }
  }

  private check (operation: DiskOperation, path: string): void {
    if (this.refuses(operation, path)) throw new Error(`${operation} refused: ${path}`)
  }
}
