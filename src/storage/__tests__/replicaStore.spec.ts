import { appendFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import fc from 'fast-check'
import type { LogEntry } from '../../core/consensus'
import { ReplicaStore, readFolder } from '..'

function entryOf (index: number, term = 1): LogEntry {
  return { index, term, payload: `command ${index} of term ${term}` }
}

describe('the store of a replica', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'store-')) })
  afterEach(() => rmSync(folder, { recursive: true, force: true }))

  const open = async (): Promise<ReplicaStore> => (await ReplicaStore.open(folder)).unwrap().store

  function newestSegment (): string {
    return join(folder, readdirSync(folder).filter(name => name.startsWith('segment-')).sort().at(-1) as string)
  }

  it('finds what was synced, truncated and compacted again', async () => {
    const store = await open()
    await store.write({ hardState: { term: 3, votedFor: 'b' }, entries: [entryOf(1), entryOf(2), entryOf(3)] })
    await store.write({ truncateFrom: 3, entries: [entryOf(3, 3)] })
    await store.compact({ index: 2, term: 1, payload: 'state' }, [entryOf(3, 3)])
    await store.write({ entries: [entryOf(4, 3)] })
    await store.close()
    const { stored, store: again } = (await ReplicaStore.open(folder)).unwrap()
    await again.close()
    expect(stored.hardState).to.deep.equal({ term: 3, votedFor: 'b' })
    expect(stored.snapshot).to.deep.equal({ index: 2, term: 1, payload: 'state' })
    expect(stored.entries).to.deep.equal([entryOf(3, 3), entryOf(4, 3)])
    expect([stored.isNew, stored.isDamaged]).to.deep.equal([false, false])
  })

  it('keeps every synced record wherever a later write was torn', async () => {
    await fc.assert(fc.asyncProperty(fc.nat({ max: 60 }), async cut => {
      rmSync(folder, { recursive: true, force: true })
      const store = await open()
      await store.write({ entries: [entryOf(1), entryOf(2)] })
      const path = newestSegment()
      const synced = readFileSync(path).length
      await store.write({ entries: [entryOf(3)] })
      await store.close()
      truncateSync(path, Math.min(readFileSync(path).length - 1, synced + cut))
      const { stored, store: again } = (await ReplicaStore.open(folder)).unwrap()
      await again.write({ entries: [entryOf(3, 2)] })
      await again.close()
      expect(stored.entries).to.deep.equal([entryOf(1), entryOf(2)])
      expect(stored.isDamaged).to.equal(false)
      expect(readFolder(folder).entries).to.deep.equal([entryOf(1), entryOf(2), entryOf(3, 2)])
    }), { seed: 20261203, numRuns: 40 })
  })

  it('takes a write whose first part is missing for a torn one, though its end is whole', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1)] })
    const path = newestSegment()
    const synced = readFileSync(path).length
    await store.write({ entries: [entryOf(2), entryOf(3), entryOf(4)] })
    await store.close()
    const bytes = readFileSync(path)
    bytes.fill(0, synced, bytes.indexOf('command 3'))
    writeFileSync(path, bytes)
    const found = readFolder(folder)
    expect([found.isDamaged, found.entries]).to.deep.equal([false, [entryOf(1)]])
  })

  it('finds the same after a compaction whose removal of older segments was lost', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1), entryOf(2), entryOf(3)] })
    const older = newestSegment()
    const bytes = readFileSync(older)
    await store.compact({ index: 3, term: 1, payload: 'state' }, [])
    await store.compact({ index: 3, term: 1, payload: 'state' }, [])
    await store.write({ entries: [entryOf(4)] })
    await store.close()
    writeFileSync(older, bytes)
    const found = readFolder(folder)
    expect([found.isDamaged, found.entries]).to.deep.equal([false, [entryOf(4)]])
  })

  it('takes over a lock of a process with the id of this one, which a restarted VM may give again', async () => {
    await (await open()).close()
    writeFileSync(join(folder, 'lock'), `${process.pid} unreadable`)
    await (await open()).close()
  })

  it('tells damage before the tail from a torn tail', async () => {
    const store = await open()
    for (const index of [1, 2, 3]) await store.write({ entries: [entryOf(index)] })
    await store.close()
    const path = newestSegment()
    const bytes = readFileSync(path)
    const position = bytes.indexOf('command 2')
    bytes[position] = (bytes[position] ?? 0) ^ 1
    writeFileSync(path, bytes)
    expect(readFolder(folder).isDamaged).to.equal(true)
  })

  it('keeps a second process out, and takes the lock of one that has ended over', async () => {
    const store = await open()
    const second = await ReplicaStore.open(folder)
    expect(second.val).to.include({ code: 'storage/locked' })
    await store.close()
    writeFileSync(join(folder, 'lock'), '999999 1')
    await (await open()).close()
  })

  it('keeps the identity of its folder, and another folder has another one', async () => {
    await (await open()).close()
    const { identity } = readFolder(folder)
    await (await open()).close()
    expect(readFolder(folder).identity).to.equal(identity)
    rmSync(folder, { recursive: true })
    await (await open()).close()
    expect(readFolder(folder).identity).not.to.equal(identity)
  })

  it('closes without a failure when its folder was removed, as a wiped disk does to a process that stops', async () => {
    const store = await open()
    rmSync(folder, { recursive: true })
    await store.close()
    await (await open()).close()
  })

  it('ignores a snapshot which was being written', async () => {
    const store = await open()
    await store.write({ entries: [entryOf(1)] })
    await store.close()
    appendFileSync(join(folder, 'snapshot-0000000000000001.log.tmp'), 'half a snap')
    expect(readFolder(folder).snapshot).to.equal(undefined)
    expect(readFolder(folder).entries).to.deep.equal([entryOf(1)])
  })

  it('knows from its first record on that a new folder may stand for one that was lost, wherever its first life ends', async () => {
    const { stored, store } = (await ReplicaStore.open(folder, { standingOfNew: 'learner' })).unwrap()
    expect(stored.isNew).to.equal(true)
    await store.close()
    const { isNew, hardState } = readFolder(folder)
    expect([isNew, hardState]).to.deep.equal([false, { term: 0, standing: 'learner' }])
  })

  it('keeps the standing of a folder that is not new', async () => {
    const store = await open()
    await store.write({ hardState: { term: 2, votedFor: 'a', standing: 'voter' }, entries: [] })
    await store.close()
    await (await ReplicaStore.open(folder, { standingOfNew: 'learner' })).unwrap().store.close()
    expect(readFolder(folder).hardState).to.deep.equal({ term: 2, votedFor: 'a', standing: 'voter' })
  })
})
