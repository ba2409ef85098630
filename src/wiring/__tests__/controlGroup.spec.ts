import { expect } from 'chai'
import { callHttp, type HttpAnswer } from '../../cli/httpCall'
import type { TaskRecord } from '../../core/ledger'
import type { ChangeProgress } from '../../tasks/control'
import type { DevSite } from '..'
import { operate, outcomeOf, ready, request, serviceEntry, startSite, waitFor } from './siteFixture'

const batchEntry = { organisation: 'cartago', workClass: 'batch', limits: { processors: 4, memoryMb: 1000, deadlineMs: 60_000 } }

describe('the control group', () => {
  let site: DevSite

  afterEach(async () => await site.close())

  function leader (): number {
    return site.controls.findIndex(control => control.isLeader())
  }

  async function submit (key: string, entry = 'pairings'): Promise<string> {
    const answer = await callHttp({ address: (site.entries[0] as DevSite['entries'][number]).callers, method: 'POST', path: `/tasks/${entry}`, headers: { 'idempotency-key': key }, body: key })
    expect(answer.status, answer.body).to.equal(202)
    return (JSON.parse(answer.body) as TaskRecord).taskId
  }

  async function task (taskId: string): Promise<TaskRecord> {
    return JSON.parse((await operate(site, 'GET', `/tasks/${taskId}`)).body) as TaskRecord
  }

  async function finished (taskIds: readonly string[]): Promise<void> {
    await waitFor(async () => (await Promise.all(taskIds.map(task))).every(found => found.state === 'finished'))
  }

  function runs (taskId: string): number {
    return site.workers.flatMap(worker => worker.model.runs).filter(run => run.taskId === taskId).length
  }

  async function putBatch (): Promise<void> {
    await operate(site, 'PUT', '/catalogue/pairings', { expectedVersion: 0, entry: batchEntry })
    const probe = async (): Promise<HttpAnswer> => await callHttp({ address: (site.entries[0] as DevSite['entries'][number]).callers, method: 'POST', path: '/tasks/pairings', headers: { 'idempotency-key': 'probe' }, body: '' })
    await waitFor(async () => (await probe()).status === 202)
    const { taskId } = JSON.parse((await probe()).body) as TaskRecord
    await operate(site, 'DELETE', `/tasks/${taskId}`)
    await waitFor(async () => ['cancelled', 'finished'].includes((await task(taskId)).state))
  }

  it('accepts one of two concurrent changes of an entry and answers the other with the accepted entry', async () => {
    site = await startSite({ controls: 3, entries: 2 })
    const put = async (entry: number, queue: number): Promise<HttpAnswer> => await operate(site, 'PUT', '/catalogue/tastings', {
      expectedVersion: 1, entry: { ...serviceEntry, limits: { ...serviceEntry.limits, queue } }
    }, entry)
    const answers = await Promise.all([put(0, 11), put(1, 22)])
    expect(answers.map(answer => answer.status).sort()).to.deep.equal([200, 409])
    const conflict = JSON.parse(answers.find(answer => answer.status === 409)?.body ?? '') as { readonly current: { readonly entry: { readonly limits: { readonly queue: number } } } }
    const winner = answers[0]?.status === 200 ? 11 : 22
    expect(conflict.current.entry.limits.queue).to.equal(winner)
  })

  it('keeps every accepted change when leaders are killed, and answers a resend with the first answer', async () => {
    site = await startSite({ controls: 3 })
    const accepted = new Map<string, HttpAnswer>()
    for (let index = 0; index < 40; index += 1) {
      if (index % 10 === 5) {
        const formerLeader = leader()
        site.controls[formerLeader]?.kill()
        await waitFor(() => leader() >= 0 && leader() !== formerLeader)
        await site.restartControl(formerLeader)
      }
      const body = { expectedVersion: 0, changeId: `change-${index}`, entry: serviceEntry }
      const answer = await operate(site, 'PUT', `/catalogue/entry-${index}`, body)
      expect(answer.status, answer.body).to.equal(200)
      accepted.set(`entry-${index}`, answer)
      expect((await operate(site, 'PUT', `/catalogue/entry-${index}`, body)).body).to.equal(answer.body)
    }
    const listed = JSON.parse((await operate(site, 'GET', '/catalogue')).body) as ReadonlyArray<{ readonly name: string }>
    expect(listed.map(version => version.name)).to.include.members([...accepted.keys()])
  })

  it('brings a change into force at all entry processes, reports since when, and keeps it after restarts', async () => {
    site = await startSite({ controls: 3, entries: 2, endpoints: 2 })
    await operate(site, 'DELETE', '/catalogue/tastings', { expectedVersion: 1, changeId: 'close' })
    await waitFor(async () => {
      const changes = JSON.parse((await operate(site, 'GET', '/changes')).body) as readonly ChangeProgress[]
      return changes.find(change => change.change.changeId === 'close')?.inForceSince !== undefined
    })
    const statuses = async (): Promise<readonly number[]> => await Promise.all([0, 1].map(async entry => (await request(site, { entry })).status))
    expect(await statuses()).to.deep.equal([404, 404])
    site.agents[0]?.kill()
    await site.restartAgent(0)
    site.entries[0]?.kill()
    await site.restartEntry(0)
    await ready(site)
    expect(await statuses()).to.deep.equal([404, 404])
  })

  it('makes an entry process that is disconnected from it stop serving a stale catalogue', async () => {
    site = await startSite({ timing: 'announce_ms = 100\ncatalogue_lease_ms = 3000\ncontrol_timeout_ms = 500' })
    expect(outcomeOf(await request(site))).to.equal('answered')
    site.controls[0]?.kill()
    await waitFor(async () => (await request(site)).status === 503)
    const answer = await request(site)
    expect([outcomeOf(answer), answer.headers['heatherdrum-failure']]).to.deep.equal(['not-run', 'request/stale-catalogue'])
  })

  it('finishes every accepted task exactly once while its leader dies', async () => {
    site = await startSite({ controls: 3, workers: 3, taskMs: 800 })
    await putBatch()
    const taskIds = await Promise.all(Array.from({ length: 9 }, async (_, index) => await submit(`plan-${index}`)))
    await waitFor(() => taskIds.some(taskId => runs(taskId) > 0))
    site.controls[leader()]?.kill()
    await finished(taskIds)
    expect(taskIds.map(runs)).to.deep.equal(taskIds.map(() => 1))
  })

  it('runs a task again only after the lease of its silent worker has expired', async () => {
    site = await startSite({ workers: 2, taskMs: 2500, controlSettings: 'lease_ms = 800' })
    await putBatch()
    const taskId = await submit('plan')
    await waitFor(() => runs(taskId) === 1)
    const silent = site.workers.find(worker => worker.model.runs.some(run => run.taskId === taskId))
    silent?.setSilent(true)
    await finished([taskId])
    silent?.model.advance()
    const all = site.workers.flatMap(worker => worker.model.runs).filter(run => run.taskId === taskId).sort((a, b) => a.startedAt - b.startedAt)
    expect(all.length).to.equal(2)
    expect(all[0]?.endedAt).to.be.at.most(all[1]?.startedAt ?? 0)
    expect((await task(taskId)).history.map(event => event.step)).to.deep.equal(['submitted', 'assigned', 'leaseExpired', 'assigned', 'finished'])
  })

  it('evicts a batch task for a service and resumes it exactly once from its checkpoint', async () => {
    const capacity = { processors: 8, memoryMb: 60_000, accelerators: 0 }
    site = await startSite({ workers: 1, taskMs: 1500, worker: () => ({ capacity }) })
    await putBatch()
    const taskIds = await Promise.all([submit('plan-1'), submit('plan-2')])
    await waitFor(() => taskIds.every(taskId => runs(taskId) === 1))
    await operate(site, 'PUT', '/catalogue/shades', { expectedVersion: 0, entry: { ...serviceEntry, limits: { ...serviceEntry.limits, processors: 4, instances: 1 } } })
    await waitFor(() => site.workers[0]?.model.runs.some(run => run.taskId.startsWith('instance.shades')) === true)
    const evicted = (await Promise.all(taskIds.map(task))).find(found => found.history.some(event => event.step === 'evicted'))
    expect(evicted?.checkpoint).to.match(/^\d+/)
    await operate(site, 'DELETE', '/catalogue/shades', { expectedVersion: 1 })
    await finished(taskIds)
    expect(taskIds.map(runs).sort()).to.deep.equal([1, 2])
    const resumed = site.workers[0]?.model.runs.filter(run => run.taskId === evicted?.taskId).map(run => run.resumedMs)
    expect(resumed).to.deep.equal([0, Number(evicted?.checkpoint)])
    expect(resumed?.[1]).to.be.greaterThan(0)
  })

  it('parks a task that fits on no worker and a task that fails on two racks, and finishes others', async () => {
    site = await startSite({ workers: 6, taskMs: 50, worker: () => ({ fails: order => order.entry === 'broken' }) })
    await putBatch()
    await operate(site, 'PUT', '/catalogue/huge', { expectedVersion: 0, entry: { ...batchEntry, limits: { ...batchEntry.limits, processors: 1000 } } })
    await operate(site, 'PUT', '/catalogue/broken', { expectedVersion: 0, entry: batchEntry })
    await waitFor(() => site.entries[0]?.isReady() === true)
    const [huge, broken, good] = await Promise.all([submit('h', 'huge'), submit('b', 'broken'), submit('g')])
    await waitFor(async () => (await task(huge)).state === 'parked' && (await task(broken)).state === 'parked')
    await finished([good])
    expect((await task(broken)).attempt).to.be.at.most(5)
  })

  it('quarantines a worker that fails all tasks after at most five attempts', async () => {
    const capacity = { processors: 64, memoryMb: 250_000, accelerators: 0 }
    site = await startSite({ workers: 4, taskMs: 30, worker: index => ({ capacity, fails: () => index === 0 }) })
    await putBatch()
    const taskIds = await Promise.all(Array.from({ length: 60 }, async (_, index) => await submit(`plan-${index}`)))
    await finished(taskIds)
    const failed = site.workers[0]?.model.runs.length ?? 0
    expect(failed).to.be.at.least(1)
    expect(failed).to.be.at.most(5)
  })

  it('cancels many queued and running tasks and stops those that run', async () => {
    site = await startSite({ workers: 1, taskMs: 60_000 })
    await putBatch()
    const taskIds = await Promise.all(Array.from({ length: 30 }, async (_, index) => await submit(`plan-${index}`)))
    await waitFor(() => taskIds.some(taskId => runs(taskId) > 0))
    await Promise.all(taskIds.map(async taskId => await operate(site, 'DELETE', `/tasks/${taskId}`)))
    await waitFor(async () => (await Promise.all(taskIds.map(task))).every(found => found.state === 'cancelled'))
    const running = site.workers[0]?.model.runs.filter(run => run.endedAt === undefined && taskIds.includes(run.taskId))
    expect(running).to.deep.equal([])
  })
})
