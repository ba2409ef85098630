import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { findFreePorts } from '../../fakes'
import { createDevManifest, devQueue, StandInWorker } from '../../platform/standIn'
import { waitFor } from '../../wiring/__tests__/siteFixture'
import { callHttp, type HttpAnswer } from '../httpCall'

interface Ports {
  readonly peer: number
  readonly control: number
  readonly callers: number
  readonly readiness: number
  readonly agents: readonly number[]
}

const workerCount = 2
const taskMs = 80
const tasksPerJob = 3

describe('processes of a job deployment', () => {
  let folder: string
  let ports: Ports
  const processes = new Map<string, { readonly child: ChildProcess, output: string }>()
  const workers: StandInWorker[] = []
  /** A member of the group that was killed and keeps its folder. */
  let killedMember = ''

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'job-processes-'))
    const [peer, control, callers, readiness, ...agents] = await findFreePorts(4 + workerCount) as [number, number, number, number, ...number[]]
    ports = { peer, control, callers, readiness, agents }
  })

  after(() => {
    for (const worker of workers) worker.kill()
    for (const { child } of processes.values()) child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
  })

  /** Control replicas share their ports, as on the platform, and differ by their addresses. */
  const seeds = (): string => JSON.stringify([1, 2, 3].map(number => `127.0.0.${number}:${ports.control}`))

  function start (role: string, name: string, ip: string, isFirstStart: boolean, sections: readonly string[]): void {
    const file = join(folder, `${name}.toml`)
    writeFileSync(file, [
      `name = "${name}"`, 'zone = "a"', `ip = "${ip}"`, `first_peer_port = ${ports.peer}`, `seeds = ${seeds()}`, `first_start = ${isFirstStart}`,
      `data_folder = "${role === 'control' ? join(folder, name) : ''}"`,
      ...sections,
      '[bounds]', 'longest_lease_ms = 10000', 'grace_s = 3', 'tolerated_losses = 1'
    ].join('\n'))
    const child = spawn(process.execPath, ['--import', 'tsx', 'src/cli/nodeMain.ts', role, file], { stdio: ['ignore', 'pipe', 'inherit'] })
    const record = { child, output: '' }
    child.stdout?.on('data', (chunk: Buffer) => { record.output += chunk.toString() })
    processes.set(name, record)
  }

  function startControl (number: number, isFirstStart: boolean): void {
    const ip = `127.0.0.${number}`
    start('control', `control-${number}`, ip, isFirstStart, ['[listen]', `control = "${ip}:${ports.control}"`, '[worker]'])
  }

  async function kill (name: string): Promise<void> {
    const record = processes.get(name)
    const exited = new Promise(resolve => record?.child.once('exit', resolve))
    record?.child.kill('SIGKILL')
    await exited
    processes.delete(name)
  }

  /** The replica which said last that it leads. */
  function leader (): string | undefined {
    const terms = [...processes].flatMap(([name, { output }]) => {
      const term = [...output.matchAll(/event=leading .*term=(\d+)/g)].at(-1)?.[1]
      return term === undefined ? [] : [{ name, term: Number(term) }]
    })
    return terms.sort((a, b) => b.term - a.term)[0]?.name
  }

  /** How often a replica has begun to lead, over all that run. */
  function leaderships (): number {
    return [...processes.values()].reduce((sum, { output }) => sum + [...output.matchAll(/event=leading /g)].length, 0)
  }

  /** The members which a replica has logged last. */
  function newestMembers (output: string): string {
    return [...output.matchAll(/event=members_changed .*members="?([^" ]*)/g)].at(-1)?.[1] ?? ''
  }

  function isReplaced (members: string, lost: string): boolean {
    return members.includes(`127.0.0.4:${ports.peer}`) && !members.includes(`127.0.0.${lost.slice(-1)}:${ports.peer}`)
  }

  async function call (host: string, port: number, method: string, path: string, body?: object): Promise<HttpAnswer | undefined> {
    return await callHttp({ address: { host, port }, method, path, headers: { host: devQueue.host }, ...(body === undefined ? {} : { body: JSON.stringify(body) }) }).catch(() => undefined)
  }

  const asCaller = async (method: string, path: string, body?: object): Promise<HttpAnswer | undefined> => await call('127.0.0.1', ports.callers, method, path, body)

  function pathOf (number: number): string {
    return `${devQueue.pathPrefix}${number.toString(16).padStart(16, '0')}`
  }

  async function submit (number: number): Promise<void> {
    const body = { spec: 's', phases: [{ count: tasksPerJob, cpu: 500, memMb: 100, estimateMs: taskMs }] }
    await waitFor(async () => (await asCaller('POST', pathOf(number), body))?.status === 200)
  }

  async function completed (numbers: readonly number[]): Promise<void> {
    for (const number of numbers) await waitFor(async () => (await asCaller('GET', pathOf(number)))?.body === '{"state":"complete"}')
  }

  it('lose no accepted job and run no task twice through kill -9 of leaders and a replica that is replaced at another address', async () => {
    for (const number of [1, 2, 3]) startControl(number, true)
    start('entry', 'entry', '127.0.0.1', true, ['[listen]', `callers = "127.0.0.1:${ports.callers}"`, `readiness = "127.0.0.1:${ports.readiness}"`, '[worker]'])
    for (const [index, port] of ports.agents.entries()) {
      const worker = new StandInWorker({ id: `w${index}`, pool: 'tastings', rack: `r${index}`, agent: { host: '127.0.0.1', port }, cpu: 4000, memMb: 8000, taskMs, heartbeatMs: 200 })
      const address = await worker.listen()
      start('agent', `agent-${index}`, '127.0.0.1', true, ['[listen]', `control = "127.0.0.1:${port}"`, '[worker]', `address = "${address.host}:${address.port}"`])
      worker.register()
      workers.push(worker)
    }
    await waitFor(() => leader() !== undefined)
    const firstLeader = leader() as string
    await waitFor(async () => (await call(`127.0.0.${firstLeader.slice(-1)}`, ports.control, 'PUT', '/-/config', createDevManifest(1)))?.status === 200)

    for (const number of [1, 2, 3, 4]) await submit(number)
    await kill(firstLeader)
    for (const number of [5, 6, 7, 8]) await submit(number)

    startControl(4, false)
    await waitFor(() => [...processes.values()].every(({ output, child }) => !child.spawnargs.includes('control') || isReplaced(newestMembers(output), firstLeader)))
    const secondLeader = leader() as string
    await kill(secondLeader)
    killedMember = secondLeader
    for (const number of [9, 10, 11, 12]) await submit(number)

    const numbers = Array.from({ length: 12 }, (_, index) => index + 1)
    await completed(numbers)
    const starts = workers.flatMap(worker => [...worker.starts.values()])
    expect(starts).to.have.length(numbers.length * tasksPerJob)
    expect(starts.every(count => count === 1)).to.equal(true)
  })

  it('take no order and no manifest back when a leader is frozen, another one leads, and the first wakes', async () => {
    startControl(Number(killedMember.slice(-1)), false)
    await waitFor(() => (processes.get(killedMember)?.output ?? '').includes('event=control_started'))
    const frozen = leader() as string
    const child = processes.get(frozen)?.child
    const awake = [...processes.keys()].filter(name => name.startsWith('control') && name !== frozen)
    const termsBefore = leaderships()
    child?.kill('SIGSTOP')
    try {
      await submit(13)
      await waitFor(() => leaderships() > termsBefore)
      const successor = leader() as string
      expect(awake).to.include(successor)
      await waitFor(async () => (await call(`127.0.0.${successor.slice(-1)}`, ports.control, 'PUT', '/-/config', createDevManifest(2)))?.status === 200)
      await completed([13])
    } finally {
      child?.kill('SIGCONT')
    }
    await waitFor(() => (processes.get(frozen)?.output ?? '').includes('event=following'))
    await submit(14)
    await completed([14])
    const ip = `127.0.0.${frozen.slice(-1)}`
    const answers: Array<HttpAnswer | undefined> = []
    await waitFor(async () => {
      const answer = await call(ip, ports.control, 'GET', '/-/config')
      answers.push(answer)
      return answer?.status === 307 || answer?.status === 200
    })
    for (const answer of answers) if (answer?.status === 200) expect(JSON.parse(answer.body)).to.have.property('version', 2)
    const successor = `127.0.0.${(leader() as string).slice(-1)}`
    await waitFor(async () => (await call(successor, ports.control, 'GET', '/-/config'))?.status === 200)
    expect(JSON.parse((await call(successor, ports.control, 'GET', '/-/config'))?.body ?? '{}')).to.have.property('version', 2)
    expect(workers.flatMap(worker => [...worker.starts.values()]).every(count => count === 1)).to.equal(true)
  })

  async function paused (name: string, ms: number, meanwhile: () => Promise<void>): Promise<void> {
    const child = processes.get(name)?.child
    child?.kill('SIGSTOP')
    try {
      await Promise.all([meanwhile(), new Promise(resolve => setTimeout(resolve, ms))])
    } finally {
      child?.kill('SIGCONT')
    }
  }

  function expectEachStartedOnce (): void {
    const starts = workers.flatMap(worker => [...worker.starts])
    expect(new Set(starts.map(([task]) => task)).size).to.equal(starts.length)
    expect(starts.every(([, count]) => count === 1)).to.equal(true)
  }

  it('start nothing by orders that an agent got while it was paused for longer than a lease, as it runs elsewhere by then', async () => {
    // Orders go to the agent until its stream is silent for a second, and lie in its socket until it wakes.
    await paused('agent-0', 9000, async () => {
      for (const number of [20, 21, 22, 23, 24, 25]) await submit(number)
    })
    await completed([20, 21, 22, 23, 24, 25])
    await new Promise(resolve => setTimeout(resolve, 1000))
    expect(processes.get('agent-0')?.output).to.include('event=leader_lost')
    expectEachStartedOnce()
  })

  it('take a submission once that an entry got while it was paused, though its caller asked again', async () => {
    let late: Promise<HttpAnswer | undefined> | undefined
    await paused('entry', 3000, async () => {
      late = asCaller('POST', pathOf(30), { spec: 's', phases: [{ count: tasksPerJob, cpu: 500, memMb: 100, estimateMs: taskMs }] })
    })
    await submit(30)
    await completed([30])
    expect((await late)?.status).to.be.oneOf([200, 503, 504])
    expectEachStartedOnce()
  })
})
