import { mkdtempSync, rmSync, statSync, readdirSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { CatalogueEntry } from '../src/core/catalogue'
import { InterferenceModel } from '../src/core/interference'
import { Ledger, subtractResources, type LedgerCommand } from '../src/core/ledger'
import { InterferencePlacement, Planner, SpreadingPlacement, type PlacementTask, type PlacementWorker } from '../src/core/placement'
import { readFolder, ReplicaStore } from '../src/storage'
import { createRandom, percentile, round } from './random'

const workers = 990
const accelerators = 1300
const services = 6000
const batch = 15_000
const organisations = 62
const startsPerRound = 35
const rounds = 200
const changes = 100_000
const roundsPerSecondTarget = 4

function entryOf (index: number, workClass: 'service' | 'batch'): CatalogueEntry {
  return {
    name: `${workClass}-${index}`,
    organisation: `organisation-${index % organisations}`,
    workClass,
    urgent: false,
    cell: 'main',
    limits: { processors: 1, memoryMb: 4000, accelerators: 0, concurrency: 8, queue: 100, deadlineMs: 1000, instances: 0 }
  }
}

/** A ledger with the running tasks of the size which the project is built for. */
function fillLedger (): Ledger {
  const ledger = new Ledger()
  const random = createRandom(1)
  for (let index = 0; index < organisations; index += 1) {
    for (const workClass of ['service', 'batch'] as const) {
      const entry = entryOf(index, workClass)
      ledger.apply({ type: 'changeEntry', changeId: entry.name, by: 'bench', at: 0, name: entry.name, expectedVersion: 0, entry })
    }
  }
  for (let index = 0; index < workers; index += 1) {
    const own = index < accelerators - workers ? 2 : 1
    ledger.apply({ type: 'registerWorker', name: `worker-${index}`, incarnation: 'i', capacity: { processors: 64, memoryMb: 250_000, accelerators: own }, rack: `rack-${Math.floor(index / 30)}`, zone: String(index % 6), at: 0 })
  }
  for (let index = 0; index < services + batch; index += 1) {
    const entry = entryOf(index % organisations, index < services ? 'service' : 'batch')
    const taskId = `task-${index}`
    ledger.apply({ type: 'submitTask', taskId, entry: entry.name, at: index, input: 'x'.repeat(100) })
    const worker = `worker-${Math.floor(random() * workers)}`
    ledger.apply({ type: 'assignTask', taskId, attempt: 1, worker, reservation: { processors: 1, memoryMb: 4000, accelerators: 0 }, at: index })
  }
  return ledger
}

/** Decisions about placement at full size, with the interference model filled. */
export function runPlacementBench (): object {
  const ledger = fillLedger()
  const model = new InterferenceModel({ step: 0.2, priorSamples: 3 })
  const random = createRandom(2)
  const names = Array.from({ length: organisations }, (_, index) => [`service-${index}`, `batch-${index}`]).flat()
  for (const entry of names) for (const neighbor of names) model.record({ entry, neighbors: [neighbor], speed: 0.7 + 0.3 * random() })
  const planner = new Planner({ policy: new InterferencePlacement(new SpreadingPlacement(), model, 1), maximumAssignments: 500, agingMs: 600_000, sampleSize: 64, random })
  const neighbors = new Map<string, string[]>()
  for (const task of ledger.liveTasks()) {
    const list = neighbors.get(task.assignment?.worker ?? '') ?? []
    list.push(task.entry)
    neighbors.set(task.assignment?.worker ?? '', list)
  }
  const open: readonly PlacementWorker[] = ledger.workers().map(worker => ({ ...worker, room: subtractResources(worker.capacity, ledger.reservedOn(worker.name)), neighbors: neighbors.get(worker.name) ?? [], openings: 100 }))
  const times: number[] = []
  const cpuBefore = process.cpuUsage()
  const startedAt = performance.now()
  for (let round = 0; round < rounds; round += 1) {
    const queued: readonly PlacementTask[] = Array.from({ length: startsPerRound }, (_, index) => ({
      taskId: `new-${index}`, entry: `batch-${index % organisations}`, organisation: `organisation-${index % organisations}`, isService: false, isUrgent: false, waitingSince: index, reservation: { processors: 1, memoryMb: 4000, accelerators: index % 10 === 0 ? 1 : 0 }, avoided: []
    }))
    const roundAt = performance.now()
    planner.plan({ tasks: queued, workers: open, allCapacities: ledger.workers(), remainingQuota: () => undefined, now: 1000 })
    times.push(performance.now() - roundAt)
  }
  const seconds = (performance.now() - startedAt) / 1000
  const cpu = process.cpuUsage(cpuBefore)
  const cpuPerRoundMs = (cpu.user + cpu.system) / 1000 / rounds
  return {
    workers,
    running_tasks: ledger.liveTasks().length,
    decisions_per_second: round(rounds * startsPerRound / seconds, 0),
    decision_p99_ms: round(percentile(times, 0.99) / startsPerRound, 3),
    round_p99_ms: round(percentile(times, 0.99)),
    core_percent_at_140_per_s: round(cpuPerRoundMs * roundsPerSecondTarget / 10, 1),
    rss_mb: round(process.memoryUsage().rss / 2 ** 20, 0)
  }
}

/** A restart from a long log and from a snapshot of full size. */
export async function runRecoveryBench (): Promise<object> {
  const folder = mkdtempSync(join(tmpdir(), 'recovery-'))
  const { store } = (await ReplicaStore.open(folder)).unwrap()
  const entries = Array.from({ length: changes }, (_, index) => ({ index: index + 1, term: 1, payload: JSON.stringify(changeOf(index)) }))
  for (let start = 0; start < changes; start += 1000) await store.write({ entries: entries.slice(start, start + 1000) })
  await store.close()
  const logMs = measure(() => {
    const ledger = new Ledger()
    for (const entry of readFolder(folder).entries) ledger.apply(JSON.parse(entry.payload) as LedgerCommand)
  })
  rmSync(folder, { recursive: true })
  const again = (await ReplicaStore.open(folder)).unwrap()
  const full = fillLedger()
  let payload = ''
  const saveMs = measure(() => { payload = JSON.stringify(full.save()) })
  await again.store.compact({ index: 1, term: 1, payload }, [])
  await again.store.close()
  const snapshotMs = measure(() => new Ledger().load(JSON.parse(readFolder(folder).snapshot?.payload ?? '') as ReturnType<Ledger['save']>))
  const bytes = readdirSync(folder).reduce((sum, name) => sum + statSync(join(folder, name)).size, 0)
  rmSync(folder, { recursive: true })
  return {
    changes,
    restart_from_log_ms: round(logMs, 0),
    restart_from_snapshot_ms: round(snapshotMs, 0),
    snapshot_save_ms: round(saveMs, 0),
    snapshot_mb: round(bytes / 1e6, 1),
    rss_mb: round(process.memoryUsage().rss / 2 ** 20, 0)
  }
}

function changeOf (index: number): LedgerCommand {
  const entry = entryOf(index % 500, 'batch')
  return { type: 'changeEntry', changeId: String(index), by: 'bench', at: index, name: entry.name, expectedVersion: Math.floor(index / 500), entry }
}

function measure (work: () => void): number {
  const startedAt = performance.now()
  work()
  return performance.now() - startedAt
}
