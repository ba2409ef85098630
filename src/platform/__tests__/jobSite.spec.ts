import { expect } from 'chai'
import { Counters, createLogger } from '../../observability'
import { createDevManifest, createJobDevSite, devQueue, type JobDevSite } from '../standIn'

const waitLimitMs = 15_000
const id = 'abcdef0123456789'
const path = `${devQueue.pathPrefix}${id}`
const phase = { count: 2, cpu: 500, memMb: 100, estimateMs: 50 }

async function waitUntil (what: string, isTrue: () => Promise<boolean>): Promise<void> {
  const giveUpAt = performance.now() + waitLimitMs
  while (!await isTrue()) {
    if (performance.now() > giveUpAt) throw new Error(`timed out waiting for ${what}`)
    await new Promise(resolve => setTimeout(resolve, 20))
  }
}

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

describe('a job deployment whose workers crash or change their capacity', () => {
  let site: JobDevSite
  const culprit = `${id}.0.0.0`

  beforeEach(async () => {
    const logger = createLogger({ level: 'error', write: () => {} })
    site = await createJobDevSite({
      workers: 3,
      taskMs: 200,
      crashesWorker: task => task === culprit,
      surroundings: () => ({ now: () => performance.now(), wallClock: Date.now, random: Math.random, logger, counters: new Counters() })
    })
    await waitUntil('the manifest', async () => (await site.operate('PUT', '/-/config', createDevManifest(1))).status === 200)
  })

  afterEach(async () => { await site.close() })

  const submit = async (job: string, count: number): Promise<void> => {
    await waitUntil('the acceptance', async () => (await site.call('POST', devQueue.pathPrefix + job, { spec: 's', phases: [{ ...phase, count }] })).status === 200)
  }
  const stateOf = async (job: string): Promise<string> => (await site.call('GET', devQueue.pathPrefix + job)).body

  it('gives up a task that crashes the workers that start it, and completes the jobs beside it', async () => {
    const beside = ['00000000000000a1', '00000000000000a2']
    for (const job of beside) await submit(job, 4)
    await submit(id, 3)
    await waitUntil('the failure', async () => await stateOf(id) === '{"state":"failed"}')
    for (const job of beside) await waitUntil('the end', async () => await stateOf(job) === '{"state":"complete"}')
    expect(site.workers.reduce((sum, worker) => sum + worker.crashes, 0)).to.be.within(2, 5)
    expect(site.workers.reduce((sum, worker) => sum + (worker.starts.get(culprit) ?? 0), 0)).to.be.within(2, 5)
  })

  it('starts no more on workers whose capacity has shrunk, and uses it when it grows again', async () => {
    const job = '00000000000000a3'
    for (const worker of site.workers) worker.resize(500, 8000)
    let probes = 0
    // A leader that was elected just now accepts a job that fits on no worker, as it may not know all of them yet.
    await waitUntil('the new capacity', async () => {
      const probe = devQueue.pathPrefix + (0xb000 + probes++).toString(16).padStart(16, '0')
      const { status } = await site.call('POST', probe, { spec: 's', phases: [{ ...phase, cpu: 600 }] })
      if (status === 200) await site.call('DELETE', probe)
      return status === 429
    })
    await waitUntil('the end of what ran before', async () => site.workers.every(worker => worker.runningTasks === 0))
    await submit(job, 12)
    let most = 0
    await waitUntil('the first half', async () => {
      most = Math.max(most, ...site.workers.map(worker => worker.runningTasks))
      return site.workers.reduce((sum, worker) => sum + [...worker.starts.keys()].filter(task => task.startsWith(job)).length, 0) >= 6
    })
    expect(most).to.equal(1)
    for (const worker of site.workers) worker.resize(4000, 8000)
    await waitUntil('the end', async () => {
      most = Math.max(most, ...site.workers.map(worker => worker.runningTasks))
      return await stateOf(job) === '{"state":"complete"}'
    })
    expect(most).to.be.above(1)
  })
})
