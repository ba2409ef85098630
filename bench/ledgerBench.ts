import { randomUUID } from 'node:crypto'
import { open } from 'node:fs/promises'
import { join } from 'node:path'
import type { CatalogueEntry } from '../src/core/catalogue'
import type { LedgerCommand } from '../src/core/ledger'
import { createFakeWorker } from '../src/fakes'
import { createControlClient, type ControlClient } from '../src/tasks/control'
import { ConnectionPool } from '../src/transport'
import { ProcessSite, sleep, waitFor } from './processSite'
import { percentile, round } from './random'

const serialCommits = 400
const parallelCommits = 20_000
const parallelism = 256
const syncs = 200
const tasks = 3000
const workers = 20
const kills = 20

const entry: CatalogueEntry = {
  name: 'pairings', organisation: 'cartago', workClass: 'batch', urgent: false, cell: 'main', limits: { processors: 0.01, memoryMb: 1, accelerators: 0, concurrency: 1, queue: 0, deadlineMs: 1000, instances: 0 }
}

function createClient (site: ProcessSite, callTimeoutMs = 1000): ControlClient {
  return createControlClient({
    members: site.controlMembers,
    pool: new ConnectionPool({ idleMs: 15_000, maximumPerAddress: parallelism }),
    peerKey: site.peerKey,
    callTimeoutMs,
    totalTimeoutMs: 10_000,
    now: () => performance.now()
  })
}

function submission (): LedgerCommand {
  return { type: 'submitTask', taskId: randomUUID(), entry: entry.name, input: '', at: 0 }
}

async function putEntry (client: ControlClient): Promise<void> {
  await waitFor(async () => (await client.propose({ type: 'changeEntry', changeId: 'first', by: 'bench', at: 0, name: entry.name, expectedVersion: 0, entry })).ok)
}

/** Commits and task starts of three real replicas with real syncs. */
export async function runLedgerBench (): Promise<object> {
  const fakes = await Promise.all(Array.from({ length: workers }, async (_, index) => await createFakeWorker({
    name: `worker-${index}`, rack: `rack-${index}`, zone: 'a', capacity: { processors: 64, memoryMb: 250_000, accelerators: 0 }, clock: () => performance.now(), taskMs: () => 50, reportLagMs: 0
  })))
  const site = new ProcessSite()
  await site.startControls(3)
  const client = createClient(site)
  await putEntry(client)
  const latencies: number[] = []
  for (let index = 0; index < serialCommits; index += 1) {
    const sentAt = performance.now()
    await client.propose(submission())
    latencies.push(performance.now() - sentAt)
  }
  const commitsPerSecond = await measureThroughput(client)
  const syncP50 = await measureSync(site.folder)
  const startsPerSecond = await measureStarts(fakes.map(worker => ({ name: worker.model.name, port: worker.address.port })), () => fakes.reduce((sum, worker) => sum + worker.model.runs.length, 0))
  await site.close()
  await Promise.all(fakes.map(async worker => await worker.close()))
  return {
    commits_per_second: round(commitsPerSecond, 0),
    commit_p50_ms: round(percentile(latencies, 0.5)),
    commit_p99_ms: round(percentile(latencies, 0.99)),
    task_starts_per_second: round(startsPerSecond, 0),
    sync_p50_ms: round(syncP50, 3)
  }
}

async function measureThroughput (client: ControlClient): Promise<number> {
  let left = parallelCommits
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: parallelism }, async () => {
    while (left > 0) {
      left -= 1
      await client.propose(submission())
    }
  }))
  return parallelCommits * 1000 / (performance.now() - startedAt)
}

async function measureSync (folder: string): Promise<number> {
  const file = await open(join(folder, 'sync-probe'), 'a')
  const times: number[] = []
  for (let index = 0; index < syncs; index += 1) {
    const startedAt = performance.now()
    await file.appendFile('x'.repeat(300))
    await file.datasync()
    times.push(performance.now() - startedAt)
  }
  await file.close()
  return percentile(times, 0.5)
}

/** Submits tasks as fast as they commit and measures how fast they start on workers. */
async function measureStarts (targets: ReadonlyArray<{ readonly name: string, readonly port: number }>, started: () => number): Promise<number> {
  const site = new ProcessSite()
  const table = targets.map(({ name, port }) => `${name} = "127.0.0.1:${port}"`)
  await site.startControls(3, ['renew_ms = 500', '[control.workers]', ...table])
  const client = createClient(site)
  await putEntry(client)
  const before = started()
  const startedAt = performance.now()
  await Promise.all(Array.from({ length: tasks }, async () => await client.propose(submission())))
  await waitFor(async () => started() - before >= tasks)
  const perSecond = tasks * 1000 / (performance.now() - startedAt)
  await site.close()
  return perSecond
}

/** How long commits stop when the leader is killed. */
export async function runFailoverBench (): Promise<object> {
  const site = new ProcessSite()
  await site.startControls(3)
  const client = createClient(site, 300)
  await putEntry(client)
  const gaps: number[] = []
  for (let index = 0; index < kills; index += 1) {
    const view = await client.query({ type: 'status' })
    const leader = view.unwrap().status?.leader ?? ''
    await site.kill(leader)
    const killedAt = performance.now()
    await waitFor(async () => (await client.propose(submission())).ok)
    gaps.push(performance.now() - killedAt)
    site.start('control', leader)
    await waitFor(async () => {
      const replicas = (await client.query({ type: 'status' })).unwrap().status?.replicas ?? []
      return replicas.every(replica => replica.isVoter && replica.silentMs < 500)
    })
    await sleep(100)
  }
  await site.close()
  return { kills, unavailable_p50_ms: round(percentile(gaps, 0.5), 0), unavailable_max_ms: round(Math.max(...gaps), 0) }
}
