import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { runCli } from '../../cli'
import { createLogger, type LogFields } from '../../observability'
import { createWorthReport, readLogs, type JobWorth } from '..'

const startMs = Date.UTC(2026, 0, 1)

/** The log of a deployment, written by the product's own logger. */
class DeploymentLog {
  readonly lines: string[] = []
  private now = startMs
  private readonly logger = createLogger({ level: 'info', write: line => { this.lines.push(line) }, now: () => this.now })

  at (second: number, event: string, fields: LogFields): this {
    this.now = startMs + second * 1000
    this.logger.info(event, fields)
    return this
  }
}

describe('the report of lost worth', () => {
  let folder: string

  beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'report-')) })
  afterEach(() => rmSync(folder, { recursive: true, force: true }))

  function write (name: string, lines: readonly string[]): string {
    const path = join(folder, name)
    writeFileSync(path, lines.join('\n') + '\n')
    return path
  }

  async function valueOf (log: DeploymentLog, jobId: string): Promise<JobWorth> {
    const { history } = await readLogs([write('all.log', log.lines)])
    const found = createWorthReport(history).jobs.find(({ job }) => job.jobId === jobId)
    if (found === undefined) throw new Error(`no job ${jobId}`)
    return found
  }

  const job = '0582e00000000001'
  const accepted = { job, queue: 'plans', steps: 2, tasks: 2, work_ms: 4000, objective_ms: 3000 }
  const first = `${job}.0.0`
  const second = `${job}.0.1`

  it('divides the time of a job among its causes of delay along the tasks that were done last', async () => {
    const log = new DeploymentLog()
      .at(1, 'caller_answered', { call: 'submit', path: `/plans/${job}`, status: 503, ms: 0 })
      .at(2, 'job_accepted', accepted)
      .at(3, 'runs_assigned', { job, step: first, workers: 2, runs: '0:1@agent-1,1:1@agent-2', image: 'f' })
      .at(5, 'run_released', { task: `${first}.1`, run: 1, worker: 'agent-2/w@1', cause: 'bootEnded' })
      .at(5.5, 'runs_assigned', { job, step: first, workers: 1, runs: '1:2@agent-1', image: 'f' })
      .at(6, 'filling_paced', { worker: 'agent-1/w@1', image: 'f', percent: 0 })
      .at(7, 'filling_paced', { worker: 'agent-1/w@1', image: 'f', percent: 25 })
      .at(8, 'step_ended', { job, step: first, last: '1:2@agent-1' })
      .at(8, 'leader_lost', { role: 'entry', node: 'entry-1' })
      .at(9, 'leading', { term: 2 })
      .at(9.1, 'leader_found', { role: 'entry', node: 'entry-1', term: 2 })
      .at(9.2, 'leader_lost', { role: 'entry', node: 'entry-2' })
      .at(9.4, 'leader_found', { role: 'entry', node: 'entry-2', term: 2 })
      .at(9.5, 'runs_assigned', { job, step: second, workers: 1, runs: '0:1@agent-1', image: 'f' })
      .at(10, 'job_ended', { job, queue: 'plans', state: 'complete', ms: 8000 })
    const { outcome, elapsedMs, delays, cause } = await valueOf(log, job)
    expect([outcome, elapsedMs, cause]).to.deep.equal(['late', 9000, 'waiting'])
    expect(Object.fromEntries(delays)).to.deep.equal({ admission: 1000, waiting: 2000, runLost: 2000, halted: 1000, leaderAway: 1000, running: 2000 })
  })

  it('takes the objective of a complete job from the time that its tasks worked, not from a declaration', async () => {
    const log = new DeploymentLog()
      .at(0, 'job_accepted', { ...accepted, objective_ms: 1000, slack: 2, latency_ms: 500 })
      .at(1, 'runs_assigned', { job, step: first, workers: 1, runs: '0:1@agent-1' })
      .at(5, 'step_ended', { job, step: first, last: '0:1@agent-1' })
      .at(5, 'job_ended', { job, queue: 'plans', state: 'complete' })
    const { outcome, objectiveMs } = await valueOf(log, job)
    expect([outcome, objectiveMs]).to.deep.equal(['inTime', 8500])
  })

  it('values jobs by their work, and counts an accepted job without an end as lost', async () => {
    const log = new DeploymentLog()
      .at(0, 'job_accepted', { ...accepted, work_ms: 3000 })
      .at(0, 'job_accepted', { ...accepted, job: 'b', work_ms: 1000 })
      .at(1, 'job_ended', { job, queue: 'plans', state: 'complete' })
      .at(59, 'load', { jobs: 1, workers: 0, long_running: 'holds:10/0/0' })
      .at(60, 'load', { jobs: 1, workers: 3, long_running: 'holds:10/9/2' })
    const { history } = await readLogs([write('all.log', log.lines)])
    const { queues } = createWorthReport(history)
    expect(queues).to.deep.equal([
      { queue: 'plans', jobs: 2, inTime: 1, late: 0, lost: 1, worth: 0.675 },
      { queue: 'holds', jobs: 10, inTime: 7, late: 2, lost: 1, worth: 0.1 }
    ])
  })

  it('counts and names lines that are cut or not from the logger, and reads those behind a prefix of a collector', async () => {
    const [line = ''] = new DeploymentLog().at(0, 'job_accepted', accepted).lines
    const quoted = line.replace('queue=plans', 'queue="a plan \\"x\\""')
    const path = write('mixed.log', [`  33.28 control-1 ${line}`, quoted, quoted.slice(0, quoted.indexOf('\\"x') + 2), 'Error: at x.ts', line.replace(/time=\S+/, 'time=never')])
    const { lines, events, malformed, malformedAt, history } = await readLogs([folder])
    expect([lines, events, malformed]).to.deep.equal([5, 2, 3])
    expect(malformedAt).to.deep.equal([`${path}:3`, `${path}:4`, `${path}:5`])
    expect(history.jobs.map(({ queue }) => queue)).to.deep.equal(['a plan "x"'])
  })

  it('prints tables, JSON or one job, and exits with 2 if there is no log', async () => {
    const path = write('all.log', new DeploymentLog().at(0, 'job_accepted', accepted).at(9, 'job_ended', { job, queue: 'plans', state: 'complete' }).lines)
    const run = async (...words: string[]): Promise<readonly [number, string]> => {
      const lines: string[] = []
      const code = await runCli(['node', 'heatherdrum', 'report', ...words], line => { lines.push(line) }, line => { lines.push(line) })
      return [code, lines.join('\n')]
    }
    const [code, text] = await run(path)
    expect([code, text]).to.satisfy(([status, shown]: [number, string]) => status === 0 && /plans +1 +0 +1 +0 +0\.150/.test(shown))
    expect(JSON.parse((await run(path, '--format', 'json'))[1]).queues[0].worth).to.equal(0.15)
    expect((await run(path, '--job', job))[1]).to.contain(`${job}  plans     late`)
    const page = join(folder, 'page.html')
    expect((await run(path, '--out', page))[0]).to.equal(0)
    expect(readFileSync(page, 'utf8')).to.match(/<svg[^]*Waiting tasks[^]*<svg[^]*0582e00000000001/)
    for (const words of [[], [path, '--out', folder], [join(folder, 'none')], [write('other.log', ['nothing'])], [path, '--format', 'xml'], [path, '--job', 'x']]) {
      expect((await run(...words))[0]).to.equal(2)
    }
  })
})
