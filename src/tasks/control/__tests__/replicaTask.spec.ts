import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import type { DurableChange } from '../../../core/consensus'
import { Failure } from '../../../core/failures'
import { createLogger } from '../../../observability'
import { ReplicaStore } from '../../../storage'
import { waitFor } from '../../../wiring/__tests__/siteFixture'
import { ReplicaTask } from '../replicaTask'

describe('the task of a replica', () => {
  let folder: string
  let store: ReplicaStore
  let fatal: Failure | undefined
  let task: ReplicaTask

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'replica-task-'))
    const opened = (await ReplicaStore.open(folder)).unwrap()
    store = opened.store
    fatal = undefined
    task = new ReplicaTask({
      replica: { id: 'a', members: ['a'], electionTimeoutMs: 50, heartbeatMs: 10, random: () => 0, mayHaveForgotten: false },
      store,
      stored: opened.stored,
      snapshotAfter: 1000,
      now: () => performance.now(),
      send: () => {},
      onApplied: () => {},
      onLeadership: () => {},
      onFatal: failure => { fatal = failure },
      logger: createLogger({ level: 'error', write: () => {} })
    })
    await waitFor(() => task.isLeader)
  })

  afterEach(async () => {
    task.mailbox.offer({ type: 'stop' })
    // A task whose disk failed has ended already and leaves its files as they are.
    if (fatal === undefined) await task.closed
    rmSync(folder, { recursive: true, force: true })
  })

  it('answers nothing and ends the process when its disk refuses a write', async () => {
    const answers: unknown[] = []
    store.write = async () => { throw new Failure('storage/write-failed', { got: 'ENOSPC' }) }
    task.mailbox.post({ type: 'propose', command: { type: 'changeJobs', operations: [] }, reply: outcome => answers.push(outcome) })
    await waitFor(() => fatal !== undefined)
    expect(fatal?.code).to.equal('storage/write-failed')
    expect(answers).to.deep.equal([])
  })

  it('answers nothing while its disk hangs, and answers once the write is synced', async () => {
    const write = store.write.bind(store)
    let release = (): void => {}
    const hangs = new Promise<void>(resolve => { release = resolve })
    let isWriting = false
    store.write = async (change: DurableChange) => {
      isWriting = true
      await hangs
      await write(change)
    }
    const answers: unknown[] = []
    task.mailbox.post({ type: 'propose', command: { type: 'changeJobs', operations: [] }, reply: outcome => answers.push(outcome.ok) })
    await waitFor(() => isWriting)
    expect(answers).to.deep.equal([])
    release()
    await waitFor(() => answers.length > 0)
    expect(answers).to.deep.equal([true])
  })

  it('handles every message, also when more have come than it takes for one sync', async () => {
    const count = 5000
    const committed: number[] = []
    await new Promise<void>(resolve => {
      for (let number = 0; number < count; number += 1) {
        const reply = (): void => {
          committed.push(number)
          if (number === count - 1) resolve()
        }
        task.mailbox.post({ type: 'propose', command: { type: 'changeJobs', operations: [] }, reply })
      }
    })
    expect(committed).to.deep.equal(Array.from({ length: count }, (_, number) => number))
  })
})
