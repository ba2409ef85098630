import { expect } from 'chai'
import { Counters, createLogger } from '../../observability'
import { createDevManifest, createJobDevSite, devQueue, type JobDevSite } from '../standIn'

const waitLimitMs = 15_000
const id = 'abcdef0123456789'
const path = `${devQueue.pathPrefix}${id}`
const phase = { count: 2, cpu: 500, memMb: 100, estimateMs: 50 }

describe('a job deployment', () => {
  let site: JobDevSite

  beforeEach(async () => {
    const logger = createLogger({ level: 'error', write: () => {} })
    site = await createJobDevSite({
      workers: 2,
      taskMs: 60,
      surroundings: () => ({ now: () => performance.now(), wallClock: Date.now, random: Math.random, logger, counters: new Counters() })
    })
  })

  afterEach(async () => { await site.close() })

  async function waitUntil (what: string, isTrue: () => Promise<boolean>): Promise<void> {
    const giveUpAt = performance.now() + waitLimitMs
    while (!await isTrue()) {
      if (performance.now() > giveUpAt) throw new Error(`timed out waiting for ${what}`)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
  }

  const putManifest = async (version: number): Promise<void> => await waitUntil('the manifest', async () => (await site.operate('PUT', '/-/config', createDevManifest(version))).status === 200)
  const submit = async (): Promise<void> => await waitUntil('the acceptance', async () => (await site.call('POST', path, { spec: 's', phases: [phase, { ...phase, dependsOn: [0] }] })).status === 200)

  it('answers 503 to submissions until it has a manifest', async () => {
    await waitUntil('a leader', async () => (await site.operate('GET', '/-/config')).status === 503)
    expect((await site.call('POST', path, { spec: 's', phases: [phase] })).status).to.equal(503)
  })

  it('runs each task of an accepted job exactly once and reports the job as complete', async () => {
    await putManifest(1)
    await submit()
    await waitUntil('the end', async () => (await site.call('GET', path)).body === '{"state":"complete"}')
    const starts = site.workers.flatMap(worker => [...worker.starts])
    expect(starts.map(([task]) => task).sort()).to.deep.equal(['0.0', '0.1', '1.0', '1.1'].map(position => `${id}.0.${position}`))
    expect(starts.every(([, count]) => count === 1)).to.equal(true)
  })

  it('keeps one job for one id, also when it is submitted again after its end', async () => {
    await putManifest(1)
    await submit()
    await submit()
    await waitUntil('the end', async () => (await site.call('GET', path)).body === '{"state":"complete"}')
    await submit()
    expect((await site.call('GET', path)).body).to.equal('{"state":"complete"}')
    expect(site.workers.flatMap(worker => [...worker.starts.values()]).every(count => count === 1)).to.equal(true)
  })

  it('cancels a job, and answers 410 for a job that was never submitted', async () => {
    await putManifest(1)
    await submit()
    expect((await site.call('DELETE', path)).status).to.equal(200)
    expect((await site.call('GET', path)).body).to.equal('{"state":"cancelled"}')
    expect((await site.call('GET', `${devQueue.pathPrefix}0000000000000000`)).status).to.equal(410)
    expect((await site.call('DELETE', `${devQueue.pathPrefix}0000000000000000`)).status).to.equal(410)
    expect((await site.call('GET', '/nowhere/')).status).to.equal(404)
    expect((await site.call('GET', devQueue.pathPrefix)).body).to.equal('{"pending":0}')
  })

  it('returns the manifest as it was sent, and keeps the highest version', async () => {
    await putManifest(5)
    await putManifest(3)
    expect(JSON.parse((await site.operate('GET', '/-/config')).body)).to.deep.equal(createDevManifest(5))
    expect((await site.operate('PUT', '/-/config', { version: 9 })).status).to.equal(400)
    expect(JSON.parse((await site.operate('GET', '/-/config')).body)).to.deep.equal(createDevManifest(5))
  })

  it('runs the tasks of a crashed worker on another worker', async () => {
    await putManifest(1)
    await waitUntil('the acceptance', async () => (await site.call('POST', path, { spec: 's', phases: [{ ...phase, count: 12 }] })).status === 200)
    site.workers[0]?.kill()
    await waitUntil('the end', async () => (await site.call('GET', path)).body === '{"state":"complete"}')
  })
})
