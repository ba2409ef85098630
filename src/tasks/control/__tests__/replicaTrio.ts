import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Envelope } from '../../../core/consensus'
import type { LedgerCommand } from '../../../core/ledger'
import { createLogger } from '../../../observability'
import { ReplicaStore, readFolder, type StoredReplica } from '../../../storage'
import { UnreliableFiles } from '../../../storage/__tests__/unreliableFiles'
import { waitFor } from '../../../wiring/__tests__/siteFixture'
import { ReplicaTask } from '../replicaTask'

/** One replica of a group of three, with its own disk. */
export interface TrioReplica {
  readonly name: string
  readonly files: UnreliableFiles
  readonly task: ReplicaTask
  /** Log lines of the replica. */
  readonly lines: readonly string[]
}

/** Options of a group of three replicas. */
export interface TrioOptions {
  /** Number of applied entries after which a snapshot is written; 1000 by default. */
  readonly snapshotAfter?: number
  readonly snapshotAfterCharacters?: number
  /** Minimum time without a leader before an election, in milliseconds; 150 by default. */
  readonly electionTimeoutMs?: number
}

const names = ['a', 'b', 'c'] as const

/** Three control replicas with separate disks, connected in memory. */
export class ReplicaTrio {
  readonly replicas: TrioReplica[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'trio-'))
  private nextJob = 1

  constructor (private readonly options: TrioOptions = {}) {}

  /** Starts all replicas and waits for a leader. */
  async start (): Promise<void> {
    for (const name of names) await this.startOne(name)
    await waitFor(() => this.leader !== undefined)
  }

  /** The replica that leads and has recently heard from a quorum; undefined if there is none. */
  get leader (): TrioReplica | undefined { return this.replicas.find(({ task }) => task.hasActiveQuorum()) }

  /** A replica that does not lead; throws if there is none. */
  get follower (): TrioReplica {
    const found = this.replicas.find(({ task }) => !task.isLeader)
    if (found === undefined) throw new Error('all replicas lead')
    return found
  }

  /** Proposes one command of at least this many characters at a replica; false if the replica reports a failure. */
  async propose ({ task }: TrioReplica, characters = 0): Promise<boolean> {
    const command: LedgerCommand = { type: 'changeJobs', operations: [{ type: 'cancelJob', jobId: String(this.nextJob++).padStart(characters), at: 0 }] }
    return await new Promise(resolve => task.mailbox.post({ type: 'propose', command, reply: outcome => resolve(outcome.ok) }))
  }

  /** Commits a command through the current leader and retries until that succeeds. */
  async commit (characters = 0): Promise<void> {
    await waitFor(async () => this.leader !== undefined && await this.propose(this.leader, characters))
  }

  /** Whether a linearizable read at a replica succeeds. */
  async read ({ task }: TrioReplica): Promise<boolean> {
    return await new Promise(resolve => task.mailbox.post({ type: 'read', reply: outcome => resolve(outcome.ok) }))
  }

  /** The state on the disk of a replica. */
  storedBy ({ name }: TrioReplica): StoredReplica { return readFolder(join(this.folder, name)) }

  /** Size of the files of a replica, in bytes. */
  storedSizeOf ({ name }: TrioReplica): number {
    return readdirSync(join(this.folder, name)).reduce((sum, file) => sum + statSync(join(this.folder, name, file)).size, 0)
  }

  async stop (): Promise<void> {
    for (const { task, files } of this.replicas) {
      files.empty()
      task.mailbox.offer({ type: 'stop' })
    }
    await Promise.all(this.replicas.map(async ({ task }) => await task.closed))
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async startOne (name: string): Promise<void> {
    const files = new UnreliableFiles()
    const lines: string[] = []
    const { store, stored } = (await ReplicaStore.open(join(this.folder, name), { files })).unwrap()
    const task = new ReplicaTask({
      replica: { id: name, members: names, electionTimeoutMs: this.options.electionTimeoutMs ?? 150, heartbeatMs: 20, random: Math.random, mayHaveLostVotes: false },
      store,
      stored,
      snapshotAfter: this.options.snapshotAfter ?? 1000,
      snapshotAfterCharacters: this.options.snapshotAfterCharacters ?? 1_000_000,
      now: () => performance.now(),
      send: envelope => this.deliver(name, envelope),
      onApplied: () => {},
      onLeadership: () => {},
      onStorage: () => {},
      logger: createLogger({ level: 'info', write: line => lines.push(line) })
    })
    this.replicas.push({ name, files, task, lines })
  }

  private deliver (from: string, { to, message }: Envelope): void {
    const target = this.replicas.find(replica => replica.name === to)
    setImmediate(() => target?.task.mailbox.offer({ type: 'deliver', from, messages: [message] }))
  }
}
