import { plainStep, type Job, type JobOperation, type Manifest, type Queue, type Step, type Submission, type WorkerReport } from '..'

/** A step with one task that needs one processor; `changes` override the defaults. */
export function stepOf (changes: Partial<Step> = {}): Step {
  return { ...plainStep, processors: 1, memoryMb: 100, estimateMs: 1000, ...changes }
}

/** A queue with at most two attempts per task; `changes` override the defaults. */
export function queueOf (changes: Partial<Queue> = {}): Queue {
  return {
    name: 'plans',
    host: 'a.example',
    pathPrefix: '/plans/',
    pool: 'tastings',
    priority: 1,
    maximumAttempts: 2,
    slackFactor: 2,
    targetLatencyMs: 500,
    needsAdvice: false,
    ...changes
  }
}

/** A manifest with the given queues and the pool `tastings`. */
export function manifestOf (version: number, queues: readonly Queue[] = [queueOf()]): Manifest {
  return { version, queues, pools: [{ name: 'tastings', isGuarded: false, isStandby: false }], document: `{"version":${version}}` }
}

/** The id of the nth job. */
export function jobIdOf (number: number): string {
  return number.toString(16).padStart(16, '0')
}

/** The submission of the nth job, with one step by default; `changes` override the defaults. */
export function submissionOf (number: number, steps: readonly Step[] = [stepOf()], changes: Partial<Submission> = {}): Submission {
  return { jobId: jobIdOf(number), spec: 'spec', steps, ...changes }
}

/** The operation that accepts the nth job at a wall-clock time of 1000 ms. */
export function acceptOf (number: number, steps?: readonly Step[], queue = queueOf()): JobOperation {
  return { type: 'acceptJob', submission: submissionOf(number, steps), queue, at: 1000 }
}

/** The report of a worker with four processors at 5000 ms of its clock; `changes` override the defaults. */
export function reportOf (worker: string, changes: Partial<WorkerReport> = {}): WorkerReport {
  return {
    worker,
    bornMs: 1,
    pool: 'tastings',
    zone: 'a',
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: { processors: 4, memoryMb: 10_000, accelerators: 0 },
    isDraining: false,
    clockMs: 5000,
    ...changes
  }
}

/** The names of the workers of the live tasks of a job, one per task. */
export function workersOf (job: Job | undefined): readonly string[] {
  return (job?.tasks ?? []).filter(task => task.state === 'live').map(task => task.worker)
}
