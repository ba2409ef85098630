import type { CrashedRun, EndedRun, RunEnd, RunningTask } from '../core/jobs'

/** The actual behaviour of a task, which the scheduler does not know. */
export interface TaskTruth {
  readonly image: string
  readonly kind: 'serving' | 'filling' | 'small'
  readonly processors: number
  /** The share of its processors that it uses. */
  readonly usedShare: number
  readonly workMs: number
  /** Work between checkpoints, in milliseconds; 0 for none. */
  readonly checkpointMs: number
  readonly targetMs: number
  readonly idleMs: number
  /** The share of its processors that a serving task uses at a given virtual time. */
  readonly loadAt: (now: number) => number
  readonly fails: boolean
  /** Age at which a run of it crashes its worker, in milliseconds, by the number of the run; absent if it crashes none. */
  readonly crashAgeOf?: ((run: number) => number) | undefined
}

interface EmulatedRun {
  readonly task: string
  readonly run: number
  readonly truth: TaskTruth
  /** Time since its start, in milliseconds. */
  ageMs: number
  workedMs: number
  pacePercent: number
  /** Queued requests of a serving task, in milliseconds of its work. */
  backlogMs: number
  /** Samples of the last window: tail latencies in milliseconds of a serving task, used processors of another task. */
  readonly figures: number[]
}

/** The actual pressure of a filling image on a serving image: the load added to a serving task per share of the worker that filling tasks use. */
export type PressureTruth = (servingImage: string, fillingImage: string) => number

/** Length of the averaging window of reported figures, as the platform specifies. */
const figureWindowMs = 500
/** The queue of a serving task grows at higher loads; it also bounds the load in the latency formula. */
const saturationLoad = 0.99

/** One boot of a worker: its runs, their speed and their interference. */
export class EmulatedWorker {
  private readonly runs = new Map<string, EmulatedRun>()
  private ends: EndedRun[] = []
  private sequence = 0
  speed = 1
  /** The time for which serving tasks were above their latency targets, in milliseconds summed over all tasks. */
  disturbedMs = 0

  constructor (readonly name: string, readonly processors: number, private readonly pressure: PressureTruth) {}

  /** Whether its runs make no progress. */
  isHanging = false
  /** Whether its runs fail when their work is done. */
  isFailing = false

  start (task: string, run: number, truth: TaskTruth, checkpoint: string): void {
    if (this.runs.has(task)) throw new Error(`task ${task} runs already on ${this.name}`)
    this.runs.set(task, { task, run, truth, ageMs: 0, workedMs: Number(checkpoint || 0), pacePercent: 100, backlogMs: 0, figures: [] })
  }

  stop (task: string, run: number): void {
    if (this.runs.get(task)?.run === run) this.end(task, 'stopped')
  }

  /** Ends all runs, as the lease has lapsed. */
  endAll (): void {
    for (const task of [...this.runs.keys()]) this.end(task, 'lapsed')
  }

  /** The running task that crashes this worker; undefined if there is none. */
  findCrashingTask (): string | undefined { return [...this.runs.values()].find(({ run, truth, ageMs }) => truth.crashAgeOf !== undefined && ageMs >= truth.crashAgeOf(run))?.task }

  /** The runs with their ages, as an agent tells them after a crash. */
  describeRuns (): readonly CrashedRun[] { return [...this.runs.values()].map(({ task, run, ageMs }) => ({ task, run, ageMs })) }

  has (task: string, run: number): boolean { return this.runs.get(task)?.run === run }

  pace (task: string, percent: number): void {
    const run = this.runs.get(task)
    if (run !== undefined) run.pacePercent = percent
  }

  /** Advances all runs by `elapsedMs`. Serving and small tasks get their processors first; filling tasks share what is left. */
  step (now: number, elapsedMs: number): void {
    const runs = [...this.runs.values()]
    const demand = (run: EmulatedRun): number => run.truth.kind === 'serving'
      ? run.truth.processors * run.truth.loadAt(now)
      : run.truth.processors * run.truth.usedShare * run.pacePercent / 100
    const first = runs.filter(run => run.truth.kind !== 'filling').reduce((sum, run) => sum + demand(run), 0)
    const filling = runs.filter(run => run.truth.kind === 'filling').reduce((sum, run) => sum + demand(run), 0)
    const granted = filling === 0 ? 1 : Math.min(1, Math.max(0, this.processors - first) / filling)
    const used = new Map<string, number>()
    for (const run of runs) {
      if (run.truth.kind === 'filling') used.set(run.truth.image, (used.get(run.truth.image) ?? 0) + demand(run) * granted / this.processors)
    }
    for (const run of runs) {
      run.ageMs += elapsedMs
      if (run.truth.kind === 'serving') this.serve(run, now, used, elapsedMs)
      else this.work(run, demand(run), run.truth.kind === 'filling' ? granted : 1, elapsedMs)
    }
  }

  /** Returns the running tasks and unacknowledged ends that a look reports. */
  list (): { readonly running: readonly RunningTask[], readonly ends: readonly EndedRun[] } {
    const running = [...this.runs.values()].map(run => ({
      task: run.task,
      run: run.run,
      checkpoint: checkpointOf(run),
      percent: run.truth.kind === 'serving' ? 100 : Math.floor(100 * run.workedMs / run.truth.workMs),
      ageMs: run.ageMs,
      ...readingOf(run)
    }))
    return { running, ends: this.ends }
  }

  /** Discards ends up to a sequence number. */
  acknowledge (sequence: number): void { this.ends = this.ends.filter(end => end.sequence > sequence) }

  /** Returns the names of the serving tasks on this worker which meet their latency targets. */
  listServingWithinTarget (): readonly string[] {
    return [...this.runs.values()].filter(run => run.truth.kind === 'serving' && (run.figures.at(-1) ?? 0) <= run.truth.targetMs).map(run => run.task)
  }

  private serve (run: EmulatedRun, now: number, used: ReadonlyMap<string, number>, elapsedMs: number): void {
    let load = run.truth.loadAt(now)
    for (const [image, share] of used) load += this.pressure(run.truth.image, image) * share
    run.backlogMs = Math.max(0, run.backlogMs + (load - saturationLoad) * elapsedMs)
    const tailMs = run.truth.idleMs / (1 - Math.min(saturationLoad, load)) + run.backlogMs
    this.recordFigure(run, tailMs, elapsedMs)
    if (tailMs > run.truth.targetMs) this.disturbedMs += elapsedMs
  }

  private work (run: EmulatedRun, demand: number, granted: number, elapsedMs: number): void {
    this.recordFigure(run, demand * granted, elapsedMs)
    if (this.isHanging) return
    run.workedMs += elapsedMs * this.speed * granted * run.pacePercent / 100
    if (run.workedMs < run.truth.workMs) return
    this.end(run.task, this.isFailing || run.truth.fails ? 'failed' : 'done')
  }

  private recordFigure (run: EmulatedRun, figure: number, elapsedMs: number): void {
    run.figures.push(figure)
    while (run.figures.length > Math.max(1, figureWindowMs / elapsedMs)) run.figures.shift()
  }

  private end (task: string, end: RunEnd): void {
    const run = this.runs.get(task)
    if (run === undefined) return
    this.runs.delete(task)
    this.sequence += 1
    this.ends.push({ sequence: this.sequence, task, run: run.run, end, checkpoint: end === 'done' ? '' : checkpointOf(run) })
  }
}

/** The mean over the window, rounded to milliseconds or to thousandths of a processor, which is the resolution of the platform's list. */
function readingOf ({ truth, figures }: EmulatedRun): Pick<RunningTask, 'tailLatencyMs' | 'usedProcessors'> {
  const mean = figures.reduce((sum, figure) => sum + figure, 0) / Math.max(1, figures.length)
  return truth.kind === 'serving' ? { tailLatencyMs: Math.round(mean) } : { usedProcessors: Math.round(mean * 1000) / 1000 }
}

/** The work up to the last checkpoint in milliseconds, as text; empty if there is none. */
function checkpointOf ({ workedMs, truth }: EmulatedRun): string {
  const saved = truth.checkpointMs === 0 ? 0 : Math.floor(workedMs / truth.checkpointMs) * truth.checkpointMs
  return saved === 0 ? '' : String(saved)
}
