import { plainStep, type Job, type JobOperation, type Manifest, type Queue, type Step, type Submission, type WorkerReport } from '..'

/** A step with one task which needs one core; what a spec is about is set apart. */
export function stepOf (changes: Partial<Step> = {}): Step {
  return { ...plainStep, processors: 1, memoryMb: 100, estimateMs: 1000, ...changes }
}

/** A queue with two attempts. */
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

/** A manifest with one queue and its pool. */
export function manifestOf (version: number, queues: readonly Queue[] = [queueOf()]): Manifest {
  return { version, queues, pools: [{ name: 'tastings', isGuarded: false, isStandby: false }], document: `{"version":${version}}` }
}

/** The id of the nth job. */
export function jobIdOf (number: number): string {
  return number.toString(16).padStart(16, '0')
}

export function submissionOf (number: number, steps: readonly Step[] = [stepOf()], changes: Partial<Submission> = {}): Submission {
  return { jobId: jobIdOf(number), spec: 'spec', steps, ...changes }
}

export function acceptOf (number: number, steps?: readonly Step[], queue = queueOf()): JobOperation {
  return { type: 'acceptJob', submission: submissionOf(number, steps), queue, at: 1000 }
}

/** A worker of 4 cores which has just reported. */
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

/** The names of the workers that hold the live tasks of a job. */
export function workersOf (job: Job | undefined): readonly string[] {
  return (job?.tasks ?? []).filter(task => task.state === 'live').map(task => task.worker)
}
