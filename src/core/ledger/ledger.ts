import type { CatalogueEntry, EntryVersion, Resources } from '../catalogue'
import { Failure } from '../failures'
import { JobBook, type JobBookSnapshot } from '../jobs'
import { Err, Ok, type Result } from '../results'
import { CatalogueBook, type CatalogueSnapshot } from './catalogueBook'
import { ClaimBook } from './claimBook'
import type { LedgerCommand, SubmitTask } from './ledgerCommand'
import type { AcceptedChange, Claim, LedgerReply, TaskRecord, WorkerRecord } from './ledgerRecords'
import { TaskBook, type TaskSnapshot } from './taskBook'

/** The whole ledger as plain data. */
export interface LedgerSnapshot {
  readonly catalogue: CatalogueSnapshot
  readonly claims: readonly Claim[]
  readonly tasks: TaskSnapshot
  readonly jobs: JobBookSnapshot
}

/** Limits of the records that the ledger keeps. Every replica must use the same ones, or their states diverge. */
export interface LedgerOptions {
  /** Number of answers to changes that are remembered for resends. */
  readonly rememberedAnswers: number
  /** Number of ended tasks that can still be read. */
  readonly keptEndedTasks: number
}

const defaultOptions: LedgerOptions = { rememberedAnswers: 10_000, keptEndedTasks: 50_000 }

/** The replicated state machine on which the guarantees of the system rest. It is deterministic: it uses no clock, no randomness and no I/O. */
export class Ledger {
  private readonly catalogue: CatalogueBook
  private readonly claims = new ClaimBook()
  /** Jobs of queues and the manifest; changed only by `apply`. */
  readonly jobs = new JobBook()
  private readonly tasks: TaskBook

  constructor (options: LedgerOptions = defaultOptions) {
    this.catalogue = new CatalogueBook(options.rememberedAnswers)
    this.tasks = new TaskBook(options.keptEndedTasks)
  }

  /** Applies one committed command. A refused command changes no state apart from remembered answers and expired claims. */
  apply (command: LedgerCommand): Result<LedgerReply, Failure> {
    switch (command.type) {
      case 'changeEntry': return this.catalogue.change(command).map(change => ({ type: 'change', change }))
      case 'openClaim': return this.claims.open(command).map(opened => ({ type: 'claim', ...opened }))
      case 'moveClaim': return this.claims.move(command).map(claim => ({ type: 'claim', claim, isNew: true }))
      case 'endClaim': return this.claims.end(command).map(claim => ({ type: 'claim', claim, isNew: false }))
      case 'registerWorker': return this.tasks.registerWorker(command).map(toWorkerReply)
      case 'cordonWorker': return this.tasks.cordonWorker(command).map(toWorkerReply)
      case 'submitTask': return this.submit(command).map(toTaskReply)
      case 'assignTask': return this.tasks.assign(command).map(toTaskReply)
      case 'evictTask': return this.tasks.evict(command).map(toTaskReply)
      case 'releaseTask': return this.tasks.release(command).map(toTaskReply)
      case 'finishTask': return this.tasks.finish(command).map(toTaskReply)
      case 'parkTask': return this.tasks.park(command).map(toTaskReply)
      case 'cancelTask': return this.tasks.cancel(command).map(toTaskReply)
      case 'setQuota':
        this.tasks.setQuota(command)
        return Ok({ type: 'done' })
      case 'changeJobs':
        for (const operation of command.operations) this.jobs.apply(operation)
        return Ok({ type: 'done' })
      case 'noOperation': return Ok({ type: 'done' })
    }
  }

  /** The revision of the newest accepted catalogue change. */
  get revision (): number { return this.catalogue.currentRevision }

  /** The current entry of a name; undefined if it was removed. */
  entry (name: string): CatalogueEntry | undefined { return this.catalogue.find(name) }

  /** The newest version of a name, removed ones included. */
  entryVersion (name: string): EntryVersion | undefined { return this.catalogue.versionOf(name) }

  /** Every version newer than a revision, oldest first. */
  entryVersionsSince (revision: number): readonly EntryVersion[] { return this.catalogue.since(revision) }

  /** The newest remembered catalogue changes, oldest first. */
  changes (): readonly AcceptedChange[] { return this.catalogue.changes() }

  claim (key: string): Claim | undefined { return this.claims.find(key) }

  task (taskId: string): TaskRecord | undefined { return this.tasks.find(taskId) }

  /** Tasks that wait for a worker, oldest first. */
  queuedTasks (): readonly TaskRecord[] { return this.tasks.queued() }

  /** Tasks that have an attempt on a worker. */
  liveTasks (): readonly TaskRecord[] { return this.tasks.live() }

  allTasks (): readonly TaskRecord[] { return this.tasks.all() }

  workers (): readonly WorkerRecord[] { return this.tasks.allWorkers() }

  worker (name: string): WorkerRecord | undefined { return this.tasks.worker(name) }

  /** The resources reserved by tasks on a worker; jobs have their own reservations. */
  reservedOn (worker: string): Resources { return this.tasks.reservedOn(worker) }

  /** The resources reserved by the tasks of an organisation. */
  reservedBy (organisation: string): Resources { return this.tasks.reservedBy(organisation) }

  quota (organisation: string): Resources | undefined { return this.tasks.quotaOf(organisation) }

  /** The ledger as plain data. */
  save (): LedgerSnapshot {
    return { catalogue: this.catalogue.save(), claims: this.claims.save(), tasks: this.tasks.save(), jobs: this.jobs.save() }
  }

  /** Replaces the ledger by a snapshot. */
  load (snapshot: LedgerSnapshot): void {
    this.catalogue.load(snapshot.catalogue)
    this.claims.load(snapshot.claims)
    this.tasks.load(snapshot.tasks)
    this.jobs.load(snapshot.jobs)
  }

  private submit (command: SubmitTask): Result<TaskRecord, Failure> {
    const entry = this.catalogue.find(command.entry)
    const known = this.tasks.find(command.taskId)
    if (known !== undefined) return Ok(known)
    if (entry === undefined) return Err(new Failure('request/unknown-entry', { subject: command.entry }))
    return this.tasks.submit(command, entry.organisation)
  }
}

function toTaskReply (task: TaskRecord): LedgerReply {
  return { type: 'task', task }
}

function toWorkerReply (worker: WorkerRecord): LedgerReply {
  return { type: 'worker', worker }
}
