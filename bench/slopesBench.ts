import { createTRPCClient } from '@trpc/client'
import { createFakeWorker } from '../src/fakes'
import type { EntryRouter } from '../src/tasks/entry'
import { ConnectionPool, createPeerLink } from '../src/transport'
import { ProcessSite, sleep } from './processSite'
import { round } from './random'

const sizes = [0, 100, 200, 400]
const settleMs = 6000
const measureMs = 8000
const renewMs = 1000

interface Point {
  readonly count: number
  readonly cpu_percent_of_core: number
  readonly rss_mb: number
}

/** Processor time and memory of a control leader by workers, and of an entry process by agents. */
export async function runSlopesBench (): Promise<object> {
  const byWorkers: Point[] = []
  const byAgents: Point[] = []
  for (const count of sizes) {
    byWorkers.push(await measureWorkers(count))
    byAgents.push(await measureAgents(count))
  }
  return {
    control_by_workers: byWorkers,
    control_cpu_percent_per_worker: slope(byWorkers, point => point.cpu_percent_of_core),
    control_mb_per_worker: slope(byWorkers, point => point.rss_mb),
    entry_by_agents: byAgents,
    entry_cpu_percent_per_agent: slope(byAgents, point => point.cpu_percent_of_core),
    entry_mb_per_agent: slope(byAgents, point => point.rss_mb)
  }
}

async function measureWorkers (count: number): Promise<Point> {
  const workers = await Promise.all(Array.from({ length: count }, async (_, index) => await createFakeWorker({
    name: `worker-${index}`, rack: `rack-${index}`, zone: 'a', capacity: { processors: 64, memoryMb: 250_000, accelerators: 1 }, clock: () => performance.now(), taskMs: () => 50, reportLagMs: 0
  })))
  const site = new ProcessSite()
  await site.startControls(1, [`renew_ms = ${renewMs}`, '[control.workers]', ...workers.map(worker => `${worker.model.name} = "127.0.0.1:${worker.address.port}"`)])
  const point = await measure(site, 'c1', count)
  await site.close()
  await Promise.all(workers.map(async worker => await worker.close()))
  return point
}

async function measureAgents (count: number): Promise<Point> {
  const site = new ProcessSite()
  await site.startControls(1)
  await site.startEntry()
  const pool = new ConnectionPool({ idleMs: 15_000, maximumPerAddress: count + 1 })
  const timers = Array.from({ length: count }, (_, index) => {
    const client = createTRPCClient<EntryRouter>({ links: [createPeerLink({ address: site.peers, pool, peerKey: site.peerKey, timeoutMs: 2000 })] })
    const announcement = { agent: `agent-${index}`, incarnation: 'i', address: '127.0.0.1:1', zone: 'a', entries: ['matching'], slots: 8, queue: 2, isDraining: false, load: { busy: 0, yours: 0 }, revision: 0 }
    let timer = setTimeout(() => { timer = setInterval(() => { client.announce.mutate(announcement).catch(() => {}) }, 1000) }, index * 1000 / count)
    return () => clearInterval(timer)
  })
  const point = await measure(site, 'entry', count)
  for (const stop of timers) stop()
  pool.close()
  await site.close()
  return point
}

async function measure (site: ProcessSite, name: string, count: number): Promise<Point> {
  await sleep(settleMs)
  const [cpu, startedAt] = [site.cpuSeconds(name), performance.now()]
  await sleep(measureMs)
  const seconds = (performance.now() - startedAt) / 1000
  return { count, cpu_percent_of_core: round((site.cpuSeconds(name) - cpu) / seconds * 100), rss_mb: round(site.rssMb(name), 1) }
}

/** The least-squares slope of a figure over the count. */
function slope (points: readonly Point[], valueOf: (point: Point) => number): number {
  const meanCount = points.reduce((sum, point) => sum + point.count, 0) / points.length
  const meanValue = points.reduce((sum, point) => sum + valueOf(point), 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.count - meanCount) * (valueOf(point) - meanValue), 0)
  const variance = points.reduce((sum, point) => sum + (point.count - meanCount) ** 2, 0)
  return round(covariance / variance, 4)
}
