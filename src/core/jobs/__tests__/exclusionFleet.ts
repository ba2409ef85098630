import { createRandom } from '../../../../bench/random'
import { JobBook, JobScheduler, nameTask, type EndedRun, type Job, type RunningTask, type Step } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from './fixtures'

/** Time between plans, in milliseconds. */
const planMs = 100
/** Age at which the runs of a failing worker fail, in milliseconds. */
const failMs = 200

interface Run {
  readonly run: number
  readonly durationMs: number
  readonly isLongRunning: boolean
  workedMs: number
  stopAt: number
}

interface Vm {
  readonly number: number
  boot: number
  zone: string
  processors: number
  behaviour: 'sound' | 'failing' | 'hanging'
  behaviourUntil: number
  silentUntil: number
  drainsUntil: number
  coldUntil: number
  /** How long a run takes to obey a stop, in milliseconds. */
  stopMs: number
  ends: number
  readonly runs: Map<string, Run>
}

/** How random fleets differ from each other. */
export interface FleetOptions {
  /** Prints what happens. */
  readonly isTraced?: boolean
}

/** A random fleet whose workers fail, hang, fall silent, drain, shrink, crash and obey stops late; each decision is committed at once. */
export class ExclusionFleet {
  readonly committed = new JobBook()
  now = 0
  private readonly random: () => number
  private readonly vms: Vm[] = []
  private readonly evacuatedUntil = new Map<string, number>()
  private scheduler = createScheduler()
  private jobs = 0
  private isBusy = true
  /** How often this fleet is in trouble, and how much of its work lasts until it is cancelled. */
  private readonly troubles: number
  private readonly lastingShare: number

  constructor (seed: number, private readonly options: FleetOptions = {}) {
    this.random = createRandom(seed)
    this.troubles = this.pick([0.5, 1, 2])
    this.lastingShare = this.pick([0.2, 0.5, 0.8])
    const count = 3 + this.below(4)
    for (let number = 1; number <= count; number += 1) {
      this.vms.push({ number, boot: 1, zone: number % 3 === 0 ? 'b' : 'a', processors: 4, behaviour: 'sound', behaviourUntil: 0, silentUntil: 0, drainsUntil: 0, coldUntil: 0, stopMs: 0, ends: 0, runs: new Map() })
    }
    this.scheduler.begin(this.committed, 0)
  }

  /** Advances by one plan: something may happen, the workers do their work and report, and the scheduler plans. */
  advance (): void {
    this.now += planMs
    // Spans without events show whether the fleet recovers.
    if (this.now % 1000 === 0) this.isBusy = this.random() < 0.5
    if (this.isBusy) this.act()
    this.endEvacuations()
    for (const vm of this.vms) this.work(vm)
    const moment = { now: this.now, wallClock: this.now }
    this.scheduler.review(moment)
    this.scheduler.plan(moment)
    for (const operation of this.scheduler.takeOperations()) {
      this.committed.apply(operation)
      if (operation.type === 'assignRun') this.trace(`assign ${operation.task} run ${operation.run} ${operation.worker}`)
      if (operation.type === 'endRun') this.trace(`${operation.end} ${operation.task} run ${operation.run} ${operation.worker}`)
      if (operation.type === 'releaseRun') this.trace(`release ${operation.task} run ${operation.run} ${operation.worker}`)
      if (operation.type === 'acceptJob') this.trace(`accept ${operation.submission.jobId} ${JSON.stringify(operation.submission.steps.map(({ count, processors, isLongRunning, requiredLabel, maximumPerWorker, estimateMs }) => ({ count, processors, isLongRunning, requiredLabel, maximumPerWorker, estimateMs })))}`)
    }
    for (const { worker, task, run } of this.scheduler.takeStops()) {
      this.trace(`stop ${task} run ${run}`)
      const vm = this.vms.find(found => nameOf(found) === worker)
      const found = vm?.runs.get(task)
      if (vm !== undefined && found?.run === run) found.stopAt = Math.min(found.stopAt, this.now + vm.stopMs)
    }
    for (const finding of this.scheduler.takeFindings()) if (finding.type === 'waiting') this.trace(`waiting ${finding.step} ${finding.waitingMs} ${[...finding.lacks].map(([worker, lack]) => `${worker}:${lack}`).join(' ')}`)
  }

  /** The long-running tasks that wait although their turn has come. */
  * waiting (): Generator<{ readonly job: Job, readonly step: Step, readonly stepNumber: number, readonly name: string }> {
    for (let number = 1; number <= this.jobs; number += 1) {
      const job = this.committed.job(jobIdOf(number))
      if (job === undefined || job.endedAt !== undefined) continue
      for (const task of job.tasks) {
        const step = job.steps[task.step]
        const isDue = step?.dependsOn.every(earlier => job.tasks.every(other => other.step !== earlier || other.state === 'done'))
        if (step?.isLongRunning === true && task.state === 'waiting' && isDue === true) yield { job, step, stepNumber: task.step, name: nameTask(task) }
      }
    }
  }

  /** The places for one more task of a step on sound, connected workers, beside what runs there. */
  countPlaces (job: Job, step: Step, stepNumber: number): number {
    let places = 0
    for (const vm of this.vms) {
      const isUsable = vm.behaviour === 'sound' && this.now >= vm.silentUntil && this.now >= vm.drainsUntil && !this.evacuatedUntil.has(vm.zone)
      if (!isUsable || (step.requiredLabel !== '' && !labelsOf(vm).includes(step.requiredLabel))) continue
      const live = [...this.committed.liveOn(nameOf(vm)).values()]
      const free = vm.processors - live.reduce((sum, task) => sum + (this.committed.stepOf(nameTask(task))?.processors ?? 0), 0)
      const ofStep = live.filter(task => task.jobId === job.jobId && task.step === stepNumber).length
      places += Math.max(0, Math.min(Math.floor(free / step.processors), (step.maximumPerWorker > 0 ? step.maximumPerWorker : Number.POSITIVE_INFINITY) - ofStep))
    }
    return places
  }

  private below (limit: number): number { return Math.floor(limit * this.random()) }

  private pick<Value> (values: readonly [Value, ...Value[]]): Value { return values[this.below(values.length)] ?? values[0] }

  private trace (text: string): void { if (this.options.isTraced === true) console.log(`${this.now} ${text}`) }

  private act (): void {
    const vm = this.vms[this.below(this.vms.length)]
    if (vm === undefined) return
    if (this.random() < 0.08) this.submit()
    const chance = this.random() / this.troubles
    if (chance < 0.02) this.crash(vm)
    else if (chance < 0.025) this.changeLeader()
    else if (chance < 0.065) this.change(vm, { behaviour: 'failing', behaviourUntil: this.now + this.pick([800, 2000, 6000, 15_000]) })
    else if (chance < 0.085) this.change(vm, { behaviour: 'hanging', behaviourUntil: this.now + this.pick([800, 4000, 12_000]) })
    else if (chance < 0.105) this.change(vm, { silentUntil: this.now + this.pick([500, 2000, 5000]) })
    else if (chance < 0.12) this.change(vm, { drainsUntil: this.now + this.pick([1000, 4000]) })
    else if (chance < 0.14) this.change(vm, { processors: this.pick([1, 2, 4, 6]) })
    else if (chance < 0.16) this.change(vm, { stopMs: this.pick([0, 900, 5000, 60_000]) })
    else if (chance < 0.165) this.evacuate(this.pick(['a', 'b']))
  }

  private change (vm: Vm, changes: Partial<Vm>): void {
    Object.assign(vm, changes)
    this.trace(`${nameOf(vm)} ${JSON.stringify(changes)}`)
  }

  private submit (): void {
    if (this.jobs >= 20) return
    this.jobs += 1
    const first = this.drawStep()
    const steps = this.random() < 0.3 && !first.isLongRunning ? [first, { ...this.drawStep(), dependsOn: [0] }] : [first]
    this.scheduler.accept(submissionOf(this.jobs, steps), queueOf({ maximumAttempts: 20, priority: 1 + this.below(2) }), this.now)
  }

  private drawStep (): Step {
    return stepOf({
      count: 1 + this.below(3),
      processors: this.pick([1, 1, 2, 3, 4]),
      estimateMs: this.pick([400, 2000, 30_000]),
      isLongRunning: this.random() < this.lastingShare,
      isCheckpointed: this.random() < 0.5,
      requiredLabel: this.pick(['', '', 'even']),
      maximumPerWorker: this.pick([0, 1, 2])
    })
  }

  private crash (vm: Vm): void {
    this.trace(`crash ${nameOf(vm)}`)
    const runs = [...vm.runs].map(([task, { run }]) => ({ task, run, ageMs: this.pick([11, 400, 2000, 20_000]) }))
    if (this.now >= vm.silentUntil) this.scheduler.workerEnded(nameOf(vm), this.now, { sinceMs: 500, runs })
    vm.runs.clear()
    this.change(vm, { boot: vm.boot + 1, behaviour: 'sound', behaviourUntil: 0, drainsUntil: 0, ends: 0, coldUntil: this.now + this.pick([0, 0, 2000, 8000]) })
  }

  private changeLeader (): void {
    this.trace('change of leader')
    this.scheduler = createScheduler()
    this.scheduler.begin(this.committed, this.now)
  }

  private evacuate (zone: string): void {
    if (this.evacuatedUntil.has(zone)) return
    this.trace(`evacuate ${zone}`)
    this.scheduler.startEvacuation(zone, this.now)
    this.evacuatedUntil.set(zone, this.now + this.pick([1000, 4000]))
  }

  private endEvacuations (): void {
    for (const [zone, until] of this.evacuatedUntil) {
      if (this.now < until) continue
      this.trace(`end of evacuation ${zone}`)
      this.scheduler.endEvacuation(zone, { now: this.now, wallClock: this.now })
      this.evacuatedUntil.delete(zone)
    }
  }

  private work (vm: Vm): void {
    if (vm.behaviour !== 'sound' && this.now >= vm.behaviourUntil) this.change(vm, { behaviour: 'sound' })
    const ends: EndedRun[] = []
    for (const [task, run] of [...vm.runs]) {
      if (vm.behaviour !== 'hanging') run.workedMs += planMs
      const end = this.now >= run.stopAt ? 'stopped' : vm.behaviour === 'failing' && run.workedMs >= failMs ? 'failed' : !run.isLongRunning && run.workedMs >= run.durationMs ? 'done' : undefined
      // A worker keeps its runs until its agent can list their ends.
      if (end === undefined || this.now < vm.silentUntil) continue
      vm.runs.delete(task)
      vm.ends += 1
      ends.push({ sequence: vm.ends, task, run: run.run, end, checkpoint: '' })
    }
    if (this.now < vm.silentUntil) {
      this.scheduler.workerLost(nameOf(vm), true)
      return
    }
    this.report(vm, ends)
    for (const { task, run, isUnwanted } of this.scheduler.ordersFor(this.committed, nameOf(vm))) {
      const step = this.committed.stepOf(task)
      if (isUnwanted || vm.runs.get(task)?.run === run || step === undefined) continue
      vm.runs.set(task, { run, durationMs: step.isLongRunning ? 500 : step.estimateMs, isLongRunning: step.isLongRunning, workedMs: 0, stopAt: Number.POSITIVE_INFINITY })
    }
  }

  private report (vm: Vm, ends: readonly EndedRun[]): void {
    const { zone, processors, number, boot } = vm
    const clockMs = 5000 + this.now
    const isDraining = this.now < vm.drainsUntil
    const coldMs = Math.max(0, vm.coldUntil - this.now)
    this.scheduler.reportWorker(`agent-${number}`, reportOf(nameOf(vm), {
      bornMs: boot, clockMs, zone, labels: labelsOf(vm), isDraining, capacity: { processors, memoryMb: 10_000, accelerators: 0 }, ...(isDraining ? { remainingMs: vm.drainsUntil - this.now + 5000 } : {}), ...(coldMs > 0 ? { coldMs } : {})
    }), this.now)
    this.scheduler.grantLease(nameOf(vm))
    const running: RunningTask[] = [...vm.runs].map(([task, { run, workedMs, durationMs }]) => ({ task, run, checkpoint: '', percent: Math.min(100, 100 * workedMs / durationMs), ageMs: workedMs }))
    this.scheduler.look({ worker: nameOf(vm), clockMs, running, ends }, { now: this.now, wallClock: this.now })
  }
}

function createScheduler (): JobScheduler {
  return new JobScheduler({
    leases: { durationMs: 10_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
}

function nameOf ({ number, boot }: Vm): string { return `agent-${number}/w${number}@${boot}` }

function labelsOf ({ number }: Vm): readonly string[] { return number % 2 === 0 ? ['a', 'r1', 'even'] : ['a', 'r1'] }
