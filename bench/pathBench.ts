import { spawn } from 'node:child_process'
import { callHttp } from '../src/cli/httpCall'
import { findFreePorts } from '../src/fakes'
import type { Address } from '../src/transport'
import { createCountingRelay } from './countingRelay'
import { runClosedLoop, runPaced, type LoadResult } from './load'
import { ProcessSite, sleep, waitFor } from './processSite'
import { percentile, round } from './random'

const connections = 60
const measureMs = 6000
const warmUpMs = 2000
const pacedPerSecond = 500
const idleMs = 15_000
const lightPerSecond = 50
const path = '/services/matching/shade'

async function withSite<Value> (slots: number, peersOf: (site: ProcessSite) => Promise<readonly Address[]>, measure: (site: ProcessSite, endpoint: Address) => Promise<Value>): Promise<Value> {
  const site = new ProcessSite()
  const [port = 0] = await findFreePorts(1)
  const endpoint = spawn(process.execPath, ['--import', 'tsx', 'bench/endpointProcess.ts', String(port)], { stdio: 'inherit' })
  try {
    await site.startControls(1)
    await site.startEntry()
    const limits = { processors: 1, memoryMb: 1, concurrency: slots, queue: 1000, deadlineMs: 10_000 }
    await waitFor(async () => (await site.operate('PUT', '/catalogue/matching', { expectedVersion: 0, changeId: 'first', entry: { organisation: 'tonos', workClass: 'service', limits } })).status === 200)
    await site.startAgent({ host: '127.0.0.1', port }, await peersOf(site), slots)
    await waitFor(async () => (await callHttp({ address: site.callers, method: 'GET', path })).status === 200)
    return await measure(site, { host: '127.0.0.1', port })
  } finally {
    await site.close()
    endpoint.kill()
  }
}

/** What the path through an entry process and an agent adds to a direct connection. */
export async function runPathBench (): Promise<object> {
  return await withSite(64, async site => [site.peers], async (site, endpoint) => {
    await runClosedLoop(site.callers, path, connections, warmUpMs)
    await runClosedLoop(endpoint, '/shade', connections, warmUpMs)
    const direct = await runClosedLoop(endpoint, '/shade', connections, measureMs)
    const through = await runClosedLoop(site.callers, path, connections, measureMs)
    const pacedDirect = await runPaced(endpoint, '/shade', pacedPerSecond, measureMs)
    const pacedThrough = await runPaced(site.callers, path, pacedPerSecond, measureMs)
    return {
      requests_per_second: round(through.perSecond, 0),
      direct_requests_per_second: round(direct.perSecond, 0),
      failed: through.failed + pacedThrough.failed,
      ...added('', through, direct),
      paced_per_second: pacedPerSecond,
      ...added('paced_', pacedThrough, pacedDirect)
    }
  })
}

function added (prefix: string, through: LoadResult, direct: LoadResult): object {
  const difference = (share: number): number => round(percentile(through.latenciesMs, share) - percentile(direct.latenciesMs, share))
  return {
    [`${prefix}added_p50_ms`]: difference(0.5),
    [`${prefix}added_p99_ms`]: difference(0.99),
    [`${prefix}direct_p50_ms`]: round(percentile(direct.latenciesMs, 0.5)),
    [`${prefix}direct_p99_ms`]: round(percentile(direct.latenciesMs, 0.99))
  }
}

/** Memory, processor time and control traffic of an agent as its own process, which announces to three addresses. */
export async function runFootprintBench (): Promise<object> {
  const relays: Array<Awaited<ReturnType<typeof createCountingRelay>>> = []
  const peersOf = async (site: ProcessSite): Promise<readonly Address[]> => {
    for (let index = 0; index < 3; index += 1) relays.push(await createCountingRelay(site.peers))
    return [site.peers, ...relays.slice(1).map(relay => relay.address)]
  }
  return await withSite(8, peersOf, async site => {
    const counted = (): number => relays.reduce((sum, relay) => sum + relay.bytes(), 0)
    const measure = async (work: Promise<unknown>): Promise<object> => {
      const [cpu, bytes, startedAt] = [site.cpuSeconds('agent'), counted(), performance.now()]
      await work
      const seconds = (performance.now() - startedAt) / 1000
      return {
        rss_mb: round(site.rssMb('agent'), 1),
        cpu_percent_of_core: round((site.cpuSeconds('agent') - cpu) / seconds * 100),
        // Two of the three addresses are counted.
        control_kb_per_s: round((counted() - bytes) / 1000 / seconds * 3 / 2)
      }
    }
    await runClosedLoop(site.callers, path, connections, warmUpMs)
    await sleep(warmUpMs)
    const idle = await measure(sleep(idleMs))
    const light = await measure(runPaced(site.callers, path, lightPerSecond, idleMs))
    return { idle, at_50_per_s: light, entry_rss_mb: round(site.rssMb('entry'), 1), control_rss_mb: round(site.rssMb('c1'), 1) }
  })
}
