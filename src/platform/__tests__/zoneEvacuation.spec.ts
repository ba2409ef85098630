import { expect } from 'chai'
import { Counters, createLogger } from '../../observability'
import { createDevManifest, createJobDevSite, devQueue, type JobDevSite, type SiteAnswer } from '../standIn'

const waitLimitMs = 15_000
const phase = { count: 8, cpu: 500, memMb: 100, estimateMs: 50 }
/** How long after the acknowledgement tasks may still start in the zone, in milliseconds. */
const boundMs = 200

describe('evacuation of a zone in a job deployment', () => {
  let site: JobDevSite
  let jobs = 0

  beforeEach(async () => {
    const logger = createLogger({ level: 'error', write: () => {} })
    site = await createJobDevSite({
      workers: 4,
      taskMs: 60,
      zones: ['a', 'b'],
      contracts: ['places'],
      surroundings: () => ({ now: () => performance.now(), wallClock: Date.now, random: Math.random, logger, counters: new Counters() })
    })
    await waitUntil('the manifest', async () => (await site.operate('PUT', '/-/config', createDevManifest(1))).status === 200)
  })

  afterEach(async () => { await site.close() })

  async function waitUntil (what: string, isTrue: () => Promise<boolean>): Promise<void> {
    const giveUpAt = performance.now() + waitLimitMs
    while (!await isTrue()) {
      if (performance.now() > giveUpAt) throw new Error(`timed out waiting for ${what}`)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
  }

  const submit = async (path: string): Promise<SiteAnswer> => await site.call('POST', path, { spec: 's', phases: [phase] })

  async function runJob (): Promise<void> {
    jobs += 1
    const path = devQueue.pathPrefix + jobs.toString(16).padStart(16, '0')
    await waitUntil('the acceptance', async () => (await submit(path)).status === 200)
    await waitUntil('the end', async () => (await site.call('GET', path)).body === '{"state":"complete"}')
  }

  /** Number of tasks started in a zone; workers are assigned to the zones round-robin. */
  const startsIn = (zone: 'a' | 'b'): number => site.workers
    .filter((_, position) => position % 2 === (zone === 'a' ? 0 : 1))
    .reduce((sum, worker) => sum + worker.starts.size, 0)

  it('starts no task in the zone after the acknowledgement, loses no task, and uses the zone again after the withdrawal', async () => {
    await waitUntil('work in both zones', async () => {
      await runJob()
      return startsIn('a') > 0 && startsIn('b') > 0
    })
    const burst = Promise.all([runJob(), runJob(), runJob()])
    expect((await site.operate('POST', '/-/evacuate/a')).status).to.equal(200)
    await new Promise(resolve => setTimeout(resolve, boundMs))
    const startsBefore = startsIn('a')
    await burst
    await Promise.all([runJob(), runJob()])
    expect(startsIn('a')).to.equal(startsBefore)
    expect((await site.operate('POST', '/-/evacuate/a')).status, 'sent again').to.equal(200)
    expect((await site.operate('DELETE', '/-/evacuate/a')).status).to.equal(200)
    await waitUntil('work in the zone', async () => {
      await runJob()
      return startsIn('a') > startsBefore
    })
    expect(site.workers.flatMap(worker => [...worker.starts.values()]).every(count => count === 1)).to.equal(true)
  })

  it('refuses jobs with 503 and Retry-After while all zones are evacuated, and accepts them afterwards', async () => {
    for (const zone of ['a', 'b']) expect((await site.operate('POST', `/-/evacuate/${zone}`)).status).to.equal(200)
    const path = `${devQueue.pathPrefix}abcdef0123456789`
    let refused: SiteAnswer | undefined
    // Right after an election the leader does not know the workers yet and accepts jobs.
    await waitUntil('a refusal', async () => {
      jobs += 1
      refused = await submit(devQueue.pathPrefix + jobs.toString(16).padStart(16, '0'))
      return refused.status !== 200
    })
    expect([refused?.status, refused?.headers['retry-after']]).to.deep.equal([503, '10'])
    expect(startsIn('a') + startsIn('b')).to.equal(0)
    expect((await site.operate('DELETE', '/-/evacuate/b')).status).to.equal(200)
    expect((await submit(path)).status).to.equal(200)
    await waitUntil('the end', async () => (await site.call('GET', path)).body === '{"state":"complete"}')
    expect(startsIn('a')).to.equal(0)
  })
})
