import { nameTask, plainStep, type CallerAnswer, type CallerCall, type JobOperation, type Step } from '../../../core/jobs'
import type { ModelGroup } from './runProtocolGroup'
import { crashingSpec, lastingSpec, type World } from './runProtocolWorker'

const queue = { name: 'q', host: 'h', pathPrefix: '/q/', pool: 'pool', priority: 0, maximumAttempts: 1000, slackFactor: 2, targetLatencyMs: 1000, needsAdvice: false }
const patienceMs = 1000
const pauseMs = 300

/** What every log begins with. */
export const firstOperations: readonly JobOperation[] = [
  { type: 'putManifest', manifest: { version: 1, queues: [queue], pools: [{ name: 'pool', isGuarded: true, isStandby: false }], document: '' } }
]

interface CallersJob {
  readonly jobId: string
  readonly spec: string
  readonly steps: readonly Step[]
  isAccepted: boolean
  isCancelled: boolean
}

/** Callers who submit jobs, cancel some, and expect the others to be done. */
export class ModelCallers {
  private readonly jobs: CallersJob[] = []

  constructor (private readonly world: World, private readonly group: ModelGroup) {}

  /** Submits a job until it is accepted; by lot it is cancelled some time later. */
  submit (isLasting: boolean): void {
    const { lot, time } = this.world
    const step: Step = { ...plainStep, processors: 1, memoryMb: 10, estimateMs: 1500, isLongRunning: isLasting, count: isLasting ? 1 : lot.whole(1, 3) }
    const steps = !isLasting && lot.chance(0.3) ? [step, { ...step, dependsOn: [0] }] : [step]
    const job = this.submitSteps(steps, isLasting ? lastingSpec : 'short', () => { if (lot.chance(0.15)) time.after(lot.between(0, 5000), () => this.cancel(job)) })
  }

  /** Submits a job whose first task crashes each worker that starts it. */
  submitCrashing (): void {
    this.submitSteps([{ ...plainStep, processors: 1, memoryMb: 10, estimateMs: 1500, count: this.world.lot.whole(1, 3) }], crashingSpec, () => {})
  }

  /** Submits a job that needs all workers at the same time, so that one which the leader doesn't know is found. */
  submitEverywhere (workers: number): void {
    this.submitSteps([{ ...plainStep, processors: 1, memoryMb: 10, estimateMs: 1500, isLongRunning: true, count: workers, maximumPerWorker: 1 }], lastingSpec, () => {})
  }

  /** Submits a job of long-running tasks that is never cancelled. Returns the names of its tasks. */
  submitLasting (count: number): readonly string[] {
    const { jobId } = this.submitSteps([{ ...plainStep, processors: 1, memoryMb: 10, estimateMs: 1500, isLongRunning: true, count }], lastingSpec, () => {})
    return Array.from({ length: count }, (_, index) => nameTask({ jobId, occurrence: 0, step: 0, index }))
  }

  private submitSteps (steps: readonly Step[], spec: string, onAccepted: () => void): CallersJob {
    const jobId = (this.jobs.length + 1).toString(16).padStart(16, '0')
    const job: CallersJob = { jobId, spec, steps, isAccepted: false, isCancelled: false }
    this.jobs.push(job)
    this.insist({ type: 'submit', host: queue.host, path: queue.pathPrefix + jobId, submission: { spec, steps } }, 'accepted', () => {
      job.isAccepted = true
      onAccepted()
    })
    return job
  }

  /** Finds a task that is neither done nor at work, or that runs though its job is cancelled. */
  findNeglected (): { readonly rule: 'LOST' | 'UNASKED' | 'BUDGET', readonly task: string, readonly what: string } | undefined {
    const { history } = this.world
    for (const job of this.jobs) {
      if (job.spec === crashingSpec) {
        const { state } = this.group.leader?.committed.job(job.jobId) ?? {}
        if (state !== 'failed') return { rule: 'BUDGET', task: `${job.jobId}.0.0.0`, what: `its job is shown as ${state} though it crashes its workers` }
        continue
      }
      for (const [number, step] of job.steps.entries()) {
        for (let index = 0; index < step.count; index += 1) {
          const task = nameTask({ jobId: job.jobId, occurrence: 0, step: number, index })
          const runs = history.runsOf(task)
          const isRunning = runs.some(run => run.endedAt === undefined)
          const state = this.group.leader?.committed.job(job.jobId)?.tasks.find(found => nameTask(found) === task)
          // An end is not always acknowledged, as its worker may have crashed after it was committed.
          const isOver = step.isLongRunning ? isRunning : state?.state === 'done' && runs.some(run => run.end === 'done')
          const what = `${runs.length} runs, in the book ${JSON.stringify(state)}`
          if (job.isCancelled && isRunning) return { rule: 'UNASKED', task, what: `runs long after its job was cancelled: ${what}` }
          if (!job.isCancelled && !isOver) return { rule: 'LOST', task, what: `${job.isAccepted ? 'neither done nor at work' : 'its job was never accepted'}: ${what}` }
        }
      }
    }
    return undefined
  }

  private cancel (job: CallersJob): void {
    job.isCancelled = true
    this.world.history.note('callers', `cancel ${job.jobId}`)
    this.insist({ type: 'cancel', host: queue.host, path: queue.pathPrefix + job.jobId }, 'cancelled', () => {})
  }

  /** Calls again and again until the wanted answer comes. */
  private insist (call: Exclude<CallerCall, { readonly type: 'readState' }>, wanted: CallerAnswer['type'], onAnswered: () => void): void {
    const { time } = this.world
    let isOver = false
    const again = (): void => {
      if (isOver) return
      isOver = true
      this.insist(call, wanted, onAnswered)
    }
    time.after(patienceMs, again)
    this.group.call(structuredClone(call), answer => {
      if (isOver) return
      if (answer.type !== wanted) return time.after(pauseMs, again)
      isOver = true
      onAnswered()
    })
  }
}
