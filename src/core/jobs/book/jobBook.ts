import { BoundedMap } from '../../boundedMap'
import type { Resources } from '../../catalogue'
import { addResources, noResources, subtractResources } from '../../ledger/resources'
import { EarlyCancels, type EarlyCancel } from './earlyCancels'
import { countOccurrences, nameTask, reservationOf, shownStateOf, type Job, type JobState, type JobTask, type Step } from './job'
import { addCrash, addStart, isSuspect, withdrawStart } from '../crashes'
import type { AcceptJob, AssignRun, BeginJobs, CancelJob, ClearSuspicion, EndRun, JobOperation, LearnPressures, ReleaseRun, StartEvacuation } from './jobOperation'
import type { Manifest } from './manifest'
import { maximumPairs, pairOf, type ImagePressure } from './imagePressure'

type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key] }
type MutableTask = Mutable<JobTask>
type MutableJob = Mutable<Omit<Job, 'tasks'>> & { readonly tasks: MutableTask[] }

/** An availability zone in which no task may start. */
export interface Evacuation {
  readonly zone: string
  /** Wall-clock time of the leader that started it, in milliseconds. */
  readonly at: number
}

/** Snapshot of the job book as plain data. */
export interface JobBookSnapshot {
  readonly manifest?: Manifest | undefined
  readonly jobs: readonly Job[]
  /** Ended jobs in the order of their ends; absent in snapshots of earlier versions. */
  readonly ended?: readonly string[]
  /** Learned pressures of image pairs; absent in snapshots of earlier versions. */
  readonly pressures?: readonly ImagePressure[]
  /** Evacuated zones in the order of their evacuations; absent in snapshots of earlier versions. */
  readonly evacuations?: readonly Evacuation[]
  /** Cancels of unknown jobs, the oldest first; absent in snapshots of earlier versions. */
  readonly earlyCancels?: readonly EarlyCancel[]
}

/** The tasks of one step in one occurrence. */
export interface StepTasks {
  readonly job: Job
  readonly step: Step
  readonly stepNumber: number
  readonly occurrence: number
  readonly tasks: readonly JobTask[]
}

/** How long an ended job stays readable and is recognized when it is submitted again, in milliseconds; longer than any limit in the deployments. */
const endedJobRetentionMs = 600_000

/**
 * Replicated state machine of the jobs, their runs and the manifest. It is deterministic: the same operations give the
 * same book, and an operation that would violate an invariant changes nothing.
 */
export class JobBook {
  private currentManifest: Manifest | undefined
  private readonly jobs = new Map<string, MutableJob>()
  /** Jobs that have not ended, in the order of their acceptance. */
  private readonly open = new Set<MutableJob>()
  private readonly liveByWorker = new Map<string, Map<string, MutableTask>>()
  private readonly reserved = new Map<string, Resources>()
  /** Number of suspects of crashes that run on each boot of a worker; absent for none. */
  private readonly suspectsByWorker = new Map<string, number>()
  /** Number of changes of the runs of workers so far. */
  private changes = 0
  /** Number of the newest change of each worker that has runs. */
  private readonly changeByWorker = new Map<string, number>()
  /** Ids of ended jobs in the order of their ends; the oldest are removed first. */
  private readonly ended: string[] = []
  private readonly learnedPressures = new BoundedMap<string, ImagePressure>(maximumPairs)
  private readonly evacuations = new Map<string, Evacuation>()
  private readonly earlyCancels = new EarlyCancels()

  /** The manifest in force. */
  get manifest (): Manifest | undefined { return this.currentManifest }

  /** Learned pressures of image pairs, the oldest first. */
  get pressures (): readonly ImagePressure[] { return [...this.learnedPressures.values()] }

  /** Evacuations by availability zone. */
  get evacuatedZones (): ReadonlyMap<string, Evacuation> { return this.evacuations }

  job (jobId: string): Job | undefined { return this.jobs.get(jobId) }

  /** Whether an unknown job was cancelled before its submission arrived; `at` is the wall-clock time in milliseconds. */
  wasCancelledEarly (jobId: string, at: number): boolean { return this.earlyCancels.has(jobId, at) }

  /** Jobs that have not ended, in the order of their acceptance. */
  openJobs (): Iterable<Job> { return this.open }

  /** Number of open jobs of a queue of which no worker has confirmed a run yet. */
  countQueued (queueName: string): number {
    let count = 0
    for (const job of this.open) if (shownStateOf(job) === 'queued' && job.queue.name === queueName) count += 1
    return count
  }

  task (name: string): JobTask | undefined { return this.findTask(name) }

  /** The step of a task, found by the name of the task; undefined if its job or step is unknown. */
  stepOf (task: string): Step | undefined {
    const [jobId, , step] = task.split('.')
    return this.jobs.get(jobId ?? '')?.steps[Number(step)]
  }

  /** The boots of workers that have live tasks. */
  workersWithRuns (): Iterable<string> { return this.liveByWorker.keys() }

  /** The live tasks of a boot of a worker, by name. */
  liveOn (worker: string): ReadonlyMap<string, JobTask> { return this.liveByWorker.get(worker) ?? noTasks }

  /** Resources reserved on a boot of a worker. */
  reservedOn (worker: string): Resources { return this.reserved.get(worker) ?? noResources }

  /** Whether a suspect of crashes runs on a boot of a worker. */
  hasSuspectOn (worker: string): boolean { return this.suspectsByWorker.has(worker) }

  /** Names of the tasks of open jobs that had a share in crashes. */
  * suspects (): Iterable<string> {
    for (const { tasks } of this.open) for (const task of tasks) if (task.suspicion !== undefined) yield nameTask(task)
  }

  /** A number that changes whenever the runs of a boot of a worker change; undefined while it has none. */
  lastChangeOn (worker: string): number | undefined { return this.changeByWorker.get(worker) }

  /** Steps with waiting tasks whose dependencies are done, regardless of the due time of the occurrence. */
  startableSteps (job: Job): readonly StepTasks[] {
    const found: StepTasks[] = []
    for (let occurrence = 0; occurrence < countOccurrences(job); occurrence += 1) {
      job.steps.forEach((step, stepNumber) => {
        const tasks = tasksOf(job, occurrence, stepNumber)
        if (!tasks.some(task => task.state === 'waiting')) return
        if (step.dependsOn.some(earlier => !isStepDone(job, occurrence, earlier))) return
        found.push({ job, step, stepNumber, occurrence, tasks })
      })
    }
    return found
  }

  /** Applies an operation. Returns whether it changed anything. */
  apply (operation: JobOperation): boolean {
    switch (operation.type) {
      case 'putManifest': return this.putManifest(operation.manifest)
      case 'acceptJob': return this.accept(operation)
      case 'cancelJob': return this.cancel(operation)
      case 'assignRun': return this.assign(operation)
      case 'beginJobs': return this.beginAll(operation)
      case 'endRun': return this.end(operation)
      case 'releaseRun': return this.release(operation)
      case 'clearSuspicion': return this.clear(operation)
      case 'learnPressures': return this.learn(operation)
      case 'startEvacuation': return this.evacuate(operation)
      case 'endEvacuation': return this.evacuations.delete(operation.zone)
    }
  }

  save (): JobBookSnapshot {
    return { ...(this.currentManifest === undefined ? {} : { manifest: this.currentManifest }), jobs: [...this.jobs.values()].map(compactEndedJob), ended: [...this.ended], pressures: this.pressures, evacuations: [...this.evacuations.values()], earlyCancels: this.earlyCancels.save() }
  }

  load (snapshot: JobBookSnapshot): void {
    this.currentManifest = snapshot.manifest
    for (const index of [this.jobs, this.open, this.liveByWorker, this.reserved, this.changeByWorker, this.suspectsByWorker]) index.clear()
    this.ended.length = 0
    for (const job of snapshot.jobs) this.restore(job)
    this.learnedPressures.clear()
    this.learn({ type: 'learnPressures', pressures: snapshot.pressures ?? [] })
    this.evacuations.clear()
    for (const evacuation of snapshot.evacuations ?? []) this.evacuations.set(evacuation.zone, evacuation)
    this.earlyCancels.load(snapshot.earlyCancels ?? [])
    // End times come from the clocks of several leaders, so only the order in the log is the same on every replica.
    if (snapshot.ended !== undefined) this.ended.splice(0, this.ended.length, ...snapshot.ended)
    else this.ended.sort((a, b) => (this.jobs.get(a)?.endedAt ?? 0) - (this.jobs.get(b)?.endedAt ?? 0))
  }

  private restore (stored: Job): void {
    const job: MutableJob = { ...stored, tasks: stored.tasks.map(task => ({ ...task })) }
    this.jobs.set(job.jobId, job)
    if (job.endedAt === undefined) this.open.add(job)
    else this.ended.push(job.jobId)
    for (const task of job.tasks) if (task.state === 'live') this.reserve(job, task)
  }

  private putManifest (manifest: Manifest): boolean {
    if (this.currentManifest !== undefined && manifest.version <= this.currentManifest.version) return false
    this.currentManifest = manifest
    return true
  }

  private accept ({ submission, queue, at }: AcceptJob): boolean {
    this.forgetEndedBefore(at - endedJobRetentionMs)
    if (this.jobs.has(submission.jobId)) return false
    const { jobId, spec, steps, schedule, originZone } = submission
    const job: MutableJob = {
      jobId, queue, spec, steps, acceptedAt: at, state: 'queued', tasks: createTasks(submission), ...(schedule === undefined ? {} : { schedule }), ...(originZone === undefined ? {} : { originZone })
    }
    this.jobs.set(jobId, job)
    this.open.add(job)
    this.completeIfDone(job, at)
    return true
  }

  private cancel ({ jobId, at, failedTask }: CancelJob): boolean {
    const job = this.jobs.get(jobId)
    if (job === undefined) return failedTask === undefined && this.earlyCancels.add({ jobId, at })
    if (job.endedAt !== undefined) return false
    this.earlyCancels.delete(jobId)
    this.finish(job, failedTask === undefined ? 'cancelled' : 'failed', at)
    return true
  }

  private assign ({ task: name, run, worker }: AssignRun): boolean {
    const task = this.findTask(name)
    const job = task === undefined ? undefined : this.jobs.get(task.jobId)
    if (task === undefined || job === undefined || job.endedAt !== undefined) return false
    if (task.state !== 'waiting' || run !== task.run + 1) return false
    task.state = 'live'
    task.run = run
    task.worker = worker
    if (task.suspicion !== undefined) task.suspicion = addStart(task.suspicion)
    if (job.state === 'queued') job.state = 'active'
    this.reserve(job, task)
    return true
  }

  private beginAll ({ jobIds }: BeginJobs): boolean {
    const begun = jobIds.map(jobId => this.jobs.get(jobId)).filter(job => job !== undefined && job.endedAt === undefined && job.hasBegun !== true)
    for (const job of begun) if (job !== undefined) job.hasBegun = true
    return begun.length > 0
  }

  private end (operation: EndRun): boolean {
    const task = this.findLive(operation)
    const job = task === undefined ? undefined : this.jobs.get(task.jobId)
    if (task === undefined || job === undefined) return false
    this.unreserve(job, task)
    job.hasBegun = true
    if (operation.checkpoint !== '') task.checkpoint = operation.checkpoint
    const isLongRunning = job.steps[task.step]?.isLongRunning === true
    if (operation.end === 'done' && !isLongRunning) {
      task.state = 'done'
      this.completeIfDone(job, operation.at)
      return true
    }
    task.state = 'waiting'
    if (operation.end === 'failed') {
      task.failures += 1
      if (!isLongRunning && task.failures >= job.queue.maximumAttempts && job.endedAt === undefined) this.finish(job, 'failed', operation.at)
    }
    return true
  }

  private release (operation: ReleaseRun): boolean {
    const task = this.findLive(operation)
    const job = task === undefined ? undefined : this.jobs.get(task.jobId)
    if (task === undefined || job === undefined) return false
    this.unreserve(job, task)
    if (operation.checkpoint !== '') task.checkpoint = operation.checkpoint
    if (operation.isUnstarted === true && task.suspicion !== undefined) task.suspicion = withdrawStart(task.suspicion)
    if (operation.crash !== undefined) task.suspicion = addCrash(task.suspicion, operation.crash)
    task.state = 'waiting'
    return true
  }

  private clear ({ task: name, run }: ClearSuspicion): boolean {
    const task = this.findTask(name)
    if (task?.state !== 'live' || task.run !== run || task.suspicion === undefined) return false
    this.countSuspect(task, -1)
    delete task.suspicion
    return true
  }

  private learn ({ pressures }: LearnPressures): boolean {
    for (const pressure of pressures) this.learnedPressures.set(pairOf(pressure), pressure)
    return pressures.length > 0
  }

  private evacuate ({ zone, at }: StartEvacuation): boolean {
    if (this.evacuations.has(zone)) return false
    this.evacuations.set(zone, { zone, at })
    return true
  }

  private findLive ({ task: name, run, worker }: EndRun | ReleaseRun): MutableTask | undefined {
    const task = this.findTask(name)
    if (task === undefined || task.state !== 'live') return undefined
    return task.run === run && task.worker === worker ? task : undefined
  }

  private findTask (name: string): MutableTask | undefined {
    const [jobId, occurrence, step, index] = name.split('.')
    const job = this.jobs.get(jobId ?? '')
    if (job === undefined) return undefined
    return job.tasks[firstTaskIndex(job, Number(occurrence), Number(step)) + Number(index)]
  }

  private reserve (job: MutableJob, task: MutableTask): void {
    const step = job.steps[task.step]
    if (step === undefined) return
    const live = this.liveByWorker.get(task.worker) ?? new Map<string, MutableTask>()
    live.set(nameTask(task), task)
    this.liveByWorker.set(task.worker, live)
    this.changes += 1
    this.changeByWorker.set(task.worker, this.changes)
    this.reserved.set(task.worker, addResources(this.reservedOn(task.worker), reservationOf(step)))
    this.countSuspect(task, 1)
  }

  private unreserve (job: MutableJob, task: MutableTask): void {
    const step = job.steps[task.step]
    const live = this.liveByWorker.get(task.worker)
    if (step === undefined || live === undefined) return
    live.delete(nameTask(task))
    this.countSuspect(task, -1)
    this.changes += 1
    if (live.size === 0) {
      for (const index of [this.liveByWorker, this.reserved, this.changeByWorker]) index.delete(task.worker)
    } else {
      this.changeByWorker.set(task.worker, this.changes)
      this.reserved.set(task.worker, subtractResources(this.reservedOn(task.worker), reservationOf(step)))
    }
    task.worker = ''
  }

  private countSuspect ({ worker, suspicion }: MutableTask, change: number): void {
    if (suspicion === undefined || !isSuspect(suspicion)) return
    const count = (this.suspectsByWorker.get(worker) ?? 0) + change
    if (count <= 0) this.suspectsByWorker.delete(worker)
    else this.suspectsByWorker.set(worker, count)
  }

  private completeIfDone (job: MutableJob, at: number): void {
    if (job.endedAt === undefined && job.tasks.every(task => task.state === 'done')) this.finish(job, 'complete', at)
  }

  private finish (job: MutableJob, state: JobState, at: number): void {
    job.state = state
    job.endedAt = at
    job.spec = ''
    this.open.delete(job)
    this.ended.push(job.jobId)
  }

  private forgetEndedBefore (at: number): void {
    while (this.ended.length > 0) {
      const job = this.jobs.get(this.ended[0] ?? '')
      if (job !== undefined && ((job.endedAt ?? at) >= at || job.tasks.some(task => task.state === 'live'))) return
      this.ended.shift()
      if (job !== undefined) this.jobs.delete(job.jobId)
    }
  }
}

/** Drops the steps and tasks of an ended job without live tasks, because only its state is still read. */
function compactEndedJob (job: Job): Job {
  return job.endedAt === undefined || job.tasks.some(task => task.state === 'live') ? job : { ...job, steps: [], tasks: [] }
}

const noTasks: ReadonlyMap<string, JobTask> = new Map()

function createTasks ({ jobId, steps, schedule }: Pick<Job, 'jobId' | 'steps' | 'schedule'>): MutableTask[] {
  const tasks: MutableTask[] = []
  for (let occurrence = 0; occurrence < countOccurrences({ schedule }); occurrence += 1) {
    steps.forEach((step, stepNumber) => {
      for (let index = 0; index < step.count; index += 1) {
        tasks.push({ jobId, occurrence, step: stepNumber, index, state: 'waiting', run: 0, failures: 0, worker: '', checkpoint: '' })
      }
    })
  }
  return tasks
}

/** Index of the first task of a step among all tasks of its job. */
function firstTaskIndex (job: Pick<Job, 'steps'>, occurrence: number, stepNumber: number): number {
  let perOccurrence = 0
  let before = 0
  job.steps.forEach((step, number) => {
    perOccurrence += step.count
    if (number < stepNumber) before += step.count
  })
  return occurrence * perOccurrence + before
}

function tasksOf (job: Job, occurrence: number, stepNumber: number): readonly JobTask[] {
  const start = firstTaskIndex(job, occurrence, stepNumber)
  return job.tasks.slice(start, start + (job.steps[stepNumber]?.count ?? 0))
}

function isStepDone (job: Job, occurrence: number, stepNumber: number): boolean {
  return tasksOf(job, occurrence, stepNumber).every(task => task.state === 'done')
}
