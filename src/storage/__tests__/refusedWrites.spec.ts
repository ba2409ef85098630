import { mkdtempSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import fc from 'fast-check'
import type { LogEntry } from '../../core/consensus'
import { ReplicaStore, readFolder, type StoredReplica } from '..'
import { UnreliableFiles, type DiskOperation } from './unreliableFiles'

function entryOf (index: number, term = 1): LogEntry {
  return { index, term, payload: `command ${index} of term ${term}` }
}

async function codeOf (action: Promise<unknown>): Promise<string> {
  return await action.then(() => 'done', (error: { readonly code?: string }) => String(error.code))
}

describe('the store of a replica on a disk that refuses', () => {
  let folder: string
  let files: UnreliableFiles

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'refused-'))
    files = new UnreliableFiles()
  })
  afterEach(() => rmSync(folder, { recursive: true, force: true }))

  const open = async (): Promise<ReplicaStore> => (await ReplicaStore.open(folder, { files })).unwrap().store

  function found (): Pick<StoredReplica, 'hardState' | 'entries' | 'isDamaged'> {
    const { hardState, entries, isDamaged } = readFolder(folder)
    return { hardState, entries, isDamaged }
  }

  it('keeps what was synced, and nothing of a refused append, wherever that was torn', async () => {
    await fc.assert(fc.asyncProperty(fc.nat({ max: 120 }), async tornBytes => {
      rmSync(folder, { recursive: true, force: true })
      files.empty()
      const store = await open()
      await store.write({ hardState: { term: 1 }, entries: [entryOf(1)] })
      files.tornBytes = tornBytes
      files.fill()
      expect(await codeOf(store.write({ hardState: { term: 2, votedFor: 'b' }, entries: [entryOf(2)] }))).to.equal('storage/write-failed')
      expect(found()).to.deep.equal({ hardState: { term: 1 }, entries: [entryOf(1)], isDamaged: false })
      files.empty()
      await store.write({ entries: [entryOf(2, 3)] })
      await store.close()
      expect(found()).to.deep.equal({ hardState: { term: 1 }, entries: [entryOf(1), entryOf(2, 3)], isDamaged: false })
    }), { seed: 20261204, numRuns: 40 })
  })

  it('cuts a torn append off before the next write, if the disk refused that at once', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1)] })
    files.tornBytes = 30
    files.refuses = operation => operation === 'append' || operation === 'truncate'
    expect(await codeOf(store.write({ entries: [entryOf(2)] }))).to.equal('storage/write-failed')
    files.refuses = operation => operation === 'truncate'
    expect(await codeOf(store.write({ entries: [entryOf(2)] }))).to.equal('storage/write-failed')
    files.empty()
    await store.write({ entries: [entryOf(2, 4)] })
    await store.close()
    expect(found()).to.deep.equal({ hardState: { term: 0 }, entries: [entryOf(1), entryOf(2, 4)], isDamaged: false })
  })

  it('takes back a write whose sync failed, as nobody knows what of it is on disk', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1)] })
    files.refuses = operation => operation === 'sync'
    expect(await codeOf(store.write({ entries: [entryOf(2)] }))).to.equal('storage/write-failed')
    files.empty()
    expect((await store.recover()).entries).to.deep.equal([entryOf(1)])
    await store.close()
  })

  it('does not keep a vote that was refused, also not by way of a later compaction', async () => {
    const store = await open()
    await store.write({ hardState: { term: 3 }, entries: [entryOf(1, 3)] })
    files.fill()
    expect(await codeOf(store.write({ hardState: { term: 4, votedFor: 'c' }, entries: [] }))).to.equal('storage/write-failed')
    files.empty()
    await store.compact({ index: 1, term: 3, payload: 'state' }, [])
    await store.close()
    expect(found()).to.deep.equal({ hardState: { term: 3 }, entries: [], isDamaged: false })
  })

  const compactionFaults: ReadonlyArray<readonly [name: string, operation: DiskOperation, path: RegExp]> = [
    ['a snapshot', 'append', /snapshot/],
    ['the rename of a snapshot', 'rename', /snapshot/],
    ['a new segment', 'append', /segment-0+2/],
    ['the rename of a new segment', 'rename', /segment/],
    ['a sync of the folder', 'syncFolder', /./],
    ['the removal of an old segment', 'remove', /segment-0+1/]
  ]
  for (const [name, refused, path] of compactionFaults) {
    it(`loses nothing when the disk refuses ${name} of a compaction`, async () => {
      const store = await open()
      await store.write({ hardState: { term: 2 }, entries: [entryOf(1), entryOf(2), entryOf(3)] })
      files.refuses = (operation, where) => operation === refused && path.test(where)
      expect(await codeOf(store.compact({ index: 2, term: 1, payload: 'state' }, [entryOf(3)]))).to.equal('storage/write-failed')
      files.empty()
      await store.write({ entries: [entryOf(4)] })
      await store.close()
      const stored = readFolder(folder)
      const begin = stored.snapshot?.index ?? 0
      expect(stored.entries.map(entry => entry.index)).to.deep.equal([1, 2, 3, 4].filter(index => index > begin))
      expect([stored.isDamaged, stored.hardState]).to.deep.equal([false, { term: 2 }])
    })
  }

  it('finds all writes after a compaction whose new segment could not be removed at once', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1), entryOf(2)] })
    let isRenamed = false
    files.refuses = (operation, path) => {
      isRenamed ||= operation === 'rename' && path.includes('segment')
      return isRenamed && (operation === 'syncFolder' || operation === 'remove')
    }
    expect(await codeOf(store.compact({ index: 1, term: 1, payload: 'state' }, [entryOf(2)]))).to.equal('storage/write-failed')
    expect(await codeOf(store.write({ entries: [entryOf(3)] }))).to.equal('storage/write-failed')
    files.empty()
    await store.write({ entries: [entryOf(3)] })
    await store.close()
    expect(found().entries).to.deep.equal([entryOf(2), entryOf(3)])
  })

  it('can be opened once a disk that refused the identity of its folder has room, and keeps its standing', async () => {
    files.fill()
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const refused = await ReplicaStore.open(folder, { files, standingOfNew: 'learner' })
      expect(refused.val).to.include({ code: 'storage/write-failed' })
    }
    files.empty()
    const { store, stored } = (await ReplicaStore.open(folder, { files, standingOfNew: 'learner' })).unwrap()
    await store.close()
    expect([stored.isNew, stored.hardState]).to.deep.equal([true, { term: 0, standing: 'learner' }])
    expect(readdirSync(folder).filter(name => name.endsWith('.log'))).to.have.length(1)
  })

  it('keeps identity, vote and log when a disk refuses the segment of a later life', async () => {
    const store = await open()
    await store.write({ hardState: { term: 5, votedFor: 'a' }, entries: [entryOf(1, 5)] })
    await store.close()
    const { identity } = readFolder(folder)
    files.fill()
    expect((await ReplicaStore.open(folder, { files })).val).to.include({ code: 'storage/write-failed' })
    files.empty()
    await (await open()).close()
    expect([readFolder(folder).identity, found()]).to.deep.equal([identity, { hardState: { term: 5, votedFor: 'a' }, entries: [entryOf(1, 5)], isDamaged: false }])
  })
})
