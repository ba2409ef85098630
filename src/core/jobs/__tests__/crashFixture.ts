import { JobBook, JobScheduler, type Step } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from './fixtures'

/** The first task of the first job. */
export const culprit = `${jobIdOf(1)}.0.0.0`
/** Age of runs at a crash right after their start, in milliseconds. */
export const freshMs = 11

/** A scheduler whose VMs agent-1, agent-2, … crash and restart as the spec says; each decision is committed at once. */
export class CrashFixture {
  readonly committed = new JobBook()
  scheduler = this.createScheduler()
  now = 0
  /** Tasks whose runs are to be stopped, in order. */
  readonly stopped: string[] = []
  private readonly boots = new Map<number, number>()
  private readonly labels = new Map<number, readonly string[]>()
  private clockMs = 5000

  private createScheduler (): JobScheduler {
    return new JobScheduler({
      leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
    })
  }

  /** Starts the leadership of another replica, which knows only what is committed. */
  changeLeader (): void {
    this.scheduler = this.createScheduler()
    this.scheduler.begin(this.committed, this.now)
    for (const vm of this.boots.keys()) this.report(vm)
  }

  nameOf (vm: number): string { return `agent-${vm}/w${vm}@${this.boots.get(vm) ?? 1}` }

  /** Adds VMs with labels which differ from the usual ones. */
  label (label: string, vms: readonly number[]): void {
    for (const vm of vms) {
      this.labels.set(vm, ['a', 'r1', label])
      this.report(vm)
    }
  }

  report (vm: number): void {
    if (!this.boots.has(vm)) this.boots.set(vm, 1)
    this.clockMs += 1
    this.scheduler.reportWorker(`agent-${vm}`, reportOf(this.nameOf(vm), { bornMs: this.boots.get(vm) ?? 1, clockMs: this.clockMs, labels: this.labels.get(vm) ?? ['a', 'r1'] }), this.now)
    this.scheduler.grantLease(this.nameOf(vm))
  }

  accept (job: number, steps: readonly Step[] = [stepOf()]): void { this.scheduler.accept(submissionOf(job, steps), queueOf(), this.now) }

  /** Advances the clock, lets all workers report, plans, and commits. */
  plan (elapsedMs = 100): void {
    this.now += elapsedMs
    for (const vm of this.boots.keys()) this.report(vm)
    this.scheduler.plan({ now: this.now, wallClock: this.now })
    for (const operation of this.scheduler.takeOperations()) this.committed.apply(operation)
    for (const { task } of this.scheduler.takeStops()) this.stopped.push(task)
  }

  /** Crashes a VM under all of its runs, which are this old, for good. */
  lose (vm: number, ageOf: (task: string) => number = () => freshMs): void {
    const worker = this.nameOf(vm)
    const runs = [...this.scheduler.ordersFor(this.committed, worker)].map(({ task, run }) => ({ task, run, ageMs: ageOf(task) }))
    this.scheduler.workerEnded(worker, this.now, { sinceMs: 500, runs })
    this.boots.delete(vm)
  }

  /** Crashes a VM under all of its runs, which are this old; it is back at once as a new boot. */
  crash (vm: number, ageOf: (task: string) => number = () => freshMs): void {
    const boot = this.boots.get(vm) ?? 1
    this.lose(vm, ageOf)
    this.boots.set(vm, boot + 1)
    this.report(vm)
    this.plan()
  }

  /** The VM on which a task runs; undefined if it doesn't. */
  vmOf (task: string): number | undefined {
    const worker = this.committed.task(task)?.worker ?? ''
    return [...this.boots.keys()].find(vm => this.nameOf(vm) === worker)
  }

  /** Lists a run as this old. */
  list (task: string, ageMs: number): void {
    const { run = 0, worker = '' } = this.committed.task(task) ?? {}
    this.clockMs += 1
    this.scheduler.look({ worker, clockMs: this.clockMs, running: [{ task, run, checkpoint: '', percent: 10, ageMs }], ends: [] }, { now: this.now, wallClock: this.now })
  }
}

/** A fixture with VMs from 1 on and jobs from 1 on, after the first plan. */
export function fixtureWith (vms: number, ...jobs: ReadonlyArray<readonly Step[]>): CrashFixture {
  const fixture = new CrashFixture()
  fixture.scheduler.begin(fixture.committed, 0)
  for (let vm = 1; vm <= vms; vm += 1) fixture.report(vm)
  jobs.forEach((steps, number) => fixture.accept(number + 1, steps))
  fixture.plan()
  return fixture
}
