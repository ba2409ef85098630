import { JobBook, JobScheduler, plainStep, type AssignRun, type OrderName } from '../src/core/jobs'
import { percentile, round } from './random'

const workers = 74
const waitingTasks = 2000
const tasksPerJob = 10
/** Rounds in which the pool fills, as unproven workers take few runs at a time; they are not measured. */
const fillingRounds = 30
const rounds = 200
const roundMs = 20
/** Tasks that end and jobs of one task that come before each round: 1,000 a second. */
const endsPerRound = 20
const zones = ['a', 'b', 'c', 'd']

/** Planning rounds of a full pool with 2,000 waiting tasks, for each order, without and with fair shares. */
export function runPlanBench (): readonly object[] {
  return (['due', 'feasible'] as const).flatMap(order => [false, true].map(sharesFairly => measurePlans(order, sharesFairly)))
}

function measurePlans (order: OrderName, sharesFairly: boolean): object {
  const scheduler = new JobScheduler({ leases: { durationMs: 600_000, maximumDrift: 0.02, formerLeaderMs: 0 }, health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }, order, sharesFairly })
  scheduler.begin(new JobBook(), 0)
  for (let number = 0; number < workers; number += 1) {
    const processors = number % 3 === 2 ? 48 : 32
    scheduler.reportWorker(`agent-${number}`, { worker: `agent-${number}/w@1`, bornMs: 1, pool: 'workers', zone: 'a', rack: 'r', labels: [], capacity: { processors, memoryMb: 1e6, accelerators: 0 }, isDraining: false, clockMs: 0 }, 0)
    scheduler.grantLease(`agent-${number}/w@1`)
  }
  const queue = { name: 'q', host: 'h', pathPrefix: '/', pool: 'workers', priority: 1, maximumAttempts: 2, slackFactor: 2, targetLatencyMs: 60_000, needsAdvice: false }
  const capacity = Array.from({ length: workers }, (_, number) => number % 3 === 2 ? 48 : 32).reduce((sum, count) => sum + count, 0)
  const jobs = Math.ceil((capacity + waitingTasks) / tasksPerJob)
  for (let number = 0; number < jobs; number += 1) {
    const steps = [{ ...plainStep, count: tasksPerJob, processors: 1, estimateMs: 500 + 37 * (number % 50) }]
    scheduler.accept({ jobId: number.toString(16).padStart(16, '0'), spec: '', steps, originZone: zones[number % zones.length] }, queue, number % 900)
  }
  let nextJob = jobs
  const times: number[] = []
  const cpuTimes: number[] = []
  const sequences = new Map<string, number>()
  const running: AssignRun[] = []
  for (let number = 0; number < fillingRounds + rounds; number += 1) {
    const moment = { now: 1000 + roundMs * number, wallClock: 1000 + roundMs * number }
    for (const { task, run, worker } of number < fillingRounds ? [] : running.splice(0, endsPerRound)) {
      const sequence = (sequences.get(worker) ?? 0) + 1
      sequences.set(worker, sequence)
      scheduler.look({ worker, clockMs: moment.now, running: [], ends: [{ sequence, task, run, end: 'done', checkpoint: '' }] }, moment)
      scheduler.accept({ jobId: (nextJob++).toString(16).padStart(16, '0'), spec: '', steps: [{ ...plainStep, processors: 1, estimateMs: 800 }], originZone: zones[number % zones.length] }, queue, moment.wallClock)
    }
    const [startedAt, cpuAt] = [performance.now(), process.cpuUsage()]
    scheduler.plan(moment)
    const { user, system } = process.cpuUsage(cpuAt)
    if (number >= fillingRounds) {
      times.push(performance.now() - startedAt)
      cpuTimes.push((user + system) / 1000)
    }
    for (const operation of scheduler.takeOperations()) if (operation.type === 'assignRun') running.push(operation)
  }
  const waiting = scheduler.describeLoad({ now: 8000, wallClock: 8000 }).waitingTasks
  return { order, sharesFairly, workers, waiting, cpu_median_ms: round(percentile(cpuTimes, 0.5), 2), cpu_p99_ms: round(percentile(cpuTimes, 0.99), 2), median_ms: round(percentile(times, 0.5), 2), p99_ms: round(percentile(times, 0.99), 2), most_ms: round(Math.max(...times), 2) }
}
