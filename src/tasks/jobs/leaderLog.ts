import { BoundedMap } from '../../core/boundedMap'
import type { Resources } from '../../core/catalogue'
import { blameOf, declaredWork, maximumPairs, objectiveMs, pairOf, parseBoot, standingOf, type AdmissionSummary, type ImagePressure, type JobBook, type JobOperation, type LoadSummary, type PairStanding, type Queue, type RunFinding, type Submission, type Suspicion, type TaskCrash, type WorkerLack, type WorkerRoom, type ZoneShare } from '../../core/jobs'
import type { Counters, LogFields, Logger } from '../../observability'
import type { EvacuationChange, Refusal } from './leaderMessage'

/** Dependencies of `LeaderLog`. */
export interface LeaderLogOptions {
  /** The committed job book. */
  readonly committed: JobBook
  readonly logger: Logger
  readonly counters: Counters
}

/** Gauges that only the current leader reports. */
const gauges = ['backlog_tasks', 'backlog_processor_ms', 'drained_processor_ms_per_s', 'drained_tasks_per_s', 'refused_jobs_remembered'] as const

/** Maximum number of agents named for one lack or with their room in a log line. */
const maximumNamedAgents = 12

/** A step on at most this many workers counts as `few`; steps of unknown rate are packed onto that many. */
const fewWorkersLimit = 3

/** Log lines and counters of a leader about runs, jobs and load. */
export class LeaderLog {
  /** The standing last logged for each pair of images. */
  private readonly loggedStandings = new BoundedMap<string, PairStanding>(maximumPairs)

  constructor (private readonly options: LeaderLogOptions) {}

  /** Resets what was logged, for a new leadership. */
  begin (): void { this.loggedStandings.clear() }

  /** Removes the gauges of a leadership, which another replica reports from then on. */
  end (): void { for (const name of gauges) this.options.counters.removeGauge(name) }

  /** Logs why a job was refused. */
  refusal (job: string, queue: string, { reason, overload }: Refusal): void {
    this.options.counters.add('jobs_refused_total', { reason })
    if (overload !== undefined) this.options.counters.add('jobs_refused_by_load_total', { cause: overload.cause })
    this.options.logger.info('job_refused', {
      job,
      queue,
      reason,
      ...(overload === undefined
        ? {}
        : {
            cause: overload.cause,
            late_ms: overload.lateMs === undefined ? undefined : Math.round(overload.lateMs),
            waiting: overload.waitingTasks,
            backlog_ms: Math.round(overload.backlogMs),
            retry_after_s: overload.retryAfterMs / 1000,
            refusals: overload.refusals
          })
    })
  }

  /** Logs an accepted job. */
  accepted (submission: Submission, queue: Queue): void {
    const { jobId, steps } = submission
    const isLongRunning = steps.some(step => step.isLongRunning)
    const hasObjective = !isLongRunning && submission.schedule === undefined
    this.options.logger.info('job_accepted', {
      job: jobId,
      queue: queue.name,
      steps: steps.length,
      tasks: steps.reduce((sum, step) => sum + step.count, 0),
      work_ms: Math.round(declaredWork(submission)),
      objective_ms: hasObjective ? Math.round(objectiveMs({ steps, queue })) : undefined,
      slack: hasObjective ? queue.slackFactor : undefined,
      latency_ms: hasObjective ? queue.targetLatencyMs : undefined,
      long_running: isLongRunning ? true : undefined
    })
  }

  /** Logs the load of the workers and the backlog of accepted work. */
  load ({ jobs, waitingTasks, workers, zoneShares, longRunning }: LoadSummary, { backlog, drained, refusedJobs, waitingTasks: accepted }: AdmissionSummary): void {
    const { counters } = this.options
    this.end()
    for (const { pool, zone, belowMs } of zoneShares) if (belowMs > 0) counters.add('zone_below_share_ms_total', { pool, zone }, Math.round(belowMs))
    for (const { pool, kind, waitingTasks: waiting, liveTasks, workMs } of backlog) {
      counters.set('backlog_tasks', { pool, kind, state: 'waiting' }, waiting)
      counters.set('backlog_tasks', { pool, kind, state: 'live' }, liveTasks)
      counters.set('backlog_processor_ms', { pool, kind }, Math.round(workMs))
    }
    for (const { pool, workMs, tasks } of drained) {
      counters.set('drained_processor_ms_per_s', { pool }, Math.round(workMs))
      counters.set('drained_tasks_per_s', { pool }, tasks)
    }
    counters.set('refused_jobs_remembered', {}, refusedJobs)
    this.options.logger.info('load', {
      jobs,
      waiting: waitingTasks,
      accepted_waiting: accepted,
      backlog_ms: Math.round(backlog.reduce((sum, { workMs }) => sum + workMs, 0)),
      drained_ms_per_s: Math.round(drained.reduce((sum, { workMs }) => sum + workMs, 0)),
      refused_remembered: refusedJobs,
      workers: workers.length,
      serving: workers.map(worker => worker.servingTasks).join('/'),
      free: workers.map(worker => Math.round(worker.freeProcessors)).join('/'),
      filled: workers.map(worker => Math.round(worker.filledProcessors)).join('/'),
      slow: workers.filter(worker => worker.isSlow).map(worker => parseBoot(worker.worker).agent).join(','),
      long_running: longRunning.length === 0 ? undefined : longRunning.map(({ queue, tasks, atWork, aboveTarget }) => `${queue}:${tasks}/${atWork}/${aboveTarget}`).join(','),
      zone_shares: zoneShares.length === 0 ? undefined : zoneShares.map(describeShare).join(',')
    })
  }

  /** Logs what the scheduler concluded about a run. */
  finding (finding: RunFinding): void {
    switch (finding.type) {
      case 'givenUp': {
        const { task, suspicion } = finding
        this.options.counters.add('tasks_given_up_total')
        this.options.logger.warn('task_given_up', { task, ...describeSuspicion(suspicion) })
        return
      }
      case 'suspected': {
        const { task, run, worker, crash: { share, ageMs }, suspicion } = finding
        this.options.counters.add('tasks_suspected_total')
        this.options.logger.info('task_suspected', { task, run, worker, share: share.toFixed(2), age_ms: ageMs, ...(suspicion === undefined ? {} : describeSuspicion(suspicion)) })
        return
      }
      case 'waiting': return this.waiting(finding)
      case 'notAtWork': return this.notAtWork(finding)
      default: return this.runFinding(finding)
    }
  }

  private waiting ({ step, tasks, waitingMs, needed, lacks, rooms }: Extract<RunFinding, { readonly type: 'waiting' }>): void {
    this.options.counters.add('long_running_waits_total')
    this.options.logger.warn('long_running_waiting', { step, tasks, waiting_ms: Math.round(waitingMs), workers: lacks.size, ...groupByLack(lacks), needs: describeResources(needed), room: describeRooms(rooms) })
  }

  private notAtWork ({ step, tasks, task, run, worker, absentMs, isConnected, listedRun, percent }: Extract<RunFinding, { readonly type: 'notAtWork' }>): void {
    this.options.counters.add('long_running_absences_total')
    this.options.logger.warn('long_running_absent', { step, tasks, absent_ms: Math.round(absentMs), task, run, worker, connected: isConnected, listed_run: listedRun, percent })
  }

  private runFinding (finding: Exclude<RunFinding, { readonly type: 'suspected' | 'givenUp' | 'waiting' | 'notAtWork' }>): void {
    const { task, run, worker } = finding
    switch (finding.type) {
      case 'released':
        this.options.counters.add('runs_released_total', { cause: finding.cause })
        this.options.logger.info('run_released', { task, run, worker, cause: finding.cause, report_age_ms: finding.reportAgeMs === undefined ? undefined : Math.round(finding.reportAgeMs) })
        return
      case 'endIgnored':
        this.options.counters.add('run_ends_ignored_total', { end: finding.end })
        this.options.logger.warn('run_end_ignored', { task, run, worker, end: finding.end, current_run: finding.currentRun, current_worker: finding.currentWorker })
        return
      case 'strayListed':
        this.options.counters.add('stray_runs_listed_total')
        this.options.logger.warn('stray_run_listed', { task, run, worker, current_run: finding.currentRun, current_worker: finding.currentWorker })
    }
  }

  /** Logs a committed start or end of an evacuation; `isChanged` is false if it was repeated without effect. */
  evacuation (zone: string, change: EvacuationChange, isChanged: boolean): void {
    const word = change === 'start' ? 'started' : 'ended'
    this.options.counters.add('evacuations_total', { change: isChanged ? word : 'none' })
    this.options.logger.info(`evacuation_${word}`, { zone, changed: isChanged })
  }

  /** Logs a pair of images when its standing, by which it is placed and paced, has changed. */
  standing (pressure: ImagePressure): void {
    const { servingImage, fillingImage, mean, deviation } = pressure
    const key = pairOf(pressure)
    const standing = standingOf(pressure)
    if (this.loggedStandings.get(key) === standing) return
    this.loggedStandings.set(key, standing)
    this.options.logger.info('pair_learned', { serving_image: servingImage, filling_image: fillingImage, standing, mean: mean.toFixed(2), deviation: deviation.toFixed(2) })
  }

  /** Logs one line per step that was assigned workers, as most steps are placed as a whole. */
  assignments (operations: readonly JobOperation[]): void {
    const steps = new Map<string, string[]>()
    for (const operation of operations) {
      if (operation.type !== 'assignRun') continue
      const key = stepNameOf(operation.task)
      const index = operation.task.slice(key.length + 1)
      steps.set(key, [...steps.get(key) ?? [], `${index}:${operation.run}@${parseBoot(operation.worker).agent}`])
    }
    for (const [step, runs] of steps) {
      const workers = new Set(runs.map(run => run.slice(run.indexOf('@') + 1))).size
      this.options.counters.add('steps_assigned_total', { workers: workers === 1 ? 'one' : workers <= fewWorkersLimit ? 'few' : 'many' })
      const image = this.options.committed.stepOf(`${step}.0`)?.image ?? ''
      this.options.logger.info('runs_assigned', { job: step.split('.')[0], step, workers, runs: runs.join(','), image: image === '' ? undefined : image })
    }
  }

  /** Logs one line per step of which all tasks are done, with the run that was done last. */
  endedSteps (operations: readonly JobOperation[]): void {
    const last = new Map<string, Extract<JobOperation, { readonly type: 'endRun' }>>()
    for (const operation of operations) if (operation.type === 'endRun' && operation.end === 'done') last.set(stepNameOf(operation.task), operation)
    for (const [name, { task, run, worker }] of last) {
      const [jobId = '', occurrence, step, index] = task.split('.')
      const job = this.options.committed.job(jobId)
      const isOver = job?.tasks.every(other => String(other.step) !== step || String(other.occurrence) !== occurrence || other.state === 'done') === true
      if (isOver) this.options.logger.info('step_ended', { job: jobId, step: name, last: `${index}:${run}@${parseBoot(worker).agent}` })
    }
  }

  /** Logs one line per job that ended by these operations and has no run left at a worker. */
  endedJobs (operations: readonly JobOperation[]): void {
    const ids = new Set(operations.flatMap(operation => operation.type === 'endRun' ? [operation.task.split('.')[0] ?? ''] : operation.type === 'cancelJob' ? [operation.jobId] : []))
    for (const id of ids) {
      const job = this.options.committed.job(id)
      if (job?.endedAt === undefined || job.tasks.some(task => task.state === 'live')) continue
      this.options.counters.add('jobs_ended_total', { state: job.state })
      this.options.logger.info('job_ended', {
        job: id,
        queue: job.queue.name,
        state: job.state,
        ms: job.endedAt - job.acceptedAt,
        objective_ms: Math.round(objectiveMs(job)),
        failed_runs: job.tasks.reduce((sum, task) => sum + task.failures, 0),
        runs: job.tasks.reduce((sum, task) => sum + task.run, 0)
      })
    }
  }
}

/** The sum of the shares in crashes, and each of the crashes. */
function describeSuspicion (suspicion: Suspicion): LogFields {
  return { blame: blameOf(suspicion).toFixed(2), crashes: suspicion.crashes.map(describeTaskCrash).join(',') }
}

/** Formats as SHARE@AGE@VM, the age in milliseconds, with a tilde if it is assumed and a question mark if the VM is unreliable. */
function describeTaskCrash ({ share, ageMs, isUnconfirmed, vm, isVmUnreliable }: TaskCrash): string {
  return `${share.toFixed(2)}@${ageMs ?? ''}${isUnconfirmed === true ? '~' : ''}@${vm ?? ''}${isVmUnreliable === true ? '?' : ''}`
}

/** For each lack the agents of the workers that lack it, the first ones by name and the number of the others. */
function groupByLack (lacks: ReadonlyMap<string, WorkerLack>): LogFields {
  const groups = new Map<WorkerLack, string[]>()
  for (const [worker, lack] of lacks) groups.set(lack, [...groups.get(lack) ?? [], parseBoot(worker).agent])
  return Object.fromEntries([...groups].map(([lack, agents]) => {
    const further = agents.length - maximumNamedAgents
    return [`lack_${lack}`, [...agents.slice(0, maximumNamedAgents), ...(further > 0 ? [`+${further}`] : [])].join(',')]
  }))
}

/** Formats as PROCESSORS/MEMORY in MB, with /ACCELERATORS if there are any; processors so precisely that a reader can tell whether one amount fits into another. */
function describeResources ({ processors, memoryMb, accelerators }: Resources): string {
  return [Number(processors.toFixed(3)), Math.round(memoryMb), ...(accelerators === 0 ? [] : [accelerators])].join('/')
}

/** Formats as AGENT:FREE:RECLAIMABLE, those with the most reclaimable processors first, and the number of the others. */
function describeRooms (rooms: ReadonlyMap<string, WorkerRoom>): string {
  const ranked = [...rooms].sort(([, a], [, b]) => b.reclaimable.processors - a.reclaimable.processors)
  const named = ranked.slice(0, maximumNamedAgents).map(([worker, { free, reclaimable }]) => `${parseBoot(worker).agent}:${describeResources(free)}:${describeResources(reclaimable)}`)
  return [...named, ...(ranked.length > maximumNamedAgents ? [`+${ranked.length - maximumNamedAgents}`] : [])].join(',')
}

/** The name of the step of a task: JOB.OCCURRENCE.STEP. */
function stepNameOf (task: string): string { return task.slice(0, task.lastIndexOf('.')) }

/** Formats as POOL/ZONE:SERVED/ENTITLED:DEBT, in percent of the pool. */
function describeShare ({ pool, zone, served, entitled, debt }: ZoneShare): string {
  const percent = (share: number): number => Math.round(100 * share)
  return `${pool}/${zone === '' ? 'unknown' : zone}:${percent(served)}/${percent(entitled)}:${percent(debt)}`
}
